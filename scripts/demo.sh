#!/usr/bin/env bash
# Runs a small fleet on loopback for some 10 s with one engine killed and one router
# stopped part-way. The last line is a JSON report; the exit status says whether every
# answer was whole, none was doubled, and each request was answered or refused.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh

platform=http://127.0.0.1:7600
start platform "$bin/stand-in" platform --listen 127.0.0.1:7600
wait_for request GET "$platform/v1/instances"

for n in 1 2 3 4; do
    start "engine$n" "$bin/stand-in" engine --listen "127.0.0.1:761$n" --name "engine-$n" \
        --pool planners --domain "d$((n % 2 + 1))" --platform "$platform"
done
start service "$bin/stand-in" service --listen 127.0.0.1:7620 --name trade-1 \
    --pool trades --domain d1 --platform "$platform"

request POST "$platform/v1/log/config" "$(cat scripts/demo-config.json)" >/dev/null
for n in 1 2 3; do
    cat >"$dir/router$n.yaml" <<YAML
router: {name: router-$n, failure_domain: d$((n % 2 + 1))}
listen:
  callers: 127.0.0.1:763$n
  peers: 127.0.0.1:764$n
  operators: 127.0.0.1:765$n
platform: {url: "$platform"}
peers: {keys: [demo-key-of-the-fleet]}
operators: [{name: demo, token: demo-token-of-operators}]
YAML
    request PUT "$platform/v1/instances/router-$n" "{\"kind\": \"router\",
        \"address\": \"127.0.0.1:763$n\", \"peer_address\": \"127.0.0.1:764$n\",
        \"failure_domain\": \"d$((n % 2 + 1))\", \"state\": \"live\"}" >/dev/null
    start "router$n" "$bin/ebonyspurd" --settings "$dir/router$n.yaml"
done
for n in 1 2 3; do
    wait_for request GET "http://127.0.0.1:765$n/readyz" --token demo-token-of-operators
done

"$bin/stand-in" caller --routers 127.0.0.1:7631,127.0.0.1:7632,127.0.0.1:7633 \
    --engines 127.0.0.1:7611,127.0.0.1:7612,127.0.0.1:7613,127.0.0.1:7614 \
    --servers 127.0.0.1:7620 --rate "${RATE:-100}" --seconds 10 >"$dir/report" &
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
