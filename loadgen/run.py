#!/usr/bin/env python3
"""Runs a scenario on loopback and reports the responses that its callers got.

usage: loadgen/run.py BUILD SCENARIO.yaml [--json FILE] [--plot FILE.svg]

A scenario consists of a deployment (zones, delays, upstreams, slots), the
customers with their offered load, and events. The simulated backend servers and
relays on the control links add the delays between zones. A baseline run sends
the same load to the same servers round robin, without almondward.
"""
import argparse
import json
import pathlib
import subprocess
import sys
import threading
import time

import yaml

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))
import fleet as fleetlib  # noqa: E402

# Weight of a correct response within the deadline, by kind. The weights follow
# the cost of a failure to the customer of the service. A lost or duplicated
# commitment costs most, since a wrong order is built. A partial drawing costs a
# repeated inspection, and a failed look-up a repeated call.
KIND_WEIGHT = {"lookup": 1, "commitment": 5, "drawing": 3}
# Refusals caused by the customer's own request, which are never wrongful.
OWN_REQUEST_REFUSALS = {"bad_request", "key_missing", "key_unknown", "key_withdrawn",
                        "claim_mismatch", "quarantined"}


def expand_streams(scenario):
    """Returns the list of streams: one for each customer and kind."""
    streams = []
    for customer in scenario["customers"]:
        for kind, rate in customer["offers"].items():
            spec = scenario["kinds"][kind]
            streams.append({
                "name": f"{customer['name']}/{kind}", "customer": customer["name"],
                "kind": kind, "rate_per_s": rate, "method": spec["method"],
                "target": spec["target"], "body_bytes": spec.get("body_bytes", 0),
                "idempotent": spec.get("idempotent", True),
                "deadline_ms": spec["deadline_ms"],
                "start_ms": 1000 * customer.get("from_s", 0),
                "end_ms": 1000 * customer.get("to_s", 10 ** 6)})
    return streams


def fleet_config(scenario):
    zones = [{"name": z, "region": r} for z, r in fleetlib.ZONES.items()]
    regions = sorted(set(fleetlib.ZONES.values()))
    routes = []
    for kind, spec in scenario["kinds"].items():
        routes.append({"name": kind, "path_prefix": spec["prefix"],
                       "methods": [spec["method"]], "upstream": spec["upstream"],
                       "kind": "idempotent" if spec.get("idempotent", True)
                       else "non_idempotent", "open": False})
    defaults = {"lookup_ttl_s": {"value": 1, "reason": "Short for experiments."}}
    for name, value in scenario.get("defaults", {}).items():
        defaults[name] = {"value": value, "reason": "Value of the experiment."}
    document = {
        "zones": zones,
        "customers": [{k: c[k] for k in ("name", "rate_per_s", "burst", "weight")}
                      for c in scenario["customers"]],
        "upstreams": [{"name": n, "connections_max": scenario["connections_max"]}
                      for n in scenario["upstreams"]],
        "routes": routes,
        "links": [{"from_region": a, "to_region": b,
                   "cap_kbit_per_s": scenario["link_kbit_per_s"]}
                  for a in regions for b in regions if a != b],
        "defaults": defaults,
    }
    return yaml.safe_dump(document, sort_keys=False)


def delay_ms(scenario, a, b):
    """Returns the one-way delay between two zones."""
    if a == b:
        return 0
    if fleetlib.ZONES[a] == fleetlib.ZONES[b]:
        return scenario["zone_delay_ms"]
    return scenario["region_delay_ms"]


class Experiment:
    def __init__(self, build, scenario):
        self.build = pathlib.Path(build)
        self.scenario = scenario
        self.notes = {}
        self.fleet = fleetlib.Fleet(
            build, controls=3, entries=scenario["entries"], relays=True,
            config=fleet_config(scenario),
            delay_s=lambda a, b: delay_ms(scenario, a, b) / 1000)

    def start(self):
        self.fleet.start([c["name"] for c in self.scenario["customers"]])
        zones = list(fleetlib.ZONES)
        for name, spec in self.scenario["upstreams"].items():
            for i in range(spec["servers"]):
                self.start_server(name, spec, zones[i % len(zones)])
        fleetlib.wait_until("all servers are active", lambda: self.nr_active_servers() ==
                            len(self.fleet.servers), 30)
        # The warm-up adds one slot to a server each second.
        time.sleep(max(s["slots"] for s in self.scenario["upstreams"].values()) + 3)

    def nr_active_servers(self):
        return len([s for s in self.fleet.status()["servers"]
                    if s["state"] == "active"])

    def start_server(self, upstream, spec, zone):
        extra = ["--jitter", spec.get("jitter_permille", 500), "--answer-bytes",
                 spec.get("answer_bytes", 200)]
        for entry in self.fleet.entry_names:
            round_trip = 2 * delay_ms(self.scenario, zone,
                                      self.fleet.zone_of[entry])
            extra += ["--delay", f"{entry}={round(round_trip)}"]
        server = self.fleet.start_server(upstream, zone, spec["slots"],
                                         spec["work_ms"], extra=extra)

        return server

    # ---- events ----

    def run_events(self, start):
        """Runs each event of the scenario at its time after `start`."""
        for event in sorted(self.scenario.get("events", []), key=lambda e: e["at_s"]):
            time.sleep(max(0, start + event["at_s"] - time.monotonic()))
            getattr(self, "event_" + event["do"])(event)

    def event_drain(self, event):
        done = self.fleet.cli_run(
            "drain", "plan", "experiment", "--kind", event["kind"], "--target",
            event["target"], "--ramp-s", str(event.get("ramp_s", 5)), "--reason",
            "Drain of the experiment.")
        self.notes["drain"] = (done.stdout + done.stderr).strip()
        if done.returncode == 0:
            threading.Thread(target=self.watch_drain, args=(event,),
                             daemon=True).start()

    def watch_drain(self, event):
        """Measures the time until the servers of the target get no more requests."""
        start = time.monotonic()
        unchanged_since = None
        servers = [s for s in self.fleet.servers if event["target"] in (
            s.zone, fleetlib.ZONES[s.zone], s.address)]
        last = -1
        while time.monotonic() - start < 60:
            try:
                total = sum(self.fleet.server_stats(s)["requests"] for s in servers)
            except OSError:
                return
            now = time.monotonic()
            if total != last:
                last, unchanged_since = total, now
            elif now - unchanged_since > 1.5:
                self.notes["drain_time_s"] = round(unchanged_since - start, 2)
                return
            time.sleep(0.1)

    def event_kill_servers(self, event):
        matching = [s for s in self.fleet.servers if s.running() and
                    event.get("zone", s.zone) == s.zone and
                    event.get("upstream", s.upstream) == s.upstream]
        for server in matching[:event.get("count", len(matching))]:
            server.kill()

    def event_kill_zone(self, event):
        for server in self.fleet.servers:
            if server.zone == event["zone"]:
                server.kill()
        for name in self.fleet.entry_names + self.fleet.control_names:
            if self.fleet.zone_of[name] == event["zone"]:
                self.fleet.processes[name].kill()

    def event_add_servers(self, event):
        spec = self.scenario["upstreams"][event["upstream"]]
        zones = list(fleetlib.ZONES)
        for i in range(event["count"]):
            self.start_server(event["upstream"], spec, zones[i % len(zones)])

    def event_slow_servers(self, event):
        matching = [s for s in self.fleet.servers if s.running() and
                    s.upstream == event["upstream"]][:event["count"]]
        for server in matching:
            fleetlib.request(server.address, "POST",
                             f"/testserver/work_ms/{event['work_ms']}")

    def event_kill_leader(self, event):
        self.fleet.processes[self.fleet.leader()].kill()

    def event_restart_entry(self, event):
        name = event["name"]
        self.fleet.processes[name].kill()
        time.sleep(event.get("down_s", 1))
        self.fleet.start_instance(name)

    def event_poison(self, event):
        customer = self.scenario["customers"][0]["name"]
        for i in range(event["count"]):
            entry = self.fleet.entry_names[i % len(self.fleet.entry_names)]
            try:
                self.fleet.get(entry, event["target"], customer)
            except OSError:
                pass
            time.sleep(0.2)
        self.notes["servers_lost"] = len(
            [s for s in self.fleet.servers if not s.running()])

    def event_changes(self, event):
        applied = 0
        leader = self.fleet.leader()
        start = time.monotonic()
        for i in range(event["count"]):
            answer = self.fleet.operator(
                leader, "POST", "/v1/exceptions", json.dumps({
                    "name": f"change-{i}", "setting": "queue_wait_ms",
                    "value": 1000 + i % 7, "reason": "Change of the experiment.",
                    "customer": self.scenario["customers"][-1]["name"]}),
                {"If-Match": "*", "Almondward-Operator-Request": f"change-{i}"})
            applied += answer.status == 200
        self.notes["changes_applied"] = applied
        self.notes["changes_s"] = round(time.monotonic() - start, 2)

    # ---- load ----

    def run_load(self, targets, keys):
        streams = expand_streams(self.scenario)
        plan = {"seed": self.scenario["seed"],
                "duration_ms": 1000 * self.scenario["duration_s"],
                "targets": targets,
                "streams": [{**{k: v for k, v in s.items() if k not in (
                    "customer", "kind")}, "key": keys.get(s["customer"], "")}
                    for s in streams]}
        done = subprocess.run([str(self.build / "loadgen")], text=True,
                              input=json.dumps(plan), capture_output=True,
                              timeout=self.scenario["duration_s"] + 60)
        if done.returncode:
            raise RuntimeError(done.stderr)
        result = json.loads(done.stdout)
        for measured, planned in zip(result["streams"], streams):
            measured.update(customer=planned["customer"], kind=planned["kind"],
                            rate_per_s=planned["rate_per_s"])
        return result

    def run(self):
        with self.fleet:
            self.start()
            before = self.cpu_ms()
            thread = threading.Thread(target=self.run_events, daemon=True,
                                      args=(time.monotonic(),))
            thread.start()
            result = self.run_load(list(self.fleet.callers.values()),
                                   self.fleet.keys)
            thread.join(30)
            after = self.cpu_ms()
            result["notes"] = self.notes
            result["cpu_ms"] = {n: after[n] - before[n] for n in after
                                if n in before}
            alive = [s for s in self.fleet.servers if s.running()]
            stats = [self.fleet.server_stats(s) for s in alive]
            result["overrun"] = sum(s["overrun"] for s in stats)
            result["key_seen"] = sum(s["key_seen"] for s in stats)
            result["doubled"] = sum(1 for s in stats for n in s["runs"].values()
                                    if n > 1)
            result["connections_most"] = max(s["connections"] for s in stats)
            counters = {}
            for name in self.fleet.entry_names:
                if self.fleet.processes[name].running():
                    for key, value in self.fleet.counters(name).items():
                        counters[key] = counters.get(key, 0) + value
            result["counters"] = counters
        return result

    def cpu_ms(self):
        """Returns the processor time that each almondward process has used so far."""
        out = {}
        for name, process in self.fleet.processes.items():
            if process.running():
                stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
                fields = stat.rsplit(")", 1)[1].split()
                out[name] = (int(fields[11]) + int(fields[12])) * 10
        return out


def summarize(scenario, result):
    """Adds a summary from the customers' point of view to the result.

    It contains the weighted share of requests with a correct response in time,
    the number of wrongful refusals, and the customer with the lowest share.
    Customers that exceed their rate are listed separately.
    """
    within_rate = {c["name"]: sum(c["offers"].values()) <= c["rate_per_s"]
                   for c in scenario["customers"]}
    by_customer = {}
    points = points_max = wrongful = 0
    for s in result["streams"]:
        weight = KIND_WEIGHT[s["kind"]]
        customer = by_customer.setdefault(s["customer"], [0, 0])
        customer[0] += weight * s["ok"]
        customer[1] += weight * s["sent"]
        if not within_rate[s["customer"]]:
            continue
        points += weight * s["ok"]
        points_max += weight * s["sent"]
        wrongful += sum(n for r, n in s["refused"].items()
                        if r not in OWN_REQUEST_REFUSALS and not r.startswith("client_"))
    shares = {c: round(ok / sent, 5) for c, (ok, sent) in by_customer.items()
              if sent and within_rate[c]}
    worst = min(shares, key=shares.get)
    result["summary"] = {
        "service": round(points / points_max, 5), "wrongful_refusals": wrongful,
        "worst_customer": worst, "worst_service": shares[worst],
        "over_rate_customers": {c: [ok, sent] for c, (ok, sent) in
                                by_customer.items() if not within_rate[c]}}


def print_table(title, result):
    print(f"== {title}")
    for key, value in result["summary"].items():
        print(f"{key:22} {value}")
    for key in ("overrun", "doubled", "key_seen", "connections_most", "notes"):
        if key in result:
            print(f"{key:22} {result[key]}")
    print(f"{'stream':28}{'sent':>7}{'ok':>7}{'late':>6}{'p50':>9}{'p99':>9}"
          f"{'p99.9':>9}  refused")
    for s in result["streams"]:
        refused = " ".join(f"{r}={n}" for r, n in s["refused"].items())
        print(f"{s['name']:28}{s['sent']:>7}{s['ok']:>7}{s['late']:>6}"
              f"{s['p50_ms']:>9.2f}{s['p99_ms']:>9.2f}{s['p999_ms']:>9.2f}  "
              f"{refused}")


def write_plot(path, scenario, result):
    """Writes a bar chart of the p99 latency of each stream as SVG."""
    rows = result["streams"]
    top = max(s["p99_ms"] for s in rows) or 1
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="720" '
             f'height="{40 + 18 * len(rows)}" font-family="sans-serif" '
             f'font-size="11">',
             f'<text x="4" y="16">{scenario["name"]}: p99 latency in ms</text>']
    for i, s in enumerate(rows):
        y = 30 + 18 * i
        width = 400 * s["p99_ms"] / top
        lines.append(f'<text x="4" y="{y + 11}">{s["name"]}</text>'
                     f'<rect x="220" y="{y}" width="{width:.1f}" height="13" '
                     f'fill="#4a78a8"/><text x="{225 + width:.1f}" '
                     f'y="{y + 11}">{s["p99_ms"]:.1f}</text>')
    lines.append("</svg>")
    pathlib.Path(path).write_text("\n".join(lines) + "\n")


def baseline(experiment):
    """Sends the same load to the same servers round robin, without almondward."""
    fleet = experiment.fleet
    results = []
    scenario = experiment.scenario
    with fleet:
        zones = list(fleetlib.ZONES)
        for name, spec in scenario["upstreams"].items():
            for i in range(spec["servers"]):
                fleet.start_server(name, zones[i % len(zones)], spec["slots"],
                                   spec["work_ms"], extra=[
                                       "--jitter", spec.get("jitter_permille", 500),
                                       "--answer-bytes",
                                       spec.get("answer_bytes", 200)])
        time.sleep(1)
        for name in scenario["upstreams"]:
            kinds = {k: s for k, s in scenario["kinds"].items()
                     if s["upstream"] == name}
            part = dict(scenario, customers=[
                dict(c, offers={k: r for k, r in c["offers"].items() if k in kinds})
                for c in scenario["customers"]])
            upstream_run = Experiment.__new__(Experiment)
            upstream_run.build, upstream_run.scenario = experiment.build, part
            results.append(upstream_run.run_load(
                [s.address for s in fleet.servers if s.upstream == name], {}))
    return {"streams": [s for r in results for s in r["streams"]]}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("scenario")
    parser.add_argument("--json")
    parser.add_argument("--plot")
    parser.add_argument("--baseline", action="store_true",
                        help="send the load round robin, without almondward")
    args = parser.parse_args()
    scenario = yaml.safe_load(pathlib.Path(args.scenario).read_text())
    base = pathlib.Path(args.scenario).parent / "deployments" / \
        f"{scenario['deployment']}.yaml"
    scenario = {**yaml.safe_load(base.read_text()), **scenario}
    for change in scenario.get("customers_changed", []):
        customer = next(c for c in scenario["customers"]
                        if c["name"] == change["name"])
        customer.update(change)
    experiment = Experiment(args.build, scenario)
    result = baseline(experiment) if args.baseline else experiment.run()
    summarize(scenario, result)
    print_table(scenario["name"] + (" (baseline)" if args.baseline else ""), result)
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(result, indent=1) + "\n")
    if args.plot:
        write_plot(args.plot, scenario, result)


if __name__ == "__main__":
    main()
