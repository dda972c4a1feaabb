#!/usr/bin/env bash
# Runs a small fleet on loopback under load for about 10 s, kills one engine and stops one
# router meanwhile. The last line is a JSON report. The exit status is 0 if
# every answer was whole, no booking ran twice, and each request was answered or refused.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh

start_fleet 7600 4

"$bin/stand-in" caller --routers "$(addresses 31 3)" --engines "$(addresses 11 4)" \
    --servers "$(address 20)" --rate "${RATE:-100}" --seconds 10 >"$dir/report" &
caller=$!
sleep 3
kill -KILL "$pid_engine2"
wait "$pid_engine2" 2>/dev/null || true
sleep 3
kill -TERM "$pid_router3"
request DELETE "$platform/v1/instances/router-3" >/dev/null
wait "$caller"
report=$(cat "$dir/report")
echo "$report"
python3 - "$report" <<'PY'
import json, sys
r = json.loads(sys.argv[1])
sound = r["mixed"] == r["doubled"] == 0 and r["answered"] + r["refused"] == r["sent"]
sys.exit(0 if sound else 1)
PY
