"""Measures the control cost of idle entry hosts at several sizes and fits slopes."""

import argparse
import json
import os
import re
import sys
import time

from deployment import Deployment
from http_json import call, get

DOMAINS_OF_REGION = (4, 4, 4, 3)
BUDGET = {"cpu_percent": 4.1, "memory_mb": 256.0, "bytes_per_s": 27000.0,
          "change_in_force_s": 19.0, "store_reads_per_s": 800.0, "store_writes_per_s": 200.0}
TARGET_HOSTS = 640


def profile(hosts):
    """Returns a profile with 4 regions, 15 failure domains and the given number of entry hosts."""
    regions = {f"r{r}": [f"r{r}-{d}" for d in range(count)]
               for r, count in enumerate(DOMAINS_OF_REGION)}
    return {"name": f"capacity-{hosts}", "regions": regions,
            "entry_hosts_per_domain": max(1, round(hosts / sum(DOMAINS_OF_REGION))),
            "one_way_ms": {"domain": 0, "region": 0, "caller": 0}, "link_mbit": 4000,
            "services": {"agenda": {"workers": 15, "slots": 3, "max_connections": 660,
                                    "service_ms": 5, "repeatable": True, "weight": 1}},
            "callers_per_region": 1, "pause_ms": 1000}


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def control_bytes(deployment, name):
    """Returns the bytes that an entry host's control protocols sent and received."""
    status, text = call("GET", deployment.admin(name), "/metrics", timeout=10)
    if status != 200:
        return None
    values = re.findall(r"^masticgap_control_bytes(?:_total)?(?:\{[^}]*\})? ([0-9.e+]+)$", text,
                       re.M)
    return sum(map(float, values)) if values else None


def measure(hosts, bin_dir, seconds):
    with Deployment(profile(hosts), bin_dir, 1, {"lookup_threads": 0},
                    defaults={"max_entry_hosts": 640}) as deployment:
        names = list(deployment.entries)
        deadline = time.monotonic() + 60
        sample = names[:: max(1, len(names) // 20)]
        while time.monotonic() < deadline:
            views = [len(get(deployment.admin(n), "/peer/members", 10)["members"])
                     for n in sample]
            if min(views) >= len(names):
                break
            time.sleep(0.5)
        time.sleep(5)  # Waits until the bursts of the start are over.
        pids = [deployment.processes[n].child.pid for n in names]
        before = [cpu_seconds(p) for p in pids]
        bytes_before = [control_bytes(deployment, n) for n in sample]
        store = get(deployment.platform, "/_stats")
        time.sleep(seconds)
        cpu = [100 * (cpu_seconds(p) - b) / seconds for p, b in zip(pids, before)]
        bytes_after = [control_bytes(deployment, n) for n in sample]
        store_after = get(deployment.platform, "/_stats")
        memory = [resident_mb(p) for p in pids]
        start = time.monotonic()
        deployment.write_configuration(deployment.document(2, reason="capacity"))
        deployment.wait_in_force(2, names=names)
        in_force = time.monotonic() - start
        rates = [(a - b) / seconds for a, b in zip(bytes_after, bytes_before)
                 if a is not None and b is not None]
        return {"hosts": len(names), "members_seen": min(views),
                "cpu_percent": round(sum(cpu) / len(cpu), 3),
                "cpu_percent_max": round(max(cpu), 3),
                "memory_mb": round(max(memory), 1),
                "bytes_per_s": round(sum(rates) / len(rates)) if rates else None,
                "store_reads_per_s": round((store_after["reads"] - store["reads"]) / seconds, 1),
                "store_writes_per_s": round(
                    (store_after["writes"] - store["writes"]) / seconds, 1),
                "change_in_force_s": round(in_force, 2)}


def fit(rows, key):
    """Fits a least-squares line of a figure over the number of hosts."""
    points = [(r["hosts"], r[key]) for r in rows if r[key] is not None]
    if len(points) < 2:
        return None
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    residual = max(abs(y - base - slope * x) for x, y in points)
    return {"slope": slope, "base": base, "residual": residual,
            "at_target": base + slope * TARGET_HOSTS}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--sizes", default="15,30,60,120")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    rows = []
    for size in map(int, options.sizes.split(",")):
        rows.append(measure(size, options.bin, options.seconds))
        print(json.dumps(rows[-1]), flush=True)
    print(f"\n{'figure':20} {'slope a host':>14} {'residual':>10} {'at 640':>10} {'budget':>10} verdict")
    for key, budget in BUDGET.items():
        line = fit(rows, key)
        if line is None:
            print(f"{key:20} not measured")
            continue
        verdict = "fits" if line["at_target"] <= budget else "does not fit"
        print(f"{key:20} {line['slope']:14.5f} {line['residual']:10.3f} "
              f"{line['at_target']:10.2f} {budget:10.1f} {verdict}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
