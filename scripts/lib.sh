# Functions shared by the scripts: start processes, send requests, wait for conditions. All
# started processes are stopped on exit. The calling script sets `bin` to the folder of the
# built programs.
dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop_all EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$dir/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_$name=$!"
}

request() { "$bin/stand-in" request "$@"; }

wait_for() { # COMMAND...
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "${0##*/}: gave up waiting for: $*" >&2
    "$@" >&2 || true
    tail -n 5 "$dir"/*.log >&2
    exit 1
}

# The fleet of the scripts: a platform, engines, one plain service and three routers. Port
# offsets from FIRST_PORT: 0 platform, 11.. engines, 20 service; router N listens on 30 + N
# for callers, on 40 + N for peers and on 50 + N for operators. Each engine gets the
# arguments `engine_args`.
engine_args=()
token=demo-token-of-operators

address() { echo "127.0.0.1:$((first_port + $1))"; } # PORT_OFFSET

start_fleet() { # FIRST_PORT ENGINES
    first_port=$1
    engines=$2
    platform=http://$(address 0)
    start platform "$bin/stand-in" platform --listen "$(address 0)"
    wait_for request GET "$platform/v1/instances"
    local n
    for n in $(seq "$engines"); do
        start "engine$n" "$bin/stand-in" engine --listen "$(address $((10 + n)))" \
            --name "engine-$n" --pool planners --domain "d$((n % 2 + 1))" --platform "$platform" \
            "${engine_args[@]}"
    done
    start service "$bin/stand-in" service --listen "$(address 20)" --name trade-1 \
        --pool trades --domain d1 --platform "$platform"
    request POST "$platform/v1/log/config" "$(cat scripts/demo-config.json)" >/dev/null
    for n in 1 2 3; do start_router "$n"; done
    for n in 1 2 3; do
        wait_for request GET "http://$(address $((50 + n)))/readyz" --token "$token"
    done
}

start_router() { # NUMBER
    local n=$1
    cat >"$dir/router$n.yaml" <<YAML
router: {name: router-$n, failure_domain: d$((n % 2 + 1))}
listen:
  callers: $(address $((30 + n)))
  peers: $(address $((40 + n)))
  operators: $(address $((50 + n)))
platform: {url: "$platform"}
peers: {keys: [demo-key-of-the-fleet]}
operators: [{name: demo, token: $token}]
YAML
    request PUT "$platform/v1/instances/router-$n" "{\"kind\": \"router\",
        \"address\": \"$(address $((30 + n)))\", \"peer_address\": \"$(address $((40 + n)))\",
        \"failure_domain\": \"d$((n % 2 + 1))\", \"state\": \"live\"}" >/dev/null
    start "router$n" "$bin/ebonyspurd" --settings "$dir/router$n.yaml"
}

addresses() { # FIRST_OFFSET COUNT; prints a list separated by commas
    local n list=
    for n in $(seq 0 $(($2 - 1))); do list+=,$(address $(($1 + n))); done
    echo "${list#,}"
}

lift_bound() { # raises the load bound of the pool so far that no request waits for a slot
    local pool='{"op": "put_pool", "name": "planners", "load_factor": 10.0}'
    request POST "$platform/v1/log/config" "{\"entries\": [{\"record\": \"change\",
        \"id\": \"bound\", \"operator\": \"script\", \"at\": 0, \"base\": 1, \"ops\": [$pool]}]}" >/dev/null
    sleep 2
}
