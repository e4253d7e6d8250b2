"""Counts violations from the records of the stand-ins, never from masticgap's reports."""

WINDOW_MS = 100


def merge(reports):
    """Adds up the reports of several caller processes."""
    total = {"outcomes": {}, "reasons": {}, "broken": 0, "wrong_answers": 0, "failed_lookups": 0,
             "lookups": 0, "keys": []}
    for report in reports:
        for table in ("outcomes", "reasons"):
            for name, count in report[table].items():
                total[table][name] = total[table].get(name, 0) + count
        for name in ("broken", "wrong_answers", "failed_lookups", "lookups"):
            total[name] += report[name]
        total["keys"] += report["keys"]
    return total


def executions(stats):
    """Returns the executions of each idempotency key over all workers."""
    result = {}
    for log in stats.values():
        for key, count in log["executions"].items():
            result[key] = result.get(key, 0) + count
    return result


def link_bytes(stats, workers):
    """Returns the bytes per directed region pair and window of 100 ms."""
    links = {}
    for worker, log in stats.items():
        to = workers[worker]["region"]
        for region, rows in log["bytes"].items():
            if region in (to, "unknown"):
                continue
            for window, size_in, size_out, _ in rows:
                for pair, size in (((region, to), size_in), ((to, region), size_out)):
                    windows = links.setdefault(pair, {})
                    windows[window] = windows.get(window, 0) + size
    return links


def link_peak_share(stats, workers, mbit):
    """Returns the highest use of a link cap in any second, as a share of the cap.

    A worker counts a complete answer when it begins to send it, while entry hosts read it at
    the rate of the link. The sum over a second distinguishes an exceeded cap from such a burst;
    the unit tests of the link budget check each 100 ms.
    """
    budget = mbit * 1e6 / 8
    count = 1000 // WINDOW_MS
    peak = 0
    for windows in link_bytes(stats, workers).values():
        for start in windows:
            peak = max(peak, sum(windows.get(start + i, 0) for i in range(count)))
    return peak / budget


def spilled_share(stats, workers):
    """Returns the highest share of the requests of one service and region that ran elsewhere."""
    total, spilled = {}, {}
    for worker, log in stats.items():
        service, to = workers[worker]["service"], workers[worker]["region"]
        for region, rows in log["bytes"].items():
            count = sum(row[3] for row in rows)
            total[(service, region)] = total.get((service, region), 0) + count
            if region != to:
                spilled[(service, region)] = spilled.get((service, region), 0) + count
    return max((spilled[k] / total[k] for k in spilled if total[k]), default=0.0)


def violations(stats, workers, callers, mbit, max_shift=0.5):
    """Returns the violations per invariant; every count must be 0."""
    runs = executions(stats)
    reported_not_run = [k for k, _, outcome, _ in callers["keys"] if outcome == "not-run"]
    answered = [k for k, _, outcome, _ in callers["keys"] if outcome == "answered"]
    return {
        "shift_over_cap": int(spilled_share(stats, workers) > max_shift),
        "link_over_cap": int(link_peak_share(stats, workers, mbit) > 1),
        "worker_overfilled": sum(
            log["highest_in_use"] > workers[w]["slots"] for w, log in stats.items()),
        "wrong_answer": callers["wrong_answers"],
        "not_run_but_executed": sum(1 for k in reported_not_run if runs.get(k, 0) > 0),
        "answered_but_not_executed": sum(1 for k in answered if runs.get(k, 0) == 0),
        "executed_twice": sum(1 for count in runs.values() if count > 1),
        "work_after_leaving": sum(log["arrived_after_leaving"] for log in stats.values()),
    }
