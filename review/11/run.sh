#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-3.sh" 11 cut-and-lost
