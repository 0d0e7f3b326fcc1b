#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
set -eu
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOFLAGS= GOWORK=off go build -o ../../target/review-stand-2 .
