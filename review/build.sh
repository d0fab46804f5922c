#!/usr/bin/env bash
# Builds the stand-ins of the cases, in target/review/. Run after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$name" "$source"
done
