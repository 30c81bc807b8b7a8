#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 the seeds run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/standin stale-seeds review/3
