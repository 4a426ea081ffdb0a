#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the program: their stand-ins are plain modules, which are
# only checked here. The program itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in 1[1-5]/*.mjs 11/support/*.mjs; do
	node --check "$file"
done
