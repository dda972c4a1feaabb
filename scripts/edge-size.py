#!/usr/bin/env python3
"""Measures memory and processor time of one router of the platform, idle and with 200 streams.

Starts a simulated store, two simulated engines and one router (release builds) on loopback,
opens streams and prints one JSON line.
"""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "target/release"
STREAMS = 200
HOST = "chats.example"


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def put(port, path, body):
    url = f"http://127.0.0.1:{port}{path}"
    req = urllib.request.Request(url, data=body.encode(), method="PUT")
    for _ in range(100):
        try:
            return urllib.request.urlopen(req, timeout=5).read()
        except OSError:
            time.sleep(0.05)
    sys.exit(f"no answer from {url}")


def memory(pid):
    """Returns the private, the private dirty and the whole resident memory in kB."""
    fields = {}
    for line in open(f"/proc/{pid}/smaps_rollup"):
        parts = line.split()
        if parts[0].endswith(":") and len(parts) > 1 and parts[1].isdigit():
            fields[parts[0][:-1]] = int(parts[1])
    private = fields["Private_Clean"] + fields["Private_Dirty"]
    return {"private_kb": private, "dirty_kb": fields["Private_Dirty"], "resident_kb": fields["Rss"]}


def processor_seconds(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def stream(port, number):
    """Opens a stream and reads it to its end."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        head = (
            f"POST /stream/ HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: a{number}\r\n"
            f"x-prefix-hash: 1:500,{number % 70:x}:9000,{number + 1000:x}:200\r\n"
            "x-deadline-ms: 60000\r\ncontent-length: 12000\r\nconnection: close\r\n\r\n"
        )
        sock.sendall(head.encode() + b"x" * 12000)
        while sock.recv(65536):
            pass


def config():
    route = {
        "name": "r", "host": HOST, "path_prefix": "/stream/", "route_kind": "streaming",
        "timeout_ms": 60000, "latency_goal_ms": 800, "priority": 1, "service": "writers",
        "max_attempts": 2, "sticky": True, "resumable": True,
    }
    routes = [dict(route, path_prefix=f"/filler{n}/") for n in range(120)] + [route]
    services = [{"name": "writers", "max_conns": 800, "engine": {}}]
    return json.dumps({"version": 1, "routes": routes, "services": services})


def main():
    processes = []
    folder = tempfile.mkdtemp()
    store, *ports = [free_port() for _ in range(8)]

    def start(*args):
        processes.append(subprocess.Popen([str(arg) for arg in args], stdout=subprocess.DEVNULL))
        return processes[-1]

    try:
        start(PROGRAMS / "stand-in", "store", "--listen", f"127.0.0.1:{store}")
        put(store, "/record/keyed.op/config", config())
        for number in (1, 2):
            start(PROGRAMS / "stand-in", "replica", "--listen", f"127.0.0.1:{ports[number]}",
                  "--name", f"engine-{number}", "--pool", "writers", "--slots", 400,
                  "--store", f"127.0.0.1:{store}")
        settings = pathlib.Path(folder, "node.conf")
        settings.write_text(
            f"node_name=router-1\nzone=z\nlisten.front=127.0.0.1:{ports[3]}\n"
            f"listen.ready=127.0.0.1:{ports[4]}\nlisten.directory=127.0.0.1:{ports[5]}\n"
            f"internal_ports={ports[6]},{ports[6]}\nplatform.address=127.0.0.1:{store}\n"
            "limits.max_fds=2870\n")
        router = start(PROGRAMS / "ebonyspur-edge", "--settings", settings)
        time.sleep(3)
        idle_memory, cpu_before = memory(router.pid), processor_seconds(router.pid)
        time.sleep(5)
        idle = (processor_seconds(router.pid) - cpu_before) / 5
        threads = [threading.Thread(target=stream, args=(ports[3], n)) for n in range(STREAMS)]
        cpu_before = processor_seconds(router.pid)
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        memory_with_streams = memory(router.pid)
        for thread in threads:
            thread.join()
        spent = processor_seconds(router.pid) - cpu_before
        memory_after = memory(router.pid)
        print(json.dumps({
            "at_rest": idle_memory, "with_streams": memory_with_streams, "after": memory_after,
            "streams": STREAMS, "idle_cores": round(idle, 4),
            "ms_each_stream": round(1000 * spent / STREAMS, 3),
        }))
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(10)


main()
