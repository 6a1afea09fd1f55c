#!/usr/bin/env python3
"""Responses of backend servers that are no whole answers, with real processes: a caller
never gets a part as the whole, nor a status that is none. Each case is played at an
instance that reaches the servers and at one that relays to another instance."""
import asyncio
import copy
import sys

import cluster as clusterlib

# More than the buffers of the sockets take, so that it is being sent when the answer
# and the reset arrive.
UPLOAD_BYTES = 12 << 20
DETECTION_MAX_S = 2.0  # an instance notices within this time that its links are cut
RELAYS = "entry-0"
REACHES = "entry-1"


async def prepare(cluster):
    """Allows large bodies, and lets one instance relay all its requests."""
    config = copy.deepcopy(clusterlib.CONFIG)
    config["version"] = 2
    config["limits"]["maxBodyBytes"] = 2 * UPLOAD_BYTES
    answer = await cluster.put_config(config, 1)
    assert answer and answer.status == 200, answer and answer.status
    await cluster.cut([RELAYS], "silent")
    await asyncio.sleep(DETECTION_MAX_S + 0.5)
    await cluster.wait("requests are relayed", lambda: cluster.serves(RELAYS), 10)


async def check_served(cluster):
    """Whole answers still pass, after the servers count as sound again."""
    for server in cluster.servers.values():
        server.fault = None
    for entry in (REACHES, RELAYS):
        await cluster.wait(f"{entry} serves", lambda e=entry: cluster.serves(e), 10)


async def early_parts_of_answers(cluster):
    """A server answered a long upload at once, sent a part of its body and reset the
    connection while the upload was being written: operators of other systems saw the part
    delivered as a complete answer if it had no length."""
    await prepare(cluster)
    statuses = {}
    for fault in ("early_bare", "early_close", "early_old", "early_length", "early_chunked"):
        for server in cluster.servers.values():
            server.fault = fault
            for writer in list(server.writers):  # those that wait for a request without it
                writer.transport.abort()
        await asyncio.sleep(0.1)
        for entry in (REACHES, RELAYS):
            for size in (UPLOAD_BYTES, 10):
                before = sum(s.nr_early for s in cluster.servers.values())
                answer = await cluster.request(entry, "/write/1", "POST", b"x" * size,
                                               deadline_ms=2500)
                status = answer and answer.status
                statuses[status] = statuses.get(status, 0) + 1
                assert status in (None, 502, 504), (fault, entry, size, status)
                assert sum(s.nr_early for s in cluster.servers.values()) > before, \
                    (fault, entry, size, "the upload has not reached a server")
        await check_served(cluster)
    print(f"# statuses: {statuses}", flush=True)


async def statuses_that_are_none(cluster):
    """A server sent 000 as its status, and callers got it as an answer."""
    await prepare(cluster)
    for line in ("000 None", "000", "0200 OK", "00200 OK", " 200 OK", "099 Low", "600 High",
                 "999 High", "2000 Long", "20 Short", "-200 OK", "+200 OK", "abc OK", "OK"):
        for server in cluster.servers.values():
            server.fault = f"line_{line}"
        for entry in (REACHES, RELAYS):
            for path, method in (("/write/2", "POST"), ("/read/2", "GET")):
                answer = await cluster.request(entry, path, method, b"", deadline_ms=1500)
                assert answer and answer.status in (502, 503, 504), \
                    (line, entry, method, answer and answer.status)
        await check_served(cluster)


def main():
    cases = [early_parts_of_answers, statuses_that_are_none]
    clusterlib.run_cases([(case.__name__, lambda case=case: clusterlib.run_case(
        sys.argv[1], case)) for case in cases if not sys.argv[2:] or case.__name__ in sys.argv[2:]])


if __name__ == "__main__":
    main()
