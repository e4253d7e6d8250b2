"""Fails requests in three ways and finds each cause by the request's id alone, with the time line tool."""

import argparse
import http.client
import pathlib
import subprocess
import sys
import time

from soak import ROOT, World

LIMIT_S = 30  # Time limit for an event; generous, since the machine may be busy.


def send(gateway, ident):
    """Sends a request that may not be repeated; returns its status, or 0 without an answer."""
    call = http.client.HTTPConnection(gateway.address, gateway.ports["traffic"], timeout=LIMIT_S)
    try:
        call.request("POST", "/unsafe/x", b"body", {
            "Host": "a.example", "Attempt-Id": ident, "Deadline-Milliseconds": "4000"})
        return call.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        call.close()


def provoke(gateway, name, status):
    """Sends requests until one ends with the status; returns its id."""
    end, number = time.monotonic() + LIMIT_S, 0
    while time.monotonic() < end:
        number += 1
        ident = f"{name}-{number}"
        if send(gateway, ident) == status:
            return ident
        time.sleep(0.2)
    sys.exit(f"no request ended with {status} at g{gateway.number}")


def logged(world, text):
    """Waits until a log contains the text, since lines are written in batches; returns all logs."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        logs = sorted(world.directory.glob("gateway-*.log"))
        if any(text in path.read_text() for path in logs):
            return logs
        time.sleep(0.05)
    sys.exit(f"no log has {text!r}")


def explain(world, ident):
    logs = logged(world, f"event=request id={ident} ")
    tool = [str(world.bin / "masticgap-timeline"), f"--request={ident}", "--explain_ms=10000", *map(str, logs)]
    return subprocess.run(tool, check=True, capture_output=True, text=True).stdout


def check(ident, text, *parts):
    """Returns whether the text contains each part; "|" separates alternatives."""
    missing = [part for part in parts if not any(each in text for each in part.split("|"))]
    print(f"{ident}: {'found' if not missing else 'not found: ' + ', '.join(missing)}", flush=True)
    if missing:
        print(text)
    return not missing


def play(world):
    first, second = world.gateways[:2]
    world.put_config()
    world.add_worker()
    worker = world.workers[0]
    for gateway in (first, second):
        gateway.start()
    for gateway in (first, second):
        provoke(gateway, "warm", 200)

    worker.running = worker.slots
    refused = provoke(first, "refused", 503)
    worker.running = 0
    provoke(first, "calm", 200)
    worker.slow = 200
    late = provoke(first, "late", 504)
    worker.slow, worker.lose = 1, 1.0
    lost = provoke(first, "lost", 502)
    worker.stop()
    after = provoke(second, "after", 503)
    logged(world, f"id={after} ")

    checks = [
        check(refused, explain(world, refused), "request_not_run", "result=refused_full", f"worker={worker.id}"),
        check(late, explain(world, late), "request_unknown", "result=timed_out", f"worker={worker.id}"),
        # The second host detects the stopped worker on a kept-alive or on a new connection.
        check(lost, explain(world, lost), "request_unknown", "result=connection_lost",
              "worker_died|result=connect_failed"),
    ]
    return all(checks)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build/bin"))
    world = World(seed=1000, seconds=0, binaries=pathlib.Path(parser.parse_args().bin))
    try:
        good = play(world)
    finally:
        world.close()
    print(f"{3 if good else 0} passed, {0 if good else 1} failed")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
