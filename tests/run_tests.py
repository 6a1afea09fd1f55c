#!/usr/bin/env python3
"""Runs every test program and script and prints a summary.

Exits with status 1 if any test failed or none ran. Tests listed in
KNOWN-RED.txt (lines "test: NAME") are run and printed, but their failures do
not count. One that passes again is reported, so that its entry can be removed.
"""
import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 900  # of one test program or script


def known_red():
    """Returns the names of the tests that are known to fail."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {
        line.split(":", 1)[1].strip()
        for line in path.read_text().splitlines()
        if line.startswith("test:")
    }


def run_limited(command):
    """Runs a command for at most TIMEOUT_S. Returns its exit status, or None if it did
    not end, and its output. A script that does not end prints what it waits for."""
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        try:
            status = process.wait(TIMEOUT_S)
        except subprocess.TimeoutExpired:
            status = None
            process.send_signal(signal.SIGABRT)
            time.sleep(1)
            process.kill()
            process.wait()
        output.seek(0)
        return status, output.read().decode(errors="replace")


def add_exit(name, status, results):
    """Adds a failure if the program did not end, or failed without a failed test."""
    if status is None:
        results.append((f"{name}:did not end within {TIMEOUT_S} s", False))
    elif status != 0 and all(ok for _, ok in results):
        results.append((f"{name}:exit status {status}", False))


def run_gtest(program):
    """Runs one test program; returns a list of (name, passed) and its output."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        status, output = run_limited(
            [str(program), "--gtest_brief=1", f"--gtest_output=json:{report.name}"])
        results = []
        try:
            data = json.load(open(report.name))
        except ValueError:
            data = {"testsuites": []}
        for suite in data["testsuites"]:
            for case in suite["testsuite"]:
                name = f"{program.name}:{suite['name']}.{case['name']}"
                if case.get("status") == "RUN":
                    results.append((name, not case.get("failures")))
        add_exit(program.name, status, results)
        return results, output


def run_script(script, build):
    """Runs one test script; returns a list of (name, passed) and its output."""
    status, output = run_limited(
        [sys.executable, "-X", "faulthandler", str(script), str(build)])
    results = []
    for line in output.splitlines():
        if line.startswith(("ok ", "not ok ")):
            passed = line.startswith("ok ")
            name = line[3 if passed else 7:].split("  # ")[0].strip()
            results.append((f"{script.name}:{name}", passed))
    add_exit(script.name, status, results)
    return results, output


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    programs = sorted(p for p in (build / "tests").glob("*_test")
                      if os.access(p, os.X_OK)
                      and (ROOT / "tests" / f"{p.name}.cc").exists())
    # Process tests check times, so they run one at a time after all others.
    scripts = sorted((ROOT / "tests").glob("process_*.py"))
    known_failures = known_red()
    passed = failed = nr_known_red = 0
    test_results = []
    with concurrent.futures.ThreadPoolExecutor(max_workers=4) as pool:
        test_results.extend(pool.map(run_gtest, programs))
    for script in scripts:
        test_results.append(run_script(script, build))
    for results, output in test_results:
        failures = [name for name, ok in results if not ok]
        if failures:
            print(output)
        for name, ok in results:
            if ok and name in known_failures:
                print(f"known red passes again: {name}")
            if ok:
                passed += 1
            elif name in known_failures:
                nr_known_red += 1
                print(f"known red: {name}")
            else:
                failed += 1
                print(f"FAILED: {name}")
    if nr_known_red:
        print(f"{nr_known_red} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
