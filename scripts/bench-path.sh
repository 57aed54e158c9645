#!/usr/bin/env bash
# Starts the bench's fleet, measures the path, and stops all that it started.
# Arguments go to "croftpulley bench path", such as --json.
set -euo pipefail
cd "$(dirname "$0")/.."

export EXAMPLES=examples/bench
trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >&2
.venv/bin/croftpulley bench path --examples "$EXAMPLES" "$@"
