#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the program of the deploy file. Their stand-ins
# are plain modules, in review/N/stand-ins/, that need no build step; they are checked to be readable.
set -euo pipefail
cd "$(dirname "$0")"
for module in {6..9}/run.mjs {6..9}/stand-ins/*.mjs; do
	node --check "$module"
done
