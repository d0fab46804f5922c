#!/usr/bin/env bash
# The example settings must pass --check. An invalid setting must be refused
# with exit code 3 before any port is opened, and the message must name the file,
# the line and the remedy.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=out/settings
mkdir -p "$dir"
failed=0
for program in entry pool load; do
  build/toucanmux-$program --check --settings docs/examples/$program.toml ||
    { echo "FAILED: docs/examples/$program.toml"; failed=1; }
done

# expect_refused DESCRIPTION SED-SCRIPT PATTERN: applies SED-SCRIPT to the example
# settings of the entry and expects them to be refused with a message like PATTERN.
expect_refused() {
  sed "$2" docs/examples/entry.toml >"$dir/entry.toml"
  local output exit_code
  output=$(build/toucanmux-entry --settings "$dir/entry.toml" 2>&1)
  exit_code=$?
  if [ $exit_code -eq 3 ] && grep -qE "$3" <<<"$output"; then
    echo "ok: $1"
  else
    echo "FAILED: $1: exit code $exit_code, output: $output"
    failed=1
  fi
}
expect_refused "an unknown setting" 's/^log_level.*/log_levle = "info"/' \
  'entry.toml:[0-9]+: process.log_levle: no such setting'
expect_refused "a wrong type" 's/^admin_port = .*/admin_port = "x"/' \
  'entry.toml:[0-9]+: process.admin_port: write a whole number'
expect_refused "a value out of range" 's/^admin_port = .*/admin_port = 70000/' \
  'from 0 to 65535'
expect_refused "a missing setting" '/^admin_port/d' 'process.admin_port: add it'
expect_refused "a host name in place of an IP address" 's/^address = .*/address = "localhost"/' 'write an IP address'
expect_refused "broken TOML" 's/^admin_port = .*/admin_port = /' 'entry.toml:[0-9]+:'
expect_refused "an unknown log level" 's/^log_level.*/log_level = "loud"/' \
  'entry.toml:[0-9]+: process.log_level: write one of'
expect_refused "a short session key" 's/^session_key.*/session_key = "short"/' \
  'entry.toml:[0-9]+: callers.session_key: write at least 16 bytes'
output=$(build/toucanmux-entry --settings "$dir/none.toml" 2>&1)
[ $? -eq 3 ] || { echo "FAILED: a missing file: $output"; failed=1; }
build/toucanmux-entry --no-such-option 2>/dev/null
[ $? -eq 2 ] || { echo "FAILED: an unknown option"; failed=1; }
exit $failed
