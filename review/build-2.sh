#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 and later into
# target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=(review/standin-2/*.cc)
objects=()
pids=()
for source in "${common[@]}"; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" "${objects[@]}" \
    -o "$out/case-$number"
done
