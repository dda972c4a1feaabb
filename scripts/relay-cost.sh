#!/usr/bin/env bash
# Measures the time that a router adds to the first token. Sends the same chats to one engine
# directly and through three routers, at RATE requests per second for 5 s each. The engine
# answers after 2 ms, and the load bound of its pool is so high that no request waits for a
# slot. Long answers at a fifth of the rate give the routers' processor time per token.
# Usage: scripts/relay-cost.sh [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh
rate=${1:-1000}
engine_args=(--slots 4096 --cached-chats 4096 --cold-ms 2 --warm-ms 2 --token-ms 1)
start_fleet 9800 1
lift_bound
load() { # TOKENS ARGUMENTS...
    "$bin/stand-in" caller --engines "$(address 11)" --seconds 5 --bookings 0 --tokens "$@"
}
cpu() { # prints the processor time of all routers in clock ticks
    cat "/proc/$pid_router1/stat" "/proc/$pid_router2/stat" "/proc/$pid_router3/stat" |
        awk '{sum += $14 + $15} END {print sum}'
}
routers=(--routers "$(addresses 31 3)")
direct=$(load 2 --rate "$rate" --direct)
start=$(cpu)
relayed=$(load 2 --rate "$rate" "${routers[@]}")
short=$(($(cpu) - start))
start=$(cpu)
load 102 --rate "$((rate / 5))" "${routers[@]}" >/dev/null
long=$(($(cpu) - start))
python3 - "$rate" "$direct" "$relayed" "$short" "$long" "$(getconf CLK_TCK)" <<'PY'
import json, sys
rate, direct, relayed = int(sys.argv[1]), json.loads(sys.argv[2]), json.loads(sys.argv[3])
short, long, hertz = (int(arg) for arg in sys.argv[4:])
times = [report["attempt_first_token_ms"] for report in (direct, relayed)]
added = {q: round(times[1][q] - times[0][q], 2) for q in times[0]}
short_us = 1e6 * short / hertz / (rate * 5)
long_us = 1e6 * long / hertz / (rate // 5 * 5)
print(json.dumps({"rate": rate, "direct_ms": times[0], "relayed_ms": times[1],
                  "added_ms": added, "answered": [direct["answered"], relayed["answered"]],
                  "cpu_us": {"request_of_2_tokens": round(short_us),
                             "further_token": round((long_us - short_us) / 100, 1)}}))
PY
