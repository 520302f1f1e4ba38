#!/usr/bin/env bash
# Compiles the stand-ins of cases 4 and up, which need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q [4-8]/
