"""Fault soak: runs gateways under injected faults and checks the records of callers and workers."""

import argparse
import collections
import http.client
import json
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from soak_world import Caller, Proxy, Worker, unreadable_row

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAYS, WORKERS, CALLERS = 6, 6, 10
GRACE_S = 3.0       # Grace period of a planned stop, as in the settings.
DRAIN_S = 2.5       # Time after which a leaving worker may get no request.
RECOVERY_S = 15.0   # Time limit for serving requests again after the last fault.
RETRY_RATIO, RETRY_SLACK = 0.2, 40
BURST_SHARE = 0.15  # Share of the faults with which a burst of changes begins.
# A gateway answers a peer's query after 7 to 10 s without changes. Time without changes before a burst.
QUIET_S = (6.5, 9.5)
CONFIG_APPLY_S = 3.0     # A change is in force on undisturbed gateways within this time.
HEAL_S = 3.0             # The longest fault.
CONTACT_S = 6.0          # After the begin of a fault a gateway counts as disturbed for so long.
LOG_TAIL = 12       # Lines of the log that are shown for an unexpected exit.
# Seeds that failed once, with the cause; they run before new ones.
KEPT_SEEDS = {
    202: "ports of the ephemeral range were taken by connections of another run; one gateway did not start",
    204: "the same",
    205: "overlapping restarts started one gateway twice; the second could not bind",
    **dict.fromkeys((900, 903, 905, 911, 913, 915, 916),
                    "hosts that had just restarted refused a path as crashing its workers, while others served it"),
}
# Seeds of open findings, also in KNOWN-RED.txt; run with --seed only.
OPEN_SEEDS = {
    509: "one gateway silent after it was stopped and continued, seen once, see docs/incidents/soak-509.md",
    909: "one gateway busy without serving, seen once, see docs/incidents/soak-509.md",
}


class Gateway:
    """Gateway process that can be restarted on the same address."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.address = world.address(number)
        self.ports = world.ports
        self.proxy = Proxy(("127.0.0.1", world.store_port))
        self.run = 0
        self.faults = []  # (time, kind) of each injected fault and signal.
        self.child = self.watcher = None
        self.lock = threading.Lock()
        self.log = open(world.directory / f"gateway-{number}.log", "ab")

    def domain(self):
        """Returns the failure domain; most gateways share one, so that its readers have several waiting peers."""
        return "d1" if self.number % 3 else "d2"

    def settings(self):
        host = f"{self.address}:"
        return {
            "host": f"g{self.number}", "region": "r1", "failure_domain": self.domain(),
            "failure_domains": {"d1": "r1", "d2": "r1"},
            "traffic": host + str(self.ports["traffic"]), "readiness": host + str(self.ports["ready"]),
            "lookup": host + str(self.ports["lookup"]), "gossip_port": self.ports["gossip"],
            "peer_port": self.ports["peer"], "seeds": [self.world.address(0) + ":1", self.world.address(1) + ":1"],
            "platform": f"127.0.0.1:{self.proxy.port}", "grace_period": f"{GRACE_S}s",
            "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK}

    def start(self):
        path = self.world.directory / f"gateway-{self.number}.json"
        path.write_text(json.dumps(self.settings()))
        self.run += 1
        self.child = subprocess.Popen(
            [str(self.world.bin / "masticgap-gateway"), "--settings", str(path)],
            stdout=self.log, stderr=self.log)
        self.child.signals, self.child.ready = set(), False
        self.watcher = threading.Thread(target=self.watch, args=(self.child, self.run), daemon=True)
        self.watcher.start()

    @staticmethod
    def handles_signals(child):
        """Returns whether the process has installed its handlers of signals."""
        try:
            status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
        except OSError:
            return False  # It has ended.
        caught = next((line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:")), "0")
        return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)

    def watch(self, child, run):
        """Records an exit that no signal of the soak explains, as it happens."""
        while child.poll() is None and not self.handles_signals(child):
            time.sleep(0.02)
        child.ready = True
        code = child.wait()
        expected = {signal.SIGTERM: 0, signal.SIGKILL: -signal.SIGKILL}
        if code in (expected.get(number) for number in child.signals):
            return
        lines = pathlib.Path(self.log.name).read_text(errors="replace").splitlines()[-LOG_TAIL:]
        self.world.violate("\n    ".join([f"g{self.number} run {run} ended by itself with {code}; last lines:", *lines]))

    def signal(self, number):
        child = self.child
        if not child.ready and number in (signal.SIGTERM, signal.SIGHUP):
            # A process that is starting does not handle these signals yet.
            if number == signal.SIGHUP:
                return
            number = signal.SIGKILL
        self.faults.append((time.monotonic(), number))
        child.signals.add(number)
        if child.poll() is None:
            child.send_signal(number)

    def state(self):
        """Returns scheduler state and CPU time, to distinguish a stopped, a waiting and a spinning process."""
        try:
            fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return f"g{self.number} ended"
        return f"g{self.number} {fields[0]} {(int(fields[11]) + int(fields[12])) / 100:.2f} s"

    def write_stack(self):
        """Writes the stack of the process beside its log, if gdb is installed and may attach."""
        if shutil.which("gdb") and self.child.poll() is None:
            with open(self.world.directory / f"stack-{self.number}.txt", "wb") as output:
                try:
                    subprocess.run(["gdb", "-p", str(self.child.pid), "-batch", "-ex", "bt"],
                                   stdout=output, stderr=output, timeout=60, check=False)
                except subprocess.TimeoutExpired:
                    output.write(b"gdb exceeded its time limit\n")

    def disturbed(self, begun, but=()):
        """Returns whether a fault other than those in `but` occurred since 3 s before `begun`."""
        return any(at > begun - 3 and kind not in but for at, kind in self.faults)


class World:
    """Processes and stand-ins of one seed, with their records."""

    def __init__(self, seed, seconds, binaries):
        self.seed, self.seconds, self.bin = seed, seconds, pathlib.Path(binaries)
        self.random = random.Random(seed)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.ended = False
        self.lock = threading.Lock()
        self.runs = collections.defaultdict(list)  # Attempt id: (time, worker, path).
        self.results = []
        self.violations = []
        self.version = 0
        self.configurations = []  # (Unix time, version) of each acknowledged change.
        self.burst_random = random.Random(f"burst {seed}")
        self.leave_random = random.Random(f"leave {seed}")
        self.announcements = {}  # (gateway, run, worker): time at which a caller got an answer that announces it.
        self.burst_thread = None
        self.bursts = 0
        self.extra_routes = []
        self.served_routes = {}
        self.last_store_fault = 0.0
        self.calm_from = time.monotonic()
        self.ports = self.free_ports()
        self.store = subprocess.Popen([str(self.bin / "standin-store")], stdout=subprocess.PIPE, text=True)
        self.store_port = int(self.store.stdout.readline().split()[1])
        self.gateways = [Gateway(self, n) for n in range(GATEWAYS)]
        self.workers = []
        self.worker_number = 0

    def address(self, number):
        """Returns the address of a gateway; depends on the seed, so that parallel runs do not collide."""
        return "127.%d.%d.%d" % (self.seed % 250 + 1, self.seed // 250 % 250, number + 1)

    def free_ports(self):
        """Returns free ports below the ephemeral range, so that outgoing connections cannot take them."""
        ports = []
        for port in self.random.sample(range(15000, 30000), 200):
            try:
                for number in range(GATEWAYS):
                    socket.create_server((self.address(number), port)).close()
            except OSError:
                continue
            ports.append(port)
            if len(ports) == 5:
                break
        return dict(zip(("traffic", "ready", "lookup", "peer", "gossip"), ports))

    def control(self, query, body=""):
        call = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        call.request("POST", "/control?" + query, body)
        call.getresponse().read()
        call.close()

    # Calls from the stand-ins.

    def executed(self, worker, ident, path):
        with self.lock:
            self.runs[ident].append((time.monotonic(), worker, path))
            left = worker.left_at
        calm = time.monotonic() - self.calm_from > DRAIN_S + 4
        if left and calm and time.monotonic() - left > DRAIN_S:
            self.violate(f"{worker.id} ran {ident} {time.monotonic() - left:.1f} s after it left")

    def announced(self, gateway, run, worker):
        with self.lock:
            self.announcements.setdefault((gateway.number, run, worker), time.monotonic())

    def ended_request(self, ident, safe, path, status, body, gateway, run, begun):
        with self.lock:
            self.results.append((ident, safe, path, status, gateway, run, begun, time.monotonic()))
        if status == 200 and body != ident.encode() * 3:
            self.violate(f"{ident} got the answer of another request: {body[:40]!r}")
        with self.lock:
            reached = [worker.id for _, worker, _ in self.runs.get(ident, ())]
            known = [self.announcements.get((gateway.number, run, worker)) for worker in reached]
        if any(at is not None and begun > at + DRAIN_S for at in known):
            self.violate(f"{ident} reached one of {reached} after g{gateway.number} had passed on its leaving")
        route = path.split("/")[1]
        key = (gateway.number, run, route)
        with self.lock:
            if status == 200:
                self.served_routes.setdefault(key, begun)
            seen = self.served_routes.get(key)
        if status == 404 and seen is not None and begun > seen + 0.25 and gateway.run == run:
            self.violate(f"{ident}: route {route} went back to 404 on g{gateway.number}")

    def violate(self, text):
        with self.lock:
            self.violations.append(text)

    def later(self, seconds, call, *arguments):
        """Runs a call after a delay, unless the seed has ended by then."""
        def run():
            if not self.ended:
                call(*arguments)
        threading.Timer(seconds, run).start()

    def paths(self, safe):
        return ["/safe/x", *(f"/{r}/x" for r in self.extra_routes)] if safe else ["/unsafe/x"]

    # Changes and faults.

    def put_config(self, route=None):
        self.version += self.random.randint(1, 5)
        if route:
            self.extra_routes.append(route)
        rows = [["safe", "a.example", "/safe/", "safe", "1500ms", "400ms", 1, "svc", 2, True, [], None],
                ["unsafe", "a.example", "/unsafe/", "unsafe", "1500ms", "400ms", 0, "svc", 2, True, [], None]]
        rows += [[r, "a.example", f"/{r}/", "safe", "1500ms", "400ms", 2, "svc", 2, True, [], None]
                 for r in self.extra_routes]
        self.control("put=op&key=config", json.dumps({
            "version": self.version,
            "routes": {"columns": ["name", "hostname", "prefix", "kind", "timeout", "target_latency", "priority",
                                   "service", "max_attempts", "session_affinity", "home_regions",
                                   "traffic_split"], "rows": rows},
            "services": {"columns": ["name", "health_check_path", "connection_limit", "cold_start", "cold_per_s"],
                         "rows": [["svc", "/health", 600, "1s", 20]]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms"}}))
        self.configurations.append((time.time(), self.version))

    def add_worker(self):
        self.worker_number += 1
        worker = Worker(self, f"w{self.worker_number}", domain=f"d{self.worker_number % 2 + 1}")
        self.workers.append(worker)
        self.control(f"put=servers&key={worker.id}", worker.row())

    def drain_worker(self, worker):
        self.workers.remove(worker)
        self.add_worker()
        worker.leaving = True

        def report():
            self.control(f"put=servers&key={worker.id}", worker.row("draining"))
            worker.left_at = time.monotonic()
            self.later(6, lambda: (self.control(f"remove=servers&key={worker.id}"), worker.stop()))
        # Half of the workers announce their leaving in answers some time before the store knows of it.
        self.later(self.leave_random.choice([0, DRAIN_S + 2]), report)

    def crash_worker(self, worker):
        self.workers.remove(worker)
        worker.stop()
        self.later(2, self.control, f"remove=servers&key={worker.id}")
        self.later(1, self.add_worker)

    def restart_after(self, gateway, number):
        gateway.signal(number)

        def again():
            try:
                gateway.child.wait(GRACE_S + 3)
            except subprocess.TimeoutExpired:
                self.violate(f"g{gateway.number} outlived its grace period")
                gateway.signal(signal.SIGKILL)
                gateway.child.wait()
            with gateway.lock:
                # An overlapping restart may have started it already.
                if not self.ended and gateway.child.poll() is not None:
                    gateway.start()
        threading.Thread(target=again, daemon=True).start()

    def pause(self, gateway):
        gateway.signal(signal.SIGSTOP)
        self.later(self.random.uniform(0.3, 2.5), gateway.signal, signal.SIGCONT)

    def rewrite_worker(self, pick):
        worker = pick.choice(self.workers)
        self.control(f"put=servers&key={worker.id}", worker.row())

    def start_burst(self):
        if self.burst_thread and self.burst_thread.is_alive():
            return
        self.burst_thread = threading.Thread(target=self.burst, daemon=True)
        self.burst_thread.start()

    def burst(self):
        """Changes rows in quick succession after a quiet time, often while gateways are stopped."""
        pick = self.burst_random
        # The waits for both tables begin anew with a change.
        self.put_config()
        self.rewrite_worker(pick)
        time.sleep(pick.uniform(*QUIET_S))
        domain = [gateway for gateway in self.gateways if gateway.domain() == "d1"]
        stopped = pick.choice([[], [pick.choice(domain)], domain, domain])
        self.calm_from = time.monotonic() + 8
        for gateway in stopped:
            gateway.signal(signal.SIGSTOP)
        time.sleep(pick.uniform(0.2, 1.5) if stopped else 0)
        for number in range(pick.randint(5, 30)):
            change = pick.choice(["config", "worker", "unreadable"])
            if change == "config":
                self.put_config()
            elif change == "worker":
                self.rewrite_worker(pick)
            else:
                key = f"other-writer-{number}"
                self.control(f"put=servers&key={key}", unreadable_row(pick))
                self.later(pick.uniform(0, 1), self.control, f"remove=servers&key={key}")
            time.sleep(pick.uniform(0, 0.05))
        for gateway in stopped:
            gateway.signal(signal.SIGCONT)
        self.bursts += 1

    def store_mode(self, mode, seconds):
        self.control("mode=" + mode)
        for gateway in self.gateways:
            gateway.faults.append((time.monotonic(), "store"))
        if mode != "forget":
            self.later(seconds, self.control, "mode=serve")

    def proxy_mode(self, gateway, mode, seconds):
        gateway.proxy.set_mode(mode)
        gateway.faults.append((time.monotonic(), "store"))
        self.later(seconds, gateway.proxy.set_mode, "pass")

    def fault(self):
        pick, gateway = self.random, self.random.choice(self.gateways)
        worker = pick.choice(self.workers)
        seconds = pick.uniform(0.5, 3)
        choices = {
            "kill": lambda: self.restart_after(gateway, signal.SIGKILL),
            "term": lambda: self.restart_after(gateway, signal.SIGTERM),
            "pause": lambda: self.pause(gateway),
            "hup": lambda: gateway.signal(signal.SIGHUP),
            "config": lambda: self.put_config(),
            "route": lambda: self.put_config(f"extra{self.version}"),
            "drain": lambda: self.drain_worker(worker),
            "crash": lambda: self.crash_worker(worker),
            "slow": lambda: setattr(worker, "slow", pick.choice([1, 5, 20])),
            "lose": lambda: setattr(worker, "lose", pick.choice([0, 0.05, 0.3])),
            "store": lambda: self.store_mode(pick.choice(["refuse", "throttle", "silent", "forget"]), seconds),
            "proxy": lambda: self.proxy_mode(gateway, pick.choice(["cut", "delay", "silent", "oneway"]), seconds),
        }
        kind = pick.choice(sorted(choices))
        if self.burst_random.random() < BURST_SHARE:
            self.start_burst()
        if self.burst_thread and self.burst_thread.is_alive() and kind in (
                "config", "route", "drain", "crash", "store", "proxy"):
            return  # The quiet time before a burst has no changes of the store.
        choices[kind]()
        # Late requests to a leaving worker count only while there are no unplanned faults.
        if kind not in ("config", "route", "drain", "hup", "term"):
            self.calm_from = time.monotonic() + 6

    # Run of one seed.

    def play(self):
        try:
            self.put_config()
            for _ in range(WORKERS):
                self.add_worker()
            for gateway in self.gateways:
                gateway.start()
            self.await_service(30)
            callers = [Caller(self, self.seed * 1000 + n) for n in range(CALLERS)]
            for caller in callers:
                caller.start()
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                time.sleep(self.random.expovariate(1.5))
                self.fault()
                if self.random.random() < 0.25:
                    self.fault()
            if self.burst_thread:
                self.burst_thread.join()
            self.heal()
            self.await_service(RECOVERY_S)
            # Faults are over for all gateways when this change is judged.
            time.sleep(CONTACT_S - HEAL_S)
            self.put_config()
            time.sleep(CONFIG_APPLY_S)
            self.ended = True
            for caller in callers:
                caller.join(12)
            time.sleep(0.5)
            self.judge()
        finally:
            self.close()
        return self.violations

    def close(self):
        """Ends all processes of this world."""
        self.ended = True
        for gateway in self.gateways:
            if gateway.child:
                gateway.signal(signal.SIGKILL)
                gateway.watcher.join()
        self.store.kill()
        self.store.wait()
        for worker in self.workers:
            worker.stop()

    def heal(self):
        time.sleep(HEAL_S)
        self.control("mode=serve")
        for gateway in self.gateways:
            gateway.proxy.set_mode("pass")
            if gateway.child.poll() is None:
                gateway.child.send_signal(signal.SIGCONT)
        for worker in self.workers:
            worker.slow, worker.lose = 1, 0

    def await_service(self, limit):
        end, good, number = time.monotonic() + limit, 0, 0
        while time.monotonic() < end:
            gateway = self.random.choice(self.gateways)
            number += 1
            try:
                call = http.client.HTTPConnection(gateway.address, gateway.ports["traffic"], timeout=3)
                call.request("GET", "/safe/x", headers={
                    "Host": "a.example", "Attempt-Id": f"probe-{time.monotonic()}",
                    "Deadline-Milliseconds": "2000"})
                good = good + 1 if call.getresponse().status == 200 else 0
                call.close()
            except (OSError, http.client.HTTPException):
                good = 0
            if good >= 20:
                return
            time.sleep(0.05)
        states = ", ".join(gateway.state() for gateway in self.gateways)
        for gateway in self.gateways:
            gateway.write_stack()
        self.violate(f"no 20 requests in a row were served within {limit} s, the last run had {good}; {states}")

    def judge_configurations(self):
        """Checks in the logs that versions only rise in a process, and that undisturbed gateways have each in time."""
        to_unix = time.time() - time.monotonic()
        for gateway in self.gateways:
            faults = [at + to_unix for at, _ in gateway.faults]
            starts, adopted, newest = [], [], 0
            for line in pathlib.Path(gateway.log.name).read_text(errors="replace").splitlines():
                fields = dict(word.split("=", 1) for word in line.split(" ") if "=" in word)
                if fields.get("event") == "started":
                    starts.append(int(fields["ts"]) / 1000)
                    newest = 0
                elif fields.get("event") == "config_adopted":
                    version = int(fields["version"])
                    if version <= newest:
                        self.violate(f"g{gateway.number} went from version {newest} back to {version}")
                    newest = version
                    adopted.append((int(fields["ts"]) / 1000, version))
            for acknowledged, version in self.configurations:
                due = acknowledged + CONFIG_APPLY_S
                if any(acknowledged - CONTACT_S < at < due for at in faults + starts):
                    continue
                if not any(at <= due and known >= version for at, known in adopted):
                    self.violate(f"version {version} was not in force on g{gateway.number} after {CONFIG_APPLY_S} s")

    def judge(self):
        self.judge_configurations()
        arrivals, requests = collections.Counter(), collections.Counter()
        for ident, safe, _, status, gateway, run, begun, _ in self.results:
            ran = len(self.runs.get(ident, ()))
            requests[int(begun)] += 1
            if not safe and ran > 1:
                self.violate(f"{ident} may not be repeated and ran {ran} times")
            if not safe and status in (408, 421, 429, 503) and ran:
                self.violate(f"{ident} was refused with {status} and ran")
            planned = {signal.SIGTERM, signal.SIGHUP}
            if status == 0 and ran and not gateway.disturbed(begun, planned):
                self.violate(f"{ident} ran and got no answer from g{gateway.number}, which was only told to stop")
        for ran in self.runs.values():
            for at, _, _ in ran[1:]:
                arrivals[int(at)] += 1
        for second in arrivals:
            retries = sum(arrivals[second + i] for i in range(10))
            sent = sum(requests[second + i] for i in range(10))
            if retries > RETRY_RATIO * sent + RETRY_SLACK:
                self.violate(f"{retries} retries for {sent} requests within 10 s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build/bin"))
    parser.add_argument("--seed", type=int, help="play this seed only")
    parser.add_argument("--seeds", type=int, default=3, help="number of fresh seeds")
    parser.add_argument("--first", type=int, default=1, help="first of the fresh seeds")
    parser.add_argument("--minutes", type=float, help="fresh seeds for so long instead")
    parser.add_argument("--seconds", type=float, default=12, help="faults of one seed last so long")
    options = parser.parse_args()
    end = time.monotonic() + (options.minutes or 0) * 60
    fresh = iter(range(options.first, 10**9))
    seeds = [options.seed] if options.seed is not None else list(KEPT_SEEDS)
    for seed, cause in OPEN_SEEDS.items():
        print(f"open and left out: seed {seed}, {cause}", flush=True)
    left = 0 if options.seed is not None else options.seeds
    passed = failed = 0
    while True:
        if not seeds:
            if time.monotonic() >= end and (options.minutes or left <= 0):
                break
            seeds.append(next(fresh))
            left -= 1
        seed = seeds.pop(0)
        world = World(seed, options.seconds, options.bin)
        violations = world.play()
        statuses = collections.Counter(result[3] for result in world.results)
        print(f"seed {seed}: {len(world.results)} requests {dict(sorted(statuses.items()))}, {world.bursts} bursts, "
              f"{len(violations)} violations, logs in {world.directory}", flush=True)
        for violation in violations[:10]:
            print("  " + violation, flush=True)
        passed, failed = passed + (not violations), failed + bool(violations)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
