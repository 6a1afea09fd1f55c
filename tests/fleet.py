"""Starts a small fleet on loopback for the demo and the process tests.

The binary starts no processes: this module starts, stops, pauses and
terminates each process by its id, and interrupts links with TCP relays.
"""
import collections
import http.client
import json
import pathlib
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ZONES = {"a1": "ra", "a2": "ra", "b1": "rb", "b2": "rb", "c1": "rc", "c2": "rc"}

CONFIG = """\
zones:
  - {name: a1, region: ra}
  - {name: a2, region: ra}
  - {name: b1, region: rb}
  - {name: b2, region: rb}
  - {name: c1, region: rc}
  - {name: c2, region: rc}
customers:
  - {name: kim-trusses, rate_per_s: 200, burst: 200, weight: 2}
  - {name: han-frames, rate_per_s: 100, burst: 100, weight: 1}
  - {name: small-office, rate_per_s: 5, burst: 10, weight: 1}
upstreams:
  - {name: lookup, connections_max: 330}
  - {name: commitment, connections_max: 330}
  - {name: drawing, connections_max: 330}
routes:
  - {name: lookup, path_prefix: /orders, methods: [GET, HEAD], upstream: lookup, kind: idempotent, open: false}
  - {name: catalogue, path_prefix: /catalogue, methods: [GET], upstream: lookup, kind: idempotent, open: true}
  - {name: commitment, path_prefix: /commitments, methods: [POST], upstream: commitment, kind: non_idempotent, open: false}
  - {name: drawing, path_prefix: /drawings, methods: [POST], upstream: drawing, kind: non_idempotent, open: false}
links:
  - {from_region: ra, to_region: rb, cap_kbit_per_s: 300000}
  - {from_region: rb, to_region: ra, cap_kbit_per_s: 300000}
  - {from_region: ra, to_region: rc, cap_kbit_per_s: 300000}
  - {from_region: rc, to_region: ra, cap_kbit_per_s: 300000}
  - {from_region: rb, to_region: rc, cap_kbit_per_s: 300000}
  - {from_region: rc, to_region: rb, cap_kbit_per_s: 300000}
client_blocks:
  - {prefix: 10.1.0.0/16, zone: a1}
  - {prefix: 10.2.0.0/16, zone: b1}
  - {prefix: 10.3.0.0/16, zone: c1}
defaults:
  deadline_ms: {value: 5000, reason: "An estimator on site waits no longer than five seconds."}
  lookup_ttl_s: {value: 1, reason: "Short so that a stopped instance is forgotten quickly in tests."}
exceptions:
  - {name: drawing-deadline, setting: deadline_ms, value: 8000, route: drawing, reason: "Stamped drawings are large and must arrive whole."}
"""


def free_port():
    """Returns a free port below the range of ephemeral ports, so that no
    outgoing connection takes it."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(10000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in allocated_ports:
            allocated_ports.add(port)
            return port


def free_address():
    return f"127.0.0.1:{free_port()}"


allocated_ports = set()


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def header(self, name):
        return self.headers.get(name.lower())

    def __repr__(self):
        return f"{self.status} {self.body[:300]!r}"


def request(address, method, target, body=None, headers=None, timeout=10):
    """Sends one request on a new connection."""
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        conn.request(method, target, body=body, headers=headers or {})
        response = conn.getresponse()
        data = response.read()
        return Answer(response.status,
                      {k.lower(): v for k, v in response.getheaders()}, data)
    finally:
        conn.close()


def wait_until(what, test, timeout_s=15.0, interval_s=0.05):
    """Calls test() until it returns a true value, and returns that value.
    Raises AssertionError after timeout_s."""
    deadline = time.monotonic() + timeout_s
    last = None
    while time.monotonic() < deadline:
        try:
            value = test()
            if value:
                return value
            last = value
        except (OSError, http.client.HTTPException, ValueError, KeyError) as err:
            last = err
        time.sleep(interval_s)
    raise AssertionError(f"{what}: timed out after {timeout_s} s (last: {last!r})")


class Process:
    """A child process and its log file."""

    def __init__(self, name, args, log_path):
        self.name = name
        self.args = [str(a) for a in args]
        self.log_path = log_path
        self.popen = None

    def start(self):
        log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(self.args, stdout=log, stderr=log,
                                      stdin=subprocess.DEVNULL)
        log.close()

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen:
            self.popen.wait()

    def freeze(self):
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self):
        self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s=30):
        return self.popen.wait(timeout=timeout_s)

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def log_text(self):
        return pathlib.Path(self.log_path).read_text(errors="replace")


class Relay:
    """A TCP relay in its own thread that can drop the bytes of either direction."""

    def __init__(self, target, delay_s=0.0):
        self.target = target
        self.delay_s = delay_s     # one way
        self.queue = collections.deque()  # delayed data: (due time, socket, bytes)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.forward_cut = False   # bytes towards the target are dropped
        self.back_cut = False      # bytes from the target are dropped
        self.refuse = False        # new connections are not accepted
        self.closing = False
        self.pairs = []            # (client socket, target socket)
        self.stalled = set()       # pairs whose bytes are dropped
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def cut(self, forward=True, back=True):
        """Drops bytes but leaves connections open, like a network partition."""
        self.forward_cut, self.back_cut = forward, back
        self.refuse = forward or back

    def stall_open_connections(self):
        """Drops all further bytes of open connections; new connections work."""
        self.stalled = set(self.pairs)

    def heal(self):
        """Accepts and forwards again; closes all open connections, since bytes may be
        missing."""
        self.forward_cut = self.back_cut = self.refuse = False
        for a, b in self.pairs:
            for sock in (a, b):
                try:
                    sock.close()
                except OSError:
                    pass
        self.pairs = []

    def close(self):
        self.closing = True
        self.thread.join(2)

    def _accept(self):
        sock, _ = self.listener.accept()
        host, port = self.target.rsplit(":", 1)
        try:
            other = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            sock.close()
            return
        for s in (sock, other):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pairs.append((sock, other))

    def _run(self):
        while not self.closing:
            pairs = list(self.pairs)
            socks = [s for p in pairs for s in p if s.fileno() >= 0]
            watch = socks if self.refuse else socks + [self.listener]
            try:
                ready, _, _ = select.select(watch, [], [], 0.001 if self.queue
                                            else 0.02)
            except (OSError, ValueError):
                continue
            self._send_delayed()
            if self.listener in ready:
                self._accept()
            for a, b in pairs:
                for src, dst, cut in ((a, b, self.forward_cut),
                                      (b, a, self.back_cut)):
                    if src not in ready:
                        continue
                    self._move(src, dst, cut or (a, b) in self.stalled, (a, b))
        self.listener.close()

    def _send_delayed(self):
        now = time.monotonic()
        while self.queue and self.queue[0][0] <= now:
            _, dst, data = self.queue.popleft()
            try:
                dst.sendall(data)
            except OSError:
                pass

    def _move(self, src, dst, cut, pair):
        try:
            data = src.recv(65536)
            if data and not cut and self.delay_s:
                self.queue.append((time.monotonic() + self.delay_s, dst, data))
            elif data and not cut:
                dst.sendall(data)
        except OSError:
            data = b""
        if not data:
            for sock in pair:
                sock.close()
            if pair in self.pairs:
                self.pairs.remove(pair)


class Fleet:
    """Control instances, entry instances and simulated backend servers."""

    def __init__(self, build, controls=3, entries=3, relays=False, config=CONFIG,
                 delay_s=None):
        """With relays, delay_s(zone, zone) returns the one-way delay of the links
        to control instances."""
        self.build = pathlib.Path(build).resolve()
        self.binary = self.build / "almondward"
        self.tmp = tempfile.TemporaryDirectory(prefix="almondward-")
        self.dir = pathlib.Path(self.tmp.name)
        self.config = config
        self.processes = {}
        self.servers = []
        self.relays = {}
        self.keys = {}
        zones = list(ZONES)
        self.control_names = [f"control-{i + 1}" for i in range(controls)]
        self.entry_names = [f"entry-{i + 1}" for i in range(entries)]
        self.zone_of = {}
        for i, name in enumerate(self.control_names):
            self.zone_of[name] = zones[(2 * i) % 6]
        for i, name in enumerate(self.entry_names):
            self.zone_of[name] = zones[(2 * i + i // 3) % 6]
        self.peer_address = {n: free_address() for n in self.control_names}
        self.operators = {n: free_address()
                          for n in self.control_names + self.entry_names}
        self.callers = {n: free_address() for n in self.entry_names}
        self.announce = {n: free_address() for n in self.entry_names}
        self._write_secrets()
        if relays:
            for name in self.control_names + self.entry_names:
                for control in self.control_names:
                    if control != name:
                        delay = delay_s(self.zone_of[name],
                                        self.zone_of[control]) if delay_s else 0
                        self.relays[(name, control)] = Relay(
                            self.peer_address[control], delay)
        for name in self.control_names + self.entry_names:
            self._write_settings(name)

    def _write_secrets(self):
        rng = random.SystemRandom()
        self.operator_token = "%032x" % rng.getrandbits(128)
        for name, text in (("cluster", "%064x" % rng.getrandbits(256)),
                           ("operator", self.operator_token),
                           ("announce", "%032x" % rng.getrandbits(128))):
            path = self.dir / f"{name}.secret"
            path.write_text(text + "\n")
            path.chmod(0o600)

    def _write_settings(self, name, direct=False):
        control = name in self.control_names
        lines = [f"role: {'control' if control else 'entry'}", f"name: {name}",
                 f"zone: {self.zone_of[name]}", "listen:",
                 f"  operators: {self.operators[name]}"]
        if control:
            data = self.dir / f"{name}.data"
            data.mkdir(mode=0o700, exist_ok=True)
            lines += [f"  peers: {self.peer_address[name]}", f"data_dir: {data}"]
        else:
            lines += [f"  callers: {self.callers[name]}",
                      f"  servers: {self.announce[name]}"]
        lines.append("controls:")
        for other in self.control_names:
            relay = None if direct else self.relays.get((name, other))
            address = relay.address if relay else self.peer_address[other]
            lines.append(f"  - {{name: {other}, address: \"{address}\"}}")
        lines += ["secrets:", f"  cluster_file: {self.dir}/cluster.secret",
                  f"  operator_file: {self.dir}/operator.secret"]
        if not control:
            lines.append(f"  announce_file: {self.dir}/announce.secret")
        lines += ["log:", "  level: debug"]
        path = self.dir / (f"{name}-direct.yaml" if direct else f"{name}.yaml")
        path.write_text("\n".join(lines) + "\n")
        return path

    # ---- processes ----

    def start_instance(self, name):
        process = Process(name, [self.binary, "run", "-c",
                                 self.dir / f"{name}.yaml"],
                          self.dir / f"{name}.log")
        process.start()
        self.processes[name] = process
        return process

    def start(self, keys=("kim-trusses", "han-frames", "small-office")):
        first = self.control_names[0]
        # A relay accepts connections before the instance behind it runs, and
        # init is refused when another control instance appears to run.
        path = self._write_settings(first, direct=True)
        done = subprocess.run([str(self.binary), "init", "-c", str(path)],
                              capture_output=True, text=True, timeout=10)
        assert done.returncode == 0, done.stderr
        for name in self.control_names:
            self.start_instance(name)
        wait_until("all control instances vote", lambda: len(
            self.status()["voters"]) == len(self.control_names))
        path = self.dir / "fleet.yaml"
        path.write_text(self.config)
        self.cli("config", "apply", str(path), "--version-expected", "1")
        for customer in keys:
            self.grant(customer, f"{customer}-1")
        for name in self.entry_names:
            self.start_instance(name)
        for name in self.entry_names:
            self.wait_ready(name)

    def grant(self, customer, key_id):
        out = self.cli("key", "grant", customer, "--id", key_id)
        key = next(w for w in out.split() if w.startswith("aw1_"))
        self.keys[customer] = key
        return key

    def wait_ready(self, name, timeout_s=15):
        wait_until(f"{name} ready", lambda: request(
            self.operators[name], "GET", "/v1/health").status == 200, timeout_s)

    def start_server(self, upstream, zone, slots=4, work_ms=5, listen=None,
                     relay=False, extra=()):
        index = len(self.servers) + 1
        address = listen or free_address()
        # Any entry instance accepts announcements. The server uses the next one
        # when an announcement fails.
        order = self.entry_names[index % len(self.entry_names):] + \
            self.entry_names[:index % len(self.entry_names)]
        args = [self.build / "testserver", "--listen", address, "--upstream",
                upstream, "--zone", zone, "--slots", slots, "--work-ms",
                work_ms, "--token-file", self.dir / "announce.secret", *extra]
        for name in order:
            args += ["--entry", self.announce[name]]
        link = Relay(address) if relay else None
        if link:
            args += ["--advertise", link.address]
        process = Process(f"server-{index}", args, self.dir / f"server-{index}.log")
        process.address = address
        process.relay = link
        process.zone = zone
        process.upstream = upstream
        process.start()
        self.servers.append(process)
        return process

    def start_servers(self, per_upstream=3, work_ms=5):
        zones = ["a1", "b1", "c1", "a2", "b2", "c2"]
        for upstream, slots in (("lookup", 7), ("commitment", 5), ("drawing", 3)):
            for i in range(per_upstream):
                self.start_server(upstream, zones[i % 6], slots, work_ms)
        self.wait_servers()

    def wait_servers(self):
        """Waits until every entry instance serves a request to upstream "lookup"."""
        for name in self.entry_names:
            wait_until(f"{name} serves", lambda: self.get(
                name, "/orders/ready", timeout=3).status == 200, 20)

    def stop(self):
        for process in list(self.processes.values()) + self.servers:
            process.kill()
        server_relays = [s.relay for s in self.servers if s.relay]
        for relay in list(self.relays.values()) + server_relays:
            relay.close()
        self.tmp.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.stop()

    def print_logs(self, lines=25):
        for path in sorted(self.dir.glob("*.log")):
            if path.name.startswith("server-"):
                continue
            text = path.read_text(errors="replace").splitlines()[-lines:]
            print(f"--- {path.name}\n" + "\n".join(text), file=sys.stderr)

    # ---- operators ----

    def cli(self, *args):
        done = self.cli_run(*args)
        if done.returncode != 0:
            raise AssertionError(f"almondward {' '.join(args)}: exit "
                                 f"{done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout

    def cli_run(self, *args):
        control = ",".join(self.operators[n] for n in self.control_names)
        entry = ",".join(self.operators[n] for n in self.entry_names)
        command = [str(self.binary), *args, "--control", control,
                   "--token-file", str(self.dir / "operator.secret")]
        if args[0] == "explain":
            command += ["--entry", entry]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def operator(self, name, method, target, body=None, headers=None):
        all_headers = {"Authorization": f"Bearer {self.operator_token}"}
        all_headers.update(headers or {})
        return request(self.operators[name], method, target, body, all_headers)

    def status(self):
        """Returns the status that the leader reports."""
        for name in self.control_names:
            try:
                answer = self.operator(name, "GET", "/v1/status")
            except OSError:
                continue
            if answer.status == 200:
                return answer.json()
        raise OSError("no control instance is the leader")

    def leader(self):
        return self.status()["leader"]

    def counters(self, name):
        text = self.operator(name, "GET", "/v1/counters").body.decode()
        return {line.rsplit(" ", 1)[0]: int(line.rsplit(" ", 1)[1])
                for line in text.splitlines()}

    # ---- callers ----

    def get(self, entry, target, customer="kim-trusses", headers=None,
            timeout=10):
        all_headers = {"Authorization": f"Bearer {self.keys[customer]}"}
        all_headers.update(headers or {})
        return request(self.callers[entry], "GET", target, None, all_headers,
                       timeout)

    def post(self, entry, target, body, idempotency_key, customer="kim-trusses",
             headers=None, timeout=12):
        all_headers = {"Authorization": f"Bearer {self.keys[customer]}",
                       "Idempotency-Key": idempotency_key,
                       "Content-Type": "application/octet-stream"}
        all_headers.update(headers or {})
        return request(self.callers[entry], "POST", target, body, all_headers,
                       timeout)

    def server_stats(self, process):
        return request(process.address, "GET", "/testserver/stats").json()

    def runs(self, idempotency_key):
        """Returns how often the running backend servers together executed
        requests with this idempotency key."""
        total = 0
        for process in self.servers:
            if process.running():
                total += self.server_stats(process)["runs"].get(idempotency_key, 0)
        return total


class Checks:
    """Prints one line for each named check and counts the failed ones."""

    def __init__(self):
        self.failed = 0

    def check(self, name, passed, detail=""):
        print(f"{'ok' if passed else 'not ok'} {name}" +
              (f"  # {detail}" if detail and not passed else ""), flush=True)
        if not passed:
            self.failed += 1

    def run(self, name, function, *args):
        try:
            function(*args)
        except Exception as err:  # any exception is a failed case
            self.check(name, False, f"{type(err).__name__}: {err}")
        else:
            self.check(name, True)

    def exit(self):
        sys.exit(1 if self.failed else 0)
