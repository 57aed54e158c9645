#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: Python of the standard library alone, nothing to fetch.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q kit-2
