#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, runs all tests.
set -eu
cd "$(dirname "$0")/.."
utils/install_packages.sh
utils/build.sh
utils/lint.sh
utils/words.sh
if [ -e KNOWN-RED.txt ]; then
    echo "known failures:"
    cat KNOWN-RED.txt
fi
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure --no-tests=error \
    -j "$(($(nproc) / 2 > 0 ? $(nproc) / 2 : 1))"
# Again, for what the tests have left.
utils/words.sh
