#!/bin/sh
# Builds the stand-in of the cases review/11 to review/15; it needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standin review/standin-3/main.rs
