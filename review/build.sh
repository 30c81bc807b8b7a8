#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, without a network. The routers are built by the
# build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/.standin/Cargo.toml --target-dir target/review
