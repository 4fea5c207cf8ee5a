#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js, so this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin-2/*.mjs [7-9]/run.mjs 10/run.mjs; do
  node --check "$file"
done
