#!/usr/bin/env bash
# Compiles the stand-ins, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support [0-9]*/
