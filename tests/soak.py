#!/usr/bin/env python3
"""Randomized faults against real processes of a seeded cluster.

    soak.py BUILD SEED [SEED...]     runs each seed for SECONDS
    soak.py BUILD --fresh N          runs N random seeds and prints them

All faults are injected from outside. Processes are killed, paused, stopped and
restarted by signals, and the disks of control instances are wiped. Backend
servers reset connections, truncate responses, shed requests, leave and join,
and some name a limit of requests a second. Entry instances are cut off from
servers for moments.
Every response and every request that a server runs is checked.
"""
import asyncio
import random
import signal
import sys
import time

import cluster as clusterlib

SECONDS = 8.0  # duration of load and faults for each seed

# Seeds of earlier failures, each with its cause.
REGRESSIONS = []


async def send_requests(cluster, rng, entry, end):
    """One caller: sends requests to one entry instance, also while it is down."""
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        path = f"/read/{rng.randrange(20)}"
        method, body = "GET", b""
        if rng.random() < 0.5:
            path, method = f"/write/{rng.randrange(20)}", "POST"
            body = bytes(rng.randrange(97, 122) for _ in range(rng.randrange(2000)))
        await cluster.request(entry, path, method, body)
        await asyncio.sleep(rng.random() * 0.02)


async def change_plans(cluster, rng, end, state):
    """One operator: changes the plan, and repeats each accepted change.

    A repeated change must be acknowledged, and a read must not return a version
    older than an acknowledged one.
    """
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        await asyncio.sleep(rng.random() * 0.5)
        base = state["version"]
        route = dict(clusterlib.CONFIG["routes"][0], name="extra",
                     pathPrefix=f"/extra-{base}/")
        version = base + rng.randrange(1, 4)
        answer = await cluster.patch(base, version, {"routes": [route]})
        if answer and answer.status == 200:
            state["version"] = version
            again = await cluster.patch(base, version, {"routes": [route]})
            if again and again.status not in (200,) and again.status < 500:
                cluster.broken.append(f"version {version}: repeated change got status "
                                      f"{again.status}")
        else:
            read = await cluster.read_config()
            if read and read["version"] < state["version"]:
                cluster.broken.append(f"read version {read['version']} after "
                                      f"{state['version']} was acknowledged")
            if read:
                state["version"] = read["version"]


async def inject_faults(cluster, rng, end):
    """Injects a series of faults; a majority of the disks always stays intact."""
    loop = asyncio.get_running_loop()
    controls, entries = cluster.names("control"), cluster.names("entry")
    joined = 0
    wiped = False
    while loop.time() < end:
        await asyncio.sleep(rng.random() * 0.8)
        fault = rng.choice(["kill_entry", "kill_control", "pause", "term_entry", "servers",
                            "leave", "kill_all_controls", "wipe", "hup"])
        if fault == "kill_entry":
            name = rng.choice(entries)
            cluster.kill(name)
            cluster.start(name)
        elif fault == "term_entry":
            name = rng.choice(entries)
            cluster.signal(name, signal.SIGTERM)
            await asyncio.sleep(rng.random() * 5)
            cluster.kill(name)
            cluster.start(name)
        elif fault == "kill_control":
            name = rng.choice(controls)
            cluster.kill(name)
            await asyncio.sleep(rng.random())
            cluster.start(name)
        elif fault == "kill_all_controls":
            for name in controls:
                cluster.kill(name)
            for name in controls:
                cluster.start(name)
        elif fault == "wipe" and not wiped:
            wiped = True          # losing two of three disks would lose the state
            name = rng.choice(controls)
            cluster.kill(name)
            cluster.wipe(name)
            cluster.start(name)
        elif fault == "pause":
            name = rng.choice(controls + entries)
            cluster.signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.random() * 2)
            cluster.signal(name, signal.SIGCONT)
        elif fault == "hup":
            cluster.signal(rng.choice(controls + entries), signal.SIGHUP)
        elif fault == "servers":
            server = rng.choice(list(cluster.servers.values()))
            server.fault = rng.choice([None, "reset", "shed", "cut", "extra"])
            server.work_s = rng.choice([0.01, 0.05, 0.5])
        elif fault == "leave" and joined < 4:
            joined += 1
            rng.choice(list(cluster.servers.values())).state = "draining"
            await cluster.add_server(f"joined-{joined}")


async def name_limits(cluster, rng, end):
    """One server names the same limit all the while, and others change theirs."""
    loop = asyncio.get_running_loop()
    servers = list(cluster.servers.values())
    limited = servers.pop(rng.randrange(len(servers)))
    limited.limit = round(rng.uniform(1, 6), 1)
    start = time.monotonic()
    while loop.time() < end:
        rng.choice(servers).limit = rng.choice([None, None, "few", round(rng.uniform(0, 20), 1)])
        await asyncio.sleep(rng.random())
    most = clusterlib.most_in_window(limited.arrivals, start + clusterlib.LIMIT_CONTACT_S,
                                     time.monotonic())
    if most > clusterlib.limit_allows(limited.limit):
        cluster.broken.append(f"{limited.name} with a limit of {limited.limit}/s got {most} "
                              f"requests in {clusterlib.LIMIT_WINDOW_S} s")


async def cut_links(cluster, rng, end):
    """Cuts some or all entry instances off from some or all servers for a moment,
    again and again."""
    loop = asyncio.get_running_loop()
    entries = cluster.names("entry")
    while loop.time() < end:
        await asyncio.sleep(rng.random() * 2)
        servers = list(cluster.servers.values())
        if rng.random() < 0.5:
            servers = rng.sample(servers, len(servers) // 2)
        await cluster.cut(rng.sample(entries, rng.randrange(1, len(entries) + 1)),
                          rng.choice(["silent", "reset", "refuse_new"]), servers)
        await asyncio.sleep(rng.random() * 2)
        await cluster.join()


async def run_seed(cluster, seed):
    """Runs load, changes and faults for SECONDS. Afterwards all entry instances
    must serve again, and the plan must contain the last acknowledged change and
    the fields that almondward does not know."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    state = {"version": 1}
    end = loop.time() + SECONDS
    entries = cluster.names("entry")
    await asyncio.gather(
        *(send_requests(cluster, random.Random(rng.random()), entries[i % len(entries)], end)
          for i in range(8)),
        change_plans(cluster, random.Random(rng.random()), end, state),
        inject_faults(cluster, random.Random(rng.random()), end),
        name_limits(cluster, random.Random(rng.random()), end),
        cut_links(cluster, random.Random(rng.random()), end))
    for name in cluster.processes:
        cluster.signal(name, signal.SIGCONT)
    for server in cluster.servers.values():
        server.fault, server.work_s, server.limit = None, 0.02, None
    for name in cluster.names("entry"):
        await cluster.wait(f"{name} serves again", lambda n=name: cluster.serves(n), 15)
    read = None

    async def is_readable():
        nonlocal read
        read = await cluster.read_config()
        return read is not None

    await cluster.wait("the plan can be read", is_readable, 15)
    assert read["version"] >= state["version"], (read["version"], state)
    assert read["unknownToUs"] == {"kept": True}, read


def case(build, seed):
    """Returns a function that runs `seed` on a new cluster."""
    return lambda: clusterlib.run_case(build, lambda c: run_seed(c, seed), seed=seed)


def main():
    build, seeds = sys.argv[1], sys.argv[2:]
    if seeds and seeds[0] == "--fresh":
        seeds = [random.SystemRandom().randrange(10**9) for _ in range(int(seeds[1]))]
    clusterlib.run_cases([(f"soak seed {seed}", case(build, int(seed))) for seed in seeds])


if __name__ == "__main__":
    main()
