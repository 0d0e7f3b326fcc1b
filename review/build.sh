#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases. The hosts are built by the deploy file.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOFLAGS= GOWORK=off go build -o ../../target/review-stand .
