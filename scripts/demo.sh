#!/usr/bin/env bash
# Starts the fleet, runs the demo's callers against it, and stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up
.venv/bin/croftpulley bench demo --examples examples/demo
