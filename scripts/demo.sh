#!/usr/bin/env bash
# Builds, starts two partners' installation, confirms their intents, sends calls
# and ends everything. The last line is the result as JSON.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/installation.sh
trap stop_installation EXIT

mkdir -p bin
CGO_ENABLED=1 go build -o bin/ ./cmd/... || exit 1
start_installation run/demo 4 8 2 8 || exit 1
confirm_intents || exit 1
as exchange status
bin/tamarackbench load --workload run/demo/workload.json $(caller_flags) --rate 800 --calls 8000 \
  --direct 127.0.2.1:7400 --direct 127.0.2.2:7400 --direct-share 100 --journals run/demo/runs >run/demo/result
verdict=$?
as exchange report
cat run/demo/result
exit $verdict
