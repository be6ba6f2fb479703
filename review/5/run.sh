#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/review-standin ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 110 target/review/review-standin line-feed \
    "$here/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
