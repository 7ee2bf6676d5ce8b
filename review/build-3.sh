#!/usr/bin/env bash
# Builds the stand-ins that the cases review/11 to review/15 start; needs no network. The product is
# built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standins-3/main.rs
