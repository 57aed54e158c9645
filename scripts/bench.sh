#!/usr/bin/env bash
# Starts the bench's fleet, runs one bench against it, and stops all that it started.
# usage: scripts/bench.sh path|control [arguments of "croftpulley bench …", such as --json]
set -euo pipefail
cd "$(dirname "$0")/.."

export EXAMPLES=examples/bench
trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >&2
.venv/bin/croftpulley bench "$1" --examples "$EXAMPLES" "${@:2}"
