#!/bin/sh
# Builds the stand-ins and scripts of the second review's cases. They use the standard
# library only; the programs of the deploy file must have been built before.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
