#!/bin/sh
# Builds the stand-ins of the second review's scripts (cases 6 to 10) with the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand2 review/stand2.rs
