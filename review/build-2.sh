#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -C review/stand2 -o ../../target/review-stand-2 .
