"""Two core machines are replaced at the same time, as planned work. Later two
other core machines lose their disks, as many as the deployment has to bear.

TROUBLE=0: no machine is replaced and no disk is lost.
"""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import fleet3  # noqa: E402

SYNC_S = 4.0       # syncS: a machine counts as lost for so long after it is back
SETTLE_S = 15.0    # from the end of the old machines to the loss of the disks
READ_S = 40.0      # the operator reads for so long; recoveryS is 15


async def read(fleet, record):
    """Asks every control instance for the configuration, as the operator does at
    the end of a day. Returns the newest version that was returned, or None."""
    newest = None
    for name in fleet.names("control"):
        if fleet.processes[name].poll() is not None:
            continue
        answer = await fleet3.base.call(fleet.address(name, "control"), "GET", "/api/config",
                                        timeout_s=1.5)
        version = answer.json().get("version") if answer and answer.status == 200 else None
        record(f"GET /api/config at {name}: status {answer and answer.status} version {version}")
        if version is not None:
            newest = max(newest or 0, version)
    return newest


async def replace(fleet, record, old, number):
    """Starts an empty machine at a new address, then stops the old one."""
    ip = fleet.instances[old][0].rsplit(".", 1)[0] + f".{20 + number}"
    new = f"control-{10 + number}"
    fleet.instances[new] = (ip, fleet.instances[old][1], "control")
    fleet.start(new, bootstrap=False)
    record(f"{new} at {ip} starts with an empty disk, to replace {old}")
    await asyncio.sleep(3.0)
    fleet.signal(old, signal.SIGTERM)
    record(f"SIGTERM to {old}, which does not come back")
    for _ in range(60):
        if fleet.processes[old].poll() is not None:
            break
        await asyncio.sleep(0.1)
    else:
        fleet.kill(old)
    record(f"{old} has ended")


async def lose_disk(fleet, record, name):
    """A machine loses its disk and restarts at its old address."""
    fleet.kill(name)
    fleet.wipe(name)
    record(f"{name} loses its disk")
    await asyncio.sleep(1.0)
    fleet.start(name, bootstrap=False)
    record(f"{name} is back with an empty disk")


async def run(fleet, record):
    await fleet.start_all()
    await asyncio.sleep(2.0)
    if fleet3.TROUBLE:
        # The two that are not seeds, so that the list of seeds stays valid.
        await asyncio.gather(replace(fleet, record, "control-3", 1),
                             replace(fleet, record, "control-4", 2))
    await asyncio.sleep(SETTLE_S)
    answer = await fleet.put_config(dict(fleet3.base.CONFIG, version=5), base=1)
    record(f"PUT /api/config version 5: status {answer and answer.status}")
    if not answer or answer.status != 200:
        return 2
    if fleet3.TROUBLE:
        await asyncio.gather(lose_disk(fleet, record, "control-0"),
                             lose_disk(fleet, record, "control-1"))
    end = time.monotonic() + READ_S
    version = None
    while time.monotonic() < end:
        version = await read(fleet, record)
        if version == 5:
            break
        await asyncio.sleep(1.0)
    for name in fleet.names("control"):
        for line in (fleet.path / f"{name}.log").read_text(errors="replace").splitlines():
            if "voter" in line or "leader of term" in line:
                record(f"log of {name}: {line}")
    if version == 5:
        record.say("held: version 5, which was acknowledged, is read back")
        return 0
    record.say(f"broken: version 5 was acknowledged, read back for {READ_S:.0f} s: {version}")
    return 1


async def main():
    record = fleet3.Record(HERE)
    fleet = fleet3.Fleet(nr_controls=5, nr_entries=2, nr_servers=3)
    try:
        return await run(fleet, record)
    except Exception as error:  # noqa: BLE001 -- the case could not run
        record.say(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        await fleet.stop()


sys.exit(asyncio.run(main()))
