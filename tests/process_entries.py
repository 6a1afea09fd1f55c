#!/usr/bin/env python3
"""Odd entries beside good ones, with real processes: heartbeats, departures and
configurations of another writer, with values that no upstream or operator sends."""
import asyncio
import json
import signal
import time

import cluster as clusterlib

DEPTH = 100000  # of nested lists and objects; beyond what a parser's stack holds
NUMBERS = ("-1", "0", "1.5", "1e400", "-1e400", "1e30", "9223372036854775808",
           "18446744073709551616", "NaN", "Infinity", '"4"', "null", "[4]", "{}")
STRINGS = ("7", "null", "true", "[]", "{}", '""', '"\\u0000"', '"a\\nb"', '"' + "n" * 5000 + '"')
ADDRESSES = ("127.0.0.1", ":80", "localhost:80", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
             "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:80x", "127.0.0.1: 80", "127.0.0.256:80",
             "::1:80", "[::1]:0", "[::1]", "0.0.0.0:80", "[::]:80", "127.0.0.1:80\\u0000")


def odd_heartbeats():
    """Returns the bodies of heartbeats of the service "desk", each of which is odd
    in one way, so that it names no upstream."""
    good = {"service": '"desk"', "address": '"127.0.0.1:9"', "zone": '"a1"', "version": '"v1"',
            "concurrency": "8", "state": '"ready"', "coldRemainingS": "0", "sequence": "1",
            "born": "1700000000000"}

    def body(**changed):
        members = {**good, **changed}
        return ("{" + ",".join(f'"{n}":{v}' for n, v in members.items() if v is not None)
                + "}").encode()

    # 0 and null are numbers that some members may have.
    bodies = [body(**{name: value}) for name in ("concurrency", "sequence", "born",
                                                 "coldRemainingS")
              for value in NUMBERS if value not in ("0", "null", "1.5") or name == "concurrency"]
    bodies += [body(**{name: value}) for name in ("service", "address", "zone", "state")
               for value in STRINGS]
    bodies += [body(address=f'"{address}"') for address in ADDRESSES]
    bodies += [body(**{name: None}) for name in ("service", "address", "zone", "state",
                                                 "concurrency", "sequence")]
    bodies += [body(service='"unnamed"'), body(state='"happy"'), body(concurrency="100001"),
               body(coldRemainingS="3601"), body(born="9007199254740991")]
    for text in ("[" * DEPTH, '{"a":' * DEPTH, "[" * DEPTH + "]" * DEPTH):
        bodies += [text.encode(), body(concurrency=text), body(extra=text)]
    bodies += [b"", b"null", b"[]", b"\xff\xfe\x00", body()[:60], body() + b"x",
               body(service='"\xff\xfe"'), body().replace(b"desk", b"de\x00sk")]
    return bodies


class Callers:
    """Callers that send requests one after the other, all of which must be served."""
    def __init__(self, cluster, entry, nr=4):
        self.cluster, self.entry = cluster, entry
        self.statuses = {}
        self.tasks = [asyncio.create_task(self.run()) for _ in range(nr)]

    async def run(self):
        while True:
            number = self.cluster.rng.randrange(200)
            if number % 2:
                answer = await self.cluster.request(self.entry, f"/read/{number}")
            else:
                answer = await self.cluster.request(self.entry, f"/write/{number}", "POST", b"x")
            status = answer and answer.status
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(0.01)

    async def check(self):
        for task in self.tasks:
            task.cancel()
        print(f"# statuses at {self.entry}: {self.statuses}", flush=True)
        assert set(self.statuses) == {200}, self.statuses


def check_processes(cluster):
    for name, process in cluster.processes.items():
        assert process.poll() is None, f"{name} exited with {process.poll()}"


def leader_name(cluster):
    """Returns the name of the leader, as the entry instances have found it last."""
    found = [line for line in cluster.logs()["entry-0"].splitlines() if "outcome=found" in line]
    address = found[-1].split("leader=")[1].split()[0]
    ip = address.rsplit(":", 1)[0]
    return next(name for name, (at, _, _) in cluster.instances.items() if at == ip)


async def check_each_is_used(cluster):
    """Checks that each server gets requests. A far one gets few unless the near ones
    are down, so those that got one end until all have."""
    before = {name: len(server.arrivals) for name, server in cluster.servers.items()}
    unused = list(before)

    async def another_is_used():
        await cluster.request("entry-0", f"/read/{cluster.rng.randrange(200)}")
        return any(len(cluster.servers[name].arrivals) > before[name] for name in unused)

    while unused:
        await cluster.wait(f"one of {unused} gets requests", another_is_used, 5)
        for name in list(unused):
            if len(cluster.servers[name].arrivals) > before[name]:
                unused.remove(name)
                cluster.servers[name].end(60)


async def restart(cluster, name):
    cluster.kill(name)
    await asyncio.sleep(0.3)
    cluster.start(name)


async def odd_heartbeats_name_no_upstream(cluster):
    """Odd heartbeats at every control instance, beside good ones, while the
    configuration changes and a control and an entry instance restart: no process
    ends, every server gets requests, and no request is sent to, or waits for, an
    upstream that an odd entry names."""
    bodies = odd_heartbeats()
    answers = {}

    async def send(control):
        address = cluster.address(control, "control")
        for number, body in enumerate(bodies):
            answer = await clusterlib.call(address, "PUT", f"/api/instances/odd-{number}", None,
                                           body, 1.0)
            status = answer and answer.status
            answers.setdefault(status, []).append((control, number))

    callers = Callers(cluster, "entry-0")
    controls = cluster.names("control")
    end = time.monotonic() + 3
    while time.monotonic() < end:
        await asyncio.gather(*(send(name) for name in controls))
    server_errors = [s for s in answers if s is None or s >= 500]
    assert not server_errors, {s: answers[s][:5] for s in server_errors}
    accepted = {bodies[number][:120] for _, number in answers.get(200, [])}
    print(f"# {len(bodies)} odd heartbeats, accepted: {accepted}", flush=True)

    config = dict(clusterlib.CONFIG, version=2)
    config["routes"] = [dict(r, timeoutS=2.75) for r in config["routes"]]
    assert (await cluster.put_config(config, 1)).status == 200
    follower = next(name for name in controls if name != leader_name(cluster))
    await restart(cluster, follower)
    await restart(cluster, "entry-1")
    await cluster.wait("entry-1 serves", lambda: cluster.serves("entry-1"), 15)
    await asyncio.gather(*(send(name) for name in controls))
    check_processes(cluster)
    await callers.check()
    await check_each_is_used(cluster)
    for name in cluster.names("entry"):
        tried = [line for line in cluster.logs()[name].splitlines() if "server=odd-" in line]
        assert not tried, (len(tried), tried[:2])
    read = await cluster.read_config()
    assert read == config, read


async def odd_notices_remove_no_upstream(cluster):
    """Notices of a departure, with the id of a server that runs, whose body cannot be
    read or names a start in the far future: the server keeps getting requests, and
    its later heartbeats still count."""
    bodies = [b"[" * DEPTH, b"{", b"[]", b"7", b"\xff", b"\0", b'{"born":1e400}', b'{"born":"1"}',
              b'{"born":-1}', b'{"born":1.5}', b'{"born":[]}', b'{"born":9007199254740991}']
    server = cluster.servers["server-0"]
    callers = Callers(cluster, "entry-0")
    for address in cluster.control_order():
        for body in bodies:
            answer = await clusterlib.call(address, "DELETE", f"/api/instances/{server.name}",
                                           None, body, 1.0)
            assert answer and answer.status < 500, (body[:20], answer and answer.status)
        draining = server.heartbeat_body().replace(b'"ready"', b'"draining"')
        draining = draining.replace(str(server.born).encode(), b"9007199254740991")
        await clusterlib.call(address, "PUT", f"/api/instances/{server.name}", None, draining, 1.0)
    await asyncio.sleep(1)
    before = len(server.arrivals)
    await asyncio.sleep(3)
    await callers.check()
    check_processes(cluster)
    assert len(server.arrivals) > before, "the server gets no requests any more"


async def unnamed_services_displace_no_upstream(cluster):
    """Heartbeats of a service that the configuration does not name, with the id or the
    address of a server and a later start: the server keeps getting requests."""
    server = cluster.servers["server-0"]
    callers = Callers(cluster, "entry-0")
    end, sequence = time.monotonic() + 4, 0
    while time.monotonic() < end:
        sequence += 1000
        body = json.dumps({"service": "unnamed", "address": server.address, "zone": server.zone,
                           "concurrency": 8, "state": "ready", "sequence": sequence,
                           "born": server.born + 60000}).encode()
        for name in ("odd", server.name):
            for address in cluster.control_order():
                answer = await clusterlib.call(address, "PUT", f"/api/instances/{name}", None,
                                               body, 1.0)
                assert answer and answer.status < 500, answer and answer.status
        await asyncio.sleep(0.1)
    before = len(server.arrivals)
    await asyncio.sleep(1)
    await callers.check()
    check_processes(cluster)
    assert len(server.arrivals) > before, "the server gets no requests any more"


async def unnamed_services_end_no_upstream(cluster):
    """Heartbeats with the state of a departure, with the id of a server but of a service
    that the configuration does not name: the server keeps getting requests. A server
    of such a service can still announce its own departure, and so can the good one."""
    server, other = cluster.servers["server-0"], cluster.servers["server-1"]

    async def send(name, **changed):
        body = dict(json.loads(server.heartbeat_body()), **changed)
        answers = [await clusterlib.call(address, "PUT", f"/api/instances/{name}", None,
                                         json.dumps(body).encode(), 1.0)
                   for address in cluster.control_order()]
        return [answer and answer.status for answer in answers]

    callers = Callers(cluster, "entry-0")
    statuses = []
    for born in (server.born, server.born + 60000):
        for name in (server.name, "never-seen"):
            statuses += await send(name, service="unnamed", state="draining", born=born)
    await asyncio.sleep(1)
    before = len(server.arrivals)
    await asyncio.sleep(2)
    assert len(server.arrivals) > before, "the server gets no requests any more"
    # A departure that is not recorded must not be acknowledged.
    assert set(statuses) == {400}, statuses

    unnamed = dict(service="unnamed", address="127.0.0.1:9", born=server.born)
    assert set(await send("own", **unnamed)) == {200}
    end, statuses = time.monotonic() + 5, []
    # Refused until the control instances have the server in their tables.
    while 200 not in statuses and time.monotonic() < end:
        await asyncio.sleep(0.1)
        statuses = await send("own", state="draining", **unnamed)
    assert 200 in statuses, statuses
    other.state = "draining"
    end = time.monotonic() + 5
    while other.left_at is None and time.monotonic() < end:
        await asyncio.sleep(0.05)
    assert other.left_at is not None, "the departure is not acknowledged"
    await asyncio.sleep(1)
    before = len(other.arrivals)
    await asyncio.sleep(1)
    assert len(other.arrivals) == before, "the server has announced its departure"
    await callers.check()
    check_processes(cluster)


async def large_heartbeats_displace_no_others(cluster):
    """A control instance that is not the leader forwards heartbeats together. Some of
    several megabytes must not keep it from forwarding the others: the servers, all
    of which it hears, stay in the list beyond the time without heartbeats after
    which they leave it."""
    leader = leader_name(cluster)
    follower = next(name for name in cluster.names("control") if name != leader)
    address = cluster.address(follower, "control")
    cluster.control_order = lambda: [address]
    body = json.dumps({"service": "desk", "address": "127.0.0.1:9", "zone": "z" * (9 << 20),
                       "concurrency": 8, "state": "ready", "sequence": 1, "born": 1}).encode()
    callers = Callers(cluster, "entry-0", 2)
    sent, end = 0, time.monotonic() + 14

    async def send():
        nonlocal sent
        while time.monotonic() < end:
            await clusterlib.call(address, "PUT", "/api/instances/odd", None, body, 3.0)
            sent += 1

    await asyncio.gather(send(), send())
    print(f"# {sent} large heartbeats", flush=True)
    await callers.check()
    check_processes(cluster)


async def restart_with_odd_entries_in_the_log(cluster):
    """Departures, zones and configurations with odd values in the log, also some that
    earlier versions accepted, end no instance, neither at once nor when all restart."""
    ids = ["x" * 63, "a'b", "%20", "%00", "~", "-", "odd.1"]
    for address in cluster.control_order():
        for number in ("0", "9007199254740991", "1700000000000"):
            for name in ids:
                await clusterlib.call(address, "DELETE", f"/api/instances/{name}", None,
                                      f'{{"born":{number}}}'.encode(), 1.0)
        for name in ids:
            for method in ("POST", "DELETE", "POST"):
                await clusterlib.call(address, method, f"/api/evacuations/{name}", None, b"", 1.0)
    config = dict(clusterlib.CONFIG, version=2 ** 53 - 2)
    config['odd "name"\\\n'] = {"kept": "\U0001f600"}
    deep = value = []
    for _ in range(400):
        value.append([])
        value = value[0]
    config["deep"] = deep
    config["routes"] = [dict(r, name=r["name"] + "-" * 300) for r in config["routes"]]
    answer = await cluster.put_config(config, 1)
    assert answer and answer.status == 200, answer and (answer.status, answer.body)
    read = await cluster.read_config()
    assert read == config, read
    check_processes(cluster)
    for name in cluster.instances:
        cluster.signal(name, signal.SIGTERM)
    for name in cluster.instances:
        cluster.processes[name].wait(timeout=15)
        cluster.start(name)
    for name in cluster.names("entry"):
        await cluster.wait(f"{name} serves", lambda n=name: cluster.serves(n), 20)
    assert await cluster.read_config() == config
    check_processes(cluster)


async def odd_configurations_are_refused(cluster):
    """Configurations with values that cannot be read, or are out of range, get a 4xx at
    once at every control instance; the next good one is accepted."""
    base = json.dumps(dict(clusterlib.CONFIG, version=2))
    patch = '{"version": 2, "upsert": ' + json.dumps(clusterlib.CONFIG) + "}"
    calls = [(method, body) for method in ("PUT", "PATCH")
             for body in ("[" * DEPTH, "{" * DEPTH, '{"a":' * DEPTH, "\xff" * 100)]
    for method, body in (("PUT", base), ("PATCH", patch)):
        calls += [(method, text) for text in (
            body[:-2], body + "}", body.replace("kim", "k\\u0000im"),
            body.replace('"kim"', '"k\\nim"'), body.replace('"kim"', '"' + "k" * 70 + '"'))]
        for member in ('"timeoutS": 2.5', '"ratePerS": 1000', '"maxConns": 300', '"version": 2',
                       '"maxBodyBytes": 1048576', '"maxAttempts": 2', '"priority": 2'):
            assert member in body, (method, member)
            calls += [(method, body.replace(member, member.split(":")[0] + ": " + value, 1))
                      for value in ("-1", "1e400", "1e30", "9223372036854775808", "NaN", '"2"',
                                    "[2]", "[" * DEPTH)]
    # More than one entry of the log can hold.
    calls.append(("PUT", json.dumps(dict(clusterlib.CONFIG, version=2, more="x" * (3 << 20)))))
    for address in cluster.control_order():
        for method, body in calls:
            answer = await clusterlib.call(address, method, "/api/config", {"If-Match": 1},
                                           body.encode("latin-1"), 2.0)
            assert answer and 400 <= answer.status < 500, (
                method, body[:200], body[-80:], answer and (answer.status, answer.body))
    check_processes(cluster)
    assert await cluster.read_config() == clusterlib.CONFIG
    answer = await cluster.put_config(json.loads(base), 1)
    assert answer and answer.status == 200, answer and answer.status
    assert await cluster.serves("entry-0")


async def long_route_names_keep_their_weights(cluster):
    """Half of the requests of a route go to a service without servers, by weight, also
    if the name of the route is longer than the names of other items can be."""
    config = dict(clusterlib.CONFIG, version=2)
    config["services"] = config["services"] + [{"name": "empty"}]
    config["routes"] = [dict(r, name=r["name"] * 30, backends=[
        {"service": "empty", "weight": 50}, {"service": "desk", "weight": 50}])
        for r in config["routes"]]
    assert (await cluster.put_config(config, 1)).status == 200
    await asyncio.sleep(1)
    answers = [await cluster.request("entry-0", f"/read/{i}") for i in range(40)]
    statuses = [answer and answer.status for answer in answers]
    assert statuses.count(200) == statuses.count(503) == 20, statuses


def main():
    cases = [odd_heartbeats_name_no_upstream, odd_notices_remove_no_upstream,
             unnamed_services_displace_no_upstream, unnamed_services_end_no_upstream,
             large_heartbeats_displace_no_others,
             restart_with_odd_entries_in_the_log, odd_configurations_are_refused,
             long_route_names_keep_their_weights]
    clusterlib.run_chosen(cases)


if __name__ == "__main__":
    main()
