#!/usr/bin/env bash
# End-to-end test with real processes: curl sends statements through an entry
# and a pool to a database and checks the answers.
set -uo pipefail
cd "$(dirname "$0")/.."
export TOUCANMUX_INSTANCES=3 TOUCANMUX_DEMO_PORT=${TOUCANMUX_DEMO_PORT:-22000}
source support/fleet
trap fleet_stop EXIT
rm -rf out/path
fleet_layout out/path valle
fleet_start || { tail -n 5 out/path/*.log; exit 1; }
failed=0
key='Authorization: Bearer demo-key-1'

# call INSTANCE PATH BODY [CURL-OPTION...]: prints the body and status of the
# answer; its headers go to out/path/headers.
call() {
  local instance=$1 path=$2 body=$3
  shift 3
  curl -s -m 10 -D out/path/headers -w ' %{http_code}' "$@" -d "$body" \
    "http://127.0.0.1:$(fleet_port "$instance" 0)/v1/$path"
}
expect() {
  local description=$1 expected=$2 actual=$3
  case $actual in
    *$expected*) echo "ok: $description" ;;
    *) echo "FAILED: $description: expected $expected, got $actual"; failed=1 ;;
  esac
}
session_header() { sed -n 's/^Toucan-Session: *\([^\r]*\).*/Toucan-Session: \1/p' out/path/headers; }

expect "a table is created" '"outcome":"done"' "$(call 0 $service/write \
  '{"sql":"create table notes (a text)","shard":"1"}' -H "$key")"
expect "a write is acknowledged" '"INSERT 0 1"' "$(call 0 $service/write \
  '{"sql":"insert into notes values ($1)","params":["x"],"shard":"1"}' -H "$key")"
token=$(session_header)
for instance in 0 1 2; do
  expect "the session reads its write at instance $instance" '[["x"]]' \
    "$(call $instance $service/read '{"sql":"select a from notes","shard":"1"}' \
      -H "$key" -H "$token")"
done
expect "an unknown key is refused" '"key_refused","outcome":"not_run"' \
  "$(call 0 $service/read '{"sql":"select 1","shard":"1"}' -H 'Authorization: Bearer no')"
expect "a missing key is refused on a route that is not open" ' 401' \
  "$(call 0 $service/write '{"sql":"select 1","shard":"1"}')"
expect "an open route needs no key" '"outcome":"done"' \
  "$(call 0 $service/read '{"sql":"select 1","shard":"1"}')"
expect "an unknown service is refused" ' 400' \
  "$(call 0 nothing/read '{"sql":"select 1"}' -H "$key")"
expect "a forged session token is refused" ' 400' "$(call 0 $service/read \
  '{"sql":"select 1","shard":"1"}' -H "$key" -H 'Toucan-Session: AQEAAAAA')"
expect "broken JSON is refused" ' 400' "$(call 0 $service/read '{"sql' -H "$key")"
expect "a statement with a syntax error fails" '"sql_state":"42601"' "$(call 0 $service/read \
  '{"sql":"sel","shard":"1"}' -H "$key")"
expect "a write on the read route fails" '"failed"' "$(call 0 $service/read \
  '{"sql":"insert into notes values (1)","shard":"1"}' -H "$key")"
expect "status shows every process" '"id":"sur-1/pool"' "$(fleet_ctl status)"
expect "the timeline has events of every process" 'norte-1/entry started' \
  "$(fleet_ctl timeline started)"
expect "metrics count statements" 'toucanmux_statements_total{outcome="done"' \
  "$(curl -s "http://127.0.0.1:$(fleet_port 0 3)/metrics")"
exit $failed
