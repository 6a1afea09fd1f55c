#!/usr/bin/env python3
"""Faults seen in operation of similar systems, reproduced with real processes."""
import asyncio
import os
import signal
import socket
import sys
import time

import cluster as clusterlib


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


async def duplicate_responses(cluster):
    """A server sends a duplicate of a response, or a refusal without an id, on a
    connection that already carries the next request. That request must get its
    own response, and a non-idempotent one must not be retried because of a
    refusal that belongs to an earlier request."""
    for fault in ("copy_first", "refusal_first", "copy_after", "same_id_first"):
        for server in cluster.servers.values():
            server.fault = fault
        for i in range(12):
            request_id = "0123456789abcdef" if fault == "same_id_first" else None
            method, body = ("GET", b"") if request_id else ("POST", b"x" * i)
            answer = await cluster.request("entry-0", f"/{'read' if request_id else 'write'}/1",
                                           method, body, request_id)
            # A response that cannot be attributed fails the request with 502: it is neither
            # passed on nor taken as a refusal that did not run the request.
            assert answer and answer.status in (200, 502), (fault, i, answer and answer.status)
            if fault == "copy_after":
                assert answer.status == 200, (fault, i, answer.status)


async def earlier_refusals_repeated(cluster):
    """A server repeats an earlier refusal on a connection that carries the next
    request, which runs. That request is neither refused as not run nor run again,
    whether its own response follows, the connection closes, or nothing comes."""
    # After kept connections were closed, they are hardly used for some seconds.
    for fault in ("copy", "idle", "bare", "400", "408", "421", "429", "prefix", "case", "both",
                  "hang", "end"):
        for server in cluster.servers.values():
            server.fault = f"stale_{fault}"
        before, statuses = len(cluster.runs), []

        async def caller(number):
            for i in range(6):
                # The case of a letter must differ from that of the id.
                request_id = f"{cluster.rng.getrandbits(60):015x}a"
                method, path = ("GET", "read") if i == 5 else ("POST", "write")
                # Each request is another one, so that none counts as one that ends servers.
                answer = await cluster.request("entry-0", f"/{path}/{fault}-{number}-{i}", method,
                                               b"x", request_id, deadline_ms=400)
                statuses.append(answer and answer.status)

        await asyncio.gather(*(caller(i) for i in range(6)))
        counts = {s: statuses.count(s) for s in set(statuses)}
        print(f"# stale_{fault}: {counts}, {len(cluster.runs) - before} run", flush=True)
        assert set(statuses) <= {200, 502, 503, 504}, (fault, counts)
        assert len(cluster.runs) > before, fault
        assert not cluster.broken, (fault, cluster.broken[:3])
        if fault in ("copy", "idle", "prefix", "case"):
            assert counts.get(200), (fault, counts)


async def statuses_that_promise(cluster):
    """A server runs a request and responds with a status that tells callers that it
    was not run. The caller gets 502 instead."""
    for status in (503, 429, 408):
        for server in cluster.servers.values():
            server.fault = f"status_{status}"
        for i in range(4):
            answer = await cluster.request("entry-0", f"/write/{i}", "POST", b"x")
            assert answer and answer.status == 502, (status, answer and answer.status)
        answer = await cluster.request("entry-0", "/read/1")
        assert answer and answer.status == 502, (status, answer and answer.status)


async def refusals_of_requests_without_id(cluster):
    """Requests without an id, on whose connection a server repeats an earlier refusal,
    also without one. No such request is refused as not run, or run again, once it
    has run. They are served when the servers have recovered."""
    for server in cluster.servers.values():
        server.fault = "stale_bare"
    statuses = []
    for i in range(40):
        target = f"/write/without-id-{i}"
        answer = await clusterlib.call(cluster.address("entry-0", "callers"), "POST", target,
                                       {"X-Key": "key-kim", "X-Deadline-Ms": 1000}, b"x", 2.0)
        statuses.append(answer and answer.status)
        runs = cluster.runs.get(target, [])
        assert len(runs) <= 1, (target, runs)
        assert not runs or statuses[-1] not in (503, 429, 408), (target, statuses[-1], runs)
    print(f"# statuses: { {s: statuses.count(s) for s in set(statuses)} }", flush=True)
    for server in cluster.servers.values():
        server.fault = None
    for i in range(4):
        answer = await clusterlib.call(cluster.address("entry-0", "callers"), "GET", f"/read/{i}",
                                       {"X-Key": "key-kim", "X-Deadline-Ms": 1000}, b"", 2.0)
        assert answer and answer.status == 200, answer and answer.status


async def stop_under_load(cluster):
    """SIGTERM while callers keep connecting and sending requests, some of them in
    two parts: every caller that could connect gets a complete response."""
    address = address_of(cluster.address("entry-0", "callers"))
    failed, served, refused = [], 0, 0

    async def caller(number):
        nonlocal served, refused
        count = 0
        while True:
            count += 1
            request_id = f"{number:08x}{count:08x}"
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                return  # entry-0 no longer listens
            head = (f"GET /read/{number} HTTP/1.1\r\nHost: t.example\r\nX-Key: key-kim\r\n"
                    f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n\r\n").encode()
            try:
                writer.write(head[:20])
                await writer.drain()
                if number % 2:
                    await asyncio.sleep(0.4)
                writer.write(head[20:])
                first, _, _ = await asyncio.wait_for(clusterlib.read_message(reader), 4)
                if first.split()[1] == "200":
                    served += 1
                else:
                    refused += 1
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                failed.append((number, count, repr(error)))
            finally:
                writer.close()

    callers = [asyncio.create_task(caller(i)) for i in range(16)]
    await asyncio.sleep(0.5)
    cluster.signal("entry-0", signal.SIGTERM)
    await asyncio.wait(callers, timeout=10)
    assert cluster.processes["entry-0"].wait(timeout=8) == 0
    for task in callers:
        task.cancel()
    assert served > 50, (served, refused)
    assert not failed, (len(failed), failed[:5])


async def requests_late_in_stop(cluster):
    """Requests that come 2.7 to 4.5 s after SIGTERM over connections that are open, and
    that take 2.6 s: an instance passed them on, and its exit cut them off without an
    answer. Now they are refused, and were not run."""
    address = address_of(cluster.address("entry-0", "callers"))
    for server in cluster.servers.values():
        server.work_s = 2.6
    started = time.monotonic()
    cluster.signal("entry-0", signal.SIGTERM)

    async def caller(number, sent_s):
        # Idle connections are closed a second after they were opened.
        await asyncio.sleep(min(sent_s - 0.8, 2.4))
        reader, writer = await asyncio.open_connection(*address)
        body, split = b"x", sent_s > 3.2
        request_id = f"{number:016x}"
        head = (f"POST /write/{number} HTTP/1.1\r\nHost: t.example\r\nX-Key: key-kim\r\n"
                f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        try:
            if split:  # the head keeps the connection open
                await asyncio.sleep(started + 3.1 - time.monotonic())
                writer.write(head)
                head = b""
            await asyncio.sleep(started + sent_s - time.monotonic())
            writer.write(head + body)
            first, _, text = await asyncio.wait_for(clusterlib.read_message(reader), 6)
            status = int(first.split()[1])
            cluster.check_response(request_id, f"/write/{number}", "POST", body,
                                   clusterlib.Answer(status, {}, text))
            return status
        except (OSError, asyncio.IncompleteReadError) as error:
            return f"{request_id} lost, runs {cluster.runs.get(request_id)}: {error!r}"
        finally:
            writer.close()

    times = [2.7, 2.8, 2.9, 3.0, 3.05, 3.1, 3.15, 3.2, 3.4, 3.8, 4.2, 4.5]
    statuses = await asyncio.gather(*(caller(i, t) for i, t in enumerate(times)))
    assert all(status in (200, 503) for status in statuses), statuses
    assert statuses[-4:] == [503] * 4, statuses
    assert cluster.processes["entry-0"].wait(timeout=8) == 0


async def departures_and_withdrawals_survive_restart(cluster):
    """A server's departure and the withdrawal of a key survive a restart of all
    processes, although the server still announces itself as ready."""
    config = dict(clusterlib.CONFIG, version=2)
    config["tenants"] = [dict(config["tenants"][0], apiKeys=["key-kim", "key-old"])]
    assert (await cluster.put_config(config, 1)).status == 200
    old = await cluster.request("entry-0", "/read/1", key="key-old")
    assert old.status in (200, 401), old.status
    config = dict(config, version=3)
    config["tenants"] = [dict(config["tenants"][0], apiKeys=["key-kim"])]
    assert (await cluster.put_config(config, 2)).status == 200
    server = cluster.servers["server-1"]
    server.state = "draining"

    async def is_acknowledged():
        return server.left_at is not None

    await cluster.wait("the departure is acknowledged", is_acknowledged, 5)
    server.state = "ready"  # late heartbeats of the same process
    await asyncio.sleep(2.6)
    for name in cluster.instances:
        cluster.kill(name)
    for name in cluster.instances:
        cluster.start(name)
    await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 15)
    for i in range(60):
        await cluster.request(f"entry-{i % 2}", f"/read/{i}")
    for name in cluster.names("entry"):
        answer = await cluster.request(name, "/read/1", key="key-old")
        assert answer and answer.status in (401, 503), answer.status


async def last_customer_is_removed(cluster):
    """Without the last customer, requests with any key ran, with one that was taken away
    and with one that never existed. They need a key until the configuration names no
    list of customers any more."""
    config = dict(clusterlib.CONFIG, version=2, tenants=[])
    base = 1

    async def statuses():
        await asyncio.sleep(2.6)
        return [(await cluster.request(entry, "/read/1", key=key)).status
                for entry in cluster.names("entry") for key in ("key-kim", "key-none")]

    assert (await cluster.put_config(config, base)).status == 200
    assert await statuses() == [401] * 4, "an empty list of customers"
    assert (await cluster.read_config())["tenants"] == []
    config = dict(clusterlib.CONFIG, version=3)
    assert (await cluster.put_config(config, 2)).status == 200
    assert await statuses() == [200, 401] * 2, "the customer is back"
    assert (await cluster.patch(3, 4, {}, remove={"tenants": ["kim"]})).status == 200
    assert await statuses() == [401] * 4, "the last customer is removed"
    assert (await cluster.read_config())["tenants"] == []
    for name in cluster.instances:
        cluster.kill(name)
    for name in cluster.instances:
        cluster.start(name)

    async def answers():
        answer = await cluster.request("entry-0", "/read/1")
        return answer and answer.status != 503

    await cluster.wait("entry-0 has the plan", answers, 15)
    assert await statuses() == [401] * 4, "after a restart of everything"


async def malformed_messages(cluster):
    """Bytes that are not a valid message, sent to every port, crash no process."""
    rng = cluster.rng
    samples = [bytes(rng.getrandbits(8) for _ in range(rng.randrange(1, 1400))) for _ in range(60)]
    samples += [b"GET / HTTP/1.1\r\n" + b"A" * 70000, b"\r\n" * 5000, b"POST / HTTP/1.1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", b"\x00" * 4096,
                b"\xff\xff\xff\xff" * 64, b"\x00\x00\x00\x04\x01" + b"\x00" * 12]
    for name in cluster.instances:
        ip = cluster.instances[name][0]
        for what, port in cluster.ports.items():
            for sample in samples:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                    udp.sendto(sample[:1400], (ip, port))
                try:
                    with socket.create_connection((ip, port), 0.5) as tcp:
                        tcp.sendall(sample)
                except OSError:
                    pass  # not a port of this role, or it has closed already
    # Well-formed datagrams with values that make no sense.
    for fields in (b"\x12\x00", b"\x12\x02\x30\x00", b"\x1a\x00", b"\x22\x02\x10\x63",
                   b"\x0a\x00", b"\x0a\x03\x0a\x01x", b"\x12\x0b\x09" + b"\xff" * 8 + b"\x30\x00"):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.sendto(fields, (cluster.instances["entry-0"][0], cluster.ports["port"]))
    for body in (b"", b"[]", b"{", b"null", b'{"service":7}', b'{"sequence":1e400}', b"\xff\xfe",
                 b'{"version":' + b"[" * 20000):
        for method, target in (("PUT", "/api/instances/x"), ("PUT", "/api/config"),
                               ("PATCH", "/api/config"), ("DELETE", "/api/instances/x")):
            await clusterlib.call(cluster.address("control-0", "control"), method, target,
                                  {"If-Match": "x"}, body, 1.0)
    await asyncio.sleep(0.5)
    for name, process in cluster.processes.items():
        assert process.poll() is None, f"{name} exited with {process.poll()}"
    assert await cluster.serves("entry-0")


async def late_heartbeats_and_suspended_instance(cluster):
    """Servers without heartbeats and an instance that is suspended: their requests
    in flight are neither retried nor given up."""
    for server in cluster.servers.values():
        server.work_s = 1.8
    running = [asyncio.create_task(cluster.request("entry-0", f"/write/{i}", "POST", b"x"))
               for i in range(6)]
    await asyncio.sleep(0.3)
    for server in cluster.servers.values():
        server.silent = True
    cluster.signal("entry-0", signal.SIGSTOP)
    await asyncio.sleep(0.6)
    cluster.signal("entry-0", signal.SIGCONT)
    for answer in await asyncio.gather(*running):
        assert answer and answer.status == 200, answer and (answer.status, answer.body)
    assert all(len(runs) == 1 for runs in cluster.runs.values() if runs)


async def lost_responses(cluster):
    """A lost response: the request, which has run, is neither retried nor reported
    as not run."""
    for fault in ("reset", "cut", "hang"):
        for server in cluster.servers.values():
            server.fault = fault
        answers = await asyncio.gather(*(
            cluster.request("entry-1", f"/write/{i}", "POST", b"x", deadline_ms=1200)
            for i in range(8)))
        for answer in answers:
            assert answer and answer.status in (502, 504), (fault, answer and answer.status)


async def responses_cut_anywhere(cluster):
    """A server stops after any number of bytes of its response, in the head, in the
    digits of the length or in the body, and closes or resets the connection, which
    may have carried other requests. The caller never gets a 2xx, nor, for a request
    that is not idempotent, a promise that it was not run."""
    entries, counts = cluster.names("entry"), {}
    cases = [(kind, resets) for kind in ("length", "chunked", "bare", "informational")
             for resets in (False, True)]
    for number, (kind, resets) in enumerate(cases):
        for server in cluster.servers.values():
            server.fault, server.resets, server.cut_bytes = None, resets, 0
        await asyncio.gather(*(cluster.request(entry, f"/read/{i}")
                               for entry in entries for i in range(8)))
        for server in cluster.servers.values():
            server.fault = f"cut_{kind}"
        length = number % 3
        while length <= max(server.cut_bytes_max for server in cluster.servers.values()):
            for server in cluster.servers.values():
                server.cut_bytes = length
            answers = await asyncio.gather(*(
                cluster.request(entry, f"/{'read' if length % 4 == 3 else 'write'}/{length}",
                                "GET" if length % 4 == 3 else "POST", b"x", deadline_ms=1000)
                for entry in entries))
            for answer in answers:
                status = answer and answer.status
                counts[status] = counts.get(status, 0) + 1
                assert status in (502, 503, 504), (kind, resets, length, status)
            length += 3
    print(f"# statuses: {counts}", flush=True)
    assert counts[502] > 100, counts
    for server in cluster.servers.values():
        server.fault = None
    await cluster.wait("requests are served again", lambda: cluster.serves("entry-0"), 10)


async def endless_responses(cluster):
    """Servers that send responses without end, several at once: each request fails
    with 502 or 504 in time, the memory of the instance stays bounded, and a request
    is served when the servers have recovered."""
    def memory_kb():
        pid = cluster.processes["entry-0"].pid
        with open(f"/proc/{pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))

    before = memory_kb()
    for fault in ("endless_head", "endless_lines", "endless_informational", "endless_extension",
                  "endless_trailer", "endless_chunks", "endless_body", "one_byte"):
        for server in cluster.servers.values():
            server.fault = fault
        started = time.monotonic()
        answers = await asyncio.gather(*(
            cluster.request("entry-0", f"/write/{i}", "POST", b"x", deadline_ms=1500)
            for i in range(8)))
        for answer in answers:
            assert answer and answer.status in (502, 504), (fault, answer and answer.status)
        assert time.monotonic() - started < 2.5, fault
    for server in cluster.servers.values():
        server.fault = None
    answer = await cluster.request("entry-0", "/read/1")
    assert answer and answer.status == 200, answer
    grown = memory_kb() - before
    print(f"# peak memory grew by {grown} KB", flush=True)
    # Half of the 160 MB that the instance may use.
    assert grown < 80 * 1024, grown


async def endless_responses_spare_others(cluster):
    """Servers send responses without end, or long ones that arrive slowly, which may take
    all of the memory for responses: requests that run on the other servers are still
    answered."""
    faulty = ("server-0", "server-1")
    for server in cluster.servers.values():
        server.work_s = 0.05
        if server.name in faulty:
            server.fault = "endless_slow" if server.name == "server-0" else "endless_body"
    end = time.monotonic() + 3
    bad, served, nr_faulty = [], 0, 0

    async def caller():
        nonlocal served, nr_faulty
        while time.monotonic() < end:
            request_id = f"{cluster.rng.getrandbits(64):016x}"
            answer = await cluster.request("entry-0", f"/write/{cluster.rng.randrange(500)}",
                                           "POST", b"x", request_id)
            is_served = bool(answer and answer.status == 200)
            ran_at = cluster.runs.get(request_id, ["-"])[-1]
            served += is_served
            nr_faulty += ran_at in faulty
            if ran_at not in faulty + ("-",) and not is_served:
                bad.append((request_id, ran_at, answer and (answer.status, answer.body)))

    await asyncio.gather(*(caller() for _ in range(40)))
    print(f"# {served} served, {nr_faulty} at the faulty servers, {len(bad)} others failed",
          flush=True)
    assert nr_faulty > 8, nr_faulty
    assert served > 100, served
    assert not bad, (len(bad), bad[:3])


async def notices_of_departure_and_backoff(cluster):
    """Notices in responses: a server that announces its departure in this way only,
    not to the control instances, gets no request after the drain time; one that
    asks for a backoff gets at most two requests until the backoff expires."""
    leaving, pausing = cluster.servers["server-0"], cluster.servers["server-1"]
    leaving.notice = "leaves"
    pausing.notice = "pause"
    # The others refuse all requests, so that both of these get some.
    for name in ("server-2", "server-3"):
        cluster.servers[name].fault = "shed"
    end = time.monotonic() + 4
    while time.monotonic() < end:
        await cluster.request("entry-0", f"/read/{cluster.rng.randrange(200)}")
    assert leaving.first_notice, "the server was never used"
    assert leaving.last_arrival < leaving.first_notice + 2.5, leaving.last_arrival
    assert pausing.paused_at, "the server was never used"
    assert pausing.within_pause <= 2, pausing.within_pause


def main():
    build = sys.argv[1]
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    cases = [duplicate_responses, earlier_refusals_repeated, statuses_that_promise,
             refusals_of_requests_without_id, stop_under_load, requests_late_in_stop,
             last_customer_is_removed,
             departures_and_withdrawals_survive_restart,
             malformed_messages, late_heartbeats_and_suspended_instance, lost_responses,
             responses_cut_anywhere, endless_responses, endless_responses_spare_others, notices_of_departure_and_backoff]
    chosen = sys.argv[2:]
    clusterlib.run_cases([(case.__name__, lambda case=case: clusterlib.run_case(build, case))
                          for case in cases if not chosen or case.__name__ in chosen])


if __name__ == "__main__":
    main()
