#!/usr/bin/env python3
"""Complete configurations of many routes in quick succession, with real processes.

    process_large_config.py BUILD [--seed N] [CASE...]

Guards against limits that count changes, whatever their size: of the log, which is kept
in memory, and of the changes that an entry instance is sent at once.
"""
import asyncio
import copy
import signal
import time

import cluster as clusterlib

MANY_ROUTES = 1400
MORE_ROUTES = 2000    # 62 such changes do not fit into a frame of 8 MiB
CHANGES = 160
# Hundreds of changes have to fit into the 256 MB of a control machine, of which a
# process with such a configuration uses about 60: less than 0.2 MB a change for a
# thousand of them.
GROWTH_PER_CHANGE_MB = 0.2
# A change is in force at an entry instance in touch this long after its acknowledgement,
# and an instance that was suspended is in touch after CONTACT_S.
APPLY_S = 2.5
CONTACT_S = 4


def configuration(version, path, nr_routes):
    """Returns a configuration of many routes and one for the path."""
    config = copy.deepcopy(clusterlib.CONFIG)
    config["version"] = version
    first = config["routes"][0]
    config["routes"] += [dict(first, name=f"many-{i}", pathPrefix=f"/many-{i:04d}/path/of/this/route/",
                              targetLatencyS=0.6 + version % 7 / 100)
                         for i in range(nr_routes)]
    config["routes"].append(dict(first, name="newest", pathPrefix=path))
    return config


async def replace(cluster, base, nr, nr_routes=MANY_ROUTES):
    """Sends nr complete configurations, one after the other. Returns the version."""
    for version in range(base + 1, base + nr + 1):
        for _ in range(20):
            answer = await cluster.put_config(configuration(version, f"/newest-{version}/",
                                                            nr_routes), version - 1)
            if answer and answer.status < 500:
                break
            await asyncio.sleep(0.1)
        assert answer and answer.status == 200, (version, answer and answer.body[:200])
    return base + nr


def memory_mb(cluster, name):
    """Returns the memory that a process has allocated, without files."""
    with open(f"/proc/{cluster.processes[name].pid}/status") as status:
        return next(int(line.split()[1]) / 1024 for line in status
                    if line.startswith("RssAnon"))


async def memory_after_many_changes(cluster):
    """The log was kept in memory until 20,000 entries, whatever their size: control
    processes grew by 0.5 MB with each change, up to the memory of their machines, and
    again at each restart."""
    version = await replace(cluster, 1, CHANGES // 4)
    controls = cluster.names("control")
    before = {name: memory_mb(cluster, name) for name in controls}
    version = await replace(cluster, version, CHANGES)
    for name in controls:
        grown = memory_mb(cluster, name) - before[name]
        print(f"# {name} {before[name]:.0f} MB, grown by {grown:.0f} MB", flush=True)
        assert grown < GROWTH_PER_CHANGE_MB * CHANGES, (name, grown)
    for name in controls:
        cluster.kill(name)
        cluster.start(name)

    async def is_read():
        config = await cluster.read_config()
        return config and config["version"] == version

    await cluster.wait("the configuration is read after the restart", is_read, 15)
    for name in controls:
        used = memory_mb(cluster, name)
        assert used < before[name] + GROWTH_PER_CHANGE_MB * CHANGES, (name, used)


async def suspended_instance_catches_up(cluster):
    """An instance that lacked less than 64 changes was sent all of them in one frame, and
    nothing where they were too large for a frame."""
    version = await replace(cluster, 1, 1, MORE_ROUTES)
    await cluster.wait("entry-1 serves", lambda: cluster.serves("entry-1"), 5)
    cluster.signal("entry-1", signal.SIGSTOP)
    version = await replace(cluster, version, 62, MORE_ROUTES)
    cluster.signal("entry-1", signal.SIGCONT)
    since = time.monotonic()

    async def serves_newest():
        answer = await cluster.request("entry-1", f"/newest-{version}/1")
        return answer and answer.status == 200

    await cluster.wait("the newest route is served", serves_newest, CONTACT_S + APPLY_S)
    print(f"# caught up after {time.monotonic() - since:.1f} s", flush=True)


if __name__ == "__main__":
    clusterlib.run_chosen([memory_after_many_changes, suspended_instance_catches_up])
