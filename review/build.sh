#!/bin/sh
# Builds the stand-ins of the cases that are scripts. The program under test is built by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/harness"
go build -buildvcs=false -o ../bin/harness .
