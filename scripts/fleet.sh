#!/usr/bin/env bash
# Runs N routers on loopback under a load for some 20 s and prints one JSON line: control
# bytes a second, processor time and memory of a router, first tokens, skew and reuse.
# With a failure domain, d0 to d3, all its routers and engines are killed half-way, and the
# line tells of the load during the loss and of one after it.
# Usage: scripts/fleet.sh N [RATE] [SECONDS] [DOMAIN]
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:?number of routers, 2 to 190}
rate=${2:-50}
seconds=${3:-20}
[ "$routers" -ge 2 ] && [ "$routers" -le 190 ] || { echo "fleet: 2 to 190 routers" >&2; exit 2; }
cargo build --locked --release --workspace --bins >&2
exec python3 scripts/fleet.py "$routers" "$rate" "$seconds" ${4:+"$4"}
