#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and above. The programs of the deploy file are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins-2 review/standins-2.rs
