#!/usr/bin/env bash
# Stops an entry while a caller has an open transaction, after a SIGHUP that must
# not end it: the transaction must be able to commit over its connection, which
# must end then, and a transaction that stays open must not delay the stop
# forever.
set -uo pipefail
cd "$(dirname "$0")/.."
export TOUCANMUX_INSTANCES=3 TOUCANMUX_DEMO_PORT=${TOUCANMUX_DEMO_PORT:-23400}
source support/fleet
trap fleet_stop EXIT
trap '' PIPE
rm -rf out/stop
fleet_layout out/stop valle
fleet_start || { tail -n 5 out/stop/*.log; exit 1; }
failed=0
caller_port=$(fleet_port 0 0)
entry=$(cat out/stop/entry-0.pid)
key='Authorization: Bearer demo-key-1'

expect() {
  case $3 in
    *$2*) echo "ok: $1" ;;
    *) echo "FAILED: $1: expected $2, got $3"; failed=1 ;;
  esac
}
# post PATH BODY: sends a request over descriptor 3 and prints the answer's
# status line, and its body on the last line.
post() {
  printf 'POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$key" ${#2} "$2" >&3
  local line length=0
  while IFS= read -r -t 10 line <&3; do
    line=${line%$'\r'}
    case $line in
      HTTP/*) printf '%s ' "$line" ;;
      Content-Length:*) length=${line#*: } ;;
      '') break ;;
    esac
  done
  [ "$length" -eq 0 ] || IFS= read -r -t 10 -N "$length" line <&3
  echo "$line"
}
transaction_of() { sed -nE 's/.*"transaction":"?([0-9]+).*/\1/p' <<<"$1"; }

exec 3<>"/dev/tcp/127.0.0.1/$caller_port"
begun=$(post "/v1/$service/begin" '{"shard":"1"}')
expect "a transaction begins" "200" "$begun"
number=$(transaction_of "$begun")
kill -HUP "$entry"
kill -TERM "$entry"
# New work ends after 3 s; the database's own limit for idle transactions is 5 s.
sleep 2
expect "a statement before the end of new work" "200" \
  "$(post "/v1/transactions/$number/run" '{"sql":"select 1"}')"
sleep 2
expect "a statement after the end of new work" "200" \
  "$(post "/v1/transactions/$number/run" '{"sql":"select 2"}')"
expect "the commit" "200" "$(post "/v1/transactions/$number/commit" '')"
expect "the connection ends with the transaction" ended \
  "$(timeout 5 cat <&3 && echo ended)"
exec 3>&-
for _ in $(seq 100); do
  kill -0 "$entry" 2>/dev/null || break
  sleep 0.1
done
kill -0 "$entry" 2>/dev/null && { echo "FAILED: the entry runs on"; failed=1; }

caller_port=$(fleet_port 1 0)
entry=$(cat out/stop/entry-1.pid)
exec 3<>"/dev/tcp/127.0.0.1/$caller_port"
begun=$(post "/v1/$service/begin" '{"shard":"1"}')
number=$(transaction_of "$begun")
kill -TERM "$entry"
ended=0
for _ in $(seq 40); do
  post "/v1/transactions/$number/run" '{"sql":"select 1"}' >/dev/null
  kill -0 "$entry" 2>/dev/null || { ended=1; break; }
  sleep 0.5
done
expect "an endless transaction does not keep the entry" 1 "$ended"
exit $failed
