"""A worker leaves without a report of it, 3 s after an outage of the store."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import deployment  # noqa: E402
from deployment import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_WINDOW_S = 3.0
DRAIN_TIMEOUT_S = 2.5
OUTAGE_S = 7.9          # at most 8 s
SERVES_LONGER_S = 0.3   # what a leaving worker serves beyond drain_timeout
TOLERANCE_S = 0.05      # of this script's own clock readings
LAST_START_S = 85       # no further outage begins later
CALM_S = 3.0            # between a try and the next outage
REQUESTS_PER_S = 40     # at each gateway


class Outage:
    """The store resets its connections, then answers nothing."""

    def __init__(self, store):
        self.store = store
        self.down = False
        self.last = {}      # when each gateway last asked for changes of the workers
        store.trouble = self.on_call
        store.silent_at = lambda _address: self.down

    def on_call(self, _path, query, address):
        if query.get("table") == ["servers"]:
            self.last[address] = now()
        return "silent" if self.down else None

    async def run(self, record):
        """Returns when the store is back."""
        record.line("store goes down")
        started = now()
        self.down = True
        self.store.reset_connections()
        while now() - started < OUTAGE_S:
            await asyncio.sleep(0.02)
            # The store returns while the calls of all gateways wait for an answer in vain.
            if now() - started > 5.9 and min(self.last.values()) > now() - 0.4:
                break
        self.down = False
        record.line("store is back, after", f"{now() - started:.2f} s")
        return now()


async def load(d, gateway, results, stop):
    """Sends requests that must not be repeated, each on a new connection."""
    tasks, number = [], 0

    async def one(identity):
        try:
            answer = await deployment.call(
                gateway.address, gateway.ports["traffic"], "POST", "/book/x",
                {"Attempt-Id": identity, "Deadline-Milliseconds": "4000"}, b"booking", 6)
            results[identity] = answer.status if answer else "no answer"
        except OSError:
            results[identity] = "no connection"

    while not stop.is_set():
        number += 1
        tasks.append(asyncio.create_task(one(f"{gateway.name}-{number}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def leave(d, worker, results, record):
    """The worker leaves; returns what reached it too late and what was lost."""
    acknowledged = await d.store.remove("servers", worker.name)
    await asyncio.sleep(DRAIN_TIMEOUT_S + SERVES_LONGER_S)
    running = [identity for at, identity, *_ in worker.runs if at > now() - worker.work]
    await worker.stop()
    record.line("worker", worker.name, "ends")
    await asyncio.sleep(0.5)
    late = [(at - acknowledged, identity) for at, identity in worker.arrivals
            if at - acknowledged > DRAIN_TIMEOUT_S + TOLERANCE_S]
    for after, identity in late:
        record.line("late:", identity, f"reached {worker.name} {after:.3f} s after the removal was",
                    "acknowledged and got", results.get(identity))
    return late, [i for i in running if results.get(i) not in (200, None)]


async def main():
    record = deployment.Record("record.txt")
    async with deployment.Deployment(record, zones={"z1": "r1", "z2": "r2"},
                                     gateways={"g1": "z1", "g2": "z2"}) as d:
        for i in range(4):
            await d.add_worker(f"w{i}", "desk", zone=f"z{i % 2 + 1}", work=0.5, slots=30)
        await d.put_config([("book", "/book/", "unsafe", "4s", "desk", 2)])
        await d.start_gateways()
        outage = Outage(d.store)
        stop, results = asyncio.Event(), {}
        clients = [asyncio.create_task(load(d, gateway, results, stop))
                   for gateway in d.gateways.values()]
        await asyncio.sleep(4)
        late, lost, tries, removals, leaver = [], [], 0, 0, None
        while now() < LAST_START_S and not (late and lost):
            tries += 1
            leaver = leaver or await d.add_worker(f"leaver{tries}", "desk", zone="z1", work=0.5,
                                                  slots=30)
            await asyncio.sleep(CALM_S)
            back = await outage.run(record) if TROUBLE else now()
            while now() < back + CONTACT_WINDOW_S + 0.02:
                await asyncio.sleep(0.01)
                if TROUBLE and max(outage.last.values()) > back:
                    break
            else:
                # The store has been without disruption for contact_window, so it is stable.
                removals += 1
                found = await leave(d, leaver, results, record)
                late, lost, leaver = late + found[0], lost + found[1], None
                if not TROUBLE and tries == 2:
                    break
                continue
            record.line("a gateway is connected again; another outage")
        stop.set()
        await asyncio.gather(*clients)
        if removals == 0:
            raise RuntimeError("a gateway reconnected early each time; the case cannot run")
        served = sum(1 for status in results.values() if status == 200)
        if served < len(results) / 2:
            raise RuntimeError("the gateways did not serve; the case cannot run")
        return deployment.finish(
            record, bool(late), f"{len(late)} requests reached a worker over drain_timeout after its "
            f"removal, up to {max([after for after, _ in late], default=0):.2f} s; {len(lost)} were "
            f"lost as it ended; {removals} removals in {tries} tries")


try:
    sys.exit(asyncio.run(main()))
except Exception as problem:  # pylint: disable=broad-except
    print("cannot run:", repr(problem), file=sys.stderr)
    sys.exit(2)
