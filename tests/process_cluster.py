#!/usr/bin/env python3
"""Tests a seeded cluster with real processes: bootstrap, changes of the plan,
lost instances and disks, planned stops, limited links and faulty responses."""
import asyncio
import signal
import sys
import time

import cluster as clusterlib
import soak

SOAK_SEEDS = [11, 12]  # seeds of soak.py that run here
# A change is acknowledged this long after the disks have room again.
ACK_S = 4


async def serves_and_reads_back(cluster):
    """A request passes from the caller to a server and back, the plan reads back
    unchanged, wrong keys and paths are refused, and look-ups return the entry
    instances."""
    answer = await cluster.request("entry-0", "/write/7", "POST", b"body")
    assert answer.status == 200, answer.status
    read = await cluster.read_config()
    assert read == clusterlib.CONFIG, read
    for path, key, status in (("/read/1", "wrong", 401), ("/none/1", "key-kim", 404)):
        answer = await cluster.request("entry-0", path, key=key)
        assert answer.status == status, (path, key, answer.status)
    found = await clusterlib.call(cluster.address("control-2", "directory"), "GET",
                                  "/api/resolve?name=t.example&region=ra&zone=a1")
    # Both entry instances are in region ra.
    assert sorted(found.json()["addresses"]) == sorted(
        cluster.address(name, "callers") for name in ("entry-0", "entry-1")), found.body


async def repeated_change(cluster):
    """Repeating an accepted change at any instance is acknowledged; a different
    change of the same base version is refused."""
    answer = await cluster.patch(1, 4, {"tenants": []})
    assert answer.status == 200, answer.body
    for name in cluster.names("control"):
        answer = await cluster.patch(1, 4, {"tenants": []}, cluster.address(name, "control"))
        assert answer.status == 200, (name, answer.body)
    answer = await cluster.patch(1, 5, {"routes": []})
    assert answer.status == 412, answer.status
    answer = await cluster.patch(4, 4, {"routes": []})
    assert answer.status in (400, 412), answer.status


async def survives_lost_disk_and_kill_of_all(cluster):
    """An acknowledged change survives the loss of one control instance's disk,
    followed by a kill of all instances."""
    answer = await cluster.patch(1, 2, {"tenants": []})
    assert answer.status == 200, answer.status
    cluster.kill("control-0")
    cluster.wipe("control-0")
    cluster.start("control-0")
    await asyncio.sleep(3)
    for name in cluster.instances:
        cluster.kill(name)
    for name in cluster.instances:
        cluster.start(name)

    async def is_plan_read_back():
        read = await cluster.read_config()
        return read and read["version"] == 2

    await cluster.wait("the plan is read back", is_plan_read_back, 15)
    await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 15)


async def raised_idle_timeout(cluster):
    """Callers know a raised idle timeout before an instance has the plan: a connection
    that has been idle for a little longer than the earlier timeout is still open, and
    the new one applies to it."""
    limits = dict(clusterlib.CONFIG["limits"], idleTimeoutS=1)
    answer = await cluster.put_config(dict(clusterlib.CONFIG, version=2, limits=limits), 1)
    assert answer.status == 200, answer.body
    await asyncio.sleep(1)
    host, port = cluster.address("entry-0", "callers").rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))

    async def request(number):
        writer.write(f"GET /none/{number} HTTP/1.1\r\nHost: t.example\r\n\r\n".encode())
        first, _, _ = await asyncio.wait_for(clusterlib.read_message(reader), 2)
        assert " 404 " in first, first

    await request(1)
    await asyncio.sleep(2.5)
    await request(2)
    await asyncio.sleep(2.5)
    answer = await cluster.put_config(dict(clusterlib.CONFIG, version=3), 2)
    assert answer.status == 200, answer.body
    await asyncio.sleep(4.5)
    await request(3)
    writer.close()


class IdleCaller:
    """Sends requests on a kept connection after pauses of up to four fifths of the
    idle timeout, and counts those that get no response."""
    def __init__(self, cluster, limit):
        self.cluster, self.limit = cluster, limit
        self.sent, self.cut = 0, []
        self.task = asyncio.create_task(self.run())

    async def pause(self, reader):
        """Returns whether the connection may be used again."""
        start = time.monotonic()
        share = self.cluster.rng.uniform(0.1, 0.8)
        while not reader.at_eof() and time.monotonic() < start + share * self.limit():
            await asyncio.sleep(0.03)
        self.pause_s = time.monotonic() - start
        return not reader.at_eof() and self.pause_s <= 0.8 * self.limit()

    async def run(self):
        host, port = self.cluster.address("entry-0", "callers").rsplit(":", 1)
        while True:
            reader, writer = await asyncio.open_connection(host, int(port))
            self.pause_s = 0
            try:
                while True:
                    writer.write(b"GET /none/1 HTTP/1.1\r\nHost: t.example\r\n\r\n")
                    self.sent += 1
                    await clusterlib.read_message(reader)
                    if not await self.pause(reader):
                        break
            except (OSError, asyncio.IncompleteReadError):
                self.cut.append(f"after {self.pause_s:.2f} s with a limit of {self.limit()} s")
            writer.close()


async def no_request_cut_beside_idle_changes(cluster):
    """While the idle timeout is raised and lowered, a slow entry instance answers every
    request that callers send within four fifths of the newest one."""
    limit_s = 15

    async def run_slowly():
        # Runs for a fifth of the time.
        while True:
            cluster.signal("entry-0", signal.SIGSTOP)
            await asyncio.sleep(0.16)
            cluster.signal("entry-0", signal.SIGCONT)
            await asyncio.sleep(0.04)

    slow = asyncio.create_task(run_slowly())
    callers = [IdleCaller(cluster, lambda: limit_s) for _ in range(150)]
    try:
        for version, seconds in enumerate([1, 3] * 6, 2):
            limits = dict(clusterlib.CONFIG["limits"], idleTimeoutS=seconds)
            answer = await cluster.put_config(
                dict(clusterlib.CONFIG, version=version, limits=limits), version - 1)
            assert answer.status == 200, answer.body
            limit_s = seconds
            await asyncio.sleep(1.5)
        assert not any(caller.task.done() for caller in callers), "a caller has ended"
    finally:
        slow.cancel()
        cluster.signal("entry-0", signal.SIGCONT)
        for caller in callers:
            caller.task.cancel()
    cut = [one for caller in callers for one in caller.cut]
    print(f"# {sum(caller.sent for caller in callers)} requests, {len(cut)} cut", flush=True)
    assert not cut, cut[:5]


async def replaced_control_instance(cluster):
    """A new control instance at another address replaces a lost one as a replica,
    so that the cluster survives the loss of a second one."""
    ip, zone, role = cluster.instances["control-2"]
    cluster.kill("control-2")
    cluster.instances["control-9"] = (ip.rsplit(".", 1)[0] + ".99", zone, role)
    cluster.start("control-9")
    await asyncio.sleep(5)
    del cluster.instances["control-2"]
    cluster.kill("control-0")

    async def is_change_accepted():
        answer = await cluster.patch(1, 3, {"tenants": []})
        return answer and answer.status == 200

    await cluster.wait("a change is accepted", is_change_accepted, 10)


async def departed_server_gets_no_requests(cluster):
    """A server receives no requests later than 2.5 s after its departure was
    acknowledged. Cluster.record_run() checks this."""
    server = cluster.servers["server-1"]
    server.state = "draining"

    async def is_acknowledged():
        return server.left_at is not None

    await cluster.wait("the departure is acknowledged", is_acknowledged, 5)
    await asyncio.sleep(2.5)
    for i in range(60):
        await cluster.request("entry-0", f"/read/{i}")


async def stop_finishes_requests(cluster):
    """After SIGTERM, an entry instance responds to the requests that it has
    received and exits with status 0, and look-ups return only the other one."""
    for server in cluster.servers.values():
        server.work_s = 0.5
    requests = [asyncio.create_task(cluster.request("entry-0", f"/write/{i}", "POST", b"x"))
               for i in range(8)]
    await asyncio.sleep(0.2)
    cluster.signal("entry-0", signal.SIGTERM)
    for answer in await asyncio.gather(*requests):
        assert answer and answer.status in (200, 503), answer

    async def is_only_other_returned():
        found = await clusterlib.call(cluster.address("control-0", "directory"), "GET",
                                      "/api/resolve?region=ra&zone=a1")
        return found.json()["addresses"] == [cluster.address("entry-1", "callers")]

    await cluster.wait("look-ups return only the other instance", is_only_other_returned, 3)
    assert cluster.processes["entry-0"].wait(timeout=8) == 0


async def disks_full_in_turn(cluster):
    """The disks of the control instances are full for some seconds each, never two at
    once, while the configuration changes: with room again, each change is acknowledged
    in time. Reported by an operator of another system, where they were refused from then
    on."""
    loop = asyncio.get_running_loop()
    version = 1

    async def change(until):
        """Sends one change until it is acknowledged. Returns the seconds it took."""
        nonlocal version
        config = dict(clusterlib.CONFIG, version=version + 1)
        config["limits"] = dict(config["limits"], maxBodyBytes=1048576 + version)
        started = loop.time()
        while loop.time() < until:
            answer = await cluster.put_config(config, version)
            if answer:
                assert answer.status == 200, (answer.status, answer.body)
                version += 1
                break
            await asyncio.sleep(0.1)
        return loop.time() - started

    for name in cluster.names("control") * 2:
        cluster.fill_disk(name, True)
        end = loop.time() + 1.5
        while loop.time() < end:
            await change(end)
        cluster.fill_disk(name, False)
        took = await change(loop.time() + 10)
        assert took < ACK_S, (name, took)
    for _ in range(20):
        took = await change(loop.time() + 10)
        assert took < 1, took
    assert all(process.poll() is None for process in cluster.processes.values())
    assert (await cluster.read_config())["version"] == version


async def slow_link(cluster):
    """Large bodies that share a slow link arrive complete and do not delay small
    requests, because they are sent in parts."""
    bodies = [bytes([97 + i]) * 60000 for i in range(6)]
    loop = asyncio.get_running_loop()
    started = loop.time()
    large = [asyncio.create_task(cluster.request("entry-0", f"/write/{i}", "POST", body))
             for i, body in enumerate(bodies)]
    while not all(task.done() for task in large):
        request_start = loop.time()
        answer = await cluster.request("entry-0", "/read/1")
        assert answer and answer.status == 200, answer
        assert loop.time() - request_start < 0.5, loop.time() - request_start
        await asyncio.sleep(0.05)
    for i, task in enumerate(large):
        answer = task.result()
        assert answer and answer.status == 200, (i, answer and (answer.status, answer.body))
        assert answer.body.endswith(f":/write/{i}:".encode() + bodies[i]), i
    # The link carries 360 KB to the servers and 360 KB to the callers at 500 KB/s
    # (4 Mbit/s).
    assert loop.time() - started > 1, loop.time() - started


async def faulty_responses(cluster):
    """Responses to another request and truncated responses are never forwarded."""
    for fault in ("extra", "cut", "reset", "shed"):
        for server in cluster.servers.values():
            server.fault = fault
        for i in range(10):
            answer = await cluster.request("entry-1", f"/write/{i}", "POST", b"x")
            if fault == "extra":
                assert answer and answer.status == 200, answer
            else:
                assert answer and answer.status in (502, 503), (fault, answer)


def main():
    build = sys.argv[1]
    cases = [(case.__name__, lambda case=case: clusterlib.run_case(build, case))
             for case in (serves_and_reads_back, repeated_change,
                          survives_lost_disk_and_kill_of_all, raised_idle_timeout,
                          no_request_cut_beside_idle_changes,
                          replaced_control_instance,
                          departed_server_gets_no_requests, stop_finishes_requests,
                          disks_full_in_turn, faulty_responses)]
    cases.append(("slow_link", lambda: clusterlib.run_case(build, slow_link, link_mbit=4)))
    cases += [(f"soak seed {seed}", soak.case(build, seed))
              for seed in SOAK_SEEDS + soak.REGRESSIONS]
    clusterlib.run_cases(cases)


if __name__ == "__main__":
    main()
