#!/usr/bin/env python3
"""Callers that stay with entry instances which have lost their links to the backend
servers, as those do that keep an earlier answer of the directory, with real processes."""
import asyncio
import copy
import sys
import time

import cluster as clusterlib

# An instance notices a cut within this time, also if its connections are silent.
DETECTION_MAX_S = 2.0
CUT_S = 6.0
DEADLINE_MS = 2500


class Load:
    """Requests at random times to the named instances."""
    def __init__(self, cluster, entries, rate, writes=0.3, body=b""):
        self.cluster, self.entries, self.rate = cluster, entries, rate
        self.writes, self.body = writes, body
        self.tries = []  # (when sent, request id, method, status or None, time taken)
        self.running = set()
        self.task = asyncio.create_task(self.run())

    async def send(self):
        rng = self.cluster.rng
        method = "POST" if rng.random() < self.writes else "GET"
        path = f"/{'write' if method == 'POST' else 'read'}/{rng.randrange(200)}"
        request_id = f"{rng.getrandbits(64):016x}"
        sent = time.monotonic()
        answer = await self.cluster.request(
            rng.choice(self.entries), path, method, self.body if method == "POST" else b"",
            request_id=request_id, deadline_ms=DEADLINE_MS)
        self.tries.append((sent, request_id, method, answer and answer.status,
                           time.monotonic() - sent))

    async def run(self):
        rng, at = self.cluster.rng, time.monotonic()
        while True:
            task = asyncio.create_task(self.send())
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            at += rng.expovariate(self.rate)
            await asyncio.sleep(max(0, at - time.monotonic()))

    async def stop(self):
        self.task.cancel()
        if self.running:
            await asyncio.wait(self.running, timeout=DEADLINE_MS / 1000 + 1)

    def check_served(self, start, end, least):
        """Checks the part of the tries sent in this time that was served."""
        tries = [t for t in self.tries if start <= t[0] < end]
        statuses = {}
        for _, _, _, status, _ in tries:
            statuses[status] = statuses.get(status, 0) + 1
        print(f"# {len(tries)} tries, status: number {statuses}, slowest "
              f"{max((t[4] for t in tries), default=0):.2f} s", flush=True)
        assert len(tries) >= 30, len(tries)
        assert statuses.get(200, 0) >= least * len(tries), statuses


async def check_cut(cluster, entries, kind, work_s=0.02):
    """Cuts the links of the instances for a while, in which a request takes work_s."""
    load = Load(cluster, entries, 40)
    await asyncio.sleep(1.5)
    began = time.monotonic()
    await cluster.cut(entries, kind)
    for server in cluster.servers.values():
        server.work_s = work_s
    await asyncio.sleep(CUT_S)
    ended = time.monotonic()
    await cluster.join()
    await asyncio.sleep(1.5)
    await load.stop()
    load.check_served(began + DETECTION_MAX_S, ended, 0.95)


async def silent_connections(cluster):
    """Requests over silent connections waited until their deadline."""
    await check_cut(cluster, ["entry-0", "entry-1"], "silent")


async def reset_connections(cluster):
    """New connections hung, and requests were refused after one to two seconds."""
    await check_cut(cluster, ["entry-0"], "reset")


async def refused_connections(cluster):
    """Established connections live on, but are too few for the requests that come, and
    new ones are reset."""
    await check_cut(cluster, ["entry-0", "entry-3"], "refuse_new", 0.3)


async def region_without_links(cluster):
    """The instances of the other region take the requests."""
    await check_cut(cluster, ["entry-0", "entry-1", "entry-3"], "silent")


async def large_bodies(cluster):
    """Large bodies are relayed whole."""
    body = bytes(cluster.rng.randrange(256) for _ in range(200000))
    load = Load(cluster, ["entry-0"], 6, writes=1.0, body=body)
    await asyncio.sleep(1.5)
    began = time.monotonic()
    await cluster.cut(["entry-0"], "silent")
    await asyncio.sleep(CUT_S + DETECTION_MAX_S)
    ended = time.monotonic()
    await cluster.join()
    await load.stop()
    load.check_served(began + DETECTION_MAX_S, ended, 0.9)


async def rate_holds_for_relays(cluster):
    """A customer gets its rate and no more through instances that relay."""
    rate = 20
    config = copy.deepcopy(clusterlib.CONFIG)
    config["version"] = 2
    config["tenants"][0].update(ratePerS=rate, burst=rate)
    answer = await cluster.put_config(config, 1)
    assert answer and answer.status == 200, answer and answer.status
    entries = ["entry-0", "entry-1"]
    load = Load(cluster, entries, 3 * rate)
    await asyncio.sleep(1.5)
    began = time.monotonic()
    await cluster.cut(entries, "silent")
    await asyncio.sleep(3 * CUT_S)
    ended = time.monotonic()
    await cluster.join()
    await load.stop()
    start = began + 2 * DETECTION_MAX_S
    served = sum(t[3] == 200 for t in load.tries if start <= t[0] < ended)
    per_s = served / (ended - start)
    print(f"# {per_s:.1f} requests/s served of {3 * rate}, the rate is {rate}", flush=True)
    assert 0.6 * rate <= per_s <= 1.1 * rate + 20 / (ended - start), per_s


async def lost_links_are_no_exits(cluster):
    """All connections are reset and new ones refused, as if all servers had exited.
    Requests in progress must not be held for the cause."""
    for server in cluster.servers.values():
        server.work_s = 0.3
    load = Load(cluster, cluster.names("entry"), 60)
    await asyncio.sleep(1.5)
    await cluster.cut(cluster.names("entry"), "closed")
    await asyncio.sleep(2)
    await cluster.join()
    await asyncio.sleep(1.5)
    await load.stop()
    lines = [line for text in cluster.logs().values() for line in text.splitlines()]
    broken = sum("cause=closed" in line for line in lines)
    ended = sum("event=crash" in line and "outcome=ended" in line for line in lines)
    print(f"# {broken} requests lost their connection, {ended} servers were taken for ended",
          flush=True)
    assert broken and not ended, (broken, ended)


def main():
    cases = [silent_connections, reset_connections, refused_connections,
             region_without_links, large_bodies, rate_holds_for_relays,
             lost_links_are_no_exits]
    chosen = sys.argv[2:]
    clusterlib.run_cases([(case.__name__, lambda case=case: clusterlib.run_case(
        sys.argv[1], case, nr_entries=4, nr_servers=6,
        link_mbit=40 if case is large_bodies else 0)) for case in cases
        if not chosen or case.__name__ in chosen])


if __name__ == "__main__":
    main()
