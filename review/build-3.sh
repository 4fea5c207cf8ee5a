#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are plain modules, so each is only checked. The
# nodes are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin-3/*.js review/1[1-5]/main.js; do
  node --check "$file"
done
test -f target/node.cjs
