"""Runs process proofs on loopback; prints one line per case."""

import argparse
import copy
import json
import sys
import traceback

import checker
from cases import CASES, QUICK
from deployment import Deployment, load_profile, report_of
from run_local import VersionWatch


def prepare(case):
    """Returns the profile of a case, and whether its POST requests are repeatable."""
    profile = copy.deepcopy(load_profile("small"))
    changes = dict(case.profile_changes)
    repeatable_post = changes.pop("repeatable_post", False)
    profile.update(changes)
    return profile, repeatable_post


def run_case(case, bin_dir, seed):
    """Runs one case; returns (problems, figures)."""
    profile, repeatable_post = prepare(case)
    deployment = Deployment(profile, bin_dir, seed, case.entry_settings,
                            list(case.worker_flags), case.defaults)
    if repeatable_post:
        base_document = deployment.document
        deployment.document = lambda *a, **k: {
            **base_document(*a, **k), "services": {"agenda": {"repeatable_methods": ["POST"]},
                                           "paunang": {}}}
    with deployment:
        watch = VersionWatch(deployment)
        watch.start()
        callers = [deployment.callers(f"c-{r}", r, case.seconds, *case.caller_flags)
                   for r in profile["regions"]]
        figures = case.disturb(deployment)
        total = checker.merge([report_of(c) for c in callers])
        watch.stopped = True
        stats = deployment.worker_stats()
        found = checker.violations(stats, deployment.workers, total, profile["link_mbit"],
                                   max_shift=1.0)
        # The execution logs of dead workers are lost.
        if len(stats) < len(deployment.workers):
            found.pop("answered_but_not_executed")
        found["configuration_reverted"] = watch.reverts
        if not case.may_break_connections:
            found["connections_broken"] = total["broken"]
        return judge(case, found, total, figures, stats, deployment)


def judge(case, found, total, figures, stats, deployment):
    problems = [f"{name}={count}" for name, count in found.items() if count]
    count = sum(total["outcomes"].values())
    answered = total["outcomes"].get("answered", 0) / max(1, count)
    if answered < case.min_answered:
        problems.append(f"answered {answered:.3f} is under {case.min_answered}")
    limit = figures.pop("limit", None)
    if limit and figures[limit[0]] > limit[1]:
        problems.append(f"{limit[0]}={figures[limit[0]]} is over {limit[1]}")
    figures = {"requests": count, "answered": round(answered, 4),
               "outcomes": total["outcomes"],
               "link_peak": round(checker.link_peak_share(
                   stats, deployment.workers, deployment.profile["link_mbit"]), 3), **figures}
    if problems:
        figures["reasons"] = dict(sorted(total["reasons"].items(), key=lambda r: -r[1])[:5])
    return problems, figures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--bin", required=True)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    known = [case.name for case in CASES]
    for name in options.names:
        if name not in known:
            parser.error(f"no case \"{name}\"; accepted: {', '.join(known)}")
    names = options.names or (QUICK if options.quick else known)
    failed = passed = 0
    for case in CASES:
        if case.name not in names:
            continue
        if options.list:
            print(f"{case.name}: {case.invariants}")
            continue
        try:
            problems, figures = run_case(case, options.bin, options.seed)
        except Exception as error:  # A case that cannot run counts as failed.
            traceback.print_exc()
            problems, figures = [f"{type(error).__name__}: {error}"], {}
        failed, passed = failed + bool(problems), passed + (not problems)
        print(f"{'FAIL' if problems else 'ok  '} {case.name} {json.dumps(figures)}"
              f"{' ' + '; '.join(problems) if problems else ''}", flush=True)
    if not options.list:
        print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
