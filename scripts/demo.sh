#!/usr/bin/env bash
# Builds everything, runs the whole path on loopback with stand-ins for the platform and for 40 targets, applies a sheet,
# shows its version on every instance, one whole answer and, with both replicas of one shard stopped, one partial answer.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" ibisrockd ibisrock_cli ibisrock-standin >/dev/null

source scripts/cluster.sh
start_cluster

echo "== ibisrock status: the version in force on every instance"
"$build/ibisrock" status --platform "$platform"

echo "== ibisrock query dockdesk 'paddler 7': all 20 shards"
"$build/ibisrock" query dockdesk 'paddler 7' --instance 127.0.0.1:17010

kill "$shard0"
sleep 0.3
echo "== the same query with both replicas of shard s00 stopped"
"$build/ibisrock" query dockdesk 'paddler 7' --instance 127.0.0.1:17013
