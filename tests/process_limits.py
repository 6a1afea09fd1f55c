#!/usr/bin/env python3
"""Servers that name a limit of requests a second for all instances together, with
real processes."""
import asyncio
import signal
import time

import cluster as clusterlib

CONTACT_S = clusterlib.LIMIT_CONTACT_S
# A refusal costs the queries to a few coordinators, the nearest of which are a
# fraction of a millisecond away.
REFUSAL_MAX_S = 0.5


def check_limit(server, limit, start, end):
    most = clusterlib.most_in_window(server.arrivals, start, end)
    allowed = clusterlib.limit_allows(limit)
    total = sum(start <= t < end for t in server.arrivals)
    print(f"# {server.name}: limit {limit}/s, {total / (end - start):.1f}/s, at most {most} in "
          f"4 s, {allowed:.0f} allowed", flush=True)
    assert most <= allowed, (server.name, most, allowed)


class Load:
    """Callers that send requests at random times, at a steady rate on average, whatever
    becomes of them. At even times each would come after a longer pause than one that
    returns, and find a permit more often."""
    def __init__(self, cluster, rate, entries=None, method="GET", returns=False):
        self.cluster, self.rate, self.method = cluster, rate, method
        self.entries = entries or cluster.names("entry")
        self.returns = returns  # refused callers return once, when they were told
        self.results = []  # (when sent, status or None, time taken, Retry-After or None)
        self.returned = []  # (when sent, status or None) of those that returned
        self.running = set()
        self.task = asyncio.create_task(self.run())

    async def send(self, number):
        entry = self.entries[number % len(self.entries)]
        kind = "write" if self.method == "POST" else "read"
        sent = time.monotonic()
        answer = await self.cluster.request(entry, f"/{kind}/{self.cluster.rng.randrange(200)}",
                                            self.method)
        retry_after = answer and answer.headers.get("retry-after")
        self.results.append((sent, answer and answer.status, time.monotonic() - sent,
                             float(retry_after) if retry_after else None))
        if self.returns and answer and answer.status == 503:
            await asyncio.sleep(float(retry_after))
            sent = time.monotonic()
            entry = self.cluster.rng.choice(self.entries)
            answer = await self.cluster.request(
                entry, f"/{kind}/{self.cluster.rng.randrange(200)}", self.method)
            self.returned.append((sent, answer and answer.status))

    async def run(self):
        at, number = time.monotonic(), 0
        while True:
            task = asyncio.create_task(self.send(number))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            number += 1
            at += self.cluster.rng.expovariate(self.rate)
            await asyncio.sleep(max(0, at - time.monotonic()))

    async def stop(self):
        self.task.cancel()
        if self.running:
            await asyncio.wait(self.running, timeout=4)

    def count(self, status, start, end):
        return sum(s == status and start <= at < end for at, s, _, _ in self.results)

    def check_refusals(self):
        """Refusals come at once and say when to return."""
        refusals = [(took, after) for _, status, took, after in self.results if status == 503]
        late = [took for took, _ in refusals if took > REFUSAL_MAX_S]
        print(f"# {len(refusals)} refusals, {len(late)} later than {REFUSAL_MAX_S} s, slowest "
              f"{max((t for t, _ in refusals), default=0):.2f} s", flush=True)
        assert all(after for _, after in refusals)
        assert len(late) <= len(refusals) / 100, late[:5]


async def limit_covers_all_instances(cluster):
    """Two of six servers name a limit far below what they get. All instances
    together keep it, and the other servers take the rest."""
    limited = [cluster.servers["server-0"], cluster.servers["server-3"]]
    load = Load(cluster, 60)
    await asyncio.sleep(2)
    for server in limited:
        server.limit = 2.5
    named = time.monotonic()
    await asyncio.sleep(CONTACT_S + 8)
    await load.stop()
    end = time.monotonic()
    for server in limited:
        check_limit(server, 2.5, named + CONTACT_S, end)
        assert sum(t >= named + CONTACT_S for t in server.arrivals) >= 8, "is not used at all"
    refused = load.count(503, named, end)
    assert refused <= len(load.results) / 50, (refused, len(load.results))


async def all_servers_limited(cluster):
    """All servers together take less than is asked for: what they take is served,
    the rest is refused at once, and a caller that returns when told is not
    refused more often than one that comes for the first time."""
    for server in cluster.servers.values():
        server.limit = 3
    limit = 3 * len(cluster.servers)
    load = Load(cluster, 50, returns=True)
    named = time.monotonic()
    await asyncio.sleep(CONTACT_S + 20)
    end = time.monotonic()
    await load.stop()
    for server in cluster.servers.values():
        check_limit(server, 3, named + CONTACT_S, end)
    first = [status for at, status, *_ in load.results if named + CONTACT_S <= at < end - 1]
    again = [status for at, status in load.returned if named + CONTACT_S <= at < end - 1]
    served = (first + again).count(200) / (end - 1 - named - CONTACT_S)
    print(f"# served {served:.1f}/s of {limit}/s: {first.count(200)} of {len(first)} that came "
          f"for the first time and {again.count(200)} of {len(again)} that returned", flush=True)
    assert served >= 0.8 * limit, served
    assert again.count(200) / len(again) >= 0.7 * first.count(200) / len(first)
    load.check_refusals()


async def refused_callers_return_in_time(cluster):
    """More callers come at one moment than the servers take, and none after them:
    each that returns when it was told is served then."""
    for server in cluster.servers.values():
        server.limit = 3
    load = Load(cluster, 20)
    await asyncio.sleep(CONTACT_S)
    await load.stop()
    await asyncio.sleep(1)
    load = Load(cluster, 600, returns=True)
    await asyncio.sleep(0.1)
    load.task.cancel()
    await asyncio.sleep(7)
    refused = sum(status == 503 for _, status, _, _ in load.results)
    again = [status for _, status in load.returned]
    waits = sorted(after for _, _, _, after in load.results if after)
    print(f"# {refused} of {len(load.results)} were refused for {waits[0]:.2f} to "
          f"{waits[-1]:.2f} s, {again.count(200)} of {len(again)} served when they returned",
          flush=True)
    assert refused >= 20, refused
    assert len(again) == refused and again.count(200) >= 0.9 * refused, (refused, again)


async def limit_is_lowered_raised_and_dropped(cluster):
    """A limit is followed in both directions; an unreadable one leaves the known
    one in force; without one the server takes any number again."""
    server = cluster.servers["server-0"]
    for other in list(cluster.servers.values())[1:]:
        other.fault = "shed"  # so that the server gets as much as it takes
    load = Load(cluster, 50)
    for limit, at_least in ((8, 5), (2, 1), ("few", 1), ("", 1), (6, 4)):
        server.limit = limit
        in_force = limit if isinstance(limit, int) else 2
        changed = time.monotonic()
        await asyncio.sleep(CONTACT_S + 5)
        end = time.monotonic()
        check_limit(server, in_force, changed + CONTACT_S, end)
        got = sum(changed + CONTACT_S <= t for t in server.arrivals) / (end - changed - CONTACT_S)
        assert got >= at_least, (limit, got)
    server.limit = None
    await asyncio.sleep(CONTACT_S)
    start = time.monotonic()
    await asyncio.sleep(2)
    got = sum(t >= start for t in server.arrivals) / 2
    await load.stop()
    print(f"# {got}/s without a limit", flush=True)
    assert got >= 20, got


async def limit_with_uneven_traffic(cluster):
    """All callers use one instance, then another one: it gets the whole limit, and
    the others keep nothing of it."""
    for server in cluster.servers.values():
        server.limit = 2
    limit = 2 * len(cluster.servers)
    start = time.monotonic()
    for entry in ("entry-1", "entry-2"):
        load = Load(cluster, 40, [entry])
        await asyncio.sleep(3)
        begin = time.monotonic()
        await asyncio.sleep(6)
        end = time.monotonic()
        served = load.count(200, begin, end - 0.5) / (end - 0.5 - begin)
        await load.stop()
        print(f"# {entry}: served {served:.1f}/s of {limit}/s", flush=True)
        assert served >= 0.75 * limit, (entry, served)
    for server in cluster.servers.values():
        check_limit(server, 2, start + CONTACT_S, time.monotonic())


async def limit_for_second_attempts_and_writes(cluster):
    """Servers that shed or lose requests cause second attempts, which count like
    first ones; writes have no second attempt and count as well."""
    limited = list(cluster.servers.values())[:3]
    for server in limited:
        server.limit = 2
    for server in list(cluster.servers.values())[3:]:
        server.fault = "reset"
    limited[0].fault = "shed"
    loads = [Load(cluster, 25), Load(cluster, 25, method="POST")]
    start = time.monotonic()
    await asyncio.sleep(CONTACT_S + 8)
    for load in loads:
        await load.stop()
    for server in limited:
        check_limit(server, 2, start + CONTACT_S, time.monotonic())


async def limit_while_instances_fail(cluster):
    """Instances are killed, stand still, come back and stop as planned, one after
    the other, so that the coordinator of each server changes several times; control
    instances fail as well, and a new instance joins. The limit holds all the while,
    and most of it is used."""
    for server in cluster.servers.values():
        server.limit = 3
    limit = 3 * len(cluster.servers)
    entries = cluster.names("entry")
    load = Load(cluster, 60)
    start = time.monotonic()
    await asyncio.sleep(CONTACT_S)
    for name, number, pause in (("entry-0", signal.SIGKILL, 3), ("entry-1", signal.SIGSTOP, 3),
                                ("entry-2", signal.SIGTERM, 7), ("control-0", signal.SIGKILL, 3),
                                ("entry-3", signal.SIGKILL, 0.3)):
        load.entries = [e for e in entries if e != name]
        await asyncio.sleep(0.5)
        cluster.signal(name, number)
        await asyncio.sleep(pause)
        if number == signal.SIGSTOP:
            cluster.signal(name, signal.SIGCONT)
        else:
            cluster.processes[name].wait()
            cluster.start(name)
        load.entries = entries
        await asyncio.sleep(2)
    ip = cluster.instances["entry-0"][0]
    cluster.instances["entry-4"] = (ip[:-1] + "5", "a2", "entry")
    cluster.start("entry-4")
    await asyncio.sleep(1)
    load.entries = entries + ["entry-4"]
    await asyncio.sleep(3)
    end = time.monotonic()
    await load.stop()
    for server in cluster.servers.values():
        check_limit(server, 3, start + CONTACT_S, end)
    served = load.count(200, start + CONTACT_S, end - 1) / (end - 1 - start - CONTACT_S)
    print(f"# served {served:.1f}/s of {limit}/s", flush=True)
    assert served >= 0.6 * limit, served


async def limit_without_control(cluster):
    """No control instance is left, so nothing removes an entry instance that ends
    from the list. The limit holds for the servers whose coordinator it was, and the
    other instances use most of it with their own shares."""
    for server in cluster.servers.values():
        server.limit = 6
    limit = 6 * len(cluster.servers)
    load = Load(cluster, 80)
    start = time.monotonic()
    await asyncio.sleep(CONTACT_S)
    for name in cluster.names("control"):
        cluster.kill(name)
    for name in ("entry-0", "entry-1"):
        load.entries = [e for e in load.entries if e != name]
        await asyncio.sleep(0.5)
        begin = time.monotonic()
        cluster.kill(name)
        await asyncio.sleep(5)
        end = time.monotonic()
        served = load.count(200, begin, end - 0.5) / (end - 0.5 - begin)
        print(f"# without {name}: served {served:.1f}/s of {limit}/s", flush=True)
        assert served >= 0.4 * limit, served
    await load.stop()
    for server in cluster.servers.values():
        check_limit(server, 6, start + CONTACT_S, end)


async def limit_of_cold_servers(cluster):
    """Servers end and come back cold, under the same id and with a limit: both the
    limit and the rate of a cold server hold."""
    server = cluster.servers["server-0"]
    server.keeps_id = True
    for other in list(cluster.servers.values())[1:]:
        other.fault = "shed"
    server.limit = 3
    load = Load(cluster, 40)
    start = time.monotonic()
    await asyncio.sleep(CONTACT_S)
    server.cold_until = time.monotonic() + 3
    server.end(1.0, True)
    await asyncio.sleep(8)
    await load.stop()
    check_limit(server, 3, start + CONTACT_S, time.monotonic())


async def limit_of_zero(cluster):
    """A server that takes no requests gets only those that show whether this still
    holds, and is used again without a limit."""
    server = cluster.servers["server-0"]
    server.limit = 0
    load = Load(cluster, 40)
    start = time.monotonic()
    await asyncio.sleep(CONTACT_S + 12)
    check_limit(server, 0, start + CONTACT_S, time.monotonic())
    server.limit = None
    await asyncio.sleep(14)
    got = sum(t >= time.monotonic() - 2 for t in server.arrivals)
    await load.stop()
    assert got >= 4, got


def main():
    cases = [limit_covers_all_instances, all_servers_limited, refused_callers_return_in_time,
             limit_is_lowered_raised_and_dropped, limit_with_uneven_traffic,
             limit_for_second_attempts_and_writes, limit_while_instances_fail,
             limit_without_control, limit_of_cold_servers, limit_of_zero]
    clusterlib.run_chosen(cases, nr_entries=4, nr_servers=6)


if __name__ == "__main__":
    main()
