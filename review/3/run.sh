#!/bin/sh
# Runs this case; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
TMPDIR=$(mktemp -d) || exit 2
RECORD=$here/record.txt
export ROOT RUN TMPDIR RECORD
trap 'rm -rf "$TMPDIR"' EXIT
"$ROOT/review/bin/standins" case cold
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
