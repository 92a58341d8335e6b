#!/usr/bin/env bash
# run-case.sh CASE FOLDER: runs a case of the stand-ins against the program of the deploy file.
cd "$(dirname "$0")/.."
export ENTRY_PROGRAM=target/release/hornbeampitchd
for program in "$ENTRY_PROGRAM" target/review/standin; do
    [ -x "$program" ] || { echo "the case could not run: $program is missing"; exit 2; }
done
exec target/review/standin "$1" "$2"
