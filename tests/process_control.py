#!/usr/bin/env python3
"""Faults of control instances and of the links to them, with real processes."""
import shutil
import sys
import threading
import time

import fleet as fleetlib

LEASE_S = 3.0          # FLEET_LEASE_MS
LEASE_SLACK_S = 0.7    # duration of the commands and of the polling


def links_of(fleet, name):
    return [relay for (a, b), relay in fleet.relays.items() if name in (a, b)]


def cut(fleet, name):
    for relay in links_of(fleet, name):
        relay.cut()


def heal(fleet, name):
    for relay in links_of(fleet, name):
        relay.heal()


def send_request(fleet, entry="entry-1", customer="kim-trusses"):
    return fleet.get(entry, "/orders/1", customer)


def wait_serving(fleet, customer="kim-trusses"):
    for name in fleet.entry_names:
        fleetlib.wait_until(f"{name} serves", lambda: send_request(
            fleet, name, customer).status == 200, 15)


def add_exception(fleet, name, value, *extra):
    return fleet.cli_run("exception", "add", name, "--setting", "deadline_ms",
                         "--value", str(value), "--customer", "small-office",
                         "--reason", "Test of accepted changes.", *extra)


def exception_names(fleet):
    text = fleet.cli("config", "show")
    return {line.split("name:")[1].split(",")[0].strip(" \"'}")
            for line in text.splitlines()
            if "name:" in line and "x-" in line}


def withdrawn_key_at_cut_off_instance(fleet):
    """An entry instance cut off from the control instances must stop serving
    when its lease expires, since it does not learn of withdrawn keys."""
    key = fleet.grant("han-frames", "han-cut")
    wait_serving(fleet, "han-frames")
    cut(fleet, "entry-1")
    fleet.cli("key", "withdraw", "han-cut")
    start = time.monotonic()
    fleetlib.wait_until("request refused", lambda: send_request(
        fleet, "entry-1", "han-frames").status != 200, 10)
    elapsed = time.monotonic() - start
    answer = send_request(fleet, "entry-1", "han-frames")
    assert answer.json()["not_run"], answer
    assert elapsed <= LEASE_S + LEASE_SLACK_S, elapsed
    fleetlib.wait_until("no lease", lambda: send_request(
        fleet, "entry-1").json()["error"] == "no_lease", 5)
    named = fleetlib.request(fleet.callers["entry-1"], "GET",
                             "/v1/entry?client=10.1.0.1").json()["instances"]
    assert "entry-1" not in [i["name"] for i in named], named
    assert named, "a cut off instance must list others"
    answer = send_request(fleet, "entry-2", "han-frames")
    assert answer.status == 401, answer
    heal(fleet, "entry-1")
    wait_serving(fleet)
    answer = send_request(fleet, "entry-1", "han-frames")
    assert answer.status == 401, answer
    assert key not in fleet.processes["entry-1"].log_text()
    print(f"withdrawn key: refused at the cut off instance after {elapsed:.2f} s")


def instance_without_lease_does_not_listen(fleet):
    """A starting entry instance must not listen before it has a lease: it would
    have to refuse the requests."""
    fleet.processes["entry-3"].kill()
    cut(fleet, "entry-3")
    fleet.start_instance("entry-3")
    fleetlib.wait_until("operators' address answers", lambda: fleetlib.request(
        fleet.operators["entry-3"], "GET", "/v1/health").status == 503, 5)
    try:
        answer = send_request(fleet, "entry-3")
    except ConnectionRefusedError:
        answer = None
    assert answer is None, answer
    heal(fleet, "entry-3")
    fleet.wait_ready("entry-3")
    wait_serving(fleet)


def withdrawn_key_at_frozen_instance(fleet):
    """An entry instance must not execute a request based on its state from
    before it was frozen."""
    fleet.grant("han-frames", "han-frozen")
    wait_serving(fleet, "han-frames")
    process = fleet.processes["entry-2"]
    process.freeze()
    answers = []
    thread = threading.Thread(target=lambda: answers.append(
        fleet.get("entry-2", "/orders/1", "han-frames", timeout=20)))
    thread.start()
    fleet.cli("key", "withdraw", "han-frozen")
    time.sleep(LEASE_S + 0.5)
    process.thaw()
    thread.join(20)
    assert answers and answers[0].status in (401, 503), answers
    assert answers[0].json()["not_run"], answers
    wait_serving(fleet)


def accepted_change_survives_leader(fleet):
    """An acknowledged change must survive when the leader is killed."""
    for i in range(3):
        leader = fleet.leader()
        done = add_exception(fleet, f"x-kill-{i}", 4000 + i)
        assert done.returncode == 0, done.stderr
        fleet.processes[leader].kill()
        fleetlib.wait_until("new leader", fleet.status, 10)
        assert f"x-kill-{i}" in exception_names(fleet), f"x-kill-{i}"
        fleet.start_instance(leader)
        fleetlib.wait_until("restarted instance is ready", lambda: fleet.operator(
            leader, "GET", "/v1/health").status == 200, 10)
    wait_serving(fleet)


def isolated_leader_serves_nothing(fleet):
    """A leader cut off from the others must not accept changes or serve state."""
    old = fleet.leader()
    cut(fleet, old)
    fleetlib.wait_until("old leader refuses", lambda: fleet.operator(
        old, "GET", "/v1/config").status == 503, 5)
    fleetlib.wait_until("new leader", lambda: fleet.leader() != old, 10)
    done = add_exception(fleet, "x-isolated", 4500)
    assert done.returncode == 0, done.stderr
    answer = fleet.operator(old, "GET", "/v1/config")
    assert answer.status == 503, answer
    assert answer.json()["error"] == "not_leader", answer
    heal(fleet, old)
    time.sleep(2.5)
    assert "x-isolated" in exception_names(fleet)
    wait_serving(fleet)


def racing_operators(fleet):
    """Of concurrent changes to the same version exactly one is accepted; when it
    is sent again, the reply is repeated."""
    version = fleet.operator(fleet.leader(), "GET", "/v1/config").header(
        "Almondward-Version")
    results = []

    def change(i):
        results.append(add_exception(fleet, f"x-race-{i}", 5000 + i,
                                     "--version-expected", version,
                                     "--request-id", f"race-{i}"))
    threads = [threading.Thread(target=change, args=(i,)) for i in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    won = [r for r in results if r.returncode == 0]
    lost = [r for r in results if r.returncode == 1]
    assert len(won) == 1 and len(lost) == 4, [(r.returncode, r.stderr)
                                             for r in results]
    winner = next(iter(n for n in exception_names(fleet)
                       if n.startswith("x-race-")))
    i = int(winner.rsplit("-", 1)[1])
    change(i)
    assert results[-1].returncode == 0, results[-1].stderr
    assert results[-1].stdout == won[0].stdout, (results[-1].stdout,
                                                 won[0].stdout)


def lost_disk_then_second_loss(fleet):
    """A control instance that lost its disk must have the whole state again once
    it votes, so that another one may fail."""
    leader = fleet.leader()
    lost, second = [n for n in fleet.control_names if n != leader]
    before = exception_names(fleet)
    old = {v["name"]: v["incarnation"] for v in fleet.status()["voters"]}
    fleet.processes[lost].kill()
    data = fleet.dir / f"{lost}.data"
    shutil.rmtree(data)
    data.mkdir(mode=0o700)
    fleet.start_instance(lost)

    def replaced():
        now = {v["name"]: v["incarnation"] for v in fleet.status()["voters"]}
        return lost in now and now[lost] != old[lost]
    fleetlib.wait_until("replacement votes", replaced, 20)
    fleet.processes[leader].kill()
    fleetlib.wait_until("leader after second loss", fleet.status, 10)
    assert exception_names(fleet) == before
    done = add_exception(fleet, "x-after-repair", 4600)
    assert done.returncode == 0, done.stderr
    fleet.start_instance(leader)
    fleetlib.wait_until("all three voters are up", lambda: fleet.operator(
        leader, "GET", "/v1/health").status == 200, 10)
    wait_serving(fleet)


def hundreds_of_changes_then_restart(fleet):
    """The state after many changes must be restored from snapshot and log."""
    leader = fleet.leader()
    for i in range(300):
        answer = fleet.operator(
            leader, "POST", "/v1/exceptions", '{"name": "x-many-%d", "setting": "deadline_ms", '
            '"value": 4000, "reason": "One of many changes.", '
            '"customer": "small-office"}' % i,
            {"If-Match": "*", "Almondward-Operator-Request": f"many-{i}",
             "Content-Type": "application/json"})
        assert answer.status == 200, answer
        if i >= 20:
            answer = fleet.operator(
                leader, "DELETE", f"/v1/exceptions/x-many-{i - 20}",
                '{"reason": "No longer needed."}',
                {"If-Match": "*", "Almondward-Operator-Request": f"less-{i}",
                 "Content-Type": "application/json"})
            assert answer.status == 200, answer
    before = fleet.cli("config", "show")
    for name in fleet.control_names:
        fleet.processes[name].kill()
    for name in fleet.control_names:
        fleet.start_instance(name)
    fleetlib.wait_until("leader after restart", fleet.status, 15)
    assert fleet.cli("config", "show") == before
    wait_serving(fleet)


def drains(fleet):
    answer = fleet.operator(fleet.leader(), "GET", "/v1/drains")
    return {d["name"]: d for d in answer.json()["drains"]}


def drained_zone(fleet):
    """A drained zone gets no requests; load moves away no faster than the cap
    and returns after the drain is cancelled."""
    server = next(s for s in fleet.servers
                  if s.upstream == "lookup" and s.zone == "b1")
    # A new leader refuses drains until it knows the load, and the previous
    # case restarts all control instances.
    time.sleep(LEASE_S + 0.5)
    plan = ("drain", "plan", "move-b1", "--kind", "zone", "--target", "b1",
            "--ramp-s", "2", "--reason", "Planned work in zone b1.")
    results = []
    threads = [threading.Thread(target=lambda: results.append(
        fleet.cli_run(*plan))) for _ in range(2)]
    start = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(r.returncode for r in results)
    assert codes == [0, 1], [(r.returncode, r.stderr) for r in results]
    fleetlib.wait_until("drained", lambda: drains(fleet)["move-b1"][
        "share_permille"] == 1000, 20)
    elapsed = time.monotonic() - start
    # Half of the upstream moves, at most 100 permille of it per second; the
    # first step may come at once.
    assert elapsed >= 4.0, elapsed
    time.sleep(1)
    before = fleet.server_stats(server)["requests"]
    for i in range(30):
        answer = send_request(fleet, fleet.entry_names[i % len(fleet.entry_names)])
        assert answer.status == 200, answer
    assert fleet.server_stats(server)["requests"] == before
    fleet.cli("drain", "cancel", "move-b1")
    fleetlib.wait_until("zone used again", lambda: [
        send_request(fleet, "entry-2") for _ in range(5)] and
        fleet.server_stats(server)["requests"] > before, 20)
    print(f"drained zone: {elapsed:.1f} s for half of the upstream")


def no_majority_accepts_nothing(fleet):
    """One control instance of three alone must not accept changes, and the
    leases of the entry instances must expire."""
    for name in fleet.control_names[:2]:
        fleet.processes[name].kill()
    done = add_exception(fleet, "x-alone", 4700)
    assert done.returncode != 0, done.stdout
    fleetlib.wait_until("leases expired", lambda: send_request(fleet).status == 503, 8)
    assert send_request(fleet).json()["not_run"]
    for name in fleet.control_names[:2]:
        fleet.start_instance(name)
    wait_serving(fleet)


def main():
    checks = fleetlib.Checks()
    with fleetlib.Fleet(sys.argv[1], relays=True) as fleet:
        fleet.start()
        fleet.start_servers(2)
        for case in (withdrawn_key_at_cut_off_instance,
                     instance_without_lease_does_not_listen,
                     withdrawn_key_at_frozen_instance,
                     accepted_change_survives_leader,
                     isolated_leader_serves_nothing, racing_operators,
                     lost_disk_then_second_loss,
                     hundreds_of_changes_then_restart, drained_zone,
                     no_majority_accepts_nothing):
            checks.run(case.__name__, case, fleet)
        if checks.failed:
            fleet.print_logs()
    checks.exit()


if __name__ == "__main__":
    main()
