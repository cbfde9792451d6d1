#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
