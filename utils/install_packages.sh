#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing when all are
# there.
set -eu
packages=(
    build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy
    libabsl-dev capnproto libcapnp-dev libboost-dev libboost-log-dev
    libcli11-dev libexpected-dev libcriterion-dev libgrpc++-dev libgrpc-dev
    libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
    libinih-dev libpugixml-dev libssl-dev libxxhash-dev
    nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q \
    --no-install-recommends "${missing[@]}"
