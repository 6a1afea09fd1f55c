"""Clients that send short requests at a steady rate, and what they saw."""
import asyncio
import time

import deployment as d


async def get(system, entry, host, target, key=None, number=0):
    """Sends one GET over a new connection. Returns a dict of what was seen."""
    request = {"id": d.new_id(), "entry": entry.name, "sent": time.monotonic(), "status": None}
    headers = {"Host": host, "X-Request-Id": request["id"], "X-Deadline-Ms": "4000",
               "X-Affinity-Key": str(number % 43)}
    if key:
        headers["X-Key"] = key
    answer = await d.call(entry.front, "GET", target, headers, timeout_s=4)
    request["answered"] = time.monotonic()
    request["status"] = answer[0] if answer else None
    return request


def note_request(system, name, request):
    ran = [run for run in system.runs if run["id"] == request["id"]]
    system.note(f"client {name}: at {request['entry']} id={request['id']} got "
                f"{request['status'] or 'no answer'}, "
                + (f"ran at {ran[0]['server']} as tenant {ran[0]['tenant']}" if ran
                   else "did not run"))
    return bool(ran)


class SteadyTraffic:
    """per_s requests a second, spread over the edge processes in turn."""

    def __init__(self, system, host, target, key, per_s):
        self.system, self.host, self.target, self.key, self.per_s = \
            system, host, target, key, per_s
        self.requests = []
        self.task = asyncio.create_task(self.run())

    async def run(self):
        number, due, tasks = 0, time.monotonic(), set()
        try:
            while True:
                entry = self.system.entries[number % len(self.system.entries)]
                task = asyncio.create_task(self.send(entry, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
                due += 1 / self.per_s
                await asyncio.sleep(max(0, due - time.monotonic()))
        except asyncio.CancelledError:
            await asyncio.gather(*tasks)

    async def send(self, entry, number):
        self.requests.append(await get(self.system, entry, self.host, self.target, self.key,
                                       number))

    async def stop(self):
        self.task.cancel()
        await self.task


def most_in_window(runs, sent_at, window_s):
    """Returns the most requests that were both sent and run in any window of this
    length, and when that window began. sent_at: id to time."""
    pairs = sorted((sent_at[run["id"]], run["at"]) for run in runs if run["id"] in sent_at)
    best, best_from = 0, 0.0
    for i, (start, _) in enumerate(pairs):
        inside = 0
        for sent, ran in pairs[i:]:
            if sent > start + window_s:
                break
            inside += ran <= start + window_s
        if inside > best:
            best, best_from = inside, start
    return best, best_from


def note_seconds(system, runs):
    """Notes the requests run in each half second."""
    counts = {}
    for run in runs:
        at = int((run["at"] - system.began) * 2) / 2
        counts[at] = counts.get(at, 0) + 1
    system.note("requests run in each half second: "
                + ", ".join(f"{at}: {nr}" for at, nr in sorted(counts.items())))
