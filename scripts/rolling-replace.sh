#!/usr/bin/env bash
# Replaces all 7 instances one after another by SIGTERM while callers query them, as an operator does, and counts the
# queries that were cut off or answered in part. Callers learn of a leaving instance 1 s late, as behind a lagging balancer.
# Ends with an error unless every query was answered.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" ibisrockd ibisrock_cli ibisrock-standin >/dev/null
source scripts/cluster.sh
start_cluster

callers=4
live="$logs/live"
results="$logs/results"
echo "0 1 2 3 4 5 6" >"$live"

# Sends one query after another to random instances of the live list until the file "stop" exists.
run_caller() {
  while [ ! -e "$logs/stop" ]; do
    local list target
    read -r -a list <"$live" || continue
    target=$(caller_address "${list[RANDOM % ${#list[@]}]}")
    curl -s -m 5 -X POST --data "paddler $RANDOM" "http://$target/v1/query/dockdesk" \
      -o "$logs/answer.$1" -w '%{http_code} ' || true
    grep -o '"complete":[a-z]*' "$logs/answer.$1" 2>/dev/null || echo "no answer from $target"
    rm -f "$logs/answer.$1"
  done >>"$results.$1"
}

for caller in $(seq "$callers"); do
  run_caller "$caller" &
done

for i in 0 1 2 3 4 5 6; do
  pid=${process[entry-$i]}
  kill -TERM "$pid"
  sleep 1
  tr ' ' '\n' <"$live" | grep -vx "$i" | paste -sd ' ' >"$live.next"
  mv "$live.next" "$live"
  while kill -0 "$pid" 2>/dev/null; do
    sleep 0.1
  done
  start_instance "$i"
  wait_ready "$(caller_address "$i")"
  echo "$(cat "$live") $i" >"$live.next"
  mv "$live.next" "$live"
  echo "replaced entry-$i"
done
touch "$logs/stop"
sleep 1

total=$(cat "$results".* | wc -l)
whole=$(cat "$results".* | grep -c '^200 "complete":true' || true)
partial=$(cat "$results".* | grep -c '^200 "complete":false' || true)
echo "queries $total, answered whole $whole, in part $partial, cut off or refused $((total - whole - partial))"
cat "$results".* | grep -v '^200 "complete":true' | sort | uniq -c || true
[ "$total" -eq $((whole + partial)) ]
