#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js without dependencies: they only have to load.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.mjs */case.mjs; do node --check "$file"; done
