#!/bin/sh
# Builds the stand-ins that the scripts start.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
