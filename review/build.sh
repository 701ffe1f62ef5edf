#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs only the compiler and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/main.rs -o target/review/standin
