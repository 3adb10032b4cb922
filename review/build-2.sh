#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into build-review-2, which git ignores.
set -euo pipefail
cd "$(dirname "$0")"
out=../build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Istandin-2)
objects=()
for source in standin-2/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for source in [6-9]/*.cpp 10/*.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/$(basename "$source" .cpp)"
done
