#!/usr/bin/env bash
# Configures and builds everything into build/ (or BUILD_DIR). Environment:
# CMAKE_OPTIONS (more options for the configuration).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Paths relative to the tree let checkouts in different folders share the cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
# shellcheck disable=SC2086
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    ${CMAKE_OPTIONS:-} >/dev/null
cmake --build "$build" "$@"
