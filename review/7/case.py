"""A resent order of the operator is carried out a second time, after a later order.

The operator takes a zone back. The control machine that gets the order stands
still for less than two seconds, so the operator sends it to another machine,
which acknowledges it. Then the operator evacuates the zone again, which is
acknowledged too. The first machine goes on, and carries out the order that it
got before. With TROUBLE=0 it does not stand still.
"""
import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from deployment import BOUNDS, CONFIG, CannotRun, run, trouble  # noqa: E402

ZONE = "yeong-a"
FREEZE_S = 1.8
WATCH_S = 16.0


def find_leader(deployment):
    for machine in deployment.controls:
        if "outcome=leads" in machine.log():
            return machine
    raise CannotRun("no control machine leads")


async def send_traffic(deployment, until_s):
    async def one():
        entry = random.choice(deployment.entries)
        await deployment.request(entry, "GET", f"/lookup/{random.randrange(50)}",
                                 f"{random.getrandbits(64):016x}")

    tasks = []
    while time.monotonic() < until_s:
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def evacuation(deployment, method, first=None):
    status, machine = await deployment.order(method, f"/api/evacuations/{ZONE}", first=first)
    if status != 200:
        raise CannotRun(f"{method} was not acknowledged")
    deployment.record(f"{method} of {ZONE} acknowledged by {machine.name}")
    return time.monotonic()


async def case(deployment):
    for machine in deployment.controls + deployment.entries:
        machine.start(bootstrap=True)
    await deployment.add_servers(["sudo-a", "sudo-b", "yeong-a", "yeong-a", "yeong-b", "honam-a"])
    status, _ = await deployment.put_config(CONFIG, 0)
    if status != 200:
        raise CannotRun("the configuration was not acknowledged")
    for entry in deployment.entries:
        await deployment.wait(f"{entry.name} serves", lambda e=entry: deployment.serves(e), 20)
    await asyncio.sleep(BOUNDS["contactS"] + 1)
    deployment.check_running(deployment.controls + deployment.entries)

    leader = find_leader(deployment)
    frozen = next(m for m in deployment.controls if m is not leader)
    await evacuation(deployment, "POST")
    await asyncio.sleep(3)
    thaw = None
    if trouble():
        frozen.freeze()
        thaw = asyncio.get_running_loop().call_later(FREEZE_S, frozen.thaw)
    await evacuation(deployment, "DELETE", first=frozen)
    await asyncio.sleep(0.2)
    evacuated_s = await evacuation(deployment, "POST", first=leader)
    if trouble() and thaw.when() <= asyncio.get_running_loop().time():
        raise CannotRun("the machine went on before the zone was evacuated again")
    await send_traffic(deployment, evacuated_s + WATCH_S)

    # evacS and maxStretchS after the acknowledgement; all machines are in touch then.
    bound_s = evacuated_s + BOUNDS["evacS"] + BOUNDS["maxStretchS"]
    late = [(run_s, request_id) for server in deployment.servers if server.zone == ZONE
            for run_s, request_id, _, _ in server.runs if run_s > bound_s]
    deployment.record(f"{len(late)} requests in {ZONE} later than evacS + maxStretchS")
    if not late:
        return None
    return (f"EVAC: {len(late)} requests reached servers in {ZONE} later than evacS + "
            f"maxStretchS after its evacuation was acknowledged, and it was not taken back; "
            f"the first is {late[0][1]}")


run(case, HERE, edge_zones=["sudo-a", "yeong-a", "honam-a"])
