#!/usr/bin/env bash
# Builds what the cases of the second review start besides the program itself: nothing, since the stand-ins in `review/lib-2` are
# plain JavaScript that uses only Node's own modules. Their syntax is checked. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
