#!/usr/bin/env bash
# Builds what the cases start besides the program itself. The stand-ins in `review/lib` are plain JavaScript and need no build;
# case 3 also uses the project's own choice of the machine that owns a limit. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild packages/stallpaddle-limits/src/index.ts --bundle --format=esm --log-level=warning \
  --outfile=dist/review/limits.mjs --platform=node
