#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file's build: the project's own stand-ins
# for nodes and register over NVMe/TCP, and the stand-ins of `second.rs`. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin quaypath-target --bin quaypath-register -p quaypath-programs --no-default-features
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/second review/second.rs
