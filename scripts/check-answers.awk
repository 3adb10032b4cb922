# Checks the answers of a run against the runs that the targets logged, and counts the answers of each fault.
#
#   awk -v cut=FILE -f check-answers.awk RUNS ANSWERS
#
# RUNS has the lines that ibisrock-standin writes with --run-log: shard, index version, body. ANSWERS has one line for
# each query: fault, kind (many, once, keyed or resent), body, instance, status and answer. The file in `cut` has a line
# "<fault> <instance>" for each instance whose callers that fault may cut off. Ends with 1 when a check fails.

BEGIN {
  FS = "\t"
  shards = 20
  while ((getline line < cut) > 0) {
    mayBeCut[line] = 1
  }
}

function fail(text) {
  if (++failures <= 20) {
    print "check failed: " $1 ": " text ": " substr($0, 1, 600)
  }
}

# Value of a member of the answer that is a text, a number or a list of texts.
function member(name,    at) {
  at = index($6, "\"" name "\":")
  return at == 0 ? "" : substr($6, at + length(name) + 3)
}

function verdict() {
  split(member("verdict"), parts, "\"")
  return parts[2]
}

# Number of names in the list of covered shards.
function covered(    list) {
  list = member("shards_covered")
  list = substr(list, 1, index(list, "]"))
  return gsub(/"[^"]*"/, "", list)
}

# Every match must be of a shard of its own, of the query's own body and of the answer's index version, and there must
# be one match for each covered shard. Returns the number of matches.
function check_matches(    rest, version, count, fields, shard, seen) {
  rest = $6
  version = member("index_version") + 0
  split("", seen)
  while (match(rest, /\{"id":"[^"]*","text":"[^"]*"\}/)) {
    split(substr(rest, RSTART, RLENGTH), fields, "\"")
    rest = substr(rest, RSTART + RLENGTH)
    shard = substr(fields[4], 1, 3)
    if (shard !~ /^s[01][0-9]$/ || shard in seen || fields[4] != shard "/" $3) {
      fail("match of another query or shard, or twice: " fields[4])
    }
    if (fields[8] != "match in " shard " of index version " version) {
      fail("match of another index version than " version ": " fields[8])
    }
    seen[shard] = 1
    count++
  }
  if (count + 0 != covered()) {
    fail("covers " covered() " shards with " count + 0 " matches")
  }
  return count + 0
}

FILENAME == ARGV[1] {
  body = substr($3, 2, length($3) - 2)
  runs[body]++
  shardRuns[$1 "\t" body]++
  next
}

!($1 in queries) {
  order[++faults] = $1
}

{
  queries[$1]++
  if ($2 == "once" || $2 == "keyed") {
    onceOnly[$3] = $1
  }
}

$5 == 200 {
  matches = check_matches()
  if ($6 ~ /"complete":true/) {
    whole[$1]++
    if (matches != shards) {
      fail("says complete with " matches " matches")
    }
  } else {
    partial[$1]++
  }
  if (!($3 in runs)) {
    fail("no target ran the answered query")
  }
  next
}

$5 == 0 {
  cutOff[$1]++
  if (!(($1 " " $4) in mayBeCut)) {
    fail("cut off at an instance without a fault")
  }
  next
}

# The refusal of a resent request says nothing about the request that was cut off before.
verdict() == "not-run" {
  refused[$1]++
  notRun++
  if ($2 != "resent" && $3 in runs) {
    fail("refused as not run, but ran " runs[$3] " times")
  }
  next
}

verdict() == "may-have-run" {
  unanswered[$1]++
  next
}

{
  fail("neither an answer nor a refusal with a verdict")
}

END {
  for (key in shardRuns) {
    split(key, parts, "\t")
    if (parts[2] in onceOnly && ++checked && shardRuns[key] > 1) {
      failures++
      print "check failed: " onceOnly[parts[2]] ": " parts[2] " ran " shardRuns[key] " times on shard " parts[1]
    }
  }
  for (i = 1; i <= faults; i++) {
    f = order[i]
    printf "%s: %d queries, %d whole, %d in part, %d refused as not run, %d may have run without an answer, %d cut off\n", \
      f, queries[f], whole[f], partial[f], refused[f], unanswered[f], cutOff[f]
  }
  printf "checked: %d refusals as not run, %d runs of non-idempotent requests on a shard; %d failed checks\n", \
    notRun, checked, failures
  exit failures > 0
}
