"""A request that an edge process reads late in its stop is passed on and lost."""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as d  # noqa: E402

HOST, KEY = "truss.example", "key-kim"
WORK_S = 2.6        # within the kind's largest work (3.48 s) and its timeout (3 s)
CONNECT_S = 2.35    # after SIGTERM; within the lifetime of the directory's answer
SEND_S = 3.15       # after SIGTERM: later than the 3 s of the rule's excuse
CLIENTS = 4

CONFIG = {
    "version": 3,
    "routes": [{"name": "r-commit", "host": HOST, "pathPrefix": "/commit/", "kind": "unsafe",
                "timeoutS": 3, "targetLatencyS": 0.8, "priority": 1, "service": "cut-registry",
                "maxAttempts": 2, "public": False, "affinity": True, "homeRegions": []}],
    "services": [{"name": "cut-registry", "healthPath": "/health", "maxConns": 330,
                  "protocol": "h1", "tls": False, "coldS": 3.0, "coldPerS": 7.4}],
    "limits": d.LIMITS,
    "tenants": [{"name": "kim", "apiKeys": [KEY], "priority": 0, "ratePerS": 0, "burst": 0,
                 "homeRegions": []}]}


async def client(system, entry, number, start):
    """Opens a connection, waits, and sends one request over it."""
    request_id = d.new_id()
    result = {"id": request_id, "sent": None, "answer": None, "end": None}
    await asyncio.sleep(max(0, start + CONNECT_S - time.monotonic()))
    host, port = entry.front.rsplit(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except OSError as error:
        system.note(f"client {number}: cannot connect: {error}")
        return result
    system.note(f"client {number}: connection established")
    await asyncio.sleep(max(0, start + SEND_S - time.monotonic()))
    writer.write(d.format_request("POST", "/commit/order", {
        "Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "6000", "X-Key": KEY,
        "X-Affinity-Key": str(number)}, b"a truss order"))
    result["sent"] = time.monotonic()
    system.note(f"client {number}: sent POST /commit/order id={request_id}")
    try:
        first, _, body = await asyncio.wait_for(d.read_message(reader), 6)
        result["answer"] = int(first.split()[1])
        system.note(f"client {number}: id={request_id} got {first} {body[:120]}")
    except (OSError, asyncio.IncompleteReadError) as error:
        system.note(f"client {number}: id={request_id} connection ended without an answer "
                    f"({type(error).__name__})")
    except asyncio.TimeoutError:
        system.note(f"client {number}: id={request_id} no answer within its deadline")
    result["end"] = time.monotonic()
    writer.close()
    return result


def is_lost(system, result, term):
    """The rule: the process has read the whole request, and the connection ends
    without an answer once it was passed on, until 1 s after graceS. A request that
    was sent no later than 3 s after SIGTERM is excused here altogether."""
    ran = [run for run in system.runs if run["id"] == result["id"]]
    if result["sent"] is None or result["answer"] is not None or not ran:
        return False
    if result["sent"] <= term + 3 or result["end"] > term + d.BOUNDS["graceS"] + 1:
        return False
    return result["end"] < result["sent"] + 3 - 0.05  # the route's timeout was not reached


async def play(temporary, folder):
    system = d.Deployment(temporary)
    upstreams = d.upstream_set(system, "cut-registry",
                               ["sudo-a", "sudo-a", "yeong-a", "yeong-a", "yeong-a", "honam-a",
                                "sudo-b", "sudo-b", "yeong-b", "yeong-b", "yeong-b", "honam-b"],
                               6, lambda headers: WORK_S)
    try:
        await system.start(upstreams, CONFIG)
        entry = system.entries[0]
        addresses, ttl_s = await system.resolve(HOST, entry.zone)
        system.note(f"directory: {len(addresses)} addresses, ttlS {ttl_s}, "
                    f"names {entry.name}: {entry.front in addresses}")
        if entry.front not in addresses:
            raise d.CannotRun("the directory does not name the process")
        term = time.monotonic()
        if d.TROUBLE:
            entry.signal(signal.SIGTERM)
            system.note(f"platform: SIGTERM to {entry.name}")
        results = await asyncio.gather(*(client(system, entry, i, term)
                                         for i in range(CLIENTS)))
        await asyncio.sleep(max(0, term + d.BOUNDS["graceS"] - time.monotonic()))
        if not any(result["sent"] for result in results):
            raise d.CannotRun("no client could connect")
        lost = [result for result in results if is_lost(system, result, term)]
        system.note(f"result: {len(results)} requests, {len(lost)} lost after they were "
                    "passed on to an upstream")
        return bool(lost) or (not d.TROUBLE
                              and any(result["answer"] != 200 for result in results))
    finally:
        await system.stop()
        system.write_record(folder / "record.txt")


sys.exit(d.run_case(HERE, play))
