#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/lab-3 review/.standin-3/lab.rs
