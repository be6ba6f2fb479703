#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case could
# not run. TROUBLE=0 leaves the crashes out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/magnolia-entry ] && [ -x target/review-3/returning_replica ] || exit 2
timeout -k 5 110 target/review-3/returning_replica review/11/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
