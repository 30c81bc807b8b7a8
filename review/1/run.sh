#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 no machine is lost.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/standin lost-readers review/1
