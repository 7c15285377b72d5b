#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. Needs only the Rust toolchain.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
rustc --edition 2024 -O -o target/review-3/gone review/rig-3/gone/main.rs
