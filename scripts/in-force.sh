#!/usr/bin/env bash
# Measures the time until a confirmed change is in force on every router, at 19 and 76 real
# routers on loopback, also with a third of them cut off from the log, and the start of a
# router with a long history. Usage: scripts/in-force.sh [ROUTERS]...
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
exec cargo bench --locked --bench in_force -- "$@"
