#!/usr/bin/env bash
# Builds the stand-ins and scenarios of all cases into build-review/. Needs g++ and nlohmann-json, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
export FLAGS="-std=c++20 -O1 -Wall -Wextra"
printf '%s\n' review/standin/*.cpp |
  xargs -P 8 -I{} sh -c 'g++ $FLAGS -c {} -o "build-review/$(basename {} .cpp).o"'
printf '%s\n' review/*/scenario.cpp |
  xargs -P 8 -I{} sh -c 'g++ $FLAGS {} build-review/*.o -pthread -o "build-review/case-$(basename "$(dirname {})")"'
