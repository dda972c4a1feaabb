# Starts the store and the routers of a case, plays it and ends them. Sourced by review/N/run.sh:
#   case_name=NAME; routers=2; . "$(dirname "$0")/../stand-2/fleet.sh"
# The exit code is that of the case: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd); root=$(cd "$here/../.." && pwd)
bin=$root/target/release; stand=$root/target/review-2/release/stand-2
ulimit -n 4096 2>/dev/null || [ "$case_name" != crowd-heads ] || { echo 'fewer than 4096 descriptors' >&2; exit 2; }
trouble=${TROUBLE:-1}; dir=$(mktemp -d); pids=()
end() {
    local code=$?
    trap - EXIT INT TERM
    [ ${#pids[@]} -eq 0 ] || { kill -CONT "${pids[@]}"; kill -KILL "${pids[@]}"; } 2>/dev/null
    [ -z "${KEEP_LOGS:-}" ] || cp "$dir"/*.log "$KEEP_LOGS"
    rm -rf "$dir"
    exit "$code"
}
trap end EXIT
trap 'exit 2' INT TERM
for program in "$bin/ebonyspur-edge" "$bin/stand-in" "$stand"; do
    [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
# Machines are loopback addresses of their own, so that their ports are free.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)); store=$net.1:8323; addresses=()
"$bin/stand-in" store --listen "$store" >"$dir/store.log" 2>&1 & pids+=($!); disown
for n in $(seq "$routers"); do
    ip=$net.$((n + 10)); addresses+=("$ip")
    cat >"$dir/router-$n.conf" <<CONF
node_name=router-$n
role=router
machine_class=edge
serves=edge,control_plane,registry
ip=$ip
zone=zone-$n
region=region-1
listen.front=$ip:8227
listen.ready=$ip:8220
listen.control=$ip:8229
listen.directory=$ip:8224
internal_ports=7340,7355
seeds=$net.11:8229,$net.12:8229
bootstrap=true
limits.cpu_share=0.17
limits.cores=1
limits.memory_mb=182
limits.max_fds=2870
limits.link_mbps=700.0
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=126
bounds.budget_window_s=10
bounds.recover_s=12
bounds.cap_factor=2
bounds.ttl_max_s=5
platform.address=$store
CONF
    # The command of deploy/system.toml, in the root of the repository.
    (cd "$root" && EBONYSPUR_NODE_FILE="$dir/router-$n.conf" exec target/release/ebonyspur-edge --metrics-port 9464) \
        >"$dir/router-$n.log" 2>&1 & pids+=($!); disown
done
sleep 0.5
ROUTER_PIDS="${pids[*]:1}" timeout 110 "$stand" "$case_name" "$here/record.txt" "$trouble" "$store" "${addresses[@]}"
code=$?
for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || echo "a process of the deployment has ended" | tee -a "$here/record.txt"
done
[ "$code" -le 1 ] || code=2
exit "$code"
