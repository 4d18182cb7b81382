#!/bin/bash
# Builds what the scripts of the cases start besides the system itself. The
# stand-ins are plain modules that need no build, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
  node --check "$file"
done
