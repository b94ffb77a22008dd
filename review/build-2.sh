#!/usr/bin/env bash
# Builds the stand-ins of the second review; its scripts start nothing else but the deploy file's programs.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=target cargo build --release --offline --locked
