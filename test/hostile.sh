#!/usr/bin/env bash
# Sends malformed input to the ports of an entry and a pool: each must refuse or
# drop it, no process may exit, and other callers must still be served.
set -uo pipefail
cd "$(dirname "$0")/.."
export TOUCANMUX_INSTANCES=3 TOUCANMUX_DEMO_PORT=${TOUCANMUX_DEMO_PORT:-23100}
source support/fleet
trap fleet_stop EXIT
rm -rf out/hostile
fleet_layout out/hostile valle
fleet_start || { tail -n 5 out/hostile/*.log; exit 1; }
failed=0
caller_port=$(fleet_port 0 0)
key='Authorization: Bearer demo-key-1'

expect() {
  case $3 in
    *$2*) echo "ok: $1" ;;
    *) echo "FAILED: $1: expected $2, got $3"; failed=1 ;;
  esac
}
# send_raw PORT BYTES: sends BYTES over TCP and prints the reply.
send_raw() {
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return
  printf "$2" >&3
  timeout 2 cat <&3
  exec 3>&-
}
post() {
  curl -s -m 15 -o /dev/null -w '%{http_code}' -H "$key" "$@"
}

expect "input that is not HTTP" 'HTTP/1.1 400' "$(send_raw "$caller_port" 'noise\r\n\r\n')"
expect "a header that is too large" 'HTTP/1.1 431' \
  "$(send_raw "$caller_port" "POST /v1/x/read HTTP/1.1\r\nA: $(head -c 9000 /dev/zero | tr '\0' a)\r\n\r\n")"
head -c 1200000 /dev/zero | tr '\0' ' ' >out/hostile/large
expect "a body that is too large" 413 "$(post --data-binary @out/hostile/large \
  "http://127.0.0.1:$caller_port/v1/$service/write")"
expect "a field of the wrong type" 400 "$(post -d '{"sql":1}' "http://127.0.0.1:$caller_port/v1/$service/read")"
expect "an unknown field" 400 "$(post -d '{"sequel":"x"}' "http://127.0.0.1:$caller_port/v1/$service/read")"
expect "an unknown path" 404 "$(post -d '{}' "http://127.0.0.1:$caller_port/nothing")"
expect "an unsupported method" 405 "$(post -X PUT -d '{}' "http://127.0.0.1:$caller_port/v1/$service/read")"
expect "an invalid deadline" 400 "$(post -H 'Toucan-Deadline-Ms: soon' -d '{"sql":"select 1"}' \
  "http://127.0.0.1:$caller_port/v1/$service/read")"
expect "a truncated session token" 400 "$(post -H 'Toucan-Session: AQ' -d '{"sql":"select 1","shard":"1"}' \
  "http://127.0.0.1:$caller_port/v1/$service/read")"

# An incomplete request stays open while the requests below are served.
exec 4<>"/dev/tcp/127.0.0.1/$caller_port"
printf 'POST /v1/x/read HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf' >&4

for port in 1 4; do
  for _ in $(seq 50); do
    head -c 200 /dev/urandom >"/dev/udp/127.0.0.1/$(fleet_port 0 $port)"
  done
done
send_raw "$(fleet_port 0 5)" '\x00\x00\x00\x20\x07aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa' >/dev/null
send_raw "$(fleet_port 0 5)" '\xff\xff\xff\xff\x01aaaaaaaaaaaaaaaa' >/dev/null
send_raw "$(fleet_port 0 5)" '\x00\x00\x00\x10\x01aaaaaaaaaaaaaaaa' >/dev/null

# Another program's entries in the platform's list, which every process reads
# within 10 s of its start or of the last time.
odd=0
deep=$(printf '[%.0s' $(seq 60000))
for value in 7 '{"id":7}' '{"id":"x","control_port":70000,"leaving":"yes"}' \
  '{"id":"x","address":[],"service_port":-1}' '{"id":"\\udc80"}' \
  '{"incarnation":1e999}' "$deep"; do
  odd=$((odd + 1))
  code=$(curl -s -o /dev/null -w '%{http_code}' -X PUT -H 'If-Match: 0' \
    -d "$value" "http://127.0.0.1:$(fleet_platform_port)/v1/objects/instances/odd-$odd")
  expect "the platform takes odd instance $odd" 200 "$code"
done
sleep 12

for i in 0 1 2; do
  expect "instance $i still serves" 200 "$(post -d '{"sql":"select 1","shard":"1"}' \
    "http://127.0.0.1:$(fleet_port "$i" 0)/v1/$service/read")"
done
for pid in "${fleet_pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || { echo "FAILED: process $pid exited"; failed=1; }
done
dropped=$(curl -s "http://127.0.0.1:$(fleet_port 0 6)/metrics" |
  sed -n 's/^toucanmux_control_dropped_datagrams \([0-9]*\).*/\1/p')
expect "malformed datagrams at the control port are counted" yes \
  "$([ "${dropped:-0}" -ge 1 ] && echo yes)"
exec 4>&-
exit $failed
