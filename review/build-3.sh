#!/usr/bin/env bash
# Builds the program that plays the cases of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/ ./review/stand3
