#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --offline \
  --manifest-path review/standins/Cargo.toml --target-dir target/review
