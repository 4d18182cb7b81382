#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are plain modules for Node.js,
# so nothing has to be compiled; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
