#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p stand-in
cargo build --release --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
