#!/bin/sh
# Regenerate the committed code of the operators' schema; needs grpcio-tools.
set -eu
cd "$(dirname "$0")/../src"
python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
    leadseam/schema/operator.proto
