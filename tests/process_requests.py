#!/usr/bin/env python3
"""Requests through real processes: the right customer, keys that stay inside,
complete messages, and at most one run of each request."""
import concurrent.futures
import hashlib
import socket
import sys
import time

import fleet as fleetlib

KEY_PLACES = [
    # (where the caller's key appears in addition to Authorization, target, headers)
    ("query", "/orders/1?key={key}", {}),
    ("encoded query", "/orders/1?key=%61w1_{tail}", {}),
    ("cookie", "/orders/1", {"Cookie": "session={key}"}),
    ("other header", "/orders/1", {"X-Api-Key": "{key}"}),
    ("allowed header", "/orders/1", {"User-Agent": "app {key}"}),
    ("odd case", "/orders/1", {"X-AUTHORIZATION": "Bearer {key}"}),
]


def raw(address, data, wait_s=5):
    """Sends bytes and returns everything received until the connection closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=wait_s) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        out = b""
        while True:
            try:
                part = sock.recv(65536)
            except OSError:
                return out
            if not part:
                return out
            out += part


def keys_seen(fleet):
    return sum(fleet.server_stats(s)["key_seen"] for s in fleet.servers
               if s.running())


def forged_customer(fleet):
    """A caller must not be served as another customer by setting the header."""
    answer = fleet.get("entry-1", "/orders/1", "han-frames",
                       {"Almondward-Customer": "kim-trusses"})
    assert answer.status == 200 and answer.json()["customer"] == "han-frames", answer


def two_customers_one_connection(fleet):
    """The key of one request must not authorize the next one on the connection."""
    head = "GET /orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{}\r\n"
    data = (head.format(fleet.keys["kim-trusses"], "") +
            head.format(fleet.keys["han-frames"], "") +
            "GET /orders/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").encode()
    host, port = fleet.callers["entry-1"].rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        out = b""
        while part := sock.recv(65536):
            out += part
    first = out.find(b'"customer":"kim-trusses"')
    second = out.find(b'"customer":"han-frames"')
    third = out.find(b'"key_missing"')
    assert 0 <= first < second < third, out


def open_route(fleet):
    """An open route needs no key, others do."""
    answer = fleetlib.request(fleet.callers["entry-1"], "GET", "/catalogue/1")
    assert answer.status == 200, answer
    answer = fleetlib.request(fleet.callers["entry-1"], "GET", "/orders/1")
    assert answer.status == 401 and answer.json()["not_run"], answer


def misplaced_keys(fleet):
    key = fleet.keys["kim-trusses"]
    for place, target, headers in KEY_PLACES:
        target = target.format(key=key, tail=key[4:])
        headers = {k: v.format(key=key) for k, v in headers.items()}
        answer = fleet.get("entry-1", target, headers=headers)
        assert answer.status == 400, f"{place}: {answer}"
        assert answer.json()["error"] == "key_misplaced", f"{place}: {answer}"
    answer = fleet.post("entry-1", "/commitments/1", key.encode(), "key-in-body")
    assert answer.json()["error"] == "key_misplaced", answer
    two = (f"GET /orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
           f"authorization: Bearer {fleet.keys['han-frames']}\r\n\r\n")
    assert b" 400 " in raw(fleet.callers["entry-1"], two.encode())[:16]
    assert keys_seen(fleet) == 0


def logs_contain_no_secrets(fleet):
    secrets = list(fleet.keys.values()) + [fleet.operator_token]
    for path in fleet.dir.glob("*.log"):
        text = path.read_text(errors="replace")
        for secret in secrets:
            assert secret not in text, f"{path.name} contains a secret"


def path_traversal(fleet):
    """The path that is routed must be the one that the backend server uses: a path
    that it may resolve to another route is refused."""
    for target in ("/orders/../commitments/1", "/orders/%2e%2e/commitments",
                   "/orders/..%2fcommitments", "//orders/1", "/./orders/1"):
        data = (f"GET {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                f"{fleet.keys['kim-trusses']}\r\n\r\n").encode()
        status = raw(fleet.callers["entry-1"], data)[9:12]
        assert status in (b"400", b"404"), f"{target}: {status}"


def concurrent_resends(fleet):
    """Twelve copies of one request at the same time through all instances: it runs
    once, and a copy may be refused only as in doubt."""
    body = b"cut roof 7"

    def send(i):
        entry = fleet.entry_names[i % len(fleet.entry_names)]
        return fleet.post(entry, "/commitments/7", body, "roof-7")
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        answers = list(pool.map(send, range(12)))
    assert all(a.status in (200, 409) for a in answers), answers
    assert any(a.status == 200 for a in answers), answers
    for answer in answers:
        if answer.status == 409:
            assert answer.json()["error"] == "claim_in_doubt", answer
            assert not answer.json()["not_run"], answer
    assert fleet.runs("roof-7") == 1, fleet.runs("roof-7")


def other_body_refused(fleet):
    fleet.post("entry-1", "/commitments/8", b"one", "roof-8")
    answer = fleet.post("entry-2", "/commitments/8", b"two", "roof-8")
    assert answer.status == 422 and answer.json()["error"] == "claim_mismatch", answer
    assert fleet.runs("roof-8") == 1


def missing_idempotency_key(fleet):
    answer = fleetlib.request(
        fleet.callers["entry-1"], "POST", "/commitments/1", b"x",
        {"Authorization": f"Bearer {fleet.keys['kim-trusses']}"})
    assert answer.status == 400 and answer.json()["not_run"], answer


def mismatched_responses(fleet):
    """A response with another request's id, or without one, must not reach the caller."""
    for fault in ("crossed", "noecho"):
        answer = fleet.get("entry-1", f"/orders/1?fault={fault}")
        assert answer.status == 502, f"{fault}: {answer}"
        assert answer.json()["error"] == "answer_crossed", f"{fault}: {answer}"
        assert not answer.json()["not_run"], answer


def large_responses(fleet):
    answer = fleet.get("entry-1", "/orders/1?answer_bytes=3000000")
    assert answer.status == 200 and len(answer.body) >= 3000000, (
        answer.status, len(answer.body))


def truncated_upload(fleet):
    """An incomplete request body must not reach a backend server."""
    before = sum(fleet.server_stats(s)["requests"] for s in fleet.servers)
    head = (f"POST /drawings/9 HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n"
            f"Idempotency-Key: cut-9\r\nAuthorization: Bearer "
            f"{fleet.keys['kim-trusses']}\r\n\r\n").encode()
    raw(fleet.callers["entry-1"], head + b"x" * 50000, 2)
    time.sleep(0.3)
    after = sum(fleet.server_stats(s)["requests"] for s in fleet.servers)
    assert before == after, (before, after)


def chunked_upload(fleet):
    body = b"".join(b"%d," % i for i in range(20000))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(body[i:i + 700]), body[i:i + 700])
                      for i in range(0, len(body), 700)) + b"0\r\n\r\n"
    head = (f"POST /drawings/10 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            f"Idempotency-Key: chunked-10\r\nConnection: close\r\nAuthorization: "
            f"Bearer {fleet.keys['kim-trusses']}\r\n\r\n").encode()
    out = b""
    host, port = fleet.callers["entry-1"].rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(head + chunks)
        while part := sock.recv(65536):
            out += part
    digest = hashlib.blake2b(body, digest_size=32).hexdigest().encode()
    assert digest in out, out[:500]


def rate_across_instances(fleet):
    """A customer that sends several times its rate through all instances gets at
    most its rate and burst."""
    rate, burst = 5, 10
    time.sleep(1.0)
    start = time.monotonic()
    admitted = refused = 0

    def send(i):
        entry = fleet.entry_names[i % len(fleet.entry_names)]
        return fleet.get(entry, "/orders/1", "small-office").status
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        while time.monotonic() - start < 4:
            for status in pool.map(send, range(8)):
                admitted += status == 200
                refused += status == 429
    elapsed = time.monotonic() - start
    assert admitted <= rate * elapsed + burst, (admitted, elapsed)
    assert refused > 0
    print(f"rate: admitted {admitted} of at most {rate * elapsed + burst:.1f} "
          f"in {elapsed:.2f} s, refused {refused}")


def explain_shows_exception(fleet):
    answer = fleet.post("entry-1", "/drawings/11", b"sheet", "drawing-11")
    assert answer.status == 200, answer
    text = fleet.cli("explain", answer.header("Almondward-Request-Id"))
    assert "drawing-deadline" in text and "must arrive whole" in text, text
    assert fleet.keys["kim-trusses"] not in text


def main():
    checks = fleetlib.Checks()
    with fleetlib.Fleet(sys.argv[1]) as fleet:
        fleet.start()
        fleet.start_servers()
        for case in (forged_customer, two_customers_one_connection, open_route,
                     misplaced_keys, path_traversal, concurrent_resends,
                     other_body_refused, missing_idempotency_key,
                     mismatched_responses, large_responses, truncated_upload, chunked_upload,
                     rate_across_instances, explain_shows_exception,
                     logs_contain_no_secrets):
            checks.run(case.__name__, case, fleet)
        overrun = sum(fleet.server_stats(s)["overrun"] for s in fleet.servers)
        checks.check("no server got more than its slots", overrun == 0, overrun)
        if checks.failed:
            fleet.print_logs()
    checks.exit()


if __name__ == "__main__":
    main()
