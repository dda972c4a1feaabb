#!/usr/bin/env bash
# Measures the time until an accepted configuration change is in force on each of 19 and of
# 76 routers on loopback, also with a third of them cut off from the log service, and the
# start of a router with a long configuration history.
# Usage: scripts/in-force.sh [ROUTERS]...
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
exec cargo bench --locked --bench in_force -- "$@"
