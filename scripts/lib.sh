# Functions shared by the scripts: start processes, send requests, wait, and end what was
# started. The script sets `bin` to the folder of the built programs.
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
