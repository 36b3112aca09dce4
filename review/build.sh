#!/usr/bin/env bash
# Builds the program that plays the cases: stand-ins of the platform's store, the runners and the consumers, and the checks.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../target/review ./standin
