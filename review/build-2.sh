#!/usr/bin/env bash
# Builds the scenarios of the cases 4 to 8 with their stand-ins into
# target/review-2. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I . -pthread)
objects=()
for source in review/stand_in_2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
shopt -s nullglob
for source in review/[4-8]/scenario.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json \
    -o "$out/case-$number"
done
