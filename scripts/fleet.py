"""Starts a fleet of real processes on loopback, sends it a load and measures the routers.

With a failure domain as an argument, kills all routers and engines of the domain half-way
through the load, without removing them from the instance list, and runs a second load.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = "target/release"
TOKEN = "token-of-the-fleet-operator"
ENGINES = 6
DOMAINS = 4
BASE_PORT = 21000
READY_SECONDS = 60
SETTLE_SECONDS = 5
COUNTERS = {"datagrams": "ebonyspur_datagram_sent_bytes_total",
            "peer_connections": "ebonyspur_peer_sent_bytes_total",
            "platform": "ebonyspur_platform_exchanged_bytes_total"}


def http(method, url, body=None, timeout=5):
    data = None if body is None else json.dumps(body).encode()
    headers = {"content-type": "application/json", "authorization": f"Bearer {TOKEN}"}
    req = urllib.request.Request(url, data=data, method=method, headers=headers)
    with urllib.request.urlopen(req, timeout=timeout) as answer:
        return answer.read().decode()


def wait_for(what, condition):
    deadline = time.monotonic() + READY_SECONDS
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            sys.exit(f"fleet: gave up waiting until {what}")
        time.sleep(0.2)


class Fleet:
    def __init__(self, routers, directory):
        self.routers = routers
        self.directory = directory
        self.processes = []
        self.router_processes = []
        self.domains = []
        self.platform = f"127.0.0.1:{BASE_PORT}"

    def kill_domain(self, domain):
        """Kills all routers and engines of a failure domain."""
        for process in self.members(domain):
            process.kill()

    def members(self, domain):
        return [process for process, process_domain in self.domains if process_domain == domain]

    def start(self, name, *args):
        log = open(os.path.join(self.directory, name + ".log"), "w")
        process = subprocess.Popen(args, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def stop(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def ports(self, number):
        first = BASE_PORT + 100 + 3 * number
        return [f"127.0.0.1:{port}" for port in range(first, first + 3)]

    def start_all(self):
        url = f"http://{self.platform}"
        self.start("platform", f"{BIN}/stand-in", "platform", "--listen", self.platform)
        wait_for("the platform answers", lambda: http("GET", url + "/v1/instances"))
        entry = json.load(open("scripts/demo-config.json"))
        http("POST", url + "/v1/log/config", entry)
        self.engines = [f"127.0.0.1:{BASE_PORT + 10 + n}" for n in range(ENGINES)]
        for number, address in enumerate(self.engines):
            self.start_backend("engine", f"engine-{number}", address, "planners", number)
        self.server = f"127.0.0.1:{BASE_PORT + 40}"
        self.start_backend("service", "trade-1", self.server, "trades", 0)
        for number in range(self.routers):
            self.start_router(number)
        for number in range(self.routers):
            wait_for(f"router {number} knows all others", lambda: self.is_ready(number))

    def start_backend(self, kind, name, address, pool, number):
        domain = f"d{number % DOMAINS}"
        process = self.start(
            name, f"{BIN}/stand-in", kind, "--listen", address, "--name", name,
            "--pool", pool, "--domain", domain, "--platform", f"http://{self.platform}")
        if kind == "engine":
            self.domains.append((process, domain))

    def start_router(self, number):
        callers, peers, operators = self.ports(number)
        domain = f"d{number % DOMAINS}"
        name = f"router-{number}"
        path = os.path.join(self.directory, name + ".yaml")
        with open(path, "w") as settings:
            json.dump({
                "router": {"name": name, "failure_domain": domain},
                "listen": {"callers": callers, "peers": peers, "operators": operators},
                "platform": {"url": f"http://{self.platform}"},
                "peers": {"keys": ["key-of-the-measured-fleet"]},
                "operators": [{"name": "fleet", "token": TOKEN}],
            }, settings)
        http("PUT", f"http://{self.platform}/v1/instances/{name}", {
            "kind": "router", "address": callers, "peer_address": peers,
            "failure_domain": domain, "state": "live"})
        process = self.start(name, f"{BIN}/ebonyspurd", "--settings", path)
        self.router_processes.append(process)
        self.domains.append((process, domain))

    def is_ready(self, number):
        state = json.loads(http("GET", f"http://{self.ports(number)[2]}/state"))
        known = len(state["routers"]) + 1 == self.routers
        return state["phase"] == "serving" and known

    def sample(self):
        samples = []
        for number, process in enumerate(self.router_processes):
            text = http("GET", f"http://{self.ports(number)[2]}/metrics", timeout=20)
            values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
            sample = {name: float(values[key]) for name, key in COUNTERS.items()}
            sample["cpu"] = cpu_seconds(process.pid)
            sample["memory"] = memory_bytes(process.pid)
            sample["at"] = time.monotonic()
            samples.append(sample)
        return samples

    def load(self, rate, seconds, lost_domain=None):
        callers = ",".join(self.ports(number)[0] for number in range(self.routers))
        caller = subprocess.Popen(
            [f"{BIN}/stand-in", "caller", "--routers", callers, "--rate", str(rate),
             "--seconds", str(seconds), "--engines", ",".join(self.engines),
             "--servers", self.server], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        self.processes.append(caller)
        if lost_domain:
            time.sleep(seconds / 2)
            self.kill_domain(lost_domain)
        output, _ = caller.communicate(timeout=seconds + 120)
        return json.loads(output)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def rates(before, after):
    """Returns the mean and the highest growth per second of each value over the routers."""
    result = {}
    for name in [*COUNTERS, "cpu"]:
        each = [(b[name] - a[name]) / (b["at"] - a["at"]) for a, b in zip(before, after)]
        result[name] = (sum(each) / len(each), max(each))
    return result


def describe(before, after):
    growth = rates(before, after)
    memory = [sample["memory"] / 1e6 for sample in after]
    control = {name: {"mean": round(growth[name][0]), "max": round(growth[name][1])}
               for name in COUNTERS}
    return {
        "control_bytes_per_s": control,
        "cpu_percent": {"mean": round(100 * growth["cpu"][0], 2),
                        "max": round(100 * growth["cpu"][1], 2)},
        "memory_mb": {"mean": round(sum(memory) / len(memory), 1),
                      "max": round(max(memory), 1)},
    }


REPORT_FIELDS = ["sent", "answered", "refused", "reasons", "mixed", "doubled", "cache_reuse",
                 "skew", "first_token_ms"]


def select_fields(report):
    return {key: report[key] for key in REPORT_FIELDS}


def measure(fleet, rate, seconds):
    time.sleep(SETTLE_SECONDS)
    first = fleet.sample()
    time.sleep(seconds / 2)
    idle = fleet.sample()
    report = fleet.load(rate, seconds)
    loaded = fleet.sample()
    return {"idle": describe(first, idle), "loaded": describe(idle, loaded),
            **select_fields(report)}


def measure_loss(fleet, rate, seconds, domain):
    time.sleep(SETTLE_SECONDS)
    during = fleet.load(rate, seconds, lost_domain=domain)
    after = fleet.load(rate, seconds)
    lost = {"domain": domain, "processes": len(fleet.members(domain))}
    return {"lost": lost, "during": select_fields(during), "after": select_fields(after)}


def main():
    routers, rate, seconds = (int(arg) for arg in sys.argv[1:4])
    domain = sys.argv[4] if len(sys.argv) > 4 else None
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(routers, directory)
        try:
            fleet.start_all()
            if domain:
                report = measure_loss(fleet, rate, seconds, domain)
            else:
                report = measure(fleet, rate, seconds)
        finally:
            fleet.stop()
    print(json.dumps({"routers": routers, "rate": rate, **report}))


main()
