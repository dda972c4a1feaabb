#!/usr/bin/env bash
# Runs N routers on loopback under a load of about 20 s and prints one JSON line: control
# bytes per second, processor time and memory of a router, time to the first token, skew and
# cache reuse. With a failure domain, d0 to d3, kills all its routers and engines half-way;
# the line then reports the load during the loss and a second load after it.
# Usage: scripts/fleet.sh N [RATE] [SECONDS] [DOMAIN]
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:?number of routers, 2 to 190}
rate=${2:-50}
seconds=${3:-20}
[ "$routers" -ge 2 ] && [ "$routers" -le 190 ] || { echo "fleet: 2 to 190 routers" >&2; exit 2; }
cargo build --locked --release --workspace --bins >&2
exec python3 scripts/fleet.py "$routers" "$rate" "$seconds" ${4:+"$4"}
