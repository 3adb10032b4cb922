#!/usr/bin/env bash
# Brings about faults of real processes, one after another, while callers query 7 instances on loopback: instances and
# targets killed or paused, an outage of the platform, operators that race or are killed, and cuts between instances.
# Checks every answer, refusal and run at a target, and the versions that the instances show. Prints one line of figures
# for each fault and ends with an error when a check fails. The names of faults as arguments select some of them.
# CALLERS is the number of callers, KEEP_RESULTS a directory to which the answers, the runs and the logs are copied.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -j3 -C "$build" ibisrockd ibisrock_cli ibisrock-standin >/dev/null
# Other ports than those of the demo, so that both can run at the same time.
first_port=18000
source scripts/cluster.sh

callers=${CALLERS:-4}
live="$logs/live"
runs="$logs/runs"
cut="$logs/cut"
versions="$logs/versions"
all_faults=(instance-kill instance-pause target-kill platform-outage apply-races peer-cut)
loops=()
sheets=0
forwarder="127.0.0.1:$((first_port + 1))"

# Instances reach each other through the forwarder.
peer_address() { echo "127.0.0.1:$((first_port + 30 + $1))"; }

start_forwarder() {
  local i routes=()
  for i in 0 1 2 3 4 5 6; do
    routes+=("entry-$i,$(peer_address "$i"),127.0.0.1:$((first_port + 20 + i))")
  done
  start forwarder "$build/ibisrock-standin" forwarder --listen "$forwarder" "${routes[@]}"
}

# Starts targets on $2 ports from $1 on; they hold the index versions 1 and 2.
start_targets_on() {
  local port
  start "targets-$1" "$build/ibisrock-standin" targets --listen "127.0.0.1:$1" --count "$2" --run-log "$runs"
  for port in $(seq "$1" $(($1 + $2 - 1))); do
    curl -fs --retry 20 --retry-connrefused --retry-delay 1 -X PUT --data '{"versions":[1,2]}' \
      "http://127.0.0.1:$port/admin" >/dev/null
  done
}

# Both replicas of shard s00 are processes of their own, so that one can be killed alone.
start_targets() {
  start_forwarder
  start_targets_on $((first_port + 100)) 1
  start_targets_on $((first_port + 101)) 1
  start_targets_on $((first_port + 102)) 38
}

# Stopped processes do not act on SIGTERM, so they are continued first.
clean_up() {
  touch "$logs/stop"
  kill -CONT "${process[@]}" 2>/dev/null || true
  stop_all
}

# Writes the next sheet, which differs from all others in the limit and alternates between index versions; sets `sheet`.
next_sheet() {
  sheets=$((sheets + 1))
  sheet="$logs/sheet-$sheets.csv"
  sed -e "s/^service,dockdesk,.*/service,dockdesk,latency,1000,300,$((2000 + sheets)),64,$((sheets % 2 + 1))/" \
    -e "s/:17\([0-9]*\),/:$((first_port / 1000))\1,/" examples/dockdesk.csv >"$sheet"
}

apply() { "$build/ibisrock" apply "$1" --platform "$platform" "${@:2}"; }

# Takes instance $1 from the callers' list, or puts it back, as a load balancer does.
withdraw() {
  tr ' ' '\n' <"$live" | grep -vx "$1" | paste -sd ' ' >"$live.next"
  mv "$live.next" "$live"
}

restore() {
  echo "$(cat "$live") $1" >"$live.next"
  mv "$live.next" "$live"
}

# Sends query $3 of kind $2 for caller $1 to a random live instance and adds the result to the caller's answers.
ask() {
  local list instance fault status headers=()
  read -r fault <"$logs/fault"
  read -r -a list <"$live"
  instance=${list[RANDOM % ${#list[@]}]}
  [ "$2" = many ] || headers+=(-H "Ibisrock-Idempotent: no")
  [ "$2" = once ] || [ "$2" = many ] || headers+=(-H "Ibisrock-Caller: caller-$1" -H "Idempotency-Key: $3")
  : >"$logs/answer.$1"
  status=$(curl -s -m 5 -X POST --data "$3" "${headers[@]}" -o "$logs/answer.$1" -w '%{http_code}' \
    "http://$(caller_address "$instance")/v1/query/dockdesk") || status=0
  printf '%s\t%s\t%s\t%s\t%d\t%s\n' "$fault" "$2" "$3" "$instance" "$((10#$status))" "$(<"$logs/answer.$1")" \
    >>"$logs/answers.$1"
  [ "$status" != 0 ]
}

# Sends queries until the run ends: of four, two are idempotent, one is not, and one that is not has a key and is sent
# again when it was cut off.
run_caller() {
  local kinds=(many once many keyed) number=0 kind body
  while [ ! -e "$logs/stop" ]; do
    number=$((number + 1))
    kind=${kinds[number % 4]}
    body="paddler-$1-$number"
    if ! ask "$1" "$kind" "$body" && [ "$kind" = keyed ]; then
      ask "$1" resent "$body" || true
    fi
  done
}

# Records the configuration version that each instance shows.
watch_versions() {
  local i shown
  while [ ! -e "$logs/stop" ]; do
    for i in 0 1 2 3 4 5 6; do
      # An instance that is down shows nothing.
      shown=$(curl -s -m 0.5 "http://$(caller_address "$i")/debug/state" | sed -n 's/^    "version": //p') || true
      printf '%s\t%s\n' "$i" "${shown:-0}" >>"$versions"
    done
    sleep 0.1
  done
}

start_load() {
  local caller
  echo "0 1 2 3 4 5 6" >"$live"
  touch "$runs" "$cut" "$versions"
  for caller in $(seq "$callers"); do
    run_caller "$caller" &
    loops+=($!)
  done
  watch_versions &
  loops+=($!)
}

stop_load() {
  touch "$logs/stop"
  local loop
  for loop in "${loops[@]}"; do
    wait "$loop" || fail "a loop of callers or of the version watch ended early"
  done
}

# Names the fault for which queries are counted from now on. Callers read the name at any time.
set_fault() {
  echo "$1" >"$logs/fault.next"
  mv "$logs/fault.next" "$logs/fault"
}

fail() {
  echo "check failed: $1"
  failed=1
}

# Instance $1 may cut off its callers during the present fault.
allow_cut_at() { echo "$(cat "$logs/fault") $1" >>"$cut"; }

# Waits up to 10 s until all instances are ready with the version in force, and says how long that took.
expect_one_version() {
  local begin=$EPOCHREALTIME
  for _ in $(seq 100); do
    if "$build/ibisrock" status --platform "$platform" >"$logs/status" 2>&1; then
      echo "  one version on all instances after $(((${EPOCHREALTIME/./} - ${begin/./}) / 1000)) ms"
      return
    fi
    sleep 0.1
  done
  fail "the instances are not all ready with the version in force after 10 s"
  cat "$logs/status"
}

# Waits up to 10 s until some other instance has logged instance $1 as dead after line count $2 of the logs.
expect_declared_dead() {
  for _ in $(seq 100); do
    if [ "$(count_dead "$1")" -gt "$2" ]; then
      return
    fi
    sleep 0.1
  done
  fail "no instance declared entry-$1 dead"
}

count_dead() { cat "$logs"/entry-*.log | grep -c "entry-$1.* is dead" || true; }

# Kills instances without warning and replaces each once the others have declared it dead.
instance_kill() {
  local i dead
  for i in 2 5; do
    allow_cut_at "$i"
    dead=$(count_dead "$i")
    kill_hard "entry-$i"
    sleep 1
    withdraw "$i"
    expect_declared_dead "$i" "$dead"
    start_instance "$i"
    wait_ready "$(caller_address "$i")"
    restore "$i"
    sleep 2
  done
  expect_one_version
}

# Pauses an instance until after it was declared dead, with a new sheet applied meanwhile, and lets it resume.
instance_pause() {
  local dead
  dead=$(count_dead 3)
  allow_cut_at 3
  kill -STOP "${process[entry-3]}"
  sleep 1
  withdraw 3
  next_sheet
  apply "$sheet"
  sleep 7
  expect_declared_dead 3 "$dead"
  restore 3
  kill -CONT "${process[entry-3]}"
  expect_one_version
  sleep 3
}

# Kills each replica of a shard in turn and restarts it.
target_kill() {
  local port
  for port in $((first_port + 100)) $((first_port + 101)); do
    kill_hard "targets-$port"
    sleep 4
    start_targets_on "$port" 1
    sleep 3
  done
}

# Lets the platform refuse all calls for a while; a sheet cannot be applied then and can be applied after it.
platform_outage() {
  curl -fsS -X PUT --data '{"outage":true}' "http://$platform/admin" >/dev/null
  sleep 4
  next_sheet
  if apply "$sheet" 2>/dev/null; then
    fail "a sheet was applied during the outage"
  fi
  sleep 4
  curl -fsS -X PUT --data '{"outage":false}' "http://$platform/admin" >/dev/null
  next_sheet
  apply "$sheet" || fail "no sheet can be applied after the outage"
  expect_one_version
  sleep 2
}

# Version in force according to the store.
version_in_store() {
  { "$build/ibisrock" status --platform "$platform" --json || true; } | sed -n 's/^  "config_version": \([0-9]*\).*/\1/p'
}

# Two operators apply different sheets at once, both planned on the version in force.
race_applies() {
  local base first second codes=""
  base=$(version_in_store)
  next_sheet
  apply "$sheet" --base "$base" >>"$logs/applies" 2>&1 &
  first=$!
  next_sheet
  apply "$sheet" --base "$base" >>"$logs/applies" 2>&1 &
  second=$!
  wait "$first" || codes+=" $?"
  wait "$second" || codes+=" $?"
  [ "$codes" = " 3" ] || fail "of two sheets for version $base, not exactly one met a conflict: codes$codes"
  [ "$(version_in_store)" = $((base + 1)) ] || fail "two sheets for version $base led to $(version_in_store)"
}

# Kills an apply after $1 seconds; the store must hold the old version or the next one.
kill_apply() {
  local base pid after
  base=$(version_in_store)
  next_sheet
  # Not by the function apply, whose process would be a shell.
  "$build/ibisrock" apply "$sheet" --platform "$platform" >>"$logs/applies" 2>&1 &
  pid=$!
  sleep "$1"
  kill -9 "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  sleep 1
  after=$(version_in_store)
  echo "  apply killed after $1 s: version $base, then $after"
  [ "$after" = "$base" ] || [ "$after" = $((base + 1)) ] || fail "version $after after an apply killed on $base"
}

# The platform answers slowly here, so that the applies overlap and a kill meets an apply between its calls.
apply_races() {
  local time
  curl -fsS -X PUT --data '{"delay_ms":100}' "http://$platform/admin" >/dev/null
  for _ in 1 2 3 4 5; do
    race_applies
    expect_one_version
  done
  for time in 0.05 0.15 0.25 0.35 0.45; do
    kill_apply "$time"
    expect_one_version
  done
  curl -fsS -X PUT --data '{"delay_ms":0}' "http://$platform/admin" >/dev/null
  expect_one_version
}

# Replaces all cuts by those of the arguments, each "<from> <to> <mode>".
set_cuts() {
  local cut from to mode json=""
  for cut in "$@"; do
    read -r from to mode <<<"$cut"
    json+="${json:+,}{\"from\":\"$from\",\"to\":\"$to\",\"mode\":\"$mode\"}"
  done
  curl -fsS -X PUT --data "{\"cuts\":[$json]}" "http://$forwarder/admin" >/dev/null
}

# Closes all connections between the instances of the two lists and any new one.
set_partition() {
  local one other cuts=()
  for one in $1; do
    for other in $2; do
      cuts+=("entry-$one entry-$other drop" "entry-$other entry-$one drop")
    done
  done
  set_cuts "${cuts[@]}"
}

# Number of instances that see all 7 as alive.
count_seeing_all() {
  local i count=0
  for i in 0 1 2 3 4 5 6; do
    if [ "$(curl -s -m 1 "http://$(caller_address "$i")/debug/state" | grep -c '"state": "alive"')" = 7 ]; then
      count=$((count + 1))
    fi
  done
  echo "$count"
}

# Waits up to 20 s until every instance sees all as alive, and says how long that took.
expect_all_alive() {
  local begin=$EPOCHREALTIME
  while [ $(((${EPOCHREALTIME/./} - ${begin/./}) / 1000000)) -lt 20 ]; do
    if [ "$(count_seeing_all)" = 7 ]; then
      echo "  all instances see all as alive after $(((${EPOCHREALTIME/./} - ${begin/./}) / 1000)) ms"
      return
    fi
    sleep 0.2
  done
  fail "only $(count_seeing_all) instances see all 7 as alive 20 s after the end of the cut"
}

# Cuts one pair of instances one way, then isolates an instance while a sheet is applied, then parts the instances into
# two groups. Callers reach every instance throughout.
peer_cut() {
  local dead
  set_cuts "entry-1 entry-4 stall"
  sleep 6
  set_cuts
  expect_all_alive
  dead=$(count_dead 6)
  set_cuts "entry-6 * stall" "* entry-6 stall"
  sleep 2
  next_sheet
  apply "$sheet"
  sleep 6
  expect_declared_dead 6 "$dead"
  set_cuts
  expect_one_version
  expect_all_alive
  dead=$(count_dead 0)
  set_partition "0 1 2" "3 4 5 6"
  sleep 8
  expect_declared_dead 0 "$dead"
  set_cuts
  expect_all_alive
}

# Brings about the fault $1 in the midst of queries that are counted for it.
run_fault() {
  set_fault "$1"
  echo "== $1"
  sleep 1
  "${1//-/_}"
  sleep 2
}

failed=0
next_sheet
start_cluster
trap clean_up EXIT
set_fault no-fault
start_load
sleep 3
for fault in "${@:-${all_faults[@]}}"; do
  run_fault "$fault"
done
stop_load

echo "== results"
cat "$logs"/answers.* >"$logs/answers"
awk -v cut="$cut" -f scripts/check-answers.awk "$runs" "$logs/answers" || failed=1
awk -F '\t' -f scripts/check-versions.awk "$versions" || failed=1
if [ -n "${KEEP_RESULTS:-}" ]; then
  cp -r "$logs" "$KEEP_RESULTS"
fi
exit "$failed"
