#!/usr/bin/env bash
# Measures whole queries over 20 shards through real processes, and direct calls to one target beside them, with targets
# that take 2 ms for a request and 6 ms for a new connection. Prints p50 and p99 in milliseconds.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
queries=${QUERIES:-500}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" ibisrockd ibisrock_cli ibisrock-standin >/dev/null
source scripts/cluster.sh
start_cluster >/dev/null
for port in $(seq 17100 17139); do
  curl -fsS -X PUT --data '{"connect_ms":6,"service_ms":2}' "http://127.0.0.1:$port/admin" >/dev/null
done

# Sends the requests one after another on one connection and prints the quantiles of their times.
measure() {
  local name=$1 count=$2 url=$3 config="$logs/curl.config" i
  for i in $(seq "$count"); do
    printf 'url = "%s"\ndata = "paddler %s"\nheader = "Ibisrock-Index-Version: 1"\n' "$url" "$i"
    printf 'output = "/dev/null"\nwrite-out = "%%{http_code} %%{time_total}\\n"\n'
    [ "$i" -eq "$count" ] || echo next
  done >"$config"
  curl -s -K "$config" >"$logs/times"
  awk '$1 == 200 { print $2 * 1000 }' "$logs/times" | sort -n |
    awk -v name="$name" -v sent="$count" '{ t[NR] = $1 }
      END { printf "%s: p50 %.2f ms, p99 %.2f ms, %d of %d answered\n", name, t[int(NR * 0.5) + 1], t[int(NR * 0.99)], NR, sent }'
}

measure warm-up 50 "http://$(caller_address 0)/v1/query/dockdesk" >/dev/null
measure "query through the tier" "$queries" "http://$(caller_address 0)/v1/query/dockdesk"
measure "direct call, kept connection" "$queries" "http://127.0.0.1:17102/search/dockdesk/s01"
