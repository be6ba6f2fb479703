#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10 into target/review-2/.
# It needs only packages that the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra review/standin-2/stage.cc \
    -o target/review-2/stage -pthread
