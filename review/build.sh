#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/[1-5]/main.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A dead_code -o "target/review/case-$number" "$source"
done
