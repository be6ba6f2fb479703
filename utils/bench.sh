#!/usr/bin/env bash
# Plays the standard days of site files on the users' bench and prints one
# table: utils/bench.sh FLEETBENCH WHY SITE...
set -eu
if [ $# -lt 3 ]; then
    echo "usage: $0 FLEETBENCH WHY SITE..." >&2
    exit 2
fi
cd "$(dirname "$0")/.."
bench=$1
why=$2
shift 2
jobs=$(($(nproc) / 2 > 0 ? $(nproc) / 2 : 1))
for site in "$@"; do
    "$bench" score "$site" --jobs "$jobs" --why "$why" |
        grep -E '^(score on|day |[a-z]+-[0-9a-f]+ |GATE|rules|short of)'
done
