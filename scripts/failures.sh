#!/usr/bin/env bash
# Sends calls while processes are killed, frozen or cut off, and checks that no
# promise to callers is broken. Usage: scripts/failures.sh SCENARIO [LOAD FLAGS...]
#
#   kill      a balancer and a target are killed with SIGKILL
#   freeze    a balancer is stopped for three seconds, then continued
#   drain     a balancer is shut down and a target drains; nothing may be cut off
#   outage    the configuration store is down, and two balancers restart
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/installation.sh
trap stop_installation EXIT

scenario=$1
shift
start_installation "run/$scenario" 6 12 3 8 || exit 1
confirm_intents >/dev/null || exit 1
bin/tamarackbench load --workload "run/$scenario/workload.json" $(caller_flags) --rate 800 --calls 8000 \
  --retries 3 --journals "run/$scenario/runs" "$@" >"run/$scenario/result" &
load=$!
sleep 2

case "$scenario" in
  kill)
    kill -KILL "${pid_of[balancer-2]}"
    sleep 2
    kill -KILL "${pid_of[target-1]}"
    ;;
  freeze)
    kill -STOP "${pid_of[balancer-2]}"
    sleep 3
    kill -CONT "${pid_of[balancer-2]}"
    ;;
  drain)
    kill -TERM "${pid_of[balancer-2]}"
    sleep 1
    curl -fs -X POST http://127.0.2.1:7400/-/drain
    ;;
  outage)
    curl -fs -X PUT -d '{"down":true}' http://127.0.0.1:7500/v1/faults
    sleep 1
    for n in 2 3; do
      kill -TERM "${pid_of[balancer-$n]}"
      wait "${pid_of[balancer-$n]}"
      start_balancer "$n"
    done
    as exchange intent "run/$scenario/exchange.intent.json"
    echo "intent during the outage: exit code $?"
    for n in 2 3; do wait_for 10 curl -fs "http://127.0.1.$n:7304/readyz" || exit 1; done
    ;;
  *)
    echo "unknown scenario: $scenario" >&2
    exit 2
    ;;
esac
wait "$load"
verdict=$?
echo "scenario $scenario:"
grep -v 'calls have ended' "run/$scenario/result"
exit $verdict
