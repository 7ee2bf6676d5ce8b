#!/bin/sh
# Builds the stand-ins of the second review. They need only the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
