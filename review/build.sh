#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The project's own program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
