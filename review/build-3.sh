#!/bin/sh
# Builds the stand-ins of the third review into target/. They use Go's standard library only.
set -e
cd "$(dirname "$0")/standins-3/platform"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/review-3 .
