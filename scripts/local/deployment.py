"""Starts and stops a deployment of a profile on loopback addresses."""

import json
import os
import pathlib
import queue
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time

from http_json import call, get

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 60


class Process:
    """Child process that prints a line to stdout when it is ready."""

    def __init__(self, name, arguments, log_dir):
        self.name = name
        self.log = open(log_dir / f"{name}.log", "wb")
        self.child = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self.log, text=True)
        self.lines = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.child.stdout:
            self.lines.put(line.strip())
        self.lines.put(None)

    def ready_line(self):
        """Waits for the first line of output and returns it."""
        line = self.lines.get(timeout=START_TIMEOUT_S)
        if line is None:
            raise RuntimeError(f"{self.name} ended before it was ready; see {self.log.name}")
        return line

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, timeout):
        return self.child.wait(timeout)


class Deployment:
    """All processes of one profile."""

    def __init__(self, profile, bin_dir, seed=1, entry_settings=None, worker_flags=None,
                 defaults=None):
        self.profile = profile
        self.bin_dir = pathlib.Path(bin_dir)
        self.seed = seed
        self.entry_overrides = entry_settings or {}
        self.worker_flags = worker_flags or []
        self.default_overrides = defaults or {}
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="masticgap-"))
        self.processes = {}
        self.workers = {}      # id -> descriptor
        self.entries = {}      # id -> {"region", "domain", "address", ports}
        self.network_file = self.dir / "network.json"

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Addresses are 127.<10 + region>.<1 + domain>.<number>; callers have 9 as third number.
    def _prefix(self, region, domain):
        regions = list(self.profile["regions"])
        number = regions.index(region)
        return f"127.{10 + number}.{1 + self.profile['regions'][region].index(domain)}."

    def caller_address(self, region):
        return f"127.{10 + list(self.profile['regions']).index(region)}.9.1"

    def _write_network(self):
        places = []
        for region, domains in self.profile["regions"].items():
            for domain in domains:
                places.append({"prefix": self._prefix(region, domain), "region": region,
                               "domain": domain})
            places.append({"prefix": self.caller_address(region)[:-1], "region": region,
                           "domain": ""})
        self.network_file.write_text(json.dumps(
            {"places": places, "one_way_ms": self.profile["one_way_ms"]}))

    def _domains(self):
        return [(region, domain) for region, domains in self.profile["regions"].items()
                for domain in domains]

    def _spawn(self, name, program, *flags):
        process = Process(name, [str(self.bin_dir / program), *flags], self.dir)
        self.processes[name] = process
        return process

    def _start(self):
        self._write_network()
        self._start_workers()
        self._start_platform()
        self.write_configuration()
        self._start_entries()
        self.wait_in_force(1)
        self._wait_members()

    def _start_workers(self):
        started = []
        for service, spec in self.profile["services"].items():
            domains = self._domains()
            for number in range(spec["workers"]):
                region, domain = domains[number % len(domains)]
                worker = f"{service}-{number + 1}"
                address = self._prefix(region, domain) + str(100 + len(started) % 150)
                self.workers[worker] = {
                    "id": worker, "service": service, "region": region, "domain": domain,
                    "address": address, "port": 0, "incarnation": 1, "slots": spec["slots"],
                    "max_connections": spec["max_connections"], "leaving": False}
                started.append((worker, self.start_worker(worker)))
        for worker, process in started:
            self.workers[worker]["port"] = int(process.ready_line().split()[1])

    def start_worker(self, worker):
        """Starts one worker from its descriptor; the caller reads the ready line."""
        d = self.workers[worker]
        spec = self.profile["services"][d["service"]]
        return self._spawn(
            worker, "standin-worker", "--address", d["address"], "--port", str(d["port"]),
            "--id", worker, "--service", d["service"], "--slots", str(d["slots"]),
            "--service_ms", str(spec["service_ms"]),
            "--answer_bytes", str(spec.get("answer_bytes", 200)),
            "--incarnation", str(d["incarnation"]),
            "--seed", str(self.seed * 1000 + len(self.processes)),
            "--network", str(self.network_file), *self.worker_flags)

    def _start_platform(self):
        hosts = self.dir / "hosts.json"
        hosts.write_text(json.dumps({"workers": list(self.workers.values()), "entry_hosts": []}))
        region, domain = self._domains()[0]
        address = self._prefix(region, domain) + "250"
        port = self._spawn("platform", "standin-platform", "--address", address,
                           "--hosts_file", str(hosts)).ready_line().split()[1]
        self.platform = (address, int(port))

    def document(self, version=1, **changes):
        """Returns a complete configuration document of this profile."""
        regions = list(self.profile["regions"])
        caps = [{"from": a, "to": b, "mbit": self.profile["link_mbit"]}
                for a in regions for b in regions if a != b]
        defaults = {"request_timeout_ms": 2000, "lookup_ttl_ms": 5000, "max_entry_hosts": 32,
                    "spill_order": {a: [b for b in regions if b != a] for a in regions},
                    "link_caps": caps, **self.default_overrides, **changes.pop("defaults", {})}
        return {"version": version, "base_version": version - 1,
                "change_id": f"change-{version}", "operator": "run-local",
                "reason": "start of the deployment", "defaults": defaults,
                "services": {name: {} for name in self.profile["services"]},
                "exceptions": [], **changes}

    def write_configuration(self, document=None, base=None):
        """Writes a document as an operator's change does; returns True if it was committed.

        `base` is the store version of the row that the change is based on.
        """
        document = document or self.document()
        version, text = document["version"], json.dumps(document)
        if base is None and version == 1:
            base = 0
        elif base is None:
            base = get(self.platform, "/table/row?table=config&key=current")["version"]
        ops = [{"op": "put", "table": "config", "key": "current", "value": text,
                "if_version": base},
               {"op": "put", "table": "config", "key": f"history/{version}", "value": text},
               {"op": "put", "table": "config", "key": f"change/{document['change_id']}",
                "value": str(version)}]
        return call("POST", self.platform, "/table/transact", {"ops": ops})[0] == 200

    def _start_entries(self):
        count = self.profile["entry_hosts_per_domain"]
        for region, domain in self._domains():
            for number in range(count):
                self.start_entry(f"e-{domain}-{number + 1}", region, domain, number + 1)

    def start_entry(self, name, region=None, domain=None, number=None):
        """Starts one entry host, or restarts it on its previous address and ports."""
        old = self.entries.get(name)
        if old:
            settings = old["settings"]
        else:
            settings = {
                "host": name, "region": region, "failure_domain": domain,
                "address": self._prefix(region, domain) + str(number),
                "lookup_port": 0, "traffic_port": 0, "admin_port": 0, "gossip_port": 0,
                "platform": f"{self.platform[0]}:{self.platform[1]}",
                "seeds": [f"{e['address']}:{e['gossip']}" for e in self.entries.values()][:4],
                "seed": self.seed * 1000 + len(self.entries) + 1,
                "lookup_threads": 1, "drain_grace_ms": 6000, **self.entry_overrides}
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self._spawn(name, "masticgap-entry", "--settings", str(path), "--logtostderr")
        line = process.ready_line()
        ports = dict(part.split("=") for part in line.split()[1:])
        ports = {key: int(value.rsplit(":", 1)[-1]) for key, value in ports.items()}
        settings = {**settings, **{f"{key}_port": port for key, port in ports.items()}}
        self.entries[name] = {"region": settings["region"], "domain": settings["failure_domain"],
                              "address": settings["address"], "settings": settings, **ports}

    def admin(self, name):
        return (self.entries[name]["address"], self.entries[name]["admin"])

    def live_entries(self):
        return [n for n in self.entries if self.processes[n].child.poll() is None]

    def wait_in_force(self, version, timeout=START_TIMEOUT_S, names=None):
        """Waits until the named entry hosts apply the version; returns the seconds."""
        start = time.monotonic()
        waiting = list(names or self.live_entries())
        while waiting:
            waiting = [n for n in waiting if self.version(n) < version]
            if waiting and time.monotonic() - start > timeout:
                raise RuntimeError(f"version {version} is not in force on {waiting}")
            if waiting:
                time.sleep(0.02)
        return time.monotonic() - start

    def version(self, name):
        try:
            return get(self.admin(name), "/status", timeout=2)["config_version"] or 0
        except (OSError, RuntimeError):
            return -1

    def _wait_members(self):
        """Waits until every entry host offers several targets in look-ups."""
        service = next(iter(self.profile["services"]))
        deadline = time.monotonic() + START_TIMEOUT_S
        for name, entry in self.entries.items():
            while True:
                status, body = call("GET", (entry["address"], entry["lookup"]),
                                    f"/lookup?service={service}")
                if status == 200 and len(body["targets"]) >= min(3, len(self.entries)):
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} offers too few targets: {body}")
                time.sleep(0.05)

    def worker_stats(self):
        """Returns the execution log of each live worker."""
        result = {}
        for worker, d in self.workers.items():
            if self.processes[worker].child.poll() is None:
                result[worker] = get((d["address"], d["port"]), "/_stats", timeout=20)
        return result

    def control_worker(self, worker, **changes):
        d = self.workers[worker]
        call("POST", (d["address"], d["port"]), "/_control", changes)

    def fault(self, **changes):
        """Sets the active faults of the platform stand-in; faults that are not named end."""
        call("POST", self.platform, "/_fault", changes)

    def callers(self, name, region, seconds, *flags, names=None):
        """Starts the callers of one region, which print their report as the last line."""
        lookups = [{"address": e["address"], "port": e["lookup"]}
                   for n, e in self.entries.items()
                   if e["region"] == region and (names is None or n in names)]
        direct = {}
        for d in self.workers.values():
            if d["region"] == region:
                direct.setdefault(d["service"], []).append(
                    {"address": d["address"], "port": d["port"]})
        path = self.dir / f"{name}.callers.json"
        random.Random(self.seed).shuffle(lookups)
        path.write_text(json.dumps({
            "lookups": lookups, "direct": direct,
            "services": [{"name": s, "repeatable": spec["repeatable"], "weight": spec["weight"]}
                         for s, spec in self.profile["services"].items()]}))
        return self._spawn(
            name, "standin-caller", "--settings", str(path), "--name", name, "--source",
            self.caller_address(region), "--seconds", str(seconds), "--threads",
            str(self.profile["callers_per_region"]), "--pause_ms", str(self.profile["pause_ms"]),
            "--seed", str(self.seed), *flags)

    def stop(self):
        """Ends all processes and removes the logs, unless MASTICGAP_KEEP_LOGS is set."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(20)
            process.log.close()
        if os.environ.get("MASTICGAP_KEEP_LOGS"):
            print(f"logs are in {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def load_profile(name):
    path = ROOT / "profiles" / f"{name}.json"
    if not path.exists():
        known = ", ".join(sorted(p.stem for p in path.parent.glob("*.json")))
        raise SystemExit(f"error: no profile \"{name}\"; accepted: {known}")
    return json.loads(path.read_text())


def report_of(process, timeout=180):
    """Waits until the callers end; returns their report."""
    process.wait(timeout)
    last = None
    # The reader thread may still be behind the end of the process.
    while (line := process.lines.get(timeout=timeout)) is not None:
        last = line or last
    if last is None:
        raise RuntimeError(f"{process.name} printed no report; see {process.log.name}")
    return json.loads(last)
