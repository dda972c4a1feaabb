#!/usr/bin/env bash
# Prints the memory that a router uses for a stream in flight: the growth of the resident
# memory of three routers while 1,000 slow streams are open, divided by the number of streams.
# An earlier load allocates the buffers that routers keep, so that these are not counted.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh
engine_args=(--slots 4096 --cached-chats 4096 --cold-ms 2 --warm-ms 2 --token-ms 1000)
start_fleet 9900 1
lift_bound
resident() { # prints the resident memory of all routers in KB
    cat "/proc/$pid_router1/status" "/proc/$pid_router2/status" "/proc/$pid_router3/status" |
        awk '/VmRSS/ {sum += $2} END {print sum}'
}
load() { # SECONDS TOKENS
    "$bin/stand-in" caller --routers "$(addresses 31 3)" --engines "$(address 11)" --rate 200 \
        --seconds "$1" --bookings 0 --tokens "$2" >"$dir/report"
}
load 3 1
before=$(resident)
load 5 10 &
caller=$!
sleep 6
open=$(request GET "http://$(address 11)/load" | sed 's/.*"in_flight":\([0-9]*\).*/\1/')
during=$(resident)
wait "$caller"
awk -v before="$before" -v during="$during" -v open="$open" 'BEGIN {
    printf "streams=%d resident_kb=%d..%d kb_per_stream=%.1f\n",
        open, before, during, (during - before) / open }'
