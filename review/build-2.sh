#!/usr/bin/env bash
# Builds the stand-ins and the checks of the scripts in review/6 to review/10. They use std and
# serde_json only, in the version of the repository's Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review-2
