#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
out=$PWD/target/review-standin2
mkdir -p target
cd review/standin2
GOWORK=off go build -o "$out" .
