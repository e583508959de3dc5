#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disturbance.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/masticway ] && [ -x target/review-standin ] || { echo "build deploy/system.toml and review/build.sh first" >&2; exit 2; }
target/review-standin -case silent -record "$here/record.txt" &
standin=$!
# The stand-in ends the processes that it has started.
trap 'kill -TERM "$standin" 2>/dev/null; wait "$standin"; exit 2' INT TERM HUP
wait "$standin"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
