#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review: the project's store and the crate in stand-3.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p stand-in
cargo build --release --locked --offline --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
