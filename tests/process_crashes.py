#!/usr/bin/env python3
"""Requests that crash the backend servers that handle them, and harmless requests
on servers that exit for other reasons, with real processes."""
import asyncio
import concurrent.futures
import os
import signal
import sys
import time

import cluster as clusterlib

OPTIONS = {"nr_entries": 4, "nr_servers": 12}
# A request is refused after it crashed three servers; see docs/design.md.
CRASHES_MAX = 3


# Instances that can reach each other know of the third crash after this time, and
# may crash at most LATE_CRASHES_MAX more servers after it.
PROPAGATION_S = 4.0
LATE_CRASHES_MAX = 3


async def send(cluster, entry, method="GET", body=b""):
    path = "/read/lethal" if method == "GET" else "/write/3"
    return await cluster.request(entry, path, method, body)


async def repeat(cluster, method, body, pause_s, times=40):
    """Sends the same request repeatedly, to each instance in turn."""
    entries = cluster.names("entry")
    for i in range(times):
        await send(cluster, entries[i % len(entries)], method, body)
        await asyncio.sleep(pause_s)


async def burst(cluster, method="GET", body=b"", times=40):
    entries = cluster.names("entry")
    return await asyncio.gather(*(send(cluster, entries[i % len(entries)], method, body)
                                  for i in range(times)))


def check_crashes(cluster, max_crashes):
    ended = cluster.ended
    print(f"# {len(ended)} servers exited", flush=True)
    assert ended, "the request reached no server"
    assert len(ended) <= max_crashes, (len(ended), max_crashes)


def check_late_crashes(cluster):
    """Checks the number of crashes after the third one became known."""
    third = sorted(cluster.ended)[2][0]
    later = [at for at, _ in cluster.ended if at > third + PROPAGATION_S]
    print(f"# {len(cluster.ended)} servers exited, {len(later)} of them late", flush=True)
    assert len(later) <= LATE_CRASHES_MAX, len(later)


def leader_of(cluster):
    """Returns the control instance whose log has the latest record of leadership."""
    lines = [(line.split("ts=", 1)[1][:24], name) for name, log in cluster.logs().items()
             for line in log.splitlines() if "event=leader outcome=leads" in line]
    return max(lines)[1]


def count_statuses(answers):
    counts = {}
    for answer in answers:
        status = answer and answer.status
        counts[status] = counts.get(status, 0) + 1
    return counts


# ---- requests that crash their servers ----

async def repeated_get_crashes_few_servers(cluster):
    """A GET that crashes its servers is repeated at every instance."""
    await repeat(cluster, "GET", b"", 0.2)
    check_crashes(cluster, CRASHES_MAX)


async def repeated_post_crashes_few_servers(cluster):
    """The same with a body: only that body crashes servers, so others are served."""
    await repeat(cluster, "POST", b"a lethal body", 0.2)
    check_crashes(cluster, CRASHES_MAX)
    answer = await cluster.request("entry-0", "/write/3", "POST", b"another body")
    assert answer and answer.status == 200, answer and answer.status


async def repeats_without_pause_crash_few_servers(cluster):
    """Callers do not wait, so the last crash may not be known at the next instance."""
    await repeat(cluster, "GET", b"", 0, 100)
    check_crashes(cluster, CRASHES_MAX + LATE_CRASHES_MAX)
    check_late_crashes(cluster)


async def bursts_crash_few_servers(cluster):
    """Many copies at all instances at once, three times: each copy in flight may
    crash a server, later ones may not."""
    for method, body in (("GET", b""), ("POST", b"a lethal body")):
        cluster.ended.clear()
        for _ in range(3):
            await burst(cluster, method, body)
            await asyncio.sleep(PROPAGATION_S + 0.5)
        check_late_crashes(cluster)
        assert len(cluster.ended) <= len(cluster.servers) + LATE_CRASHES_MAX, len(cluster.ended)


async def servers_that_restart_at_once(cluster):
    """Servers restart before any instance can see that they exited, under a new id
    or the old one."""
    for keeps_id, method, body in ((False, "GET", b""), (True, "POST", b"a lethal body")):
        cluster.ended.clear()
        for server in cluster.servers.values():
            server.down_s, server.keeps_id = 0.0, keeps_id
        await repeat(cluster, method, body, 0.6, 14)
        check_crashes(cluster, CRASHES_MAX + LATE_CRASHES_MAX)


async def repeat_to_silent_servers(cluster, down_s):
    for server in cluster.servers.values():
        server.is_dark, server.down_s = True, down_s
    for i in range(24):
        await cluster.request(f"entry-{i % 4}", "/write/3", "POST", b"a lethal body",
                              deadline_ms=600)
        await asyncio.sleep(0.5)
    check_late_crashes(cluster)


async def servers_that_fall_silent(cluster):
    """No connection breaks when such a server exits: its callers wait until their
    deadline, or leave, and it restarts later."""
    await repeat_to_silent_servers(cluster, 1.5)
    check_crashes(cluster, CRASHES_MAX + LATE_CRASHES_MAX)


async def servers_that_stay_silent(cluster):
    """Several may have exited before the restart of the first one shows it."""
    await repeat_to_silent_servers(cluster, 7.0)


async def few_servers(cluster):
    """With two servers, repeated crashes of the same server count."""
    await repeat(cluster, "POST", b"a lethal body", 0.5, 30)
    check_crashes(cluster, CRASHES_MAX + 1)  # a restarted process is cold, which counts half


async def without_leader(cluster):
    """While the leader is stopped each instance counts crashes by itself; without
    any control instance they report to each other."""
    cluster.signal(leader_of(cluster), signal.SIGSTOP)
    await repeat(cluster, "POST", b"a lethal body", 0.05, 40)
    check_crashes(cluster, CRASHES_MAX * len(cluster.names("entry")))
    for name in cluster.names("control"):
        cluster.kill(name)
    await asyncio.sleep(0.5)
    cluster.ended.clear()
    await repeat(cluster, "GET", b"", 0.2, 40)
    check_crashes(cluster, CRASHES_MAX + 1)
    # All instances report the crashes to the new leader.
    for name in cluster.names("control"):
        cluster.start(name)
    await cluster.wait("entry-0 is served", lambda: cluster.serves("entry-0"), 15)
    await asyncio.sleep(PROPAGATION_S)
    cluster.ended.clear()
    await repeat(cluster, "GET", b"", 0.05, 20)
    await repeat(cluster, "POST", b"a lethal body", 0.05, 20)
    assert not cluster.ended, cluster.ended


async def restarts_and_new_leaders(cluster):
    """A quarantine survives the loss of the leader, the instances, all processes at
    once and a disk."""
    await repeat(cluster, "GET", b"", 0.2, 10)
    check_crashes(cluster, CRASHES_MAX)
    entries, controls = cluster.names("entry"), cluster.names("control")
    for names, wiped in ((["leader"], False), (entries, False), (controls, False),
                         (entries + controls, False), (["leader"], True),
                         (entries + controls, False)):
        names = [leader_of(cluster) if name == "leader" else name for name in names]
        for name in names:
            cluster.kill(name)
        if wiped:
            cluster.wipe(names[0])
        for name in names:
            cluster.start(name)
        # The request must be refused from the start.
        for _ in range(20):
            await burst(cluster, times=4)
            await asyncio.sleep(0.1)
        await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 15)
        await repeat(cluster, "GET", b"", 0.05, 8)
        assert len(cluster.ended) <= CRASHES_MAX, (names, cluster.ended)
        await asyncio.sleep(2)


async def first_crashes_before_a_new_leader(cluster):
    """Two crashes before the leader is killed and one after it count as three."""
    await send(cluster, "entry-0", "POST", b"a lethal body")
    await send(cluster, "entry-1", "POST", b"a lethal body")
    await asyncio.sleep(0.3)
    cluster.kill(leader_of(cluster))
    await asyncio.sleep(3)
    await repeat(cluster, "POST", b"a lethal body", 0.2, 20)
    check_crashes(cluster, CRASHES_MAX)


async def hosts_are_distinguished(cluster):
    """Callers may spell a host in several ways. The same path on another host is
    another request, whose responses do not clear this one."""
    routes = [dict(route, name=f"{route['name']}-2", host="u.example")
              for route in clusterlib.CONFIG["routes"]]
    assert (await cluster.patch(1, 2, {"routes": routes})).status == 200
    await asyncio.sleep(1)
    cluster.is_lethal = lambda target, body: body == b"on one host"
    spellings = ("t.example", "T.Example", "t.example:80")

    async def post(host, body):
        return await clusterlib.call(cluster.address("entry-0", "callers"), "POST", "/write/3", {
            "Host": host, "X-Key": "key-kim", "X-Deadline-Ms": 2500,
            "X-Request-Id": f"{cluster.rng.getrandbits(64):016x}"}, body)

    for i in range(12):
        await post(spellings[i % 3], b"on one host")
        await asyncio.sleep(0.2)
    check_crashes(cluster, CRASHES_MAX)
    cluster.is_lethal = lambda target, body: False
    answer = await post("u.example", b"on one host")
    assert answer and answer.status == 200, answer and answer.status
    answer = await post("t.example", b"on one host")
    assert answer and answer.status == 503, answer and answer.status


async def refusal_is_accurate(cluster):
    """A refusal says correctly that the request was not executed and when to retry,
    and other requests of the caller are served meanwhile."""
    await repeat(cluster, "POST", b"a lethal body", 0.2, 6)
    answer = await send(cluster, "entry-3", "POST", b"a lethal body")
    assert answer and answer.status == 503, answer and answer.status
    assert answer.json()["error"] == "crashes_servers", answer.body
    assert answer.json()["not_run"] is True, answer.body
    assert float(answer.headers["retry-after"]) > 1, answer.headers
    answers = [await cluster.request("entry-3", f"/write/{i}", "POST", b"x") for i in range(5)]
    assert count_statuses(answers) == {200: 5}, count_statuses(answers)


# ---- harmless requests ----

async def traffic(cluster, stopped, paths=("/read/1", "/read/2"), per_entry=4, body=None):
    """Repeats the same few requests at all instances."""
    answers = []

    async def client(entry, number):
        while not stopped.is_set():
            path = paths[number % len(paths)]
            if body:
                path = path.replace("read", "write")
            answers.append(await cluster.request(
                entry, path, "POST" if body else "GET", body or b""))
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(entry, i) for entry in cluster.names("entry")
                           for i in range(per_entry)))
    return answers


def check_none_refused(cluster):
    refused = [line for log in cluster.logs().values() for line in log.splitlines()
               if "outcome=crashes_servers" in line]
    assert not refused, (len(refused), refused[0])


async def with_traffic(cluster, disturb, **options):
    stopped = asyncio.Event()
    running = asyncio.create_task(traffic(cluster, stopped, **options))
    await asyncio.sleep(0.5)
    await disturb()
    await asyncio.sleep(0.5)
    stopped.set()
    print(f"# {count_statuses(await running)}", flush=True)
    check_none_refused(cluster)
    await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 5)
    check_none_refused(cluster)


async def servers_that_exit_for_other_reasons(cluster):
    """Servers exit one after the other under the same few requests."""
    async def disturb():
        for _ in range(3):
            for server in list(cluster.servers.values()):
                server.end(0.8)
                await asyncio.sleep(0.15)
    for server in cluster.servers.values():
        server.work_s = 0.2
    await with_traffic(cluster, disturb)
    await with_traffic(cluster, disturb, body=b"the same body")


async def failed_zone(cluster):
    """All servers of a zone exit at once, then those of all zones, with copies of the
    same long requests in flight on each."""
    def end(zones):
        for server in cluster.servers.values():
            if server.zone in zones:
                server.end(1.0)

    for server in cluster.servers.values():
        server.work_s = 1.5
    for zones in (["a1"], ["a2"], list(clusterlib.ZONES)):
        async def disturb(zones=zones):
            await asyncio.sleep(1)
            end(zones)
            await asyncio.sleep(2.5)
        await with_traffic(cluster, disturb)


async def copies_on_servers_that_exit_together(cluster):
    """Copies of a request without any response yet are in flight on all servers when
    these exit for another reason: after their restart the request is served."""
    for server in cluster.servers.values():
        server.work_s = 2.0
    copies = asyncio.create_task(burst(cluster, "POST", b"never answered", 24))
    await asyncio.sleep(0.5)
    for server in cluster.servers.values():
        server.end(1.0)
        server.work_s = 0.02
    await copies
    await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 5)

    async def is_served():
        answers = await burst(cluster, "POST", b"never answered", 4)
        return all(answer and answer.status == 200 for answer in answers)

    await cluster.wait("the request is served", is_served, 12)


async def slow_servers_and_one_exit(cluster):
    """Callers give up on a slow service, and one of its servers exits: once the
    service is fast again, every instance serves the request."""
    for server in cluster.servers.values():
        server.work_s = 1.5

    async def copies():
        return await asyncio.gather(*(
            cluster.request(f"entry-{i % 4}", "/write/3", "POST", b"slow", deadline_ms=600)
            for i in range(8)))

    for i in range(8):
        if i == 3:
            list(cluster.servers.values())[0].end(1.0)
        await copies()
        await asyncio.sleep(0.3)
    for server in cluster.servers.values():
        server.work_s = 0.02
    since = time.monotonic()

    async def is_served():
        return all(answer and answer.status == 200 for answer in await copies())

    await cluster.wait("the request is served", is_served, 12)
    print(f"# served after {time.monotonic() - since:.1f} s", flush=True)


async def release(cluster):
    """A release of new software: servers announce their departure, in either of the
    two ways, exit with open connections and are replaced."""
    async def disturb():
        for i, server in enumerate(list(cluster.servers.values())):
            if i % 2:
                server.state = "draining"
            else:
                await server.leave()
            await asyncio.sleep(0.4)
            server.end(0.5)
    for server in cluster.servers.values():
        server.work_s = 0.3
    await with_traffic(cluster, disturb)


async def cold_start(cluster):
    """Cold servers exit repeatedly under load."""
    async def disturb():
        for round_ in range(4):
            for server in cluster.servers.values():
                server.cold_until = time.monotonic() + 3
                server.end(0.1)
            await asyncio.sleep(0.9)
    await with_traffic(cluster, disturb)


async def broken_connections(cluster):
    """Broken connections to servers that did not exit are no evidence of a crash,
    however many, and whether or not the request ever got a response."""
    for fault in ("reset", "cut"):
        for server in cluster.servers.values():
            server.fault = fault
        for i in range(30):
            await cluster.request(f"entry-{i % 4}", "/write/8", "POST", fault.encode())
            await cluster.request(f"entry-{i % 4}", f"/read/{fault}")
        for server in cluster.servers.values():
            server.fault = None
        check_none_refused(cluster)
        for path, method, body in (("/write/8", "POST", fault.encode()),
                                   (f"/read/{fault}", "GET", b"")):
            answer = await cluster.request("entry-0", path, method, body)
            assert answer and answer.status == 200, (path, answer and answer.status)


async def beside_a_lethal_request(cluster):
    """Requests in flight on the servers that another request crashes are served."""
    async def disturb():
        for i in range(6):
            await send(cluster, f"entry-{i % 4}", "POST", b"a lethal body")
            await burst(cluster, "GET", times=4)
            await asyncio.sleep(0.4)
    for server in cluster.servers.values():
        server.work_s, server.down_s = 0.2, 0.5
    stopped = asyncio.Event()
    running = asyncio.create_task(traffic(cluster, stopped))
    await disturb()
    stopped.set()
    print(f"# {count_statuses(await running)}", flush=True)
    lethal = {line.split("request=")[1][:16] for log in cluster.logs().values()
              for line in log.splitlines()
              if "event=crash" in line and "outcome=refused" in line}
    assert len(lethal) <= 2, lethal


def main():
    build = sys.argv[1]
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    cases = [repeated_get_crashes_few_servers, repeated_post_crashes_few_servers,
             repeats_without_pause_crash_few_servers, bursts_crash_few_servers,
             servers_that_restart_at_once, servers_that_fall_silent, servers_that_stay_silent,
             without_leader, restarts_and_new_leaders,
             first_crashes_before_a_new_leader, hosts_are_distinguished, refusal_is_accurate,
             servers_that_exit_for_other_reasons, failed_zone, copies_on_servers_that_exit_together,
             slow_servers_and_one_exit, release,
             cold_start, broken_connections, beside_a_lethal_request]
    chosen = sys.argv[2:]
    options = {case: OPTIONS for case in cases}
    options[few_servers] = dict(OPTIONS, nr_servers=2)
    # The cases mostly wait, so some run together, each with a cluster of its own.
    with concurrent.futures.ThreadPoolExecutor(max_workers=3) as pool:
        clusterlib.run_cases([
            (case.__name__, pool.submit(clusterlib.run_case, build, case, **options[case]).result)
            for case in options if not chosen or case.__name__ in chosen])


if __name__ == "__main__":
    main()
