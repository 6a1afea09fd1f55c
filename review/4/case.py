"""After a split route has moved to one service, the old one still gets requests."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as d  # noqa: E402
import traffic  # noqa: E402

HOST, KEY = "truss.example", "key-kim"
ROUTES = ("look", "order", "span", "sheet", "table")
BEFORE, AFTER = 100, 210  # requests on each route
SHARE_OFF = 0.2           # the rule's bound, in a time of 200 requests or more


def config(version, new_weight, old_weight):
    return {
        "version": version,
        "routes": [{"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "kind": "safe",
                    "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2,
                    "backends": [{"service": "ledger-v2", "weight": new_weight},
                                 {"service": "ledger-v1", "weight": old_weight}],
                    "maxAttempts": 2, "public": False, "affinity": True, "homeRegions": []}
                   for name in ROUTES],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 330, "protocol": "h1",
                      "tls": False, "coldS": 3.0, "coldPerS": 7.4}
                     for name in ("ledger-v1", "ledger-v2")],
        "limits": d.LIMITS,
        "tenants": [{"name": "kim", "apiKeys": [KEY], "priority": 0, "ratePerS": 0, "burst": 0,
                     "homeRegions": []}]}


async def send(system, name, number):
    """Sends requests on a route one after the other, each to an edge process at
    random. Returns how many ran at each service."""
    ids = []
    for i in range(number):
        request = await traffic.get(system, random.choice(system.entries), HOST,
                                    f"/{name}/{i % 43}", KEY, i)
        ids.append(request["id"])
    by_id = {run["id"]: run["service"] for run in system.runs}
    services = [by_id.get(request_id, "none") for request_id in ids]
    return {service: services.count(service) for service in sorted(set(services))}


async def send_on_all(system, number, what):
    counts = await asyncio.gather(*(send(system, name, number) for name in ROUTES))
    for name, count in zip(ROUTES, counts):
        system.note(f"clients: {what}: route r-{name}: {count}")
    return counts


async def play(temporary, folder):
    system = d.Deployment(temporary)
    upstreams = (d.upstream_set(system, "ledger-v1", d.EDGES, 9, lambda headers: 0.02)
                 + d.upstream_set(system, "ledger-v2", d.EDGES, 9, lambda headers: 0.02, 150))
    expected = 0.5
    try:
        await system.start(upstreams, config(3, 500, 500))
        await send_on_all(system, BEFORE, "weights 500 (ledger-v2) and 500 (ledger-v1)")
        if d.TROUBLE:
            await system.configure(config(5, 1, 0), 3, "the weights 1 (ledger-v2) and 0 (ledger-v1)")
            await asyncio.sleep(d.BOUNDS["applyS"] + 1)
            expected = 0.0
        counts = await send_on_all(system, AFTER, "more than applyS later")
        if any(count.get("none", 0) > AFTER - 200 for count in counts):
            raise d.CannotRun("the requests were not served")
        shares = [count.get("ledger-v1", 0) / AFTER for count in counts]
        system.note("result: shares of ledger-v1: " + ", ".join(f"{s:.2f}" for s in shares)
                    + f"; by its weight {expected:.2f}, allowed off by {SHARE_OFF}")
        return any(abs(share - expected) > SHARE_OFF for share in shares)
    finally:
        await system.stop()
        system.write_record(folder / "record.txt")


sys.exit(d.run_case(HERE, play))
