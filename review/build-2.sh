#!/bin/sh
# Builds the stand-ins of the second review. The system itself is built by the line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin2 ./review/_standin2
