#!/usr/bin/env bash
# Starts and stops the demo's fleet: plain processes on 127.0.0.1, their ids and logs under run/.
set -euo pipefail
shopt -s nullglob
cd "$(dirname "$0")/.."

BIN=.venv/bin
EXAMPLES=${EXAMPLES:-examples/demo}
RUN=run
READY_TRIES=150

start() { # name, arguments of croftpulley
    local name=$1
    shift
    "$BIN/croftpulley" "$@" >"$RUN/$name.log" 2>"$RUN/$name.err" &
    echo $! >"$RUN/$name.pid"
}

start_all() {
    local file name
    start platform fake platform --settings "$EXAMPLES/platform.jsonc"
    for file in "$EXAMPLES"/engine-*.jsonc; do
        name=$(basename "$file" .jsonc)
        start "$name" fake engine --settings "$file"
    done
    for file in "$EXAMPLES"/worker-*.jsonc; do
        name=$(basename "$file" .jsonc)
        start "$name" fake worker --settings "$file"
    done
    start control-1 control --settings "$EXAMPLES/control-1.jsonc"
    for file in "$EXAMPLES"/entry-*.jsonc; do
        name=$(basename "$file" .jsonc)
        start "$name" entry --settings "$file"
    done
}

ctl() {
    "$BIN/croftpulley" ctl --control 127.0.0.1:8311 --token-file "$RUN/operator-token" "$@"
}

submit() {
    local try
    for ((try = 0; try < READY_TRIES; try++)); do
        if ctl config submit "$EXAMPLES/fleet.jsonc" --operator demo --number 1 2>"$RUN/submit.err"; then
            return 0
        fi
        sleep 0.2
    done
    cat "$RUN/submit.err" >&2
    return 1
}

up() {
    if compgen -G "$RUN/*.pid" >/dev/null; then
        echo "a fleet is running already: scripts/fleet.sh down" >&2
        exit 1
    fi
    rm -rf "$RUN"
    mkdir -p "$RUN"
    (umask 077 && head -c 24 /dev/urandom | base64 >"$RUN/operator-token")
    start_all
    submit
    "$BIN/croftpulley" bench wait-ready --examples "$EXAMPLES"
}

down() {
    local file pid
    # Entry boxes first: they hand over while the rest still runs.
    for file in "$RUN"/entry-*.pid "$RUN"/*.pid; do
        [ -f "$file" ] || continue
        pid=$(cat "$file")
        kill -TERM "$pid" 2>/dev/null || true
    done
    for file in "$RUN"/*.pid; do
        [ -f "$file" ] || continue
        wait_gone "$(cat "$file")"
        rm -f "$file"
    done
}

wait_gone() { # process id
    local try
    for ((try = 0; try < READY_TRIES; try++)); do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.1
    done
    kill -KILL "$1" 2>/dev/null || true
}

case "${1:-}" in
up) up ;;
down) down ;;
*)
    echo "usage: scripts/fleet.sh up|down" >&2
    exit 2
    ;;
esac
