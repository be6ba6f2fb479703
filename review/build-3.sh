#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cc; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o \
        "target/review-3/$(basename "$source" .cc)" "$source" -lpthread
done
