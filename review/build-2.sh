#!/bin/sh
# Builds the stand-ins of the cases in review/4 to review/8 with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin review/standin-2/main.rs
