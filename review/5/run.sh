#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
timeout 118 "build-review/case-$number" "$folder" "review/$number/record.txt" "${TROUBLE:-1}"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
