#!/usr/bin/env bash
# Runs N routers on loopback under a load for some 20 s and prints one JSON line: control
# bytes a second, processor time and memory of a router, first tokens, skew and reuse.
# Usage: scripts/fleet.sh N [RATE] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:?number of routers, 2 to 190}
rate=${2:-50}
seconds=${3:-20}
[ "$routers" -ge 2 ] && [ "$routers" -le 190 ] || { echo "fleet: 2 to 190 routers" >&2; exit 2; }
cargo build --locked --release --workspace --bins >&2
exec python3 scripts/fleet.py "$routers" "$rate" "$seconds"
