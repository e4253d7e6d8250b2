"""A small deployment on loopback: a store, workers and gateways.

The store and the workers are stand-ins written for this review. They do what
PROTOCOL.md allows and, where it is silent, what a sound server does. The
gateways are the program of the deploy file, one process each.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/masticgap-gateway"
HOST = "callers.example"
START = time.monotonic()
# Ends the script in order, so that it ends the processes that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
_blocks = itertools.count(random.Random().randrange(1, 200))


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def new_address():
    """Returns an unused loopback address."""
    return f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}.{next(_blocks) % 250 + 1}"


class Record:
    """Text file with what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, *words):
        self.file.write(f"{now():9.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


class Message:
    """Head and body of an HTTP message."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """Returns the head of the next message, or None at the end of the connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_body(reader, message, is_answer=False):
    if message.field("transfer-encoding").lower() == "chunked":
        return await read_chunks(reader)
    if message.field("content-length"):
        return await reader.readexactly(int(message.field("content-length")))
    if is_answer:
        return await reader.read()
    return b""


class Store:
    """Table service of the platform."""

    def __init__(self, record):
        self.record = record
        self.version = 100
        self.tables = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.address = new_address()
        self.port = None
        self.open = set()
        # Called with the path, the query and the address of the store that was called. May return a
        # status with which the call is rejected, "silent" or "reset".
        self.trouble = lambda path, query, address: None
        # Whether answers at an address are lost.
        self.silent_at = lambda address: False

    async def start(self):
        server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def listen(self):
        """Opens another address of the store, which shows who calls, and returns it."""
        address = new_address()
        await asyncio.start_server(self.serve, address, self.port)
        return address

    def reset_connections(self, address=None):
        """Resets the open connections, or those of one address."""
        for writer in list(self.open):
            if not address or writer.get_extra_info("sockname")[0] == address:
                writer.transport.abort()

    async def put(self, table, key, value):
        """Writes a row; the return of this call is the acknowledgement."""
        async with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key,
                   "value": base64.b64encode(json.dumps(value).encode()).decode(),
                   "schema_version": self.version}
            self.tables.setdefault(table, {})[key] = row
            self.history.append(row)
            self.changed.notify_all()
        self.record.line("store", "acknowledged", f"{table}/{key}", json.dumps(value)[:300])
        return now()

    async def remove(self, table, key):
        async with self.changed:
            self.version += 1
            self.tables.get(table, {}).pop(key, None)
            self.history.append({"table": table, "part": "", "key": key, "removed": True,
                                 "schema_version": self.version})
            self.changed.notify_all()
        self.record.line("store", "removed", f"{table}/{key}")
        return now()

    def changes(self, table, after):
        """Returns the newest state of each row that changed after a version."""
        newest = {}
        for row in self.history:
            if row["table"] == table and row["schema_version"] > after:
                newest.pop(row["key"], None)
                newest[row["key"]] = row
        return list(newest.values())

    async def answer(self, path, query):
        first = lambda name, default="": query.get(name, [default])[0]
        body = {"schema_version": self.version, "now": f"{int(now() * 1000)}ms"}
        if path == "/api/rows-get":
            rows = self.tables.get(first("table"), {})
            body["rows"] = [rows[key] for key in sorted(rows)]
            body["has_more"] = False
            return body
        table, after = first("table"), int(first("after", "0"))
        end = time.monotonic() + int(first("wait_ms", "0")) / 1000
        async with self.changed:
            while not self.changes(table, after) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        body["rows"] = self.changes(table, after)
        body["schema_version"] = self.version
        return body

    async def serve(self, reader, writer):
        self.open.add(writer)
        called = writer.get_extra_info("sockname")[0]
        try:
            request = await read_head(reader)
            request.body = await read_body(reader, request)
            parts = urllib.parse.urlsplit(request.first.split()[1])
            query = urllib.parse.parse_qs(parts.query)
            status, body = 200, {}
            trouble = self.trouble(parts.path, query, called)
            if trouble == "silent":
                await asyncio.sleep(600)
            elif trouble == "reset":
                return writer.transport.abort()
            elif trouble:
                status = trouble
            elif parts.path == "/api/rows-tx":
                body = {"schema_version": self.version, "now": f"{int(now() * 1000)}ms"}
                for put in json.loads(request.body)["puts"]:
                    self.version += 1
                    row = {**put, "schema_version": self.version}
                    self.tables.setdefault(put["table"], {})[put["key"]] = row
                    self.history.append(row)
            else:
                body = await self.answer(parts.path, query)
                if self.silent_at(called):
                    await asyncio.sleep(600)
            text = json.dumps(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Worker:
    """Worker of a service. Runs one request at a time on a connection."""

    def __init__(self, name, service, record, zone="z1", slots=8, work=0.1):
        self.name = name
        self.service = service
        self.record = record
        self.zone = zone
        self.slots = slots
        self.work = work
        self.address = new_address()
        self.port = None
        self.born = int(time.time() * 1000)
        self.runs = []     # (time, attempt id, path, body)
        self.arrivals = []  # (time, attempt id)
        self.running = 0
        self.connections = set()
        self.server = None
        # Coroutine that answers a request, for unusual answers; gets the worker, the request and
        # the writer, and returns whether the connection stays open.
        self.respond = None

    def row(self, state="ready"):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "cold_remaining": "0ms", "sequence_number": 1, "born": self.born}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.address, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends the worker: requests that run are lost."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_head(reader)
                expected = request.field("Expected-Instance")
                identity = request.field("Attempt-Id")
                if expected and expected != self.name:
                    request.body = await read_body(reader, request)
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "
                                 + identity.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                request.body = await read_body(reader, request)
                self.arrivals.append((now(), identity))
                if self.running >= self.slots:
                    writer.write(b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: "
                                 + identity.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                if not await self.run(request, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, request, writer):
        identity = request.field("Attempt-Id")
        method, target = request.first.split()[:2]
        self.runs.append((now(), identity, method, target, request.body))
        self.record.line("worker", self.name, "runs", identity, method, target,
                         f"{len(request.body)} bytes")
        self.running += 1
        try:
            if self.respond:
                return await self.respond(self, request, writer)
            await asyncio.sleep(self.work)
            body = f"answer of {self.name} to {identity}".encode()
            writer.write(self.head(identity, len(body)) + body)
            await writer.drain()
            return True
        finally:
            self.running -= 1

    def head(self, identity, length, status=200):
        return (f"HTTP/1.1 {status} X\r\nAttempt-Id: {identity}\r\n"
                f"Response-Signature: sig-{self.name}-{identity}\r\n"
                f"Server-Load: {self.running},0,{self.slots}\r\n"
                + (f"Content-Length: {length}\r\n" if length is not None else "")
                + "\r\n").encode()


class Gateway:
    """Process of the deploy file's role."""

    def __init__(self, name, zone, zones, store, directory, overrides=None):
        self.name = name
        self.zone = zone
        self.zones = zones
        self.store = store
        self.store_address = None   # address at which this gateway calls the store
        self.address = new_address()
        self.directory = directory
        self.ports = {}
        self.overrides = overrides or {}
        self.process = None

    def write_settings(self, seeds, gossip_port, peer_port):
        for use in ("traffic", "readiness", "lookup"):
            self.ports.setdefault(use, free_port(self.address))
        settings = {
            "host": self.name, "region": self.zones[self.zone], "failure_domain": self.zone,
            "failure_domains": self.zones,
            **{use: f"{self.address}:{port}" for use, port in self.ports.items()},
            "gossip_port": gossip_port, "peer_port": peer_port, "metrics_port": 0,
            "seeds": seeds, "platform": f"{self.store_address}:{self.store.port}",
            "grace_period": "6s", "retry_ratio": 0.2, "retry_slack": 139, "retry_window": "10s",
            **self.overrides}
        self.path = self.directory / f"{self.name}.json"
        self.path.write_text(json.dumps(settings))

    def start(self):
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([PROGRAM, "--settings", str(self.path)], cwd=ROOT,
                                        stdout=log, stderr=log)
        log.close()

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                answer = await call(self.address, self.ports["readiness"], "GET", "/api/readiness")
                if answer and answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready; the case cannot run")


class Deployment:
    """Everything that a case starts; ends all of it on exit."""

    def __init__(self, record, zones=None, gateways=None, overrides=None):
        self.record = record
        self.zones = zones or {"z1": "r1"}
        self.plan = gateways or {"g1": "z1"}
        self.overrides = overrides
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="masticgap-review-"))
        self.store = Store(record)
        self.workers = {}
        self.gateways = {}
        self.config = {"version": 1, "routes": [], "services": {}}

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways.values():
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def add_worker(self, name, service, register=True, **settings):
        worker = Worker(name, service, self.record, **settings)
        await worker.start()
        self.workers[name] = worker
        if register:
            await self.store.put("servers", name, worker.row())
        return worker

    async def put_config(self, routes, version=1, cold_start="0s"):
        """Writes a configuration.

        routes: tuples of name, prefix, kind, timeout, service and the most attempts.
        """
        columns = ["name", "hostname", "prefix", "kind", "timeout", "target_latency", "priority",
                   "service", "max_attempts", "session_affinity", "home_regions", "traffic_split"]
        rows = [[name, HOST, prefix, kind, timeout, "400ms", 1, service, attempts, False, [], None]
                for name, prefix, kind, timeout, service, attempts in routes]
        services = {"columns": ["name", "health_check_path", "connection_limit", "protocol",
                                "transport_security", "cold_start", "cold_per_s"],
                    "rows": [[service, "/health", 400, "h1", False, cold_start, 13.0]
                             for service in sorted({route[4] for route in routes})]}
        return await self.store.put("op", "config", {
            "version": version, "routes": {"columns": columns, "rows": rows}, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms"}})

    async def start_gateways(self):
        gossip_port, peer_port = (random.randrange(21000, 29000), random.randrange(29000, 31000))
        for name, zone in self.plan.items():
            self.gateways[name] = Gateway(name, zone, self.zones, self.store, self.directory,
                                          self.overrides)
            self.gateways[name].store_address = await self.store.listen()
        seeds = [f"{gateway.address}:8649" for gateway in list(self.gateways.values())[:3]]
        for gateway in self.gateways.values():
            gateway.write_settings(seeds, gossip_port, peer_port)
            gateway.start()
        for gateway in self.gateways.values():
            await gateway.wait_ready()


async def call(address, port, method, path, fields=None, body=None, limit=10):
    """Sends one request on a new connection and returns the answer, or None if there is none."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), limit)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        for name, value in (fields or {}).items():
            head += f"{name}: {value}\r\n"
        if body is not None:
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + (body or b""))
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), limit)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


async def read_answer(reader):
    answer = await read_head(reader)
    answer.body = await read_body(reader, answer, is_answer=True)
    return answer


def finish(record, broken, text):
    """Writes the verdict; returns the exit code of the script."""
    verdict = "BROKEN" if broken else "held"
    record.line("verdict:", verdict, text)
    record.close()
    print(f"{verdict}: {text}")
    return 1 if broken else 0
