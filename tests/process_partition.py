#!/usr/bin/env python3
"""Entry instances that lose their links to the backend servers, while callers, the
control instances and the other entry instances still reach them, with real
processes."""
import asyncio
import time

import cluster as clusterlib

# The bound holds from this time after the begin of a cut.
CONTACT_S = 4.0
CUT_S = 8.5
WARM_UP_S = 1.2
# Once an instance has noticed that it reaches no server, it refuses within this time
# what nobody can serve.
REFUSAL_MAX_S = 0.5
# Time after the end of a cut in which the instances use the servers again.
RETURN_MAX_S = 2.0
DEADLINE_S = 2.5


class Try:
    """The first try of a request."""
    def __init__(self, request_id, entry, sent):
        self.id, self.entry, self.sent = request_id, entry, sent
        self.status = None  # None: the connection failed, was closed or timed out
        self.took_s = None
        self.retry_after = None

    def is_refused_at_once(self):
        return (self.status in (429, 503) and self.took_s < REFUSAL_MAX_S
                and self.retry_after is not None)


def median_s(tries):
    """Returns the median time until the answer, or 0 without tries."""
    return sorted(t.took_s for t in tries)[len(tries) // 2] if tries else 0.0


class Caller:
    """Asks the nearest directory for entry instances and keeps the answer for its
    lifetime, or longer, and as long as it cannot get a new one. Keeps connections, uses
    a random instance for each new one, and leaves instances that a new answer does not
    name."""
    NEW_CONNECTION_PART = 0.5
    KEPT_MAX = 3

    def __init__(self, cluster, zone, keeps_factor):
        self.cluster, self.zone, self.keeps_factor = cluster, zone, keeps_factor
        self.entries, self.valid_until = [], 0.0
        self.reaches_directory = True
        self.failed = set()  # instances whose connections failed since the last answer
        self.kept = []       # idle connections: (instance, reader, writer)
        self.lock = asyncio.Lock()

    def directories(self):
        """Returns the addresses of the directories, nearest first."""
        def distance(name):
            zone = self.cluster.instances[name][1]
            return (zone != self.zone, clusterlib.ZONES[zone] != clusterlib.ZONES[self.zone])
        return [self.cluster.address(n, "directory")
                for n in sorted(self.cluster.names("control"), key=distance)[:3]]

    async def look_up(self):
        async with self.lock:
            if time.monotonic() < self.valid_until or not self.reaches_directory:
                return
            for address in self.directories():
                found = await self.cluster.look_up(self.zone, address)
                if not found:
                    continue
                self.entries, ttl_s = found
                self.valid_until = time.monotonic() + ttl_s * self.keeps_factor
                self.failed.clear()
                for connection in [c for c in self.kept if c[0] not in self.entries]:
                    self.kept.remove(connection)
                    connection[2].close()
                return

    def choose_connection(self):
        """Returns an instance and a kept connection to it, or None for a new one."""
        rng = self.cluster.rng
        if self.kept and rng.random() >= self.NEW_CONNECTION_PART:
            return self.kept.pop(rng.randrange(len(self.kept)))
        usable = [e for e in self.entries if e not in self.failed] or self.entries
        return rng.choice(usable), None, None

    async def exchange(self, entry, reader, writer, message):
        if not writer:
            host, port = self.cluster.address(entry, "callers").rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(message)
            status_line, headers, body = await clusterlib.read_message(reader)
        except BaseException:
            writer.close()
            raise
        if (headers.get("connection", "").lower() == "close" or entry not in self.entries
                or len(self.kept) >= self.KEPT_MAX):
            writer.close()
        else:
            self.kept.append((entry, reader, writer))
        return clusterlib.Answer(int(status_line.split()[1]), headers, body)

    async def send(self, method, tries):
        """Sends one request and appends its try."""
        await self.look_up()
        if not self.entries:
            return
        entry, reader, writer = self.choose_connection()
        rng = self.cluster.rng
        body = b"x" * 100 if method == "POST" else b""
        path = f"/{'write' if method == 'POST' else 'read'}/{rng.randrange(200)}"
        request = Try(f"{rng.getrandbits(64):016x}", entry, time.monotonic())
        message = (f"{method} {path} HTTP/1.1\r\nHost: t.example\r\nX-Key: key-kim\r\n"
                   f"X-Request-Id: {request.id}\r\nX-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
                   f"X-Affinity-Key: {path.rsplit('/', 1)[-1]}\r\n"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        answer = None
        try:
            answer = await asyncio.wait_for(
                self.exchange(entry, reader, writer, message), DEADLINE_S + 0.5)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            self.failed.add(entry)
        request.took_s = time.monotonic() - request.sent
        self.cluster.check_response(request.id, path, method, body, answer)
        if answer:
            request.status = answer.status
            request.retry_after = answer.headers.get("retry-after")
        tries.append(request)


class Callers:
    """Callers in all zones that send requests at random times. One in three keeps the
    answers of the directory three times as long as it may."""
    def __init__(self, cluster, rate, writes=0.3, nr=24):
        zones = list(clusterlib.ZONES)
        self.cluster, self.rate, self.writes = cluster, rate, writes
        self.callers = [Caller(cluster, zones[i % 3], 3 if i // 3 % 3 == 0 else 1)
                        for i in range(nr)]
        self.tries = []
        self.running = set()
        self.task = asyncio.create_task(self.run())

    async def run(self):
        rng, at = self.cluster.rng, time.monotonic()
        while True:
            method = "POST" if rng.random() < self.writes else "GET"
            task = asyncio.create_task(rng.choice(self.callers).send(method, self.tries))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            at += rng.expovariate(self.rate)
            await asyncio.sleep(max(0, at - time.monotonic()))

    def lose_directory(self):
        """From now on, one in three callers in each zone cannot ask the directory."""
        for caller in self.callers[:len(self.callers) // 3]:
            caller.reaches_directory = False

    async def stop(self):
        self.task.cancel()
        if self.running:
            await asyncio.wait(self.running, timeout=DEADLINE_S + 1.5)
        for caller in self.callers:
            for _, _, writer in caller.kept:
                writer.close()

    def between(self, start, end):
        return [t for t in self.tries if start <= t.sent < end]

    def check_first_tries(self, cut, start, end):
        """Checks that the first tries at the instances that were cut off were served at
        least two thirds as often as those at the others, or that few of all failed
        there."""
        tries = self.between(start, end)
        here = [t for t in tries if t.entry in cut]
        others = [t for t in tries if t.entry not in cut]
        served = sum(t.status == 200 for t in here)
        served_others = sum(t.status == 200 for t in others)
        statuses = {}
        for t in here:
            statuses[t.status] = statuses.get(t.status, 0) + 1
        failed, allowed = len(here) - served, 10 + len(tries) / 50
        print(f"# instances that were cut off served {served} of {len(here)} first tries, the "
              f"others {served_others} of {len(others)}; {failed} failed, {allowed:.0f} allowed; "
              f"status: number {statuses}; median {median_s(here):.2f} s, slowest "
              f"{max((t.took_s for t in here), default=0):.2f} s", flush=True)
        assert len(others) >= 30 or not others, len(others)
        # Without others, the share that they would serve is 1.
        share = served / len(here) if here else 1
        share_others = served_others / len(others) if others else 1
        assert share >= share_others * 2 / 3 or failed <= allowed, (served, len(here))


async def check_cut(cluster, entries, kind, servers=None, writes=0.3, work_s=0.02):
    """Cuts links for a while and checks the first tries in that time. work_s is the time
    that requests take meanwhile."""
    callers = Callers(cluster, 80, writes)
    await asyncio.sleep(WARM_UP_S)
    began = time.monotonic()
    callers.lose_directory()
    await cluster.cut(entries, kind, servers)
    for server in cluster.servers.values():
        server.work_s = work_s
    await asyncio.sleep(CUT_S)
    ended = time.monotonic()
    await cluster.join()
    await callers.stop()
    callers.check_first_tries(entries, began + CONTACT_S, ended)


async def one_instance_is_cut_off(cluster):
    """One of four instances reaches no server: its connections hang."""
    await check_cut(cluster, ["entry-0"], "silent")


async def two_instances_are_cut_off(cluster):
    """Two of four instances, in two regions, reach no server."""
    await check_cut(cluster, ["entry-1", "entry-2"], "silent")


async def zone_is_cut_off(cluster):
    """No instance of a zone reaches a server."""
    await check_cut(cluster, ["entry-0", "entry-3"], "silent")


async def region_is_cut_off(cluster):
    """No instance of a region reaches a server. Those of the other region are left."""
    await check_cut(cluster, ["entry-0", "entry-1", "entry-3"], "silent")


async def connections_are_reset(cluster):
    """Open connections of two instances are reset, and new ones hang."""
    await check_cut(cluster, ["entry-0", "entry-2"], "reset")


async def new_connections_are_refused(cluster):
    """Open connections live on, and new ones are reset as soon as they are accepted.
    Requests take longer than before, so the open connections are too few."""
    await check_cut(cluster, ["entry-0", "entry-1"], "refuse_new", work_s=0.2)


async def writes_beside_old_connections(cluster):
    """While new connections are reset, open ones serve requests on, but those that were
    idle for long do not serve writes. A new connection was opened for the write instead,
    and the reset after the first byte made it a 502."""
    entry = "entry-0"
    await asyncio.gather(*(cluster.request(entry, f"/read/{i}") for i in range(48)))
    began = time.monotonic()
    await cluster.cut([entry], "refuse_new")
    for server in cluster.servers.values():
        server.work_s = 0.2
    await asyncio.gather(*(cluster.request(entry, f"/read/{i}") for i in range(72)))
    for server in cluster.servers.values():
        server.work_s = 0.02
    while time.monotonic() < began + CONTACT_S + 2:  # one server responds all the time
        await cluster.request(entry, "/read/1")
        await asyncio.sleep(0.1)
    state = [line.split("state=")[1].split()[0] for line in cluster.logs()[entry].splitlines()
             if "event=reach" in line]
    assert state and state[-1] == "no_new_connections", state
    statuses = {}
    for i in range(60):
        answer = await cluster.request(entry, f"/write/{i}", "POST", b"x" * 100)
        status = answer and answer.status
        statuses[status] = statuses.get(status, 0) + 1
        await cluster.request(entry, "/read/1")
    await cluster.join()
    print(f"# writes by status: {statuses}", flush=True)
    assert statuses == {200: 60}, statuses


async def writes_after_first_reset(cluster):
    """Before probes have found out that new connections are reset, the first reset is
    known: later writes sent over new connections got 502 until then."""
    entry = "entry-0"
    statuses = {}
    for server in cluster.servers.values():
        server.work_s = 1.0
    # More than there are open connections, so all are in use.
    tasks = [asyncio.create_task(cluster.request(entry, f"/read/{i}")) for i in range(24)]
    await asyncio.sleep(0.3)
    await cluster.cut([entry], "refuse_new")
    tasks.append(asyncio.create_task(cluster.request(entry, "/read/100")))
    await asyncio.sleep(0.01)
    for answer in await asyncio.gather(*(
            cluster.request(entry, f"/write/{i}", "POST", b"x" * 100) for i in range(16))):
        status = answer and answer.status
        statuses[status] = statuses.get(status, 0) + 1
    await asyncio.gather(*tasks)
    await cluster.join()
    print(f"# writes by status: {statuses}", flush=True)
    assert 502 not in statuses and statuses.get(200, 0) >= 14, statuses


async def half_of_the_servers_are_cut_off(cluster):
    """An instance reaches half of the servers only."""
    await check_cut(cluster, ["entry-0"], "silent", list(cluster.servers.values())[:3])


async def writes_while_cut_off(cluster):
    """Writes whose connection hangs may run once the links are joined: none runs twice
    or after it was refused. Those that come later are served elsewhere."""
    await check_cut(cluster, ["entry-0", "entry-1"], "silent", writes=1.0)
    await asyncio.sleep(3)  # packets that were dropped are sent again meanwhile


async def links_flap(cluster):
    """The links of an instance are cut and joined several times."""
    callers = Callers(cluster, 80)
    await asyncio.sleep(WARM_UP_S)
    began = time.monotonic()
    callers.lose_directory()
    for _ in range(4):
        await cluster.cut(["entry-0"], "silent")
        await asyncio.sleep(1.5)
        await cluster.join()
        await asyncio.sleep(1)
    ended = time.monotonic()
    await callers.stop()
    callers.check_first_tries(["entry-0"], began + CONTACT_S, ended)


def break_connections(cluster, work_s):
    """All servers reset their connections, as after a loss of power, and requests take
    this long from now on."""
    for server in cluster.servers.values():
        server.work_s = work_s
        for writer in list(server.writers):
            clusterlib.reset_connection(writer)


def check_no_lost_links(cluster):
    """An instance that takes busy servers for lost links ends requests that run and
    burdens the others with its own."""
    lost = [line for log in cluster.logs().values() for line in log.splitlines()
            if "event=reach" in line]
    assert not lost, f"{len(lost)} changes, the first: {lost[0]}"


async def busy_servers_are_not_lost_links(cluster):
    """Servers reset half of the new connections, so all of a few probes may fail."""
    callers = Callers(cluster, 20)
    await asyncio.sleep(WARM_UP_S)
    break_connections(cluster, 1.5)
    for server in cluster.servers.values():
        server.accept_share = 0.5
    await asyncio.sleep(CUT_S)
    await callers.stop()
    print(f"# {sum(t.status == 200 for t in callers.tries)} of {len(callers.tries)} served",
          flush=True)
    check_no_lost_links(cluster)


async def connections_of_requests_show_the_links(cluster):
    """Servers reset connections without a request, so all probes fail. Requests run over
    new connections, and their responses are later than the decision about the links."""
    await asyncio.gather(*(cluster.request("entry-0", f"/read/{i}") for i in range(20)))
    break_connections(cluster, 2.2)
    for server in cluster.servers.values():
        server.resets_unused = True
    tasks = []
    for i in range(40):
        tasks.append(asyncio.create_task(cluster.request("entry-0", f"/read/{i}")))
        await asyncio.sleep(0.05)
    check_no_lost_links(cluster)
    await asyncio.gather(*tasks)


async def flap(cluster, entry, servers=None, cut_s=(0.4, 2.0), joined_s=(0.2, 1.2)):
    """Cuts and joins the links of an instance for random times, for about ten seconds.
    Returns how often."""
    end = time.monotonic() + 10
    nr = 0
    while time.monotonic() < end:
        await cluster.cut([entry], "silent", servers)
        await asyncio.sleep(cluster.rng.uniform(*cut_s))
        await cluster.join()
        await asyncio.sleep(cluster.rng.uniform(*joined_s))
        nr += 1
    return nr


async def check_flapping(cluster, entry, servers=None, writes=0.3):
    callers = Callers(cluster, 80, writes)
    await asyncio.sleep(WARM_UP_S)
    began = time.monotonic()
    callers.lose_directory()
    nr = await flap(cluster, entry, servers)
    ended = time.monotonic()
    await callers.stop()
    print(f"# {nr} cuts in {ended - began:.1f} s", flush=True)
    callers.check_first_tries([entry], began + CONTACT_S, ended)
    await asyncio.sleep(3)  # packets that were dropped are sent again meanwhile


async def links_flap_under_writes(cluster):
    """A write that was sent before a cut waits until the links are joined, and must
    neither run twice nor after it was refused; later ones are served."""
    await check_flapping(cluster, "entry-0", writes=1.0)


async def links_to_half_of_the_servers_flap(cluster):
    """Each cut makes the instance leave out half of the servers, and each join brings
    them back, while the other half responds all the time."""
    await check_flapping(cluster, "entry-0", list(cluster.servers.values())[:3])


IDLE_S = 10.0
FIRST_REQUEST_S = 6.0  # from the begin of the cut


async def check_idle(cluster, writes):
    """An instance without traffic learns of a cut from its first requests only."""
    await asyncio.sleep(IDLE_S)
    await cluster.cut(["entry-0"], "silent")
    await asyncio.sleep(FIRST_REQUEST_S)
    began = time.monotonic()
    callers = Callers(cluster, 80, writes)
    await asyncio.sleep(4.0)
    ended = time.monotonic()
    await cluster.join()
    await callers.stop()
    late = [t for t in callers.between(began, ended) if t.entry == "entry-0"
            and t.status != 200]
    print(f"# last first try that failed: sent {max((t.sent - began for t in late), default=0):.2f} "
          "s after the first request", flush=True)
    callers.check_first_tries(["entry-0"], began, ended)


async def idle_instance_is_cut_off(cluster):
    """Reads and writes after a cut that nobody noticed."""
    await check_idle(cluster, 0.3)


async def idle_instance_is_cut_off_before_writes(cluster):
    """The same with writes only, which cannot be sent again."""
    await check_idle(cluster, 1.0)


async def check_all_cut(cluster, kind):
    """No instance reaches a server: requests are refused at once, and served again soon
    after the links are joined."""
    callers = Callers(cluster, 50)
    await asyncio.sleep(WARM_UP_S)
    began = time.monotonic()
    await cluster.cut(cluster.names("entry"), kind)
    await asyncio.sleep(CONTACT_S + 3)
    ended = time.monotonic()
    await cluster.join()
    await asyncio.sleep(RETURN_MAX_S + 2)
    await callers.stop()
    # Those that were sent just before the end may be served.
    during = callers.between(began + CONTACT_S, ended - REFUSAL_MAX_S)
    refused = sum(t.is_refused_at_once() for t in during)
    after = callers.between(ended + RETURN_MAX_S, ended + RETURN_MAX_S + 2)
    served = sum(t.status == 200 for t in after)
    first = min((t.sent + t.took_s for t in callers.tries if t.status == 200 and
                 t.sent >= ended), default=float("inf"))
    print(f"# refused at once: {refused} of {len(during)}, slowest answer "
          f"{max((t.took_s for t in during), default=0):.2f} s; first served "
          f"{first - ended:.2f} s after the join; from {RETURN_MAX_S:.0f} s after it "
          f"{served} of {len(after)}", flush=True)
    assert len(during) >= 50 and len(after) >= 50, (len(during), len(after))
    assert refused >= 0.99 * len(during), (refused, len(during))
    assert served >= 0.9 * len(after), (served, len(after))


async def all_instances_are_cut_off(cluster):
    """Connections of all instances hang."""
    await check_all_cut(cluster, "silent")


async def servers_refuse_all_connections(cluster):
    """No server listens, though they still announce themselves."""
    await check_all_cut(cluster, "closed")


async def check_return(cluster, writes, cut_links):
    """Checks that entry-0, whose links are joined after cut_links(), sends requests to
    the servers itself again, and that the directory names it."""
    ip = cluster.instances["entry-0"][0]
    callers = Callers(cluster, 60, writes)
    await asyncio.sleep(WARM_UP_S)
    await cut_links()
    joined = time.monotonic()
    await cluster.join()
    pinned = []  # (when sent, task) of requests that go to this instance in any case
    named_s = None
    while time.monotonic() < joined + RETURN_MAX_S + 2:
        request_id = f"{cluster.rng.getrandbits(64):016x}"
        method = "POST" if cluster.rng.random() < writes else "GET"
        path = f"/{'write' if method == 'POST' else 'read'}/{cluster.rng.randrange(200)}"
        pinned.append((time.monotonic(), request_id, asyncio.create_task(
            cluster.request("entry-0", path, method, request_id=request_id))))
        found = await cluster.look_up("a1", cluster.address("control-0", "directory"))
        if named_s is None and found and "entry-0" in found[0]:
            named_s = time.monotonic() - joined
        await asyncio.sleep(0.04)
    answers = await asyncio.gather(*(task for _, _, task in pinned))
    await callers.stop()

    def is_direct(request_id):
        return any(s.sources.get(request_id) == ip for s in cluster.servers.values())

    first = min((sent for sent, request_id, _ in pinned if is_direct(request_id)),
                default=float("inf"))
    due = [(request_id, answer) for (sent, request_id, _), answer in zip(pinned, answers)
           if sent >= joined + RETURN_MAX_S]
    served = sum(answer is not None and answer.status == 200 for _, answer in due)
    direct = sum(is_direct(request_id) for request_id, _ in due)
    print(f"# first direct request sent {first - joined:.2f} s after the join; from "
          f"{RETURN_MAX_S:.0f} s after it {served} of {len(due)} served, {direct} directly; "
          f"named by the directory {named_s if named_s is None else round(named_s, 2)} s after "
          f"it", flush=True)
    assert len(due) >= 20, len(due)
    assert served >= 0.9 * len(due) and direct >= 0.9 * len(due), (served, direct, len(due))
    assert first <= joined + RETURN_MAX_S, first - joined
    assert named_s is not None, "the directory does not name it"


async def instance_returns(cluster):
    """The links are cut once."""
    async def cut_links():
        await cluster.cut(["entry-0"], "silent")
        await asyncio.sleep(CONTACT_S + 1)
    await check_return(cluster, 0, cut_links)


async def instance_returns_after_flapping(cluster):
    """After links that were cut several times an instance waits for more than one
    connection, but serves directly within the same time."""
    async def cut_links():
        # Each cut and each join lasts long enough to be noticed.
        await flap(cluster, "entry-0", None, (1.2, 1.8), (1.0, 1.5))
        await cluster.cut(["entry-0"], "silent")
        await asyncio.sleep(1.5)
    await check_return(cluster, 0.3, cut_links)


def main():
    cases = [one_instance_is_cut_off, two_instances_are_cut_off, zone_is_cut_off,
             region_is_cut_off, connections_are_reset, new_connections_are_refused,
             half_of_the_servers_are_cut_off, writes_while_cut_off, links_flap,
             busy_servers_are_not_lost_links, connections_of_requests_show_the_links,
             writes_beside_old_connections, writes_after_first_reset,
             all_instances_are_cut_off, servers_refuse_all_connections, instance_returns,
             links_flap_under_writes, links_to_half_of_the_servers_flap,
             idle_instance_is_cut_off, idle_instance_is_cut_off_before_writes,
             instance_returns_after_flapping]
    clusterlib.run_chosen(cases, nr_entries=4, nr_servers=6)


if __name__ == "__main__":
    main()
