#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs Go only, and no module from elsewhere.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/review-2/standins .
