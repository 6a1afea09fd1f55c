"""Once the last tenant is removed, requests with any key run."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as d  # noqa: E402
import traffic  # noqa: E402

HOST = "truss.example"
KIM = {"name": "kim", "apiKeys": ["key-kim"], "priority": 0, "ratePerS": 0, "burst": 0,
       "homeRegions": []}
LEE = dict(KIM, name="lee", apiKeys=["key-lee"])
KEYS = {"kim": "key-kim", "lee": "key-lee", "stranger": "key-never-held"}


def config(version, tenants):
    return {
        "version": version,
        "routes": [{"name": "r-look", "host": HOST, "pathPrefix": "/look/", "kind": "safe",
                    "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2,
                    "service": "span-ledger", "maxAttempts": 2, "public": False,
                    "affinity": True, "homeRegions": []}],
        "services": [{"name": "span-ledger", "healthPath": "/health", "maxConns": 330,
                      "protocol": "h1", "tls": False, "coldS": 3.0, "coldPerS": 7.4}],
        "limits": d.LIMITS, "tenants": tenants}


async def ask_all(system, keys):
    """Sends a request with each key to each edge process. Returns how many ran,
    by the holder of the key."""
    ran = {}
    for name in keys:
        requests = await asyncio.gather(*(traffic.get(system, entry, HOST, "/look/1", KEYS[name])
                                          for entry in system.entries))
        ran[name] = sum(traffic.note_request(system, name, request) for request in requests)
    return ran


async def play(temporary, folder):
    system = d.Deployment(temporary)
    upstreams = d.upstream_set(system, "span-ledger", d.EDGES + d.EDGES[:6], 9,
                               lambda headers: 0.1)
    wait_s = d.BOUNDS["applyS"] + 1
    try:
        await system.start(upstreams, config(3, [KIM, LEE]))
        before = await ask_all(system, ["kim", "lee", "stranger"])
        await system.configure(config(5, [LEE]), 3, "a configuration without kim's key")
        await asyncio.sleep(wait_s)
        one_left = await ask_all(system, ["kim", "lee", "stranger"])
        if d.TROUBLE:
            await system.configure(config(7, []), 5, "a configuration whose tenants are []")
            await asyncio.sleep(wait_s)
            answer = await d.call(system.control_addresses[0], "GET", "/api/config")
            system.note(f"operator: reads {answer[2].decode()[-40:] if answer else 'nothing'}")
        last = await ask_all(system, ["kim", "lee", "stranger"])
        system.note(f"result: ran before {before}; with one tenant left {one_left}; "
                    f"at the end {last}")
        if before != {"kim": len(system.entries), "lee": len(system.entries), "stranger": 0}:
            raise d.CannotRun("the requests were not served before the change")
        wrong = one_left["kim"] + one_left["stranger"] + last["kim"] + last["stranger"]
        return wrong > 0
    finally:
        await system.stop()
        system.write_record(folder / "record.txt")


sys.exit(d.run_case(HERE, play))
