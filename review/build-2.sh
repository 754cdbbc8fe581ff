#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2021 -O -o target/release/review2 review/harness-2/main.rs
