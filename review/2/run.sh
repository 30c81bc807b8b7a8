#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 no machine freezes.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/standin forgotten-removal review/2
