#!/usr/bin/env bash
# Soaks magnolia-entry in random faults: utils/soak.sh FIRST LAST [JOBS]
# plays the seeds from FIRST to LAST and keeps the logs of those that broke a
# promise. Environment: SECONDS_OF_FAULTS (default 20), FOLDER (default
# soak-logs below TMPDIR), SOAK_OPTIONS (more options of the soak).
set -u
if [ $# -lt 2 ]; then
    echo "usage: $0 FIRST LAST [JOBS]" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
soak=${BUILD_DIR:-build}/test/soak
folder=${FOLDER:-${TMPDIR:-/tmp}/soak-logs}
mkdir -p "$folder"
export soak folder SECONDS_OF_FAULTS=${SECONDS_OF_FAULTS:-20} \
    SOAK_OPTIONS=${SOAK_OPTIONS:-}
one_seed() {
    # shellcheck disable=SC2086
    "$soak" --seed "$1" --seconds "$SECONDS_OF_FAULTS" $SOAK_OPTIONS \
        --folder "$folder/$1" >"$folder/$1.txt" 2>&1
    local code=$?
    tail -n 1 "$folder/$1.txt"
    if [ "$code" = 0 ]; then rm -f "$folder/$1.txt"; fi
    return "$code"
}
export -f one_seed
seq "$1" "$2" | xargs -P "${3:-2}" -I{} bash -c 'one_seed {}' && exit 0
echo "broken seeds are in $folder"
exit 1
