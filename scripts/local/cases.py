"""Process proofs: faults and changes under load, and the invariants that must hold."""

import concurrent.futures
import random
import signal
import time
from dataclasses import dataclass, field

from http_json import call, get


@dataclass
class Case:
    """One scenario; `disturb` runs while callers send requests."""
    name: str
    invariants: str
    disturb: object
    min_answered: float = 0.9      # Share of the callers' requests.
    seconds: float = 10
    caller_flags: tuple = ()
    worker_flags: tuple = ()
    entry_settings: dict = field(default_factory=dict)
    defaults: dict = field(default_factory=dict)
    profile_changes: dict = field(default_factory=dict)
    may_break_connections: bool = True
    prepare: object = None


def targets_of(deployment, entry, service):
    """Returns the hosts that one entry host offers in look-ups."""
    e = deployment.entries[entry]
    status, body = call("GET", (e["address"], e["lookup"]), f"/lookup?service={service}")
    return [t["host"] for t in body["targets"]] if status == 200 else []


def until(condition, timeout, what):
    """Waits for a condition; returns the seconds until it held."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise AssertionError(f"after {timeout} s: {what}")
        time.sleep(0.02)
    return time.monotonic() - start


def no_fault(_):
    time.sleep(3)
    return {}


def kill_entries(deployment):
    """Kills one entry host per region and restarts it with a new incarnation."""
    service = next(iter(deployment.profile["services"]))
    victims = [next(n for n, e in deployment.entries.items() if e["region"] == r)
               for r in deployment.profile["regions"]]
    for name in victims:
        deployment.processes[name].send(signal.SIGKILL)
        deployment.processes[name].wait(10)
    live = deployment.live_entries()
    took = until(lambda: not any(v in targets_of(deployment, n, service)
                                 for v in victims for n in live),
                 10, f"{victims} are still offered")
    for name in victims:
        deployment.start_entry(name)
    deployment.wait_in_force(1, names=victims)
    return {"out_of_lookups_s": round(took, 2), "limit": ("out_of_lookups_s", 3.0)}


def pause_entries(deployment):
    """Pauses one entry host per region for longer than every expiry time, then continues it."""
    victims = [next(n for n, e in deployment.entries.items() if e["region"] == r)
               for r in deployment.profile["regions"]]
    for name in victims:
        deployment.processes[name].send(signal.SIGSTOP)
    time.sleep(13)
    for name in victims:
        deployment.processes[name].send(signal.SIGCONT)
    service = next(iter(deployment.profile["services"]))
    live = deployment.live_entries()
    until(lambda: all(len(targets_of(deployment, n, service)) >= 3 for n in live),
          20, "the paused entry hosts did not come back")
    return {}


def platform_down(deployment):
    deployment.fault(down=True)
    time.sleep(8)
    deployment.fault(down=False)
    return {}


def lose_answers(deployment):
    deployment.fault(lose_answers=True)
    time.sleep(6)
    deployment.fault(lose_answers=False)
    return {}


def slow_platform(deployment):
    deployment.fault(slow_ms=1500)
    time.sleep(8)
    deployment.fault(slow_ms=0)
    return {}


def kill_during_outage(deployment):
    deployment.fault(down=True)
    figures = kill_entries(deployment)
    deployment.fault(down=False)
    return figures


def pause_during_lost_answers(deployment):
    deployment.fault(lose_answers=True)
    figures = pause_entries(deployment)
    deployment.fault(lose_answers=False)
    return figures


def kill_workers(deployment):
    """Kills a quarter of the workers while they run requests."""
    victims = random.Random(7).sample(sorted(deployment.workers), len(deployment.workers) // 4)
    for worker in victims:
        deployment.processes[worker].send(signal.SIGKILL)
    time.sleep(4)
    return {"killed": len(victims)}


def silent_workers(deployment):
    """Makes two workers accept requests without answering them."""
    victims = [w for w, d in deployment.workers.items() if d["service"] == "paunang"][:2]
    for worker in victims:
        deployment.control_worker(worker, silent=True)
    time.sleep(6)
    for worker in victims:
        deployment.control_worker(worker, silent=False)
    return {}


def crashing_request(deployment):
    """Sends a request that crashes each worker that runs it through every entry host."""
    for worker in deployment.workers:
        deployment.control_worker(worker, crash_on="poison")
    reported = {}
    for service, key in (("agenda", None), ("paunang", "poison-1")):
        for name, e in deployment.entries.items():
            request_key = f"{key}" if key else None
            reported.setdefault(service, []).append(
                send_post(e, f"/{service}/poison", "poison", request_key))
    dead = [w for w in deployment.workers if deployment.processes[w].child.poll() is not None]
    by_service = {s: sum(deployment.workers[w]["service"] == s for w in dead) for s in reported}
    for service, count in by_service.items():
        assert count <= 2, f"the request killed {count} workers of {service}: {reported[service]}"
    assert sum(by_service.values()) > 0, "the request reached no worker, the case proves nothing"
    return {"killed": by_service, "told": {s: sorted(set(t)) for s, t in reported.items()}}


def send_post(entry, path, body, key):
    """Sends one POST; returns the outcome that the entry host reports."""
    import http.client
    connection = http.client.HTTPConnection(entry["address"], entry["traffic"], timeout=10)
    try:
        headers = {"Idempotency-Key": key} if key else {}
        connection.request("POST", path, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.getheader("Masticgap-Outcome", "none")
    except OSError:
        return "broken"
    finally:
        connection.close()


def worker_leaves(deployment):
    """Makes a worker leave so that only the host list shows it."""
    worker = next(w for w, d in deployment.workers.items() if d["service"] == "paunang")
    deployment.control_worker(worker, leaving=True, refuses_when_leaving=False)
    call("POST", deployment.platform, "/hosts/leaving", {"worker": worker})
    time.sleep(6)
    d = deployment.workers[worker]
    seen = get((d["address"], d["port"]), "/_stats")
    return {"drain_s": seen["drain_ms"] / 1000}


def planned_stops(deployment):
    """Makes a planned stop of one entry host per region while callers use it."""
    longest = 0.0
    for region in deployment.profile["regions"]:
        name = next(n for n, e in deployment.entries.items() if e["region"] == region)
        start = time.monotonic()
        deployment.processes[name].send(signal.SIGTERM)
        code = deployment.processes[name].wait(60)
        longest = max(longest, time.monotonic() - start)
        assert code == 0, f"{name} ended with {code}"
    return {"stop_s": round(longest, 2)}


def operators_race(deployment):
    """Makes two operators change the same base version; one must win, without a revert."""
    base = get(deployment.platform, "/table/row?table=config&key=current")["version"]
    documents = [deployment.document(2, operator=who, reason="race", change_id=f"race-{who}")
                 for who in ("ops-luzon", "ops-visayas")]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        wins = sum(pool.map(lambda d: deployment.write_configuration(d, base), documents))
    took = deployment.wait_in_force(2, timeout=10)
    assert wins == 1, f"{wins} operators won"
    return {"in_force_s": round(took, 2), "limit": ("in_force_s", 2.0)}


def older_rows(deployment):
    """Makes the store serve older rows after a change was accepted."""
    deployment.write_configuration(deployment.document(2, reason="newer"))
    took = deployment.wait_in_force(2, timeout=10)
    deployment.fault(serve_old=True)
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        for name in deployment.live_entries():
            assert deployment.version(name) == 2, f"{name} went back"
        time.sleep(0.2)
    deployment.fault(serve_old=False)
    return {"in_force_s": round(took, 2), "limit": ("in_force_s", 2.0)}


def lose_local_workers(deployment):
    """Kills all workers of one region, so that its requests spill over the link."""
    region = next(iter(deployment.profile["regions"]))
    for worker, d in deployment.workers.items():
        if d["region"] == region:
            deployment.processes[worker].send(signal.SIGKILL)
    time.sleep(12)
    return {}


CASES = [
    Case("no-fault", "whole answers, at most once", no_fault, 0.99, 6,
         may_break_connections=False),
    Case("entry-killed", "at most once, not run, membership", kill_entries, 0.9, 12,
         ("--bare_share", "0.05")),
    Case("entry-paused", "at most once, not run, membership", pause_entries, 0.85, 22,
         ("--bare_share", "0.05")),
    Case("platform-down", "at most once, serving without the store", platform_down, 0.95, 12,
         ("--bare_share", "0.02")),
    Case("platform-slow", "at most once, serving without the store", slow_platform, 0.95, 12,
         ("--bare_share", "0.02")),
    Case("store-answers-lost", "at most once, not run", lose_answers, 0.8, 10,
         ("--bare_share", "0.2")),
    Case("entry-killed-during-outage", "at most once, membership", kill_during_outage, 0.9, 14,
         ("--bare_share", "0.02")),
    Case("entry-paused-while-answers-lost", "at most once", pause_during_lost_answers, 0.8, 24,
         ("--bare_share", "0.1")),
    Case("workers-killed", "at most once, not run, retries", kill_workers, 0.9, 10),
    Case("silent-workers", "whole answers, at most once", silent_workers, 0.85, 14),
    Case("crashing-request", "at most two workers die", crashing_request, 0.9, 14,
         defaults={}, profile_changes={"repeatable_post": True}),
    Case("worker-leaves", "no new work for a leaving worker", worker_leaves, 0.98, 10),
    Case("planned-stops", "a planned stop cuts off nothing", planned_stops, 0.98, 26,
         may_break_connections=False),
    Case("operators-race", "configuration in force, never reverts", operators_race, 0.98, 6,
         may_break_connections=False),
    Case("store-with-older-rows", "configuration never reverts", older_rows, 0.98, 10,
         may_break_connections=False),
    Case("link-cap", "link cap, region not overloaded", lose_local_workers, 0.3, 14,
         worker_flags=("--answer_bytes", "250000"), profile_changes={"link_mbit": 100},
         defaults={"max_shift": 1.0, "max_shift_per_second": 0.5}),
]

# Cases that run with the tests; the others take longer.
QUICK = ("no-fault", "entry-killed", "platform-down", "crashing-request", "worker-leaves",
         "operators-race")
