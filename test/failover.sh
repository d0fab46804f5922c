#!/usr/bin/env bash
# Failover with real processes: the primary of each database group is killed,
# and a caller that retries must get a write through to the new primary.
# Writes acknowledged before the failover must still be readable.
set -uo pipefail
cd "$(dirname "$0")/.."
export TOUCANMUX_INSTANCES=3 TOUCANMUX_DEMO_PORT=${TOUCANMUX_DEMO_PORT:-22500}
source support/fleet
trap fleet_stop EXIT
rm -rf out/failover
fleet_layout out/failover valle
fleet_start || { tail -n 5 out/failover/*.log; exit 1; }
key='Authorization: Bearer demo-key-1'

call() {
  curl -s -m 10 -d "$2" -H "$key" \
    "http://127.0.0.1:$(fleet_port 1 0)/v1/$service/$1"
}
# retry_until_done TRIES ROUTE BODY: repeats the call until its outcome is done.
retry_until_done() {
  local answer
  for ((i = 0; i < $1; ++i)); do
    answer=$(call "$2" "$3")
    case $answer in *'"outcome":"done"'*) echo "$answer"; return 0 ;; esac
    sleep 0.1
  done
  echo "not done after $1 tries; last answer: $answer"
  return 1
}
write() {
  retry_until_done 200 write \
    "{\"sql\":\"$1\",\"shard\":\"1\"}" || exit 1
}

write "create table notes (a text)"
write "insert into notes values ('before')"
for g in 0 1 2; do
  curl -s -d "{\"database\":\"$service-$g-1\",\"fault\":\"kill\"}" \
    "http://127.0.0.1:$(fleet_control_port $g)/fault"
done
start=$(date +%s%N)
write "insert into notes values ('after')"
echo "write outage: $((($(date +%s%N) - start) / 1000000)) ms"
retry_until_done 50 read '{"sql":"select a from notes","shard":"1"}'
