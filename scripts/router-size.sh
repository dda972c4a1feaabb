#!/usr/bin/env bash
# Prints memory and processor time, measured over 20 s, of one idle router that knows TEAMS
# teams and ENGINES engines. The engines are entries of the instance list without processes.
# Usage: scripts/router-size.sh TEAMS ENGINES
set -euo pipefail
teams=${1:?TEAMS} engines=${2:?ENGINES}
cd "$(dirname "$0")/.."
cargo build --locked --release --workspace --bins >&2
bin=target/release
. scripts/lib.sh

platform=http://127.0.0.1:7700
token=token-of-the-measurement

start platform "$bin/stand-in" platform --listen 127.0.0.1:7700
wait_for request GET "$platform/v1/instances"

publish() { # OFFSET OPS
    local change='{"record":"change","id":"change-'$1'","operator":"size","at":0,'
    change+='"base":'$1',"ops":['$2']}'
    request POST "$platform/v1/log/config" "{\"entries\":[$change]}" >/dev/null
}
publish 0 '{"op":"put_pool","name":"planners"}'
offset=1
for first in $(seq 1 1000 "$teams"); do
    last=$((first + 999 < teams ? first + 999 : teams))
    publish "$offset" "$(seq "$first" "$last" |
        sed 's/.*/{"op":"put_team","name":"team-&"}/' | paste -sd,)"
    offset=$((offset + 1))
done
for number in $(seq "$engines"); do
    request PUT "$platform/v1/instances/engine-$number" "{\"kind\":\"engine\",
        \"pool\":\"planners\",\"address\":\"127.0.0.1:9\",\"failure_domain\":\"d1\",
        \"state\":\"live\",\"incarnation\":1}" >/dev/null
done
cat >"$dir/router.yaml" <<YAML
router: {name: router-1, failure_domain: d1}
listen: {callers: '127.0.0.1:7701', peers: '127.0.0.1:7702', operators: '127.0.0.1:7703'}
platform: {url: '$platform'}
peers: {keys: [key-of-the-measurement]}
operators: [{name: size, token: $token}]
YAML
start router "$bin/ebonyspurd" --settings "$dir/router.yaml"
router=$pid_router
wait_for request GET http://127.0.0.1:7703/readyz --token "$token"
sleep 3
ticks() { awk '{print $14 + $15}' "/proc/$router/stat"; }
before=$(ticks)
sleep 20
after=$(ticks)
memory=$(awk '/VmRSS/ {print $2}' "/proc/$router/status")
awk -v teams="$teams" -v engines="$engines" -v memory="$memory" \
    -v ticks="$((after - before))" -v hz="$(getconf CLK_TCK)" 'BEGIN {
    printf "teams=%d engines=%d resident_kb=%d core_percent=%.2f\n",
        teams, engines, memory, 100 * ticks / hz / 20 }'
