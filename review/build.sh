#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, with the compiler alone: no packages, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand.rs
