#!/usr/bin/env python3
"""Measures the cost of requests, look-ups and control traffic on this machine.

usage: loadgen/capacity.py BUILD [--json FILE]

Prints the measurements from which docs/CAPACITY.md derives its cost per unit.
The script pins itself and its processes to two cores. Costs are processor time
from /proc, so other work on the machine affects them little; rates and
latencies are wall-clock time and do depend on it.
"""
import argparse
import json
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import threading
import time

import yaml

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
import fleet as fleetlib  # noqa: E402

CORES = 2
WINDOW_S = 4.0
STEP_MS = 2000
RATES_PER_S = (1000, 2000, 4000, 8000, 12000)
COST_RATE_PER_S = 1000     # far below saturation on two shared cores
IDLE_CONNECTIONS = (0, 1000, 5000)
LATENCY_REQUESTS = 1500
CHANGES_PER_S = 5
PROPAGATION_CHANGES = 20
CUSTOMER = "customer-1"
LOOKUP_TARGET = "/v1/entry?client=10.1.2.3"
NR_CLIENT_BLOCKS = 2000
# Load in a measurement window, for the whole fleet: changes of the plan per
# second and requests per second.
NO_LOAD, CHANGES, REQUESTS = (0, 0), (CHANGES_PER_S, 0), (0, 600)
# Each row is a fleet: numbers of entry instances, customers, backend servers and
# client blocks, and the windows to measure.
FLEETS = (
    (3, 8, 9, 0, (NO_LOAD,)),
    (6, 8, 9, 0, (NO_LOAD, CHANGES, REQUESTS)),
    (12, 8, 9, 0, (NO_LOAD,)),
    (6, 64, 9, 0, (NO_LOAD, CHANGES)),
    (6, 8, 36, 0, (NO_LOAD,)),
    (12, 8, 36, 0, (NO_LOAD,)),
    (6, 8, 9, NR_CLIENT_BLOCKS, (NO_LOAD, CHANGES)),
)


class CountingRelay(fleetlib.Relay):
    """A relay that counts the bytes it forwards in each direction."""

    def __init__(self, target, delay_s=0.0):
        self.forward_bytes = self.back_bytes = 0
        super().__init__(target, delay_s)

    def _move(self, src, dst, cut, pair):
        try:
            data = src.recv(65536)
            if data:
                dst.sendall(data)
        except OSError:
            data = b""
        if src is pair[0]:
            self.forward_bytes += len(data)
        else:
            self.back_bytes += len(data)
        if not data:
            for sock in pair:
                sock.close()
            if pair in self.pairs:
                self.pairs.remove(pair)


def fleet_config(customers, blocks=0, ttl_s=1):
    document = yaml.safe_load(fleetlib.CONFIG)
    document["customers"] = [
        {"name": f"customer-{i + 1}", "rate_per_s": 20000, "burst": 20000,
         "weight": 1} for i in range(customers)]
    zones = list(fleetlib.ZONES)
    if blocks:
        document["client_blocks"] = [
            {"prefix": f"10.{i // 256}.{i % 256}.0/24", "zone": zones[i % 6]}
            for i in range(blocks)]
    document["defaults"]["lookup_ttl_s"]["value"] = ttl_s
    return yaml.safe_dump(document, sort_keys=False)


def make_fleet(build, entries, customers, blocks=0, relays=False):
    fleet = fleetlib.Fleet(build, entries=entries, relays=relays,
                           config=fleet_config(customers, blocks))
    for path in fleet.dir.glob("*.yaml"):
        path.write_text(path.read_text().replace("level: debug", "level: info"))
    return fleet


def start(fleet, upstreams, settle_s):
    """Starts the fleet with servers for each of the upstreams, given as (name,
    number of servers, slots), and waits until all servers are active."""
    fleet.start([CUSTOMER])
    zones = list(fleetlib.ZONES)
    for name, number, slots in upstreams:
        for i in range(number):
            fleet.start_server(name, zones[i % 6], slots, 0)
    fleetlib.wait_until("all servers are active", lambda: len([
        s for s in fleet.status()["servers"] if s["state"] == "active"]) ==
        len(fleet.servers), 30)
    time.sleep(settle_s)


def cpu_us(process):
    """Returns the processor time used so far. Prefers schedstat, because stat
    has a resolution of 10 ms only."""
    pid = process.popen.pid
    try:
        ns = int(pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0])
        if ns:
            return ns / 1000
    except OSError:
        pass
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


def rss_kb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text() \
            .splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise RuntimeError("no VmRSS")


def run_load(build, targets, path, rate, key="", duration_ms=STEP_MS):
    """Runs loadgen with a single stream and returns the result of that stream."""
    plan = {"seed": 1, "duration_ms": duration_ms, "targets": targets,
            "streams": [{"name": "s", "method": "GET", "target": path,
                         "rate_per_s": rate, "body_bytes": 0, "key": key,
                         "idempotent": True, "deadline_ms": 5000,
                         "start_ms": 0, "end_ms": duration_ms}]}
    done = subprocess.run([str(pathlib.Path(build) / "loadgen")], text=True,
                          input=json.dumps(plan), capture_output=True, timeout=60)
    if done.returncode:
        raise RuntimeError(done.stderr)
    return json.loads(done.stdout)["streams"][0]


def measure_load(build, process, target, path, rate, key=""):
    """Returns the results and the processor time per request of `process` at
    the given rate."""
    before = cpu_us(process)
    stream = run_load(build, [target], path, rate, key)
    return {"offered_per_s": rate, "ok_per_s": stream["ok"] * 1000 / STEP_MS,
            "sent": stream["sent"], "ok": stream["ok"], "refused": stream["refused"],
            "us_each": round((cpu_us(process) - before) / max(stream["sent"], 1), 1)}


def measure_rate_steps(build, process, target, path, key=""):
    """Raises the rate until less than 99% of the requests succeed."""
    steps = []
    for rate in RATES_PER_S:
        steps.append(measure_load(build, process, target, path, rate, key))
        if steps[-1]["ok"] < 0.99 * steps[-1]["sent"]:
            break
    return steps


class PersistentConnection:
    """A persistent connection that sends one request at a time."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = address

    def get(self, path, key=""):
        auth = f"Authorization: Bearer {key}\r\n" if key else ""
        self.sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n{auth}"
                          "\r\n".encode())
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, body = data.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                      if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            body += self._receive()
        return int(head.split(b" ", 2)[1]), body

    def _receive(self):
        data = self.sock.recv(65536)
        if not data:
            raise OSError("connection closed")
        return data

    def close(self):
        self.sock.close()


def quantile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def measure_latency(direct, through, key):
    """Compares the latency of a server with that of an entry instance in front of
    it. Alternates the requests, so that both see the same load of the machine."""
    direct_conn, entry_conn = PersistentConnection(direct), PersistentConnection(through)
    times = ([], [])
    failed = 0
    for _ in range(LATENCY_REQUESTS):
        for conn, use_key, out in ((direct_conn, "", times[0]),
                                   (entry_conn, key, times[1])):
            begin = time.perf_counter()
            status, _ = conn.get("/orders/x", use_key)
            out.append((time.perf_counter() - begin) * 1000)
            failed += status != 200
    direct_conn.close()
    entry_conn.close()
    row = {"failed": failed}
    for q, name in ((0.5, "p50"), (0.99, "p99")):
        row[f"direct_{name}_ms"] = round(quantile(times[0], q), 3)
        row[f"entry_{name}_ms"] = round(quantile(times[1], q), 3)
        row[f"added_{name}_ms"] = round(
            row[f"entry_{name}_ms"] - row[f"direct_{name}_ms"], 3)
    return row


def measure_idle_connections(build, process, target, key):
    """Measures memory and cost per request with open idle connections."""
    rows, conns = [], []
    host, port = target.rsplit(":", 1)
    for number in IDLE_CONNECTIONS:
        while len(conns) < number:
            conns.append(socket.create_connection((host, int(port)), timeout=5))
        time.sleep(0.5)
        row = measure_load(build, process, target, "/orders/x", COST_RATE_PER_S, key)
        rows.append({"idle": number, "rss_kb": rss_kb(process), **row})
    for conn in conns:
        conn.close()
    return rows


def measure_requests(build):
    """Measures requests and look-ups at one entry instance with two servers."""
    fleet = make_fleet(build, 1, 8)
    with fleet:
        start(fleet, (("lookup", 2, 64),), 12)
        entry = fleet.processes["entry-1"]
        target, key = fleet.callers["entry-1"], fleet.keys[CUSTOMER]
        server = fleet.servers[0]
        out = {"latency": measure_latency(server.address, target, key)}
        # Before the rate steps, whose queues leave free memory in the heap.
        out["idle"] = measure_idle_connections(build, entry, target, key)
        time.sleep(1)
        out["direct"] = measure_rate_steps(build, server, server.address, "/orders/x")
        out["through_entry"] = measure_rate_steps(build, entry, target, "/orders/x", key)
        out["lookups"] = measure_rate_steps(build, entry, target, LOOKUP_TARGET)
    return out


def apply_change(fleet, leader, number):
    """Creates (even number) or deletes (odd number) the same exception."""
    answer = fleet.operator(
        leader, "POST" if number % 2 == 0 else "DELETE",
        "/v1/exceptions" + ("" if number % 2 == 0 else "/capacity"),
        json.dumps({"name": "capacity", "setting": "queue_wait_ms", "value": 1000,
                    "reason": "Change of the measurement.",
                    "customer": CUSTOMER} if number % 2 == 0 else
                   {"reason": "End of the measurement."}),
        {"If-Match": "*", "Almondward-Operator-Request": f"capacity-{number}"})
    return answer.status == 200


def measure_window(fleet, changes_per_s):
    """Returns the traffic, processor time and memory of the instances during
    WINDOW_S, at a given rate of changes."""
    leader = fleet.leader()
    follower = next(n for n in fleet.control_names if n != leader)
    names = list(fleet.processes)

    def snapshot():
        return (time.monotonic(),
                {n: cpu_us(fleet.processes[n]) for n in names},
                {k: (r.forward_bytes, r.back_bytes)
                 for k, r in fleet.relays.items()})

    t0, cpu0, bytes0 = snapshot()
    done = number = 0
    while time.monotonic() - t0 < WINDOW_S:
        if changes_per_s:
            done += apply_change(fleet, leader, number)
            number += 1
        pause = t0 + number / changes_per_s - time.monotonic() \
            if changes_per_s else 0.1
        time.sleep(max(0, pause))
    t1, cpu1, bytes1 = snapshot()
    span = t1 - t0
    rates = {k: ((bytes1[k][0] - bytes0[k][0]) / span,
                 (bytes1[k][1] - bytes0[k][1]) / span) for k in bytes1}

    def mean_of(values):
        return round(statistics.mean(values), 2)

    entries = fleet.entry_names
    leader_now = fleet.leader()
    return {
        "changes_per_s": round(done / span, 2),
        "leader_changed": leader_now != leader,
        "entry_sent_bytes_per_s": mean_of(
            [sum(rates[(n, c)][0] for c in fleet.control_names) for n in entries]),
        "entry_received_bytes_per_s": mean_of(
            [sum(rates[(n, c)][1] for c in fleet.control_names) for n in entries]),
        "leader_bytes_per_s": round(sum(sum(r) for k, r in rates.items()
                                        if leader in k), 1),
        "follower_bytes_per_s": round(sum(sum(r) for k, r in rates.items()
                                          if follower in k), 1),
        "entry_cpu_ms_per_s": mean_of(
            [(cpu1[n] - cpu0[n]) / 1000 / span for n in entries]),
        "leader_cpu_ms_per_s": round((cpu1[leader] - cpu0[leader]) / 1000 / span, 2),
        "follower_cpu_ms_per_s": round(
            (cpu1[follower] - cpu0[follower]) / 1000 / span, 2),
        "entry_rss_kb": mean_of([rss_kb(fleet.processes[n]) for n in entries]),
        "leader_rss_kb": rss_kb(fleet.processes[leader]),
        "follower_rss_kb": rss_kb(fleet.processes[follower]),
    }


def measure_window_under_load(build, fleet, changes_per_s, requests_per_s):
    """Like measure_window(), while requests are served at a given rate. Requests
    make the reports larger, since these include the tokens used."""
    if not requests_per_s:
        return measure_window(fleet, changes_per_s)
    stream = {}
    thread = threading.Thread(target=lambda: stream.update(run_load(
        build, list(fleet.callers.values()), "/orders/x", requests_per_s,
        fleet.keys[CUSTOMER], int(1000 * WINDOW_S) + 2000)))
    thread.start()
    time.sleep(1)
    row = measure_window(fleet, changes_per_s)
    thread.join()
    return {**row, "sent": stream["sent"], "ok": stream["ok"]}


def measure_lookup(build, fleet):
    """Measures a look-up, which ranks and lists all entry instances, so that its
    cost grows with their number."""
    name = fleet.entry_names[0]
    row = measure_load(build, fleet.processes[name], fleet.callers[name],
                       LOOKUP_TARGET, COST_RATE_PER_S)
    body = fleetlib.request(fleet.callers[name], "GET", LOOKUP_TARGET).body
    return {"lookup_us": row["us_each"], "lookup_bytes": len(body)}


def measure_control(build):
    """Measures control traffic of fleets of several sizes, see FLEETS."""
    rows = []
    for entries, customers, servers, blocks, windows in FLEETS:
        with make_fleet(build, entries, customers, blocks, relays=True) as fleet:
            start(fleet, [(u, servers // 3, 5) for u in
                          ("lookup", "commitment", "drawing")], 4)
            for rate, requests in windows:
                row = {"entries": entries, "customers": customers,
                       "servers": servers, "blocks": blocks,
                       "requests_per_s": requests,
                       **measure_window_under_load(build, fleet, rate, requests)}
                if not rate and not requests:
                    row.update(measure_lookup(build, fleet))
                rows.append(row)
                print(json.dumps(row), flush=True)
    return rows


def measure_propagation(build, entries=12):
    """Measures the time until a new default is in force at all entry instances,
    as seen in their look-ups."""
    from_response_ms, from_request_ms = [], []
    with make_fleet(build, entries, 8) as fleet:
        start(fleet, (("lookup", 3, 5),), 2)
        leader = fleet.leader()
        conns = [PersistentConnection(a) for a in fleet.callers.values()]
        for i in range(PROPAGATION_CHANGES):
            ttl_s = 2 + i
            begin = time.monotonic()
            answer = fleet.operator(
                leader, "PUT", "/v1/config", fleet_config(8, ttl_s=ttl_s),
                {"If-Match": "*", "Almondward-Operator-Request": f"force-{i}"})
            response_at = time.monotonic()
            if answer.status != 200:
                raise RuntimeError(f"change refused: {answer}")
            pending = list(conns)
            while pending:
                pending = [c for c in pending if
                           json.loads(c.get(LOOKUP_TARGET)[1])["ttl_s"] != ttl_s]
                if time.monotonic() - response_at > 10:
                    raise RuntimeError(f"{len(pending)} instances lack the change")
            end = time.monotonic()
            from_response_ms.append((end - response_at) * 1000)
            from_request_ms.append((end - begin) * 1000)
        for conn in conns:
            conn.close()
    return {"entries": entries, "changes": PROPAGATION_CHANGES,
            "from_answer_p50_ms": round(statistics.median(from_response_ms), 1),
            "from_answer_max_ms": round(max(from_response_ms), 1),
            "from_request_p50_ms": round(statistics.median(from_request_ms), 1),
            "from_request_max_ms": round(max(from_request_ms), 1)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--json")
    args = parser.parse_args()
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-CORES:])
    fleetlib.Relay = CountingRelay
    begin = time.monotonic()
    result = {}
    for name, measure in (("requests", measure_requests),
                          ("in_force", measure_propagation),
                          ("control", measure_control)):
        print(f"== {name}", flush=True)
        result[name] = measure(args.build)
        if name == "requests":
            for key, value in result[name].items():
                for row in value if isinstance(value, list) else [value]:
                    print(f"{key}: {json.dumps(row)}")
        elif name == "in_force":
            print(json.dumps(result[name]))
    result["seconds"] = round(time.monotonic() - begin, 1)
    print(f"== run took {result['seconds']} s")
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
