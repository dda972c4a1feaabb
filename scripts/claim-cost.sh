#!/usr/bin/env bash
# Measures what a claim adds to a booking: one line for each rate, with claims and
# without, through one log of 300 appends a second. PROFILE=debug measures a debug build.
set -euo pipefail
cd "$(dirname "$0")/.."
profile=${PROFILE:-release}
flags=(--locked --workspace --bins)
[ "$profile" = release ] && flags+=(--release)
cargo build "${flags[@]}" >&2
bin=target/$profile
. scripts/lib.sh

platform=http://127.0.0.1:9700
start platform "$bin/stand-in" platform --listen 127.0.0.1:9700
wait_for request GET "$platform/v1/instances"

start service "$bin/stand-in" service --listen 127.0.0.1:9720 --name trade-1 \
    --pool trades --domain d1 --platform "$platform"

request POST "$platform/v1/log/config" "$(cat scripts/demo-config.json)" >/dev/null
for n in 1 2 3; do
    cat >"$dir/router$n.yaml" <<YAML
router: {name: router-$n, failure_domain: d$((n % 2 + 1))}
listen:
  callers: 127.0.0.1:973$n
  peers: 127.0.0.1:974$n
  operators: 127.0.0.1:975$n
platform: {url: "$platform"}
peers: {keys: [demo-key-of-the-fleet]}
operators: [{name: demo, token: demo-token-of-operators}]
YAML
    request PUT "$platform/v1/instances/router-$n" "{\"kind\": \"router\",
        \"address\": \"127.0.0.1:973$n\", \"peer_address\": \"127.0.0.1:974$n\",
        \"failure_domain\": \"d$((n % 2 + 1))\", \"state\": \"live\"}" >/dev/null
    start "router$n" "$bin/ebonyspurd" --settings "$dir/router$n.yaml"
done
for n in 1 2 3; do
    wait_for request GET "http://127.0.0.1:975$n/readyz" --token demo-token-of-operators
done

sleep 1
appends() { request GET "$platform/appends"; }
for rate in 50 200 800; do
    for mode in claims keyless; do
        extra=()
        [ "$mode" = keyless ] && extra=(--keyless)
        before=$(appends)
        report=$("$bin/stand-in" caller --routers 127.0.0.1:9731,127.0.0.1:9732,127.0.0.1:9733 \
            --servers 127.0.0.1:9720 --rate "$rate" --seconds 5 --bookings 100 "${extra[@]}")
        python3 - "$rate" "$mode" "$(($(appends) - before))" "$report" <<'PY'
import json, sys
rate, mode, appends, report = sys.argv[1:]
r = json.loads(report)
ms = r["booking_ms"]
print(f"{rate}/s {mode}: p50 {ms['p50']:.1f} ms, p99 {ms['p99']:.1f} ms, "
      f"appends {int(appends) / 5:.0f}/s, answered {r['answered']} of {r['sent']}, "
      f"doubled {r['doubled'] if mode == 'claims' else '-'}")
PY
    done
done
