#!/usr/bin/env bash
# Injects faults into real processes while toucanmux-load records and checks its
# history: a pool and an entry are killed, an entry is paused and resumed, the
# platform goes down and loses answers, a replica lags, and a primary is
# partitioned from the other databases. No guarantee may be violated; latency is
# not checked.
set -uo pipefail
cd "$(dirname "$0")/.."
export TOUCANMUX_INSTANCES=6 TOUCANMUX_DEMO_PORT=${TOUCANMUX_DEMO_PORT:-22800}
export TOUCANMUX_LOG=warning
source support/fleet
trap fleet_stop EXIT
rm -rf out/faults
fleet_layout out/faults valle
fleet_start || { tail -n 5 out/faults/*.log; exit 1; }

load_settings() {
  printf 'service = "%s"\ntime_ms = 16000\nseed = %s\n' "$service" \
    "${TOUCANMUX_SEED:-1}"
  for ((i = 0; i < instances; i++)); do
    printf '\n[[targets]]\naddress = "127.0.0.1"\nport = %s\n' \
      "$(fleet_port "$i" 0)"
  done
  for n in 1 2 3; do
    rate=60 burst=40
    [ $n -le 2 ] && rate=400 burst=200
    printf '\n[[teams]]\nid = "team-%s"\nkey = "demo-key-%s"\n' $n $n
    printf 'rate = %s\nburst = %s\noffered = 120\n' $rate $burst
  done
}
load_settings >out/faults/load.toml

process_id() { cat "out/faults/$1.pid"; }
inject_database_fault() {
  curl -sf -o /dev/null -d "{\"database\":\"$service-$1\",\"fault\":\"$2\"${3:-}}" \
    "http://127.0.0.1:$(fleet_control_port "${1%%-*}")/fault"
}
set_platform_mode() {
  curl -sf -o /dev/null -X POST \
    "http://127.0.0.1:$(fleet_platform_port)/fault?mode=$1"
}

inject_faults() {
  sleep 2
  kill -KILL "$(process_id pool-0)"
  sleep 1
  kill -STOP "$(process_id entry-1)"
  inject_database_fault 1-2 lag ',"ms":300'
  sleep 2
  kill -CONT "$(process_id entry-1)"
  set_platform_mode down
  kill -KILL "$(process_id entry-2)"
  sleep 2
  set_platform_mode lose_answers
  inject_database_fault 2-1 cut
  sleep 3
  set_platform_mode ok
  sleep 2
  inject_database_fault 2-1 heal
  inject_database_fault 1-2 lag ',"ms":5'
}

inject_faults &
faults_pid=$!
build/toucanmux-load --settings out/faults/load.toml \
  --report out/faults/report.json
exit_code=$?
wait "$faults_pid"
exit $exit_code
