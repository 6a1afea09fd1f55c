#!/usr/bin/env python3
"""A seeded cluster with real processes: founding, changes, losses, stops."""
import asyncio
import signal
import sys

import cluster as clusterlib
import soak

SOAK_SEEDS = [11, 12]  # a short part of the soak, see soak.py


async def serves_and_reads_back(cluster):
    """The whole path, and a read that gives back what was sent."""
    answer = await cluster.request("entry-0", "/write/7", "POST", b"body")
    assert answer.status == 200, answer.status
    read = await cluster.read_config()
    assert read == clusterlib.CONFIG, read
    for path, key, status in (("/read/1", "wrong", 401), ("/none/1", "key-kim", 404)):
        answer = await cluster.request("entry-0", path, key=key)
        assert answer.status == status, (path, key, answer.status)
    found = await clusterlib.call(cluster.address("control-2", "directory"), "GET",
                                  "/api/resolve?name=t.example&region=ra&zone=a1")
    # Both entry instances are in the region.
    assert sorted(found.json()["addresses"]) == sorted(
        cluster.address(name, "callers") for name in ("entry-0", "entry-1")), found.body


async def same_change_again(cluster):
    """A change sent again to any instance is acknowledged, a racer is not."""
    answer = await cluster.patch(1, 4, {"tenants": []})
    assert answer.status == 200, answer.body
    for name in cluster.names("control"):
        answer = await cluster.patch(1, 4, {"tenants": []}, cluster.address(name, "control"))
        assert answer.status == 200, (name, answer.body)
    answer = await cluster.patch(1, 5, {"routes": []})
    assert answer.status == 412, answer.status
    answer = await cluster.patch(4, 4, {"routes": []})
    assert answer.status in (400, 412), answer.status


async def survives_lost_disk_and_all_kills(cluster):
    """Acknowledged changes survive a wiped disk and then a kill of everyone."""
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

    async def is_read():
        read = await cluster.read_config()
        return read and read["version"] == 2

    await cluster.wait("the plan is read back", is_read, 15)
    await cluster.wait("entry-0 serves", lambda: cluster.serves("entry-0"), 15)


async def replaced_control_instance(cluster):
    """A replacement at another address takes a lost one's place: after it a
    further loss is survived."""
    ip, zone, role = cluster.instances["control-2"]
    cluster.kill("control-2")
    cluster.instances["control-9"] = (ip.rsplit(".", 1)[0] + ".99", zone, role)
    cluster.start("control-9")
    await asyncio.sleep(5)
    del cluster.instances["control-2"]
    cluster.kill("control-0")

    async def is_changed():
        answer = await cluster.patch(1, 3, {"tenants": []})
        return answer and answer.status == 200

    await cluster.wait("a change is accepted", is_changed, 10)


async def departed_server_gets_nothing(cluster):
    """After the acknowledgement requests to the server end within 2.5 s."""
    server = cluster.servers["server-1"]
    server.state = "draining"

    async def is_acknowledged():
        return server.left_at is not None

    await cluster.wait("the departure is acknowledged", is_acknowledged, 5)
    await asyncio.sleep(2.5)
    for i in range(60):
        await cluster.request("entry-0", f"/read/{i}")


async def stop_cuts_nothing(cluster):
    """SIGTERM: what was read is answered, and look-ups name the others."""
    for server in cluster.servers.values():
        server.work_s = 0.5
    running = [asyncio.create_task(cluster.request("entry-0", f"/write/{i}", "POST", b"x"))
               for i in range(8)]
    await asyncio.sleep(0.2)
    cluster.signal("entry-0", signal.SIGTERM)
    for answer in await asyncio.gather(*running):
        assert answer and answer.status in (200, 503), answer

    async def is_left_out():
        found = await clusterlib.call(cluster.address("control-0", "directory"), "GET",
                                      "/api/resolve?region=ra&zone=a1")
        return found.json()["addresses"] == [cluster.address("entry-1", "callers")]

    await cluster.wait("look-ups name the other", is_left_out, 3)
    assert cluster.processes["entry-0"].wait(timeout=8) == 0


async def slow_link(cluster):
    """Large bodies in parts over a slow link: all arrive whole, and small
    requests do not wait for them."""
    bodies = [bytes([97 + i]) * 60000 for i in range(6)]
    loop = asyncio.get_running_loop()
    started = loop.time()
    large = [asyncio.create_task(cluster.request("entry-0", f"/write/{i}", "POST", body))
             for i, body in enumerate(bodies)]
    while not all(task.done() for task in large):
        asked = loop.time()
        answer = await cluster.request("entry-0", "/read/1")
        assert answer and answer.status == 200, answer
        assert loop.time() - asked < 0.5, loop.time() - asked
        await asyncio.sleep(0.05)
    for i, task in enumerate(large):
        answer = task.result()
        assert answer and answer.status == 200, (i, answer and (answer.status, answer.body))
        assert answer.body.endswith(f":/write/{i}:".encode() + bodies[i]), i
    # 360 KB to the servers and 360 KB to the callers, 500 KB in a second.
    assert loop.time() - started > 1, loop.time() - started


async def faulty_answers(cluster):
    """Answers of another request and answers that are cut are never passed on."""
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
             for case in (serves_and_reads_back, same_change_again,
                          survives_lost_disk_and_all_kills, replaced_control_instance,
                          departed_server_gets_nothing, stop_cuts_nothing, faulty_answers)]
    cases.append(("slow_link", lambda: clusterlib.run_case(build, slow_link, link_mbit=4)))
    cases += [(f"soak seed {seed}", soak.case(build, seed))
              for seed in SOAK_SEEDS + soak.REGRESSIONS]
    clusterlib.run_cases(cases)


if __name__ == "__main__":
    main()
