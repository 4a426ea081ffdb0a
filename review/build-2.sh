#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the program of the deploy file. Their stand-ins
# are plain modules in review/support-2/ that need no build step; they are checked to load.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/support-2/*.mjs; do
	node --check "$module"
done
