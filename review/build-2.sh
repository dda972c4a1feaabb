#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the program of the deploy file: the
# project's stand-ins, of which they use the store, and their own servers and callers.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p stand-in
cargo build --release --locked --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
