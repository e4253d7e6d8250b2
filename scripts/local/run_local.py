"""Runs one deployment on loopback and prints one JSON summary."""

import argparse
import json
import signal
import sys
import threading
import time

import checker
from deployment import Deployment, load_profile, report_of
from http_json import call, get


class VersionWatch(threading.Thread):
    """Polls the configuration version of each process and counts reverts."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment, self.reverts, self.stopped = deployment, 0, False
        self.highest = {}

    def run(self):
        while not self.stopped:
            for name in self.deployment.live_entries():
                self._poll(name)
            time.sleep(0.2)

    def _poll(self, name):
        try:
            status = get(self.deployment.admin(name), "/status", timeout=2)
        except (OSError, RuntimeError):
            return
        # A new process has no version at first and serves no caller until it has one.
        run = (name, status["incarnation"])
        version = status["config_version"] or 0
        if version < self.highest.get(run, 0):
            self.reverts += 1
        self.highest[run] = max(version, self.highest.get(run, 0))


def headroom(deployment):
    """Returns the share of free worker slots per region, as the workers report it."""
    free, total = {}, {}
    for d in deployment.workers.values():
        load = get((d["address"], d["port"]), "/_load")
        region = d["region"]
        free[region] = free.get(region, 0) + load["slots"] - load["in_use"]
        total[region] = total.get(region, 0) + load["slots"]
    return {region: round(free[region] / total[region], 3) for region in total}


def drain_worker(deployment):
    """Starts a planned drain of one worker, which only the host list shows."""
    worker = next(iter(deployment.workers))
    deployment.control_worker(worker, leaving=True, refuses_when_leaving=False)
    call("POST", deployment.platform, "/hosts/leaving", {"worker": worker})
    return worker


def stop_entry(deployment):
    """Makes a planned stop of one entry host; returns its name, the seconds and the exit code."""
    name = list(deployment.entries)[1]
    process = deployment.processes[name]
    start = time.monotonic()
    process.send(signal.SIGTERM)
    code = process.wait(60)
    return name, time.monotonic() - start, code


def latency(reports, key):
    """Returns the worst percentiles over the caller processes, in milliseconds."""
    filled = [r[key] for r in reports if r[key]["count"]]
    return {p: round(max((f[p] for f in filled), default=0.0), 3) for p in ("p50", "p99")}


def compare_direct(deployment, seconds):
    """Compares the callers of one region through entry hosts and directly to workers.

    Both send from an address of the first failure domain, so that the stand-ins add the latency
    between the same places.
    """
    region = next(iter(deployment.profile["regions"]))
    source = next(iter(deployment.entries.values()))["address"]
    flags = ("--source", source, "--max_sends", "1")
    direct = report_of(deployment.callers("straight", region, seconds, "--direct", *flags))
    through = report_of(deployment.callers("through", region, seconds, *flags))
    return {"through": latency([through], "request_ms"),
            "direct": latency([direct], "request_ms"),
            "direct_refused": direct["outcomes"].get("not-run", 0),
            "through_refused": through["outcomes"].get("not-run", 0)}


def run(profile, bin_dir, seconds, seed):
    with Deployment(profile, bin_dir, seed) as deployment:
        watch = VersionWatch(deployment)
        watch.start()
        comparison = compare_direct(deployment, max(3, seconds / 4))
        callers = [deployment.callers(f"c-{r}", r, seconds, "--bare_share", "0.02")
                   for r in profile["regions"]]
        time.sleep(seconds * 0.2)
        free = headroom(deployment)
        start = time.monotonic()
        deployment.write_configuration(deployment.document(2, reason="a change under load"))
        deployment.wait_in_force(2)
        in_force = time.monotonic() - start
        drained = drain_worker(deployment)
        stopped, stop_seconds, stop_code = stop_entry(deployment)
        reports = [report_of(c) for c in callers]
        watch.stopped = True
        stats = deployment.worker_stats()
        total = checker.merge(reports)
        found = checker.violations(stats, deployment.workers, total, profile["link_mbit"])
        found["configuration_reverted"] = watch.reverts
        found["planned_stop_cut_off"] = total["broken"] + (stop_code != 0)
        found["unserved"] = int(total["outcomes"].get("answered", 0) <
                                0.95 * sum(total["outcomes"].values()))
        return {
            "profile": profile["name"], "seed": seed, "entry_hosts": len(deployment.entries),
            "workers": len(deployment.workers), "outcomes": total["outcomes"],
            "reasons": dict(list(total["reasons"].items())[:10]),
            "lookup_ms": latency(reports, "lookup_ms"),
            "request_ms": latency(reports, "request_ms"),
            "one_region": comparison, "headroom": free,
            "worker_drain_s": stats[drained]["drain_ms"] / 1000,
            "entry_stop_s": round(stop_seconds, 3),
            "change_in_force_s": round(in_force, 3),
            "store": get(deployment.platform, "/_stats"),
            "violations": found}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("profile", nargs="?", default="tahi")
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    summary = run(load_profile(options.profile), options.bin, options.seconds, options.seed)
    print(json.dumps(summary, indent=2))
    bad = sorted(name for name, count in summary["violations"].items() if count)
    if bad:
        print(f"error: violated: {', '.join(bad)}", file=sys.stderr)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
