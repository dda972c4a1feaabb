#!/usr/bin/env bash
# Starts a simulated platform, four engines, a plain service and three routers on loopback,
# prints how to reach them, and keeps them running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh
start_fleet 7600 4
cat <<TEXT
export PATH=$PWD/$bin:\$PATH
export EBONYSPUR_ROUTERS=$(addresses 51 3)
export EBONYSPUR_TOKEN=$token
# callers ask any of: $(addresses 31 3)
# logs and settings are in $dir; Ctrl-C ends the fleet
TEXT
wait
