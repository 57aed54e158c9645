#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain Python of the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q kit 1 2 3
