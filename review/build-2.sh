#!/bin/bash
# Builds the stand-ins that the scripts of this review start: one program, which needs no library but Rust's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standin-2/main.rs
