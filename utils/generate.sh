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
for schema in peer fleet forwarding; do
    capnp compile -I /usr/include -oc++:generated "magnoliastack/$schema.capnp"
    mv "generated/magnoliastack/$schema.capnp.c++" \
        "generated/magnoliastack/$schema.capnp.cpp"
done
