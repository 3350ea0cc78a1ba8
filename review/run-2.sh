#!/usr/bin/env bash
# run-2.sh CASE RECORD: runs a case of the second review from the repository's root, writes what was sent, answered and run to
# the file RECORD, and ends all that it started, however it ends.
set -uo pipefail
case=$1 record=$2
cd "$(dirname "$0")/.."
for program in target/release/quaypath-gateway target/review-2/second; do
    [ -x "$program" ] || { echo "the case could not run: $program is not built" | tee -a "$record"; exit 2; }
done
# The case and its processes are a process group of their own.
set -m
target/review-2/second "$case" "$record" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
