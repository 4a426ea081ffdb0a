#!/usr/bin/env bash
# Builds the project's stand-in for the store, which the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild stand-ins/platform/store.ts --bundle --platform=node \
	--target=node20 --format=esm --log-level=warning --outfile=target/review/store.mjs
