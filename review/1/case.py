"""Complete configurations in quick succession: every core process outgrows its memory."""
import asyncio
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import deployment as d  # noqa: E402

# As in the site file tmwis-lagging, with its 12 edge machines spread evenly.
d.REGIONS = {"gp-rosslyn": "gauteng", "wc-bellville": "westcape", "kzn-pinetown": "kzn",
             "gp-germiston": "gauteng", "wc-paarl": "westcape", "kzn-umhlanga": "kzn"}
d.BOUNDS.update(ackS=4, budgetExtra=64)
EDGES = 2 * list(d.REGIONS)
CORES = list(d.REGIONS)[:5]

ROUTES = 4 * 350        # big_config, at its dose of a small deployment, four times
CHANGES = 500 if d.TROUBLE else 12
GAP_S = 0.198           # config_storm, at the shortest gap of the site file
CHANGES_S = 98          # for all changes together
RESTART_S = 0.5         # a short delay
ENDS = 3                # of one machine, as the rule counts them
MEMORY_MB = 256         # of a core machine


def config(version):
    services = ["jobcard-desk", "order-book"]
    return {
        "version": version,
        "routes": [{"name": f"r-{i:04d}", "host": f"h{i % 40}.example",
                    "pathPrefix": f"/lepu{i:04d}/xapu/", "kind": "safe", "timeoutS": 2.5,
                    "targetLatencyS": 0.6, "priority": 2,
                    "backends": [{"service": services[0], "weight": 90},
                                 {"service": services[1], "weight": 10 + version % 7}],
                    "maxAttempts": 2, "public": False, "affinity": True, "homeRegions": []}
                   for i in range(ROUTES)],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 330, "protocol": "h1",
                      "tls": False, "coldS": 3.0, "coldPerS": 7.4} for name in services],
        "limits": d.LIMITS,
        "tenants": [{"name": f"tenant-{i}", "apiKeys": [f"key-{i}"], "priority": 0,
                     "ratePerS": 0, "burst": 0, "homeRegions": []} for i in range(8)]}


def used_mb(process):
    """The memory that the process itself has allocated, without files."""
    try:
        with open(f"/proc/{process.child.pid}/status") as status:
            for line in status:
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Platform:
    """Kills processes that use more memory than their machine has, and starts
    processes that have ended again after a short delay."""

    def __init__(self, system):
        self.system = system
        self.ends = {process.name: 0 for process in system.controls}
        self.due = {}
        self.most_mb = 0.0

    async def run(self):
        while True:
            for process in self.system.controls:
                self.check(process)
            await asyncio.sleep(0.05)

    def check(self, process):
        if process.name in self.due:
            if time.monotonic() >= self.due[process.name]:
                del self.due[process.name]
                process.start()
            return
        mb = used_mb(process)
        self.most_mb = max(self.most_mb, mb)
        if mb > MEMORY_MB:
            process.kill()
            self.system.note(f"platform: {process.name} uses {mb:.0f} MB of {MEMORY_MB}: killed")
        if process.child.poll() is not None:
            self.ends[process.name] += 1
            self.due[process.name] = time.monotonic() + RESTART_S

    def is_broken(self):
        """Whether on half of the core processes have ended by themselves three
        times. Memory over the limit counts."""
        often = sum(ends >= ENDS for ends in self.ends.values())
        return often * 2 >= len(self.ends)


async def send_changes(system, platform):
    """Sends one complete configuration after the other, each when the one before is
    acknowledged, but GAP_S after it at the earliest. Returns the last acknowledged version
    and the number of changes."""
    version, nr, end = 1, 0, time.monotonic() + CHANGES_S
    while nr < CHANGES and time.monotonic() < end and not platform.is_broken():
        next_at = time.monotonic() + GAP_S
        body = json.dumps(config(version + 1)).encode()
        acknowledged = False
        while not acknowledged and time.monotonic() < end and not platform.is_broken():
            answer = await d.call(random.choice(system.control_addresses), "PUT", "/api/config",
                                  {"If-Match": str(version),
                                   "Content-Type": "application/json"}, body, 2)
            acknowledged = answer is not None and answer[0] == 200
            if answer and 400 <= answer[0] < 500:
                raise d.CannotRun(f"a change was refused with {answer[0]}")
            if not acknowledged:
                await asyncio.sleep(0.1)
        if acknowledged:
            version, nr = version + 1, nr + 1
            if nr % 50 == 0:
                system.note(f"operator: {nr} changes are acknowledged; the core processes use "
                            + ", ".join(f"{used_mb(c):.0f}" for c in system.controls) + " MB")
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    return version, nr


async def play(temporary, folder):
    system = d.Deployment(temporary, EDGES, CORES)
    platform = Platform(system)
    watch = None
    try:
        await system.start([], config(1))
        watch = asyncio.create_task(platform.run())
        version, nr = await send_changes(system, platform)
        system.note(f"operator: {nr} changes are acknowledged, the last is version {version}")
        reads, end = [], time.monotonic() + d.BOUNDS["contactS"]
        while time.monotonic() < end:
            answer = await d.call(random.choice(system.control_addresses), "GET", "/api/config")
            reads.append(json.loads(answer[2])["version"] if answer and answer[0] == 200
                         else answer and answer[0])
            await asyncio.sleep(0.2)
        system.note(f"operator: reads of the configuration at the end: {reads}")
        system.note(f"result: ends of processes by themselves: {platform.ends}; most memory "
                    f"{platform.most_mb:.0f} MB")
        if d.TROUBLE and nr < 300 and not any(platform.ends.values()):
            raise d.CannotRun("the machine is too slow for hundreds of changes")
        return platform.is_broken() or version not in reads
    finally:
        if watch:
            watch.cancel()
        await system.stop()
        system.write_record(folder / "record.txt")


sys.exit(d.run_case(HERE, play))
