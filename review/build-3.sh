#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, from the repository's root, after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -o target/review/standin3 ./review/_standin3
go build -o target/standin2 ./review/_standin2
