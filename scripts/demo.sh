#!/usr/bin/env bash
# Builds everything, runs the whole path on loopback with stand-ins for the platform and for 40 targets, applies a sheet,
# shows its version on every instance, one whole answer and, with both replicas of one shard stopped, one partial answer.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" ibisrockd ibisrock_cli ibisrock-standin >/dev/null

logs=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap cleanup EXIT

start() {
  local log=$1
  shift
  "$@" >"$logs/$log.log" 2>&1 &
  pids+=($!)
}

wait_ready() {
  for _ in $(seq 100); do
    if curl -fs "http://$1/readyz" >/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "demo: $1 did not become ready" >&2
  cat "$logs"/*.log >&2
  exit 1
}

start platform "$build/ibisrock-standin" platform --listen 127.0.0.1:17000
# Shard s00 has a process of its own, so that both its replicas can be stopped.
start shard0 "$build/ibisrock-standin" targets --listen 127.0.0.1:17100 --count 2
shard0=$!
start targets "$build/ibisrock-standin" targets --listen 127.0.0.1:17102 --count 38
sleep 0.5

data_centres=(lhr-a lhr-b isb-a isb-b)
instances=""
for i in 0 1 2 3 4 5 6; do
  instances+="${instances:+,}{\"id\":\"entry-$i\",\"address\":\"127.0.0.1:$((17020 + i))\",\"data_centre\":\"${data_centres[i % 4]}\""
  instances+=",\"leaving\":false,\"http_address\":\"127.0.0.1:$((17010 + i))\"}"
done
curl -fsS -X PUT --data "[$instances]" http://127.0.0.1:17000/instances >/dev/null
for i in 0 1 2 3 4 5 6; do
  start "entry-$i" "$build/ibisrockd" --instance "entry-$i" --data-centre "${data_centres[i % 4]}" \
    --listen "127.0.0.1:$((17010 + i))" --peer-listen "127.0.0.1:$((17020 + i))" --platform 127.0.0.1:17000
done

echo "== ibisrock apply examples/dockdesk.csv"
"$build/ibisrock" apply examples/dockdesk.csv --platform 127.0.0.1:17000
for i in 0 1 2 3 4 5 6; do
  wait_ready "127.0.0.1:$((17010 + i))"
done

echo "== ibisrock status: the version in force on every instance"
"$build/ibisrock" status --platform 127.0.0.1:17000

echo "== ibisrock query dockdesk 'paddler 7': all 20 shards"
"$build/ibisrock" query dockdesk 'paddler 7' --instance 127.0.0.1:17010

kill "$shard0"
sleep 0.3
echo "== the same query with both replicas of shard s00 stopped"
"$build/ibisrock" query dockdesk 'paddler 7' --instance 127.0.0.1:17013
