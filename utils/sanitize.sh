#!/usr/bin/env bash
# Runs tests under the address and undefined-behaviour sanitizers:
#   utils/sanitize.sh                    all unit tests and soak seeds 1 to 50
#   utils/sanitize.sh FIRST LAST [JOBS]  the same with these seeds
#   utils/sanitize.sh --short            for CI: the unit tests of the sessions
#                                        and statements, and two short seeds
# Environment: BUILD_DIR (default build-sanitize), BUILD_JOBS (default as
# ninja), and those of utils/soak.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=${BUILD_DIR:-build-sanitize}
export CMAKE_OPTIONS=-DMAGNOLIASTACK_SANITIZE=ON
# Processes of the tests are killed while they hold memory, so leaks are not
# looked for.
export ASAN_OPTIONS=detect_leaks=0:abort_on_error=0
export UBSAN_OPTIONS=print_stacktrace=1
jobs=${BUILD_JOBS:+-j$BUILD_JOBS}
if [ "${1:-}" = --short ]; then
    # shellcheck disable=SC2086
    utils/build.sh $jobs --target entry_test magnolia-entry soak
    "$BUILD_DIR"/unittests/entry/entry_test --jobs 2
    SECONDS_OF_FAULTS=${SECONDS_OF_FAULTS:-12} utils/soak.sh 1 2
    exit 0
fi
# shellcheck disable=SC2086
utils/build.sh $jobs
code=0
ctest --test-dir "$BUILD_DIR" --output-on-failure --no-tests=error \
    -R '^unit\.' -j 2 || code=1
utils/soak.sh "${1:-1}" "${2:-50}" "${3:-2}" || code=1
exit "$code"
