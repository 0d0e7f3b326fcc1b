#!/usr/bin/env bash
# Plays the case and writes record.txt. Needs the build of the deploy file and review/build-3.sh.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/tamaracktiller ] && [ -x target/review3/stand3 ] || { echo "not built" >&2; exit 2; }
exec target/review3/stand3 -record review/15/record.txt -trouble="$trouble" pipelined-give-up
