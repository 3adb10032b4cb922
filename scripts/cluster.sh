# Functions that run the whole path on loopback: stand-ins for the platform and for 40 targets, and 7 instances. To be
# sourced by a script that has set `build`; everything is stopped when that script ends. The script may define its own
# start_targets and peer_address, and may name its own sheet in `sheet` and its own ports, a hundred and more from
# `first_port` on.

logs=$(mktemp -d)
# Newest process of each name.
declare -A process
sheet=examples/dockdesk.csv
data_centres=(lhr-a lhr-b isb-a isb-b)
first_port=${first_port:-17000}
platform="127.0.0.1:$first_port"

stop_all() {
  kill "${process[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$logs"
}

start() {
  local log=$1
  shift
  "$@" >>"$logs/$log.log" 2>&1 &
  process[$log]=$!
}

caller_address() { echo "127.0.0.1:$((first_port + 10 + $1))"; }

# Address at which the other instances reach instance $1.
peer_address() { echo "127.0.0.1:$((first_port + 20 + $1))"; }

# Kills the process named $1 without warning.
kill_hard() {
  kill -9 "${process[$1]}"
  wait "${process[$1]}" 2>/dev/null || true
}

start_instance() {
  start "entry-$1" "$build/ibisrockd" --instance="entry-$1" --data-centre "${data_centres[$1 % 4]}" \
    --listen "$(caller_address "$1")" --peer-listen "127.0.0.1:$((first_port + 20 + $1))" \
    --peer-advertise "$(peer_address "$1")" --platform "$platform"
}

wait_ready() {
  for _ in $(seq 100); do
    if curl -fs "http://$1/readyz" >/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "$1 did not become ready" >&2
  cat "$logs"/*.log >&2
  exit 1
}

# Sets shard0 to the process of both replicas of shard s00.
start_targets() {
  start shard0 "$build/ibisrock-standin" targets --listen 127.0.0.1:17100 --count 2
  shard0=$!
  start targets "$build/ibisrock-standin" targets --listen 127.0.0.1:17102 --count 38
}

# Starts everything and applies the sheet.
start_cluster() {
  trap stop_all EXIT
  start platform "$build/ibisrock-standin" platform --listen "$platform"
  start_targets
  sleep 0.5
  local list="" i
  for i in 0 1 2 3 4 5 6; do
    list+="${list:+,}{\"id\":\"entry-$i\",\"address\":\"$(peer_address "$i")\",\"leaving\":false"
    list+=",\"data_centre\":\"${data_centres[i % 4]}\",\"http_address\":\"$(caller_address "$i")\"}"
  done
  curl -fsS -X PUT --data "[$list]" "http://$platform/instances" >/dev/null
  for i in 0 1 2 3 4 5 6; do
    start_instance "$i"
  done
  echo "== ibisrock apply ${sheet##*/}"
  "$build/ibisrock" apply "$sheet" --platform "$platform"
  for i in 0 1 2 3 4 5 6; do
    wait_ready "$(caller_address "$i")"
  done
}
