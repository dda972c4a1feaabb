#!/usr/bin/env bash
# Measures what a router adds to a first token: the same chats sent to one engine directly
# and through three routers, at RATE requests a second for 5 s each. The engine answers
# after 2 ms and its pool's bound is out of reach, so that no request waits for a slot.
# Usage: scripts/relay-cost.sh [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh
rate=${1:-1000}
engine_args=(--slots 4096 --cached-chats 4096 --cold-ms 2 --warm-ms 2 --token-ms 1)
start_fleet 9800 1
pool='{"op": "put_pool", "name": "planners", "load_factor": 10.0}'
request POST "$platform/v1/log/config" "{\"entries\": [{\"record\": \"change\", \"id\": \"bound\",
    \"operator\": \"cost\", \"at\": 0, \"base\": 1, \"ops\": [$pool]}]}" >/dev/null
sleep 2
load() { # ARGUMENTS...
    "$bin/stand-in" caller --engines "$(address 11)" --rate "$rate" --seconds 5 \
        --bookings 0 --tokens 2 "$@"
}
direct=$(load --direct)
relayed=$(load --routers "$(addresses 31 3)")
python3 - "$rate" "$direct" "$relayed" <<'PY'
import json, sys
rate, direct, relayed = sys.argv[1], json.loads(sys.argv[2]), json.loads(sys.argv[3])
times = [report["attempt_first_token_ms"] for report in (direct, relayed)]
added = {q: round(times[1][q] - times[0][q], 2) for q in times[0]}
print(json.dumps({"rate": int(rate), "direct_ms": times[0], "relayed_ms": times[1],
                  "added_ms": added, "answered": [direct["answered"], relayed["answered"]]}))
PY
