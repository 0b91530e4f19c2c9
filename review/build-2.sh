#!/usr/bin/env bash
# Builds what the cases of the second review start besides the program itself. The stand-ins in `review/lib-2` are plain JavaScript
# that uses only Node's own modules; their syntax is checked. Case 8 also uses the project's own choice of the machine that owns a
# limit, which is built here. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/lib-2/*/*.mjs review/[4-8]/*.mjs; do
  node --check "$file"
done
node_modules/.bin/esbuild packages/stallpaddle-limits/src/index.ts --bundle --format=esm --log-level=warning \
  --outfile=dist/review-2/limits.mjs --platform=node
