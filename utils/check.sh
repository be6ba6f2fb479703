#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install_packages.sh
utils/build.sh
utils/lint.sh
utils/words.sh
if [ -e KNOWN-RED.txt ]; then
    echo "known failures:"
    cat KNOWN-RED.txt
fi
build=${BUILD_DIR:-build}
jobs=$(($(nproc) / 2 > 0 ? $(nproc) / 2 : 1))
if ! ctest --test-dir "$build" --output-on-failure --no-tests=error \
    -j "$jobs" 2>&1 | tee "$build/ctest.log"; then
    # Only test cases listed as known failures are passed over: every failed
    # program has to name its failed cases, and each has to be listed.
    programs=$(grep -cE '\*\*\*(Failed|Timeout|Exception|Not Run)' \
        "$build/ctest.log" || true)
    summaries=$(grep -cE 'Synthesis: .*(Failing: [1-9]|Crashing: [1-9])' \
        "$build/ctest.log" || true)
    [ -e KNOWN-RED.txt ] && [ "$programs" -gt 0 ] &&
        [ "$programs" -eq "$summaries" ] || exit 1
    while read -r name; do
        grep -qF "$name | " KNOWN-RED.txt || exit 1
        echo "known failure, passed over: $name"
    done < <(grep -oE '\[FAIL\] [a-z_0-9]+::[a-z_0-9]+' "$build/ctest.log" |
        cut -d' ' -f2)
fi
utils/sanitize.sh --short
# Again, for what the tests have left.
utils/words.sh
