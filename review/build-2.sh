#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2. It needs no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins-2/platform"
mkdir -p ../../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../../target/review-2/standins2 .
