#!/bin/sh
# Builds the stand-ins of the cases; no network, no dependency.
set -e
cd "$(dirname "$0")/platform"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off go build -o ../bin/standin .
