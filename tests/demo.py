#!/usr/bin/env python3
"""Runs the main use case once, end to end, with separate processes on loopback.

Exits with status 1 if any response is wrong.
"""
import hashlib
import sys
import time

import fleet as fleetlib


def log(text):
    print(text, flush=True)


def expect(condition, what):
    if not condition:
        raise AssertionError(what)


def body_hash(data):
    return hashlib.blake2b(data, digest_size=32).hexdigest()


def find_entry(fleet):
    """Asks an entry instance which ones a caller at 10.1.4.7 should use."""
    answer = fleetlib.request(fleet.callers["entry-2"], "GET",
                              "/v1/entry?client=10.1.4.7")
    expect(answer.status == 200, f"look-up: {answer}")
    found = answer.json()
    expect(found["instances"], f"look-up returned no instance: {answer}")
    first = found["instances"][0]
    expect(fleetlib.ZONES[first["zone"]] == "ra",
           f"look-up for a client in zone a1 returned {first}")
    log(f"look-up     client 10.1.4.7 -> {first['name']} in {first['zone']}, "
        f"lifetime {found['ttl_s']} s")
    return first["name"]


def read_order(fleet, entry):
    answer = fleet.get(entry, "/orders/1174?span=9m")
    expect(answer.status == 200, f"read: {answer}")
    served = answer.json()
    expect(served["customer"] == "kim-trusses", f"wrong customer: {answer}")
    log(f"read        GET /orders/1174 -> {served['server']} in {served['zone']}")
    return answer.header("Almondward-Request-Id")


def commit_order(fleet, entry):
    body = b'{"order": 1174, "cut": true}'
    first = fleet.post(entry, "/commitments/1174", body, "order-1174")
    expect(first.status == 200, f"commitment: {first}")
    expect(first.json()["body_hash"] == body_hash(body),
           "server received another commitment body")
    # Once the result is committed, a repeated request gets the stored response.
    repeated = fleetlib.wait_until("stored response", lambda: next(
        (a for a in [fleet.post("entry-3", "/commitments/1174", body, "order-1174")]
         if a.status == 200), None), 5)
    expect(repeated.header("Almondward-Replayed") == "1",
           f"repeated request: {repeated}")
    expect(repeated.body == first.body, "repeated request got another response")
    runs = fleet.runs("order-1174")
    expect(runs == 1, f"the commitment ran {runs} times")
    log(f"commitment  POST /commitments/1174 -> {first.json()['server']}; "
        "repeated through entry-3: same response, ran once")


def submit_drawing(fleet, entry):
    body = bytes(range(256)) * 4096
    answer = fleet.post(entry, "/drawings/1174", body, "drawing-1174")
    expect(answer.status == 200, f"drawing: {answer}")
    expect(answer.json()["body_bytes"] == len(body), "drawing is incomplete")
    expect(answer.json()["body_hash"] == body_hash(body),
           "server received another drawing")
    log(f"drawing     POST /drawings/1174, {len(body)} bytes -> "
        f"{answer.json()['server']}, complete")


def withdraw_key(fleet, entry):
    fleet.cli("key", "withdraw", "han-frames-1")
    start = time.monotonic()
    fleetlib.wait_until("withdrawn key refused", lambda: fleet.get(
        entry, "/orders/1", "han-frames").status == 401, 5)
    log(f"withdrawal  refused {time.monotonic() - start:.2f} s after the "
        "operator's command")


def explain(fleet, request_id):
    text = fleet.cli("explain", request_id)
    expect("five seconds" in text, f"explain does not print the reason: {text}")
    log(f"explain     {request_id}")
    for line in text.splitlines():
        log("            " + line)


def check_servers(fleet):
    for server in fleet.servers:
        stats = fleet.server_stats(server)
        expect(stats["key_seen"] == 0, f"{server.name} received a caller's key")
        expect(stats["overrun"] == 0,
               f"{server.name} received requests beyond its slots")
    log("servers     none received a caller's key or requests beyond its slots")


def stop_all(fleet):
    for name in fleet.entry_names + fleet.control_names:
        fleet.processes[name].terminate()
    for name in fleet.entry_names + fleet.control_names:
        status = fleet.processes[name].wait(20)
        expect(status == 0, f"{name} exited with status {status}")
    log("stop        all instances exited with status 0")


def main():
    start = time.monotonic()
    with fleetlib.Fleet(sys.argv[1]) as fleet:
        fleet.start()
        fleet.start_servers()
        log(f"start       {len(fleet.control_names)} control instances, "
            f"{len(fleet.entry_names)} entry instances, {len(fleet.servers)} "
            f"simulated backend servers in {time.monotonic() - start:.1f} s")
        entry = find_entry(fleet)
        request_id = read_order(fleet, entry)
        commit_order(fleet, entry)
        submit_drawing(fleet, entry)
        explain(fleet, request_id)
        withdraw_key(fleet, entry)
        check_servers(fleet)
        stop_all(fleet)
    log(f"done in {time.monotonic() - start:.1f} s")


if __name__ == "__main__":
    try:
        main()
    except AssertionError as err:
        print(f"demo failed: {err}", file=sys.stderr)
        sys.exit(1)
