"""Measures the latency that an entry host adds to a request, and its look-up rate."""

import argparse
import copy
import json
import sys

from deployment import Deployment, load_profile, report_of


def overhead_profile():
    """Returns a profile without network latency in which callers use half of the workers' slots."""
    profile = copy.deepcopy(load_profile("small"))
    profile["one_way_ms"] = {"domain": 0, "region": 0, "caller": 0}
    profile["services"] = {"agenda": {**profile["services"]["agenda"], "workers": 8,
                                      "service_ms": 4}}
    profile["callers_per_region"] = 8   # 4 local workers of 3 slots
    profile["pause_ms"] = 1.3           # 8 * 4 / (4 + 1.3) = 6 of 12 slots in use
    return profile


def latencies(report):
    return {p: round(report["request_ms"][p], 3) for p in ("p50", "p99")}


def measure(bin_dir, seconds, rounds):
    profile = overhead_profile()
    region = next(iter(profile["regions"]))
    result = {"direct": [], "through": []}
    with Deployment(profile, bin_dir, 1) as deployment:
        for number in range(rounds):
            for kind, flags in (("direct", ("--direct", "--max_sends", "1")), ("through", ())):
                report = report_of(deployment.callers(f"{kind}-{number}", region, seconds, *flags))
                result[kind].append({**latencies(report), "outcomes": report["outcomes"]})
        deployment.profile["callers_per_region"] = 24
        deployment.profile["pause_ms"] = 0
        one = next(iter(deployment.entries))
        report = report_of(deployment.callers("lookups", region, seconds, "--lookups_only",
                                              names=[one]))
        result["lookups_per_s"] = round(report["lookup_ms"]["count"] / seconds)
        result["lookup_ms"] = {p: round(report["lookup_ms"][p], 3) for p in ("p50", "p99")}
    for p in ("p50", "p99"):
        added = [t[p] - d[p] for t, d in zip(result["through"], result["direct"])]
        result[f"added_{p}_ms"] = round(sorted(added)[len(added) // 2], 3)
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    print(json.dumps(measure(options.bin, options.seconds, options.rounds), indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
