#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/case-10
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$program" "$PWD"
