#!/usr/bin/env bash
# Configures and builds everything into build/ (or BUILD_DIR).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Paths relative to the tree let checkouts in different folders share the cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" "$@"
