#!/usr/bin/env bash
# Builds what the cases start besides the program itself: nothing, since the stand-ins in `review/lib` are plain JavaScript that
# uses only Node's own modules. Their syntax is checked. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
