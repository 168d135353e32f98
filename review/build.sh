#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../bin
go build -o ../bin/harness .
