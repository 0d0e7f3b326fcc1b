# Starts and ends a small installation on loopback addresses. Other scripts
# source this file. Every process is ended by its id.
#
#   start_installation DIR BALANCERS TARGETS DOMAINS SLOTS
#   confirm_intents
#   stop_installation

pids=()
declare -A pid_of

launch() { # launch NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/log/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}

stop_installation() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}

wait_for() { # wait_for SECONDS COMMAND...
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || { echo "gave up waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

start_target() { # start_target N
  launch "target-$1" bin/tamarackbench target --name "target-$1" --listen "127.0.2.$1:7400" --slots "$slots" \
    --journal "$dir/runs/target-$1.runs"
}

start_balancer() { # start_balancer N
  launch "balancer-$1" bin/tamaracktiller balancer "$dir/balancer-$1.json"
}

start_installation() {
  dir=$1 balancers=$2 targets=$3 domains=$4 slots=$5
  rm -rf "$dir"
  bin/tamarackbench layout "$dir" --balancers "$balancers" --targets "$targets" --domains "$domains" --slots "$slots" || return 1
  launch platform bin/tamarackbench platform
  wait_for 10 curl -fs http://127.0.0.1:7500/v1/hosts || return 1
  curl -fs -X PUT --data-binary "@$dir/hosts.json" http://127.0.0.1:7500/v1/hosts || return 1
  local n
  for n in $(seq "$targets"); do start_target "$n"; done
  for n in $(seq "$balancers"); do start_balancer "$n"; done
  for n in $(seq "$balancers"); do wait_for 10 curl -fs "http://127.0.1.$n:7304/healthz" || return 1; done
}

as() { # as PARTNER COMMAND ARGUMENTS...: an operator's command
  local partner=$1 command=$2
  shift 2
  bin/tamaracktiller "$command" --server 127.0.1.1:7303 --operator "$partner/ana" \
    --secret-file "$dir/$partner.secret" --authority "$dir/authority.pem" "$@"
}

plan_id() { sed -n 's/^plan \([^ ]*\) by.*/\1/p' "$1"; }

confirm_intents() {
  local plan
  as exchange intent "$dir/exchange.intent.json" | tee "$dir/exchange.plan" || return 1
  as exchange confirm "$(plan_id "$dir/exchange.plan")" || return 1
  as bitacora intent "$dir/bitacora.intent.json" | tee "$dir/bitacora.plan" || return 1
  plan=$(plan_id "$dir/bitacora.plan")
  as bitacora confirm "$plan"
  [ $? -eq 3 ] || { echo "a plan that was not shown must be refused" >&2; return 1; }
  as exchange plan "$plan" >/dev/null || return 1
  as bitacora confirm "$plan" || return 1
  local n
  for n in $(seq "$balancers"); do
    wait_for 10 curl -fs "http://127.0.1.$n:7304/readyz" || return 1
    wait_for 10 has_revision "$n" 2 || return 1
  done
}

has_revision() { # has_revision BALANCER REVISION
  curl -fs "http://127.0.1.$1:7304/metrics" | grep -q "^tamarack_revision $2$"
}

caller_flags() { local n; for n in $(seq "$balancers"); do echo "--balancer=127.0.1.$n:7301"; done; }
