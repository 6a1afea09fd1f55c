"""A deployment with one limited tenant that sends four times its limit."""
import asyncio
import time

import deployment as d
import traffic

HOST, KEY = "truss.example", "key-kim"
RATE_PER_S, BURST = 40, 40
SENT_PER_S = 4 * RATE_PER_S
TENANT = {"name": "kim", "apiKeys": [KEY], "priority": 0, "ratePerS": RATE_PER_S,
          "burst": BURST, "homeRegions": []}
OTHER = {"name": "lee", "apiKeys": ["key-lee"], "priority": 0, "ratePerS": 0, "burst": 0,
         "homeRegions": []}
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-look", "host": HOST, "pathPrefix": "/look/", "kind": "safe",
                "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2, "service": "span-ledger",
                "maxAttempts": 2, "public": False, "affinity": True, "homeRegions": []}],
    "services": [{"name": "span-ledger", "healthPath": "/health", "maxConns": 330,
                  "protocol": "h1", "tls": False, "coldS": 3.0, "coldPerS": 7.4}],
    "limits": d.LIMITS, "tenants": [TENANT, OTHER]}


async def use_up(system, number):
    """Waits until so many requests of the tenant have run."""
    end = time.monotonic() + 10
    while len(system.runs) < number:
        if time.monotonic() > end:
            raise d.CannotRun("the requests were not served")
        await asyncio.sleep(0.02)
    system.note(f"the tenant has run {len(system.runs)} requests")


async def play(temporary, folder, disrupt):
    """Plays disrupt(system) beside the traffic. Returns whether more requests ran
    in a window than the rule allows."""
    bounds = d.BOUNDS
    window_s = bounds["quotaWindowS"]
    allowed = ((RATE_PER_S * window_s + BURST) * (1 + bounds["quotaOverage"])
               + bounds["quotaSlack"])
    system = d.Deployment(temporary)
    upstreams = d.upstream_set(system, "span-ledger", d.EDGES + d.EDGES[:6], 9,
                               lambda headers: 0.1)
    try:
        await system.start(upstreams, CONFIG)
        load = traffic.SteadyTraffic(system, HOST, "/look/1", KEY, SENT_PER_S)
        await use_up(system, RATE_PER_S * window_s)
        if d.TROUBLE:
            await disrupt(system)
        else:
            await asyncio.sleep(3)
        await asyncio.sleep(window_s + 1)
        await load.stop()
        sent_at = {request["id"]: request["sent"] for request in load.requests}
        most, start = traffic.most_in_window(system.runs, sent_at, window_s)
        traffic.note_seconds(system, system.runs)
        system.note(f"result: {len(load.requests)} requests of the tenant, {len(system.runs)} "
                    f"ran; at most {most} were sent and run in {window_s} s, from "
                    f"{start - system.began:.3f} on; the rule allows {allowed:.0f}")
        return most > allowed
    finally:
        await system.stop()
        system.write_record(folder / "record.txt")
