"""A small deployment on loopback: the gateways of the deploy file as separate
processes, and stand-ins of the platform's store, the workers and the clients."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}


def now():
    return time.monotonic()


class Record:
    """Log of what was sent, answered and run, in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (now() - self.start, " ".join(map(str, words))))
        self.file.flush()


async def read_head(reader):
    """Returns the first line, the fields and the raw head of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields, raw


async def read_body(reader, fields, until_end=False):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.read() if until_end else b""


class Store:
    """The platform's store: rows, with a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value, version)
        self.changes = []  # (version, table, key, value or None)
        self.version = 100
        self.era = 1
        self.oldest = 0  # feeds from before are answered with 410
        self.changed = asyncio.Event()
        self.faults = {}  # name of a gateway -> 'busy', 'reset', 'silent'
        self.delay = 0.004
        self.servers = []
        self.connections = {}  # port -> open connections

    async def listen(self, host, name):
        server = await asyncio.start_server(lambda r, w: self.serve(name, r, w), host, 0)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        server.port = port
        self.connections[port] = set()
        return port

    def cut_connections(self, servers):
        """Resets the connections to listeners that have ended."""
        for server in servers:
            for writer in list(self.connections[server.port]):
                reset(writer)

    def put(self, table, key, value):
        self.version += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rows[table, key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self._wake()

    def delete(self, table, key):
        if (table, key) not in self.rows:
            return
        self.version += 1
        del self.rows[table, key]
        self.changes.append((self.version, table, key, None))
        self._wake()

    def copy(self):
        return dict(self.rows), list(self.changes), self.version

    def restore(self, copy):
        """Comes back from a copy. The era rises."""
        self.rows, self.changes, self.version = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1
        self.record("store restored from a copy, era", self.era, "version", self.version)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key, value, version):
        return {"table": table, "part": "", "key": key, "schema_version": version,
                "value": base64.b64encode(value).decode()}

    async def answer(self, method, path, query, body):
        state = {"now": "%dms" % (now() * 1000)}
        if path == "/api/rows-get":
            start = query.get("start_revision", "")
            limit = min(500, int(query.get("limit", "500")))
            keys = sorted(k for t, k in self.rows if t == query["table"] and k >= start)
            rows = [self.row(query["table"], k, *self.rows[query["table"], k]) for k in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "schema_version": self.version, **state}
        if path == "/api/rows-feed":
            after, table = int(query["after"]), query["table"]
            end = now() + min(30000, int(query.get("wait_ms", "0"))) / 1000
            while True:
                if after < self.oldest or after > self.version:
                    return 410, {}
                last = {}
                for version, t, key, value in self.changes:
                    if version > after and t == table:
                        last[key] = (version, value)
                if last or now() >= end:
                    rows = []
                    for key, (version, value) in sorted(last.items(), key=lambda e: e[1][0]):
                        row = self.row(table, key, value or b"", version)
                        if value is None:
                            row["removed"] = True
                            del row["value"]
                        rows.append(row)
                    return 200, {"rows": rows, "schema_version": self.version, **state}
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/api/rows-tx" and method == "POST":
            call = json.loads(body)
            for row in call.get("puts", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
            for row in call.get("puts", []):
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            return 200, {"schema_version": self.version, **state}
        return 404, {}

    async def serve(self, name, reader, writer):
        mine = self.connections[writer.get_extra_info("sockname")[1]]
        mine.add(writer)
        try:
            while True:
                line, fields, _ = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(p.partition("=")[::2] for p in text.split("&") if p)
                await asyncio.sleep(self.delay)
                fault = self.faults.get(name)
                if fault is None:
                    work = asyncio.ensure_future(self.answer(method, path, query, body))
                    status, result = await work
                    fault = self.faults.get(name)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    reset(writer)
                    return
                if fault == "busy":
                    status, result = 503, {}
                text = json.dumps(result).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, self.era, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            mine.discard(writer)
            writer.close()


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Worker:
    """A worker. behave(worker, request) may answer instead of it."""

    def __init__(self, world, service, zone, name=None, slots=3, queue=9, work=0.05, behave=None):
        self.world, self.service, self.zone = world, service, zone
        self.name = name or "i-%08x" % random.getrandbits(32)
        self.slots, self.queue, self.work, self.behave = slots, queue, work, behave
        self.born = int(time.time() * 1000)
        self.state, self.leaving, self.beating = "ready", False, True
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.connections = set()
        self.counter = 0
        self.server = None
        self.host, self.port = None, None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.host, self.port = host, self.server.sockets[0].getsockname()[1]
        self.beat()
        self.beater = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            if self.beating:
                self.beat()

    def entry(self):
        self.counter += 1
        return {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining": "0ms",
                "sequence_number": self.counter, "born": self.born}

    def beat(self):
        self.world.store.put("servers", self.name, self.entry())

    def drain(self):
        self.state = "draining"
        self.leaving = True
        self.beat()
        self.world.record("worker", self.name, "reports draining")

    def stop(self, hard=True):
        """Ends the worker: the listener and all connections."""
        self.beating = False
        self.beater.cancel()
        self.server.close()
        for writer in list(self.connections):
            reset(writer) if hard else writer.close()
        self.world.record("worker", self.name, "ended")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields, raw = await read_head(reader)
                request = Request(self, reader, writer, line, fields, raw)
                arrived = now()
                if fields.get("expected-instance", self.name) != self.name:
                    request.body = await read_body(reader, fields)
                    await request.reply(421, b"", {"Instance-Id": self.name})
                    continue
                self.world.record("worker", self.name, "gets", line.rsplit(" ", 1)[0],
                                  fields.get("attempt-id"), "deadline", fields.get("deadline-milliseconds"))
                self.world.arrivals.append((arrived, self.name, fields.get("attempt-id"), line))
                if self.behave and await self.behave(request):
                    continue
                request.body = await read_body(reader, fields)
                if self.running >= self.slots and self.waiting >= self.queue:
                    await request.reply(503, b"", {"Not-Executed": "1"})
                    continue
                self.waiting += 1
                async with self.free:
                    await self.free.wait_for(lambda: self.running < self.slots)
                    self.waiting -= 1
                    self.running += 1
                try:
                    request.run()
                    await asyncio.sleep(self.work)
                    await request.reply(200, b"done " + (request.id or "").encode())
                finally:
                    async with self.free:
                        self.running -= 1
                        self.free.notify()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Request:
    """A request at a worker."""

    def __init__(self, worker, reader, writer, line, fields, raw):
        self.worker, self.reader, self.writer = worker, reader, writer
        self.line, self.fields, self.raw = line, fields, raw
        self.id = fields.get("attempt-id")
        self.body = b""

    def run(self):
        world = self.worker.world
        world.runs.append((now(), self.worker.name, self.id, self.line, self.body))
        world.record("worker", self.worker.name, "runs", self.id)

    def head(self, status, length, extra=None):
        worker = self.worker
        fields = {"Attempt-Id": self.id or "", "Server-Load": "%d,%d,%d" % (worker.running, worker.waiting, worker.slots)}
        if status // 100 == 2:
            fields["Response-Signature"] = "s.%s.%s" % (worker.name, self.id)
        if worker.leaving:
            fields["Server-Leaving"] = "1"
        if length is not None:
            fields["Content-Length"] = str(length)
        fields.update(extra or {})
        return ("HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % f for f in fields.items()) + "\r\n").encode()

    async def reply(self, status, body, extra=None):
        self.worker.world.record("worker", self.worker.name, "answers", self.id, status)
        self.writer.write(self.head(status, len(body), extra) + body)
        await self.writer.drain()


class Gateway:
    """One process of the deploy file's role, on an address of its own."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.name = "front-%s-%d" % (zone, index)
        self.ip = "%s.%d" % (world.net, index + 1)
        self.process = None
        self.log = os.path.join(world.folder, self.name + ".log")
        self.settings = os.path.join(world.folder, self.name + ".json")

    def write_settings(self):
        world = self.world
        ports = world.ports
        fields = {
            "host": self.name, "region": ZONES[self.zone], "failure_domain": self.zone,
            "failure_domains": ZONES, "traffic": "%s:%d" % (self.ip, ports["traffic"]),
            "readiness": "%s:%d" % (self.ip, ports["readiness"]), "lookup": "%s:%d" % (self.ip, ports["lookup"]),
            "gossip_port": ports["gossip"], "peer_port": ports["peer"], "metrics_port": ports["metrics"],
            "seeds": ["%s.%d:%d" % (world.net, i + 1, ports["control"]) for i in range(min(3, world.size))],
            "platform": "%s:%d" % (world.host, self.store_port), "grace_period": "6s", "retry_ratio": 0.2,
            "retry_slack": 307, "retry_window": "10s", "memory_mb": 112, "file_descriptors": 2870}
        fields.update(world.more_settings)
        with open(self.settings + ".new", "w") as file:
            json.dump(fields, file)
        os.rename(self.settings + ".new", self.settings)

    async def start(self):
        command = [w.replace("/etc/masticgap/settings.yaml", self.settings) for w in self.world.command]
        log = open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "MASTICGAP_NODE_FILE": self.settings, **self.world.more_env})
        self.world.record("gateway", self.name, "starts, process", self.process.pid)

    def signal(self, number):
        self.world.record("gateway", self.name, "gets", signal.Signals(number).name)
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ip, self.world.ports["readiness"], "GET", "/api/readiness"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(host, port, method, target, fields=None, body=None):
    """Makes one call on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = {"Host": host, **(fields or {})}
        if body is not None:
            head["Content-Length"] = str(len(body))
        writer.write(("%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % f for f in head.items())
                      + "\r\n").encode() + (body or b""))
        line, answer, _ = await read_head(reader)
        return int(line.split(" ")[1]), answer, await read_body(reader, answer, True)
    finally:
        writer.close()


class World:
    def __init__(self, record_path, gateways=3, zones=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(record_path)
        self.size = gateways
        self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        self.host = self.net + ".200"
        self.store = Store(self.record)
        self.arrivals, self.runs, self.answers = [], [], []
        self.more_settings, self.more_env = {}, {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        if os.environ.get("GATEWAY"):
            self.command[0] = os.environ["GATEWAY"]
        names = list(ZONES)
        self.gateways = [Gateway(self, i, (zones or names)[i % len(zones or names)]) for i in range(gateways)]
        self.ports = {}
        self.routes, self.services, self.config_version = [], [], 7
        self.workers = []

    def free_ports(self):
        names = ["traffic", "readiness", "lookup", "control", "peer", "metrics", "gossip"]
        base = random.randint(21000, 60000)
        while True:
            try:
                for offset in range(len(names) + 2):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        for gateway in self.gateways:
                            probe = socket.socket(socket.AF_INET, kind)
                            try:
                                probe.bind((gateway.ip, base + offset))
                            finally:
                                probe.close()
                break
            except OSError:
                base = random.randint(21000, 60000)
        self.ports = {name: base + i for i, name in enumerate(names)}

    def route(self, name, prefix, kind, service, timeout="3000ms", latency="800ms", split=None, attempts=2):
        self.routes.append([name, "shop.example", prefix, kind, timeout, latency, 1, service, attempts, True, [], split])

    def service(self, name):
        self.services.append([name, "/health", 660, "h1", False, "3s", 2.7])

    def put_config(self):
        self.config_version += 3
        self.store.put("op", "config", {
            "version": self.config_version,
            "routes": {"columns": ["name", "hostname", "prefix", "kind", "timeout", "target_latency", "priority", "service",
                                   "max_attempts", "session_affinity", "home_regions", "traffic_split"], "rows": self.routes},
            "services": {"columns": ["name", "health_check_path", "connection_limit", "protocol", "transport_security",
                                     "cold_start", "cold_per_s"], "rows": self.services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                       "idle_timeout": "15000ms"}})
        self.record("operator writes configuration", self.config_version)

    async def add_worker(self, service, zone, **options):
        worker = Worker(self, service, zone, **options)
        await worker.start(self.host)
        self.workers.append(worker)
        return worker

    async def start(self):
        self.free_ports()
        for gateway in self.gateways:
            gateway.store_port = await self.store.listen(self.host, gateway.name)
            gateway.write_settings()
            await gateway.start()

    async def await_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            if all([await g.ready() for g in self.gateways]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.returncode is None:
                try:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                except ProcessLookupError:
                    pass
                await gateway.process.wait()
        for worker in self.workers:
            worker.beater.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def request(self, gateway, method, path, deadline=4000, body=None, connection=None, id=None, more=None):
        """Sends one attempt of a client. Returns its id, the status (or a word) and the body."""
        id = id or "%016x" % random.getrandbits(64)
        fields = {"Host": "shop.example", "Attempt-Id": id, "Cookie": "Affinity-Key=%d" % random.randint(1, 99),
                  "Deadline-Milliseconds": str(deadline), **(more or {})}
        if body is not None:
            fields["Content-Length"] = str(len(body))
        text = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % f for f in fields.items()) + "\r\n"
        self.record("client sends", id, method, path, "to", gateway.name)
        sent = now()
        own = connection is None
        result = None
        try:
            reader, writer = connection or await asyncio.wait_for(
                asyncio.open_connection(gateway.ip, self.ports["traffic"]), 1)
            try:
                writer.write(text.encode() + (body or b""))
                async def answer():
                    line, head, _ = await read_head(reader)
                    return int(line.split(" ")[1]), head, await read_body(reader, head, True)
                result = await asyncio.wait_for(answer(), deadline / 1000)
            finally:
                if own:
                    writer.close()
        except asyncio.TimeoutError:
            result = ("deadline", {}, b"")
        except (asyncio.IncompleteReadError, ConnectionError) as failure:
            result = ("closed" if "writer" in locals() else "refused", {}, b"")
        self.record("client gets", id, result[0], "from", gateway.name, "after %.3f" % (now() - sent))
        self.answers.append((sent, now(), id, result[0], gateway.name))
        return id, result[0], result[1], result[2]

    def runs_of(self, id):
        return [r for r in self.runs if r[2] == id]


HELD, BROKEN, NOT_RUN = 0, 10, 2
TIME_LIMIT = 100


def main(case, record_path):
    """Runs a case: case(record_path, trouble) returns HELD, BROKEN or NOT_RUN.

    A failure of the script itself is NOT_RUN. Python exits with 1 for an
    exception, so that a broken rule has a code of its own; run.sh translates it.
    """
    async def limited():
        running = asyncio.ensure_future(case(record_path, os.environ.get("TROUBLE", "1") != "0"))
        # Cancelling lets the case end the processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        return await asyncio.wait_for(running, TIME_LIMIT)

    try:
        return asyncio.run(limited())
    except BaseException as problem:
        print("the case could not run:", repr(problem), file=sys.stderr)
        return NOT_RUN
