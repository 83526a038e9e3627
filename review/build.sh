#!/bin/sh
# Builds the stand-ins of the cases. They need only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand_ins/main.rs
