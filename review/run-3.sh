#!/usr/bin/env bash
# Runs a case of review/.standin-3/lab.rs: run-3.sh FOLDER CASE
set -u
cd "$(dirname "$0")/.."
if [ ! -x target/lab-3 ] || [ ! -x target/release/snipeusher-node ]; then
    echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)
target/lab-3 "$2" "review/$1" "$temporary"
code=$?
# The program ends all routers; this is for the case that it failed itself.
while read -r pid; do
    if grep -qs "$temporary" "/proc/$pid/environ"; then
        kill -9 "$pid"
    fi
done < <(cat "$temporary/pids" 2>/dev/null)
rm -rf "$temporary"
exit "$code"
