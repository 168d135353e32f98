#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/galenastair-standin ./cmd/galenastair-standin
(cd review/stand2 && go build -o ../../target/stand2 .)
