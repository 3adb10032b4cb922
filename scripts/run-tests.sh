#!/usr/bin/env bash
# Runs the tests of a build directory, split over the processors, but for those that KNOWN-RED.txt lists. Seeds are
# fixed. Usage: scripts/run-tests.sh [BUILD_DIR]. Ends with "tests in DIR: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shards=$(nproc)
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd: -)
logs=$(mktemp -d)
export RC_PARAMS=${RC_PARAMS:-seed=1} GTEST_TOTAL_SHARDS=$shards
export TSAN_OPTIONS=${TSAN_OPTIONS:-suppressions=$PWD/tests/tsan.supp}

for ((i = 0; i < shards; i++)); do
  GTEST_SHARD_INDEX=$i "$build/ibisrock_tests" ${red:+--gtest_filter=-$red} >"$logs/$i" 2>&1 &
  pids[i]=$!
done

passed=0
failed=0
for ((i = 0; i < shards; i++)); do
  wait "${pids[i]}"
  status=$?
  ok=$(sed -n 's/^\[  PASSED  \] \([0-9]*\) tests\{0,1\}.*/\1/p' "$logs/$i")
  bad=$(grep -c '^\[  FAILED  \] .*(' "$logs/$i")
  # A crash or a finding of a sanitizer ends a run without a failed test.
  if [ "$status" -ne 0 ] && [ "$bad" -eq 0 ]; then
    bad=1
  fi
  if [ "$bad" -ne 0 ]; then
    echo "part $i of $shards, exit status $status:"
    grep -E -B 30 '^\[  FAILED  \]|SUMMARY|ERROR: ' "$logs/$i" | tail -n 120
    grep '^\[ RUN' "$logs/$i" | tail -n 1
  fi
  passed=$((passed + ${ok:-0}))
  failed=$((failed + bad))
done
rm -rf "$logs"
echo "tests in $build: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
