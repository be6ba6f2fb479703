#!/usr/bin/env bash
# Regenerates the code below proto/generated from the schemas. The result is
# committed, so that a build needs no generator.
set -eu
cd "$(dirname "$0")/../proto"
rm -rf generated
mkdir -p generated
protoc -I . --cpp_out=generated \
    --grpc_out=generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
    magnoliastack/v1/*.proto
capnp compile -I /usr/include -oc++:generated magnoliastack/peer.capnp
mv generated/magnoliastack/peer.capnp.c++ generated/magnoliastack/peer.capnp.cpp
