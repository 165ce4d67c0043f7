#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They need the
# standard library only, so that the compiler alone is enough.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standin-2/case_*.rs; do
    name=$(basename "$case" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$case"
done
