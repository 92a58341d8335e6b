#!/usr/bin/env bash
# Builds the stand-ins of the cases; they need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -A dead-code -o target/review/standin review/main.rs
