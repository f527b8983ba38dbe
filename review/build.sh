#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review cases. Needs only the installed compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name harness -o target/review/harness review/harness/main.rs
