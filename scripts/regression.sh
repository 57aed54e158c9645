#!/usr/bin/env bash
# Plays what is played before each landing, one deployment after the other, and prints one table.
# Usage: scripts/regression.sh BENCH SYSTEM [DAYS] [JOBS]; BENCH is the bench's program, SYSTEM the folder
# of the deployments. Logs go to a folder whose name is printed first.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
system=$2
days=${3:-40}
jobs=${4:-4}
logs=$(mktemp -d)
# The smallest deployments and those with many boxes: these get few days, since each takes minutes.
small="sites/shifa-booking sites/glenbothy-live further/saltbush-perth"
many="further-grown/saltbush-perth-grown newcomers/cmc-croft-grown newcomers/pcrc-ops-grown \
shifted/shifa-booking-now-grown large/shifa-booking-large"
echo "logs: $logs"

play() {
    local site=$1 count=$2
    local log=$logs/$(basename "$site").txt
    local result=done
    "$bench" hunt "$system/$site.toml" --days "$count" --jobs "$jobs" --why "regression" > "$log" 2>&1 || result=failed
    printf '%-40s %4s days  %-6s %s\n' "$site" "$count" "$result" "$(tail -n 1 "$log" | cut -c1-80)"
}

for site in $small; do
    play "$site" "$days"
done
for site in $many; do
    play "$site" 8
done
