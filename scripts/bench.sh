#!/usr/bin/env bash
# The measurements that the pages quote. Usage: scripts/bench.sh [PART...]
#
#   hop       added latency and CPU time per call, at four rates
#   keyed     the same for keyed writes against plain ones
#   policies  the shapes of a call under virtual time (seed 42)
#   fleet     the control side at 4 to 256 hosts under virtual time (seed 7)
#   inforce   16 real balancers: bytes, CPU, store calls, time to in force
#   state     memory and time of configurations and keys
#   failures  kill, freeze, drain and outage under load
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/installation.sh
trap stop_installation EXIT

cpu_seconds() { # of all balancers
  local n
  for n in $(seq "$balancers"); do curl -fs "http://127.0.1.$n:7304/metrics"; done |
    awk '/^process_cpu_seconds_total/ {s += $2} END {print s}'
}

run_at() { # run_at RATE CALLS WORKLOAD
  local before after
  before=$(cpu_seconds)
  bin/tamarackbench load --workload "$3" $(caller_flags) --rate "$1" --calls "$2" --seed "$1" \
    --direct 127.0.2.1:7400 --direct 127.0.2.2:7400 --direct-share 100 --journals "$dir/runs" >"$dir/result" || return 1
  after=$(cpu_seconds)
  tail -1 "$dir/result" | sed 's/[{}"]//g' | tr ',' '\n' | awk -F: -v rate="$1" -v cpu="$(echo "$after $before" | awk '{print $1-$2}')" '
    {v[$1]=$2}
    END {printf "rate %5d/s: overhead p50 %.2f p99 %.2f ms, direct p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms, CPU %.0f us per call, not-run %d, unknown %d, wrong %d\n",
      rate, v["overhead-p50-ms"], v["overhead-p99-ms"], v["direct-overhead-p50-ms"], v["direct-overhead-p99-ms"],
      v["p50-added-ms"], v["p99-added-ms"], 1e6*cpu/v["calls"], v["not-run"], v["unknown"], v["wrong-answers"]}'
}

hop() {
  start_installation run/hop 4 8 2 16 >/dev/null 2>&1 && confirm_intents >/dev/null 2>&1 || return 1
  bin/tamarackbench load --workload run/hop/workload.json $(caller_flags) --rate 400 --calls 1200 >/dev/null
  local rate
  for rate in 200 400 800 1600; do run_at "$rate" $((rate * 6)) run/hop/workload.json; done
  stop_installation
}

keyed() {
  start_installation run/keyed 6 12 3 16 >/dev/null 2>&1 && confirm_intents >/dev/null 2>&1 || return 1
  local kind rate
  for kind in keyed plain; do
    {
      echo '{"kinds": [{"host": "booking.test", "method": "POST", "path": "/book", "weight": 1, "work": "2ms",'
      [ "$kind" = keyed ] && echo '"keyed": true,'
      echo '"body-bytes": 300, "answer-bytes": 200, "once": true}]}'
    } >"run/keyed/$kind.json"
    bin/tamarackbench load --workload "run/keyed/$kind.json" $(caller_flags) --rate 200 --calls 400 >/dev/null
    for rate in 200 400 800; do
      echo -n "$kind "
      run_at "$rate" $((rate * 5)) "run/keyed/$kind.json"
    done
  done
  stop_installation
}

sum_metric() { # sum_metric PATTERN: over all balancers
  local n
  for n in $(seq "$balancers"); do curl -fs "http://127.0.1.$n:7304/metrics"; done |
    awk -v pattern="$1" '$0 ~ pattern {s += $2} END {printf "%.3f\n", s}'
}

inforce() {
  start_installation run/inforce 16 8 4 8 >/dev/null 2>&1 && confirm_intents >/dev/null 2>&1 || return 1
  sleep 3
  local bytes cpu calls n seconds=20
  bytes=$(sum_metric '^tamarack_link_bytes_total.*out') cpu=$(cpu_seconds) calls=$(sum_metric '^tamarack_store_calls_total')
  sleep "$seconds"
  echo "$(sum_metric '^tamarack_link_bytes_total.*out') $bytes $(cpu_seconds) $cpu $(sum_metric '^tamarack_store_calls_total') $calls" |
    awk -v h="$balancers" -v s="$seconds" '{printf "idle: %.0f bytes of frames sent per host and s, %.2f%% of a core per host, %.1f store calls per s\n", ($1-$2)/h/s, 100*($3-$4)/h/s, ($5-$6)/s}'
  for n in $(seq 20); do
    echo "{\"partner\": \"exchange\", \"reason\": \"measure\", \"budgets\": [{\"pool\": \"booking\", \"offers-per-thousand\": $n}]}" >run/inforce/change.json
    as exchange intent run/inforce/change.json >run/inforce/change.plan || return 1
    as exchange confirm "$(plan_id run/inforce/change.plan)" >/dev/null || return 1
    sleep 1
    as exchange status --json | awk -F'"' '
      /"in-force-since"/ {since[n++] = $4} /"unix-milli"/ {split($0, p, ": "); last = p[2] + 0}
      END {for (i = 0; i < n; i++) {split(since[i], t, /[T:Z]/); day = t[2]*3600 + t[3]*60 + t[4]; ms = (day - (last/1000) % 86400) * 1000; print ms}}'
  done | sort -n | awk '{v[NR] = $1} END {printf "in force on %d host-changes: p50 %.0f ms, worst %.0f ms after the confirmation\n", NR, v[int(NR/2)+1], v[NR]}'
  stop_installation
}

figures() { grep -E '^Benchmark' | sed 's/^Benchmark//; s/ns\/op//'; }

policies() { go test ./internal/traffic/route -run NONE -bench Policies -benchtime 1x -timeout 30m | figures; }
fleet() { go test ./internal/fleet/controller -run NONE -bench Fleet -benchtime 1x | figures; }
state() { go test ./internal/fleet/revision ./internal/traffic/ledger -run NONE -bench 'Holder|Keys' -benchtime 20x | figures; }
failures() {
  local s
  for s in kill freeze drain outage; do scripts/failures.sh "$s" 2>/dev/null | grep -v '^{'; done
}

[ $# -gt 0 ] || set -- hop keyed inforce state fleet failures policies
for part in "$@"; do
  echo "== $part"
  "$part"
done
