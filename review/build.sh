#!/bin/sh
# Builds the stand-ins of the cases; needs nothing but the Rust compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/standins/main.rs
