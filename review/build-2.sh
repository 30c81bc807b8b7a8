#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripts in review/6 to review/10, each with its case.
# The programs go to target/review-2; only the compiler and its standard library are needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.rs; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -A dead_code -o "target/review-2/case-$number" "$source"
done
