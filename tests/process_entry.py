#!/usr/bin/env python3
"""Faults of entry instances and backend servers, with real processes."""
import socket
import sys
import threading
import time

import fleet as fleetlib


def running_servers(fleet, upstream):
    return [s for s in fleet.servers if s.upstream == upstream and s.running()]


def assert_served(fleet, entry="entry-1"):
    answer = fleet.get(entry, "/orders/1")
    assert answer.status == 200, answer


def crashing_lookup(fleet):
    """A request that crashes servers must not crash the whole upstream: it is
    quarantined after two servers."""
    before = len(running_servers(fleet, "lookup"))
    last = None
    for i in range(12):
        entry = fleet.entry_names[i % len(fleet.entry_names)]
        last = fleet.get(entry, "/orders/13?fault=crash")
        assert last.status in (502, 422, 503), last
        time.sleep(0.1)
    exited = before - len(running_servers(fleet, "lookup"))
    assert exited <= 2, f"{exited} of {before} servers crashed"
    assert last.status == 422 and last.json()["error"] == "quarantined", last
    assert last.json()["not_run"], last
    for entry in fleet.entry_names:
        assert_served(fleet, entry)
    print(f"crashing look-up: {exited} servers crashed by 12 requests")


def killed_servers_quarantine_no_request(fleet):
    """Servers are killed one after the other while they execute the same look-up,
    which is served in between: it must not be quarantined."""
    answers = []

    def look_up(entry):
        answers.append(fleet.get(entry, "/orders/5"))

    servers = running_servers(fleet, "lookup")
    for server in servers:
        fleetlib.request(server.address, "POST", "/testserver/work_ms/300")
    for server in servers[:3]:
        # Twelve copies are in flight, spread over all servers.
        threads = [threading.Thread(target=look_up, args=(entry,))
                   for entry in fleet.entry_names * 4]
        for thread in threads:
            thread.start()
        time.sleep(0.15)
        server.kill()
        for thread in threads:
            thread.join()
        server.start()
        fleetlib.wait_until("the look-up is served", lambda: fleet.get(
            "entry-1", "/orders/5").status == 200, 5)
        time.sleep(2.5)
    for server in servers:
        fleetlib.request(server.address, "POST", "/testserver/work_ms/5")
    statuses = sorted({answer.status for answer in answers})
    assert 422 not in statuses, statuses


def crashing_lookup_after_restart(fleet):
    """The quarantine must survive a restart of all instances: otherwise the same
    look-up crashes servers again."""
    before = len(running_servers(fleet, "lookup"))
    names = list(fleet.control_names) + list(fleet.entry_names)
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.start_instance(name)
    for name in fleet.entry_names:
        fleet.wait_ready(name)
    fleetlib.wait_until("entry-1 serves", lambda: fleet.get(
        "entry-1", "/orders/1").status == 200, 15)
    for i in range(6):
        fleet.get(fleet.entry_names[i % len(fleet.entry_names)], "/orders/13?fault=crash")
        time.sleep(0.1)
    exited = before - len(running_servers(fleet, "lookup"))
    assert exited == 0, f"{exited} of {before} servers crashed again"


def crashing_commitment(fleet):
    """A non-idempotent request that crashes a server reaches only one."""
    before = len(running_servers(fleet, "commitment"))
    answers = [fleet.post(e, "/commitments/66?fault=crash", b"x", "crash-66")
               for e in fleet.entry_names * 2]
    exited = before - len(running_servers(fleet, "commitment"))
    assert exited == 1, f"{exited} servers crashed"
    for answer in answers:
        assert answer.status in (409, 502), answer
        assert not answer.json()["not_run"], answer


def entry_killed_after_dispatch(fleet):
    """A non-idempotent request whose entry instance was killed after dispatch must
    not be executed again when the caller resends it."""
    def first():
        try:
            fleet.post("entry-3", "/commitments/70?fault=slow", b"roof", "roof-70")
        except OSError:
            pass
    for server in running_servers(fleet, "commitment"):
        fleetlib.request(server.address, "POST", "/testserver/work_ms/100")
    thread = threading.Thread(target=first)
    thread.start()
    fleetlib.wait_until("dispatched", lambda: fleet.runs("roof-70") == 1, 5)
    fleet.processes["entry-3"].kill()
    thread.join()
    for entry in ("entry-1", "entry-2"):
        answer = fleet.post(entry, "/commitments/70?fault=slow", b"roof", "roof-70")
        assert answer.status == 409, answer
        assert answer.json()["error"] == "claim_in_doubt", answer
        assert not answer.json()["not_run"], answer
    time.sleep(1.2)
    assert fleet.runs("roof-70") == 1
    for server in running_servers(fleet, "commitment"):
        fleetlib.request(server.address, "POST", "/testserver/work_ms/5")
    fleet.start_instance("entry-3")
    fleet.wait_ready("entry-3")
    fleetlib.wait_until("entry-3 serves", lambda: fleet.get(
        "entry-3", "/orders/1").status == 200, 15)


def leaving_server(fleet):
    """A backend server that leaves gets no new requests after 3 s."""
    server = running_servers(fleet, "lookup")[0]
    fleetlib.request(server.address, "POST", "/testserver/leave")
    end = time.monotonic() + 3.8
    at_limit = None
    start = time.monotonic()
    while time.monotonic() < end:
        for entry in fleet.entry_names:
            answer = fleet.get(entry, "/orders/1")
            assert answer.status == 200, answer
        if at_limit is None and time.monotonic() - start > 3:
            at_limit = fleet.server_stats(server)["after_leave"]
        if time.monotonic() - start < 3:
            late = fleet.server_stats(server)["after_leave"]
        time.sleep(0.02)
    assert fleet.server_stats(server)["after_leave"] == at_limit
    print(f"leaving server: {late} requests after its leave")
    assert server.wait(10) == 0


def restarted_server_same_address(fleet):
    """A server that restarts with the same address is used again, as a new
    incarnation."""
    server = running_servers(fleet, "lookup")[0]
    server.kill()
    assert_served(fleet)
    server.start()
    fleetlib.wait_until("restarted server works", lambda: (
        fleet.get("entry-1", "/orders/1").status == 200 and
        fleet.get("entry-2", "/orders/1").status == 200 and
        fleet.get("entry-3", "/orders/1").status == 200 and
        fleet.server_stats(server)["requests"] > 0), 15)


def stalled_connections(fleet):
    """Look-ups must be answered although the open connections to a server stall."""
    # The only server in the zone of entry-1, which therefore prefers it.
    for near in running_servers(fleet, "lookup"):
        if near.zone == "a1":
            near.kill()
    server = fleet.start_server("lookup", "a1", 7, 5, relay=True)
    fleetlib.wait_until("server behind the relay works", lambda: (
        [assert_served(fleet, "entry-1") for _ in range(10)] and
        fleet.server_stats(server)["requests"] > 5), 20)
    server.relay.stall_open_connections()
    slowest = 0.0
    for i in range(60):
        start = time.monotonic()
        answer = fleet.get("entry-1", "/orders/1")
        slowest = max(slowest, time.monotonic() - start)
        assert answer.status == 200, answer
    assert slowest < 5.0, slowest  # deadline_ms of the configuration
    print(f"stalled connections: slowest of 60 look-ups {slowest:.2f} s")


def frozen_server(fleet):
    """Look-ups must be answered although a server hangs."""
    server = running_servers(fleet, "lookup")[-1]
    server.freeze()
    try:
        for i in range(30):
            answer = fleet.get(fleet.entry_names[i % 3], "/orders/1")
            assert answer.status == 200, answer
    finally:
        server.thaw()


def planned_stop_during_upload(fleet):
    """A graceful shutdown must not break a request whose body is still being
    sent."""
    body = b"d" * 200000
    head = (f"POST /drawings/55 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            f"\r\nIdempotency-Key: stop-55\r\nConnection: close\r\nAuthorization: "
            f"Bearer {fleet.keys['kim-trusses']}\r\n\r\n").encode()
    host, port = fleet.callers["entry-2"].rsplit(":", 1)
    process = fleet.processes["entry-2"]
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        sock.sendall(head + body[:1000])
        process.terminate()
        fleetlib.wait_until("no longer named", lambda: "entry-2" not in [
            i["name"] for i in fleetlib.request(
                fleet.callers["entry-1"], "GET", "/v1/entry?client=10.2.0.1"
            ).json()["instances"]], 5)
        # Callers that use an earlier look-up answer are still served.
        assert fleet.get("entry-2", "/orders/1").status == 200
        for i in range(10):
            time.sleep(0.4)
            sock.sendall(body[1000 + i * 19900:1000 + (i + 1) * 19900])
        out = b""
        while part := sock.recv(65536):
            out += part
    assert b" 200 " in out[:16] and b'"body_bytes":200000' in out, out[:300]
    assert process.wait(20) == 0
    fleet.start_instance("entry-2")
    fleet.wait_ready("entry-2")


def planned_stop_of_leader(fleet):
    """A graceful shutdown of the leader must not break any request."""
    leader = fleet.leader()
    failures = []
    done = threading.Event()

    def load(entry):
        while not done.is_set():
            answer = fleet.get(entry, "/orders/1")
            if answer.status != 200:
                failures.append(answer)
            time.sleep(0.01)
    threads = [threading.Thread(target=load, args=(e,)) for e in fleet.entry_names]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.processes[leader].terminate()
    assert fleet.processes[leader].wait(10) == 0
    time.sleep(2.5)
    done.set()
    for thread in threads:
        thread.join()
    fleet.start_instance(leader)
    # An immediate refusal with a retry time is not a broken request.
    broken = [a for a in failures if a.status not in (429, 503)]
    assert not broken, broken
    reasons = {}
    for answer in failures:
        reason = answer.json()["error"]
        reasons[reason] = reasons.get(reason, 0) + 1
    print(f"shutdown of the leader: look-ups refused: {reasons}")
    # The load is within the rates, and the next leader takes over the buckets.
    assert "rate" not in reasons, reasons


def main():
    checks = fleetlib.Checks()
    with fleetlib.Fleet(sys.argv[1]) as fleet:
        fleet.start()
        fleet.start_servers(6)
        for case in (entry_killed_after_dispatch, restarted_server_same_address,
                     stalled_connections, frozen_server, leaving_server,
                     planned_stop_during_upload, planned_stop_of_leader,
                     crashing_commitment, killed_servers_quarantine_no_request,
                     crashing_lookup,
                     crashing_lookup_after_restart):
            checks.run(case.__name__, case, fleet)
        seen = sum(fleet.server_stats(s)["key_seen"] for s in fleet.servers
                   if s.running())
        checks.check("no backend server saw a key", seen == 0, seen)
        if checks.failed:
            fleet.print_logs()
    checks.exit()


if __name__ == "__main__":
    main()
