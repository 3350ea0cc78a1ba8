#!/bin/sh
# Builds the stand-ins of the cases (Rust standard library only; no network, no dependency) into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -C opt-level=2 -o bin/standins standins.rs
