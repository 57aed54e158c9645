#!/usr/bin/env bash
# Runs a small site as the users' platform would, with stand-ins for the platform, and checks it.
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHON=.venv/bin/python
RUN=run/platform
STOP_TRIES=100
DEMO="$PYTHON -m croftpulley.platform.demo"

stop_all() {
    local file try
    for file in "$RUN"/*.pid; do
        [ -f "$file" ] || continue
        kill -TERM "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$RUN"/*.pid; do
        [ -f "$file" ] || continue
        for ((try = 0; try < STOP_TRIES; try++)); do
            kill -0 "$(cat "$file")" 2>/dev/null || break
            sleep 0.1
        done
    done
}

rm -rf "$RUN"
mkdir -p "$RUN"
trap stop_all EXIT
$DEMO boot "$RUN" | while read -r role file; do
    name="$(basename "$file" .json)-$role"
    CROFTPULLEY_BOOT="$file" "$PYTHON" deploy/run.py "$role" >"$RUN/$name.log" 2>&1 &
    echo $! >"$RUN/$name.pid"
done
$DEMO play
