#!/usr/bin/env bash
# run_case.sh SCENARIO CASE-FOLDER: plays one scenario of the stage against
# target/bin/magnolia-entry and writes record.txt into the case's folder.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
scenario=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=target/bin/magnolia-entry
stage=target/review-2/stage
if [ ! -x "$program" ] || [ ! -x "$stage" ]; then
    echo "build first: the deploy file's build line and review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$stage" "$scenario" "$program" "$folder" \
    "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
