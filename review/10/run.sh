#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-2 ] && [ -x target/tamaracktiller ] || exit 2
target/review-stand-2 late review/10/record.txt
