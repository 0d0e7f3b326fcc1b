#!/usr/bin/env bash
# Runs the case of this folder once. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamaracktiller ] && [ -x target/review-stand ] || { echo "build first"; exit 2; }
RUN="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)" CASE_DIR=review/4 exec target/review-stand old-beat
