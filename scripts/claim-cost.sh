#!/usr/bin/env bash
# Measures the latency that a claim adds to a booking. Prints two lines for each rate, with
# claims and without, on a log that accepts 300 appends per second. PROFILE=debug measures a
# debug build.
set -euo pipefail
cd "$(dirname "$0")/.."
profile=${PROFILE:-release}
flags=(--locked --workspace --bins)
[ "$profile" = release ] && flags+=(--release)
cargo build "${flags[@]}" >&2
bin=target/$profile
. scripts/lib.sh

start_fleet 9700 0
sleep 1
appends() { request GET "$platform/appends"; }
for rate in 50 200 800; do
    for mode in claims keyless; do
        extra=()
        [ "$mode" = keyless ] && extra=(--keyless)
        before=$(appends)
        report=$("$bin/stand-in" caller --routers "$(addresses 31 3)" \
            --servers "$(address 20)" --rate "$rate" --seconds 5 --bookings 100 "${extra[@]}")
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
