"""Small deployment on loopback addresses for the review cases.

Starts the gateway as deploy/system.toml does, with the platform's table
service, workers and callers as stand-ins in this process.
"""

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "bin" / "masticgap-gateway"


class CannotRun(Exception):
    """The case could not be carried out; run.sh exits with 2."""


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        with self.lock:
            print(line, file=self.file, flush=True)
            print(line, flush=True)


def address_block():
    """Returns a random loopback prefix, so that cases do not share ports."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_ports(address, count):
    """Returns consecutive free TCP ports of an address."""
    for _ in range(200):
        first = random.randint(20000, 30000)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.create_server((address, port)))
            return first
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise CannotRun("no free ports")


class HttpReader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        """Returns the first line and the fields (lower case names)."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, size):
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        data, self.buffer = self.buffer.split(b"\r\n", 1)
        return data

    def chunked(self):
        body = b""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return body
            body += self.exactly(size)
            self.line()

    def request_body(self, fields):
        if "chunked" in fields.get("transfer-encoding", ""):
            return self.chunked()
        return self.exactly(int(fields.get("content-length", "0")))


class Listener:
    """Accepts connections and serves each one in a thread."""

    def __init__(self, address, port, prepare=None):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if prepare:
            prepare(self.socket)
        self.socket.bind((address, port))
        self.socket.listen(256)
        self.address, self.port = self.socket.getsockname()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except (OSError, EOFError, ValueError, KeyError):
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def close(self):
        self.closed = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    b"\x01\x00\x00\x00\x00\x00\x00\x00")
    sock.close()


class Store(Listener):
    """The platform's table service, as far as a gateway uses it."""

    def __init__(self, address, port):
        self.changed = threading.Condition()
        self.version = 1
        self.rows = {}  # (table, key) -> (value, version)
        self.history = []  # (version, table, key, value or None)
        super().__init__(address, port)

    def write(self, table, key, value):
        """Writes a row as the operator or a worker does; None removes it."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        with self.changed:
            self.version += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.history.append((self.version, table, key, value))
            self.changed.notify_all()

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key,
               "schema_version": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _answer(self, sock, status, body):
        data = json.dumps(body).encode()
        sock.sendall((f"HTTP/1.1 {status} X\r\n"
                      "Content-Type: application/json\r\n"
                      f"Content-Length: {len(data)}\r\n\r\n").encode() + data)

    def _now(self):
        return int(time.monotonic() * 1000)

    def serve(self, sock):
        reader = HttpReader(sock)
        while True:
            line, fields = reader.head()
            body = reader.request_body(fields)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            values = {k: v[0] for k, v in urllib.parse.parse_qs(
                query, keep_blank_values=True).items()}
            if path == "/api/rows-get":
                self._get(sock, values)
            elif path == "/api/rows-feed":
                self._feed(sock, values)
            elif path == "/api/rows-tx":
                for row in json.loads(body)["puts"]:
                    self.write(row["table"], row["key"],
                               base64.b64decode(row["value"]))
                self._answer(sock, 200, {"schema_version": self.version,
                                         "now": self._now(), "rows": []})
            else:
                self._answer(sock, 404, {})

    def _get(self, sock, values):
        start = values.get("start_revision", "")
        limit = min(500, int(values.get("limit", "500")))
        with self.changed:
            found = sorted((key, value, version) for (table, key),
                           (value, version) in self.rows.items()
                           if table == values["table"] and key >= start)
            body = {"rows": [self._row(values["table"], *each)
                             for each in found[:limit]],
                    "has_more": len(found) > limit,
                    "schema_version": self.version, "now": self._now()}
        self._answer(sock, 200, body)

    def _feed(self, sock, values):
        after = int(values["after"])
        end = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
        with self.changed:
            while True:
                found = [(key, value, version) for version, table, key, value
                         in self.history
                         if table == values["table"] and version > after]
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            body = {"rows": [self._row(values["table"], *each)
                             for each in found],
                    "schema_version": self.version, "now": self._now()}
        self._answer(sock, 200, body)


class Worker(Listener):
    """A worker that registers in the store.

    `behave(worker, sock, reader, line, fields)` serves one request; it returns
    True if the connection is kept.
    """

    def __init__(self, store, address, worker_id, service, zone, behave,
                 slots=3, prepare=None):
        self.store, self.id, self.service = store, worker_id, service
        self.zone, self.behave, self.slots = zone, behave, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        super().__init__(address, 0, prepare)

    def register(self, state="ready"):
        self.sequence += 1
        self.store.write("servers", self.id, {
            "service": self.service, "address": f"{self.address}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_remaining": "0ms",
            "sequence_number": self.sequence, "born": self.born})

    def serve(self, sock):
        reader = HttpReader(sock)
        while True:
            line, fields = reader.head()
            if not self.behave(self, sock, reader, line, fields):
                return


def answer(sock, fields, body=b"ok", status=200, extra="", signature="s1"):
    """Sends the complete answer of a worker."""
    signed = f"Response-Signature: {signature}\r\n" if signature else ""
    sock.sendall((f"HTTP/1.1 {status} X\r\n"
                  f"Attempt-Id: {fields.get('attempt-id', '')}\r\n"
                  f"{signed}{extra}"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


def config(version, routes, services, **limits):
    """Returns op/config. Routes and services are lists of dicts."""

    def table(rows):
        columns = sorted({name for row in rows for name in row})
        return {"columns": columns,
                "rows": [[row.get(name) for name in columns]
                         for row in rows]}

    return {"version": version, "routes": table(routes),
            "services": table(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms",
                       **limits}}


class Gateway:
    """One gateway process on its own loopback address."""

    def __init__(self, world, name, address, zone):
        self.world, self.name, self.address, self.zone = (world, name, address,
                                                          zone)
        self.process = None
        self.starts = 0

    def settings(self):
        w = self.world
        first, last = w.internal_ports
        return {
            "host": self.name, "region": w.zones[self.zone],
            "failure_domain": self.zone, "failure_domains": w.zones,
            "traffic": f"{self.address}:{w.ports + 1}",
            "readiness": f"{self.address}:{w.ports}",
            "lookup": f"{self.address}:{w.ports + 2}",
            "gossip_port": first, "peer_port": last, "metrics_port": 9464,
            "seeds": [f"{g.address}:{w.ports + 3}" for g in w.gateways[:3]],
            "platform": f"{w.store.address}:{w.store.port}",
            "grace_period": "6s", "retry_ratio": 0.2, "retry_slack": 112,
            "retry_window": "10s", "memory_mb": 182,
            "file_descriptors": 2870, **w.more_settings}

    def start(self):
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(GATEWAY), "--settings", str(path)], cwd=ROOT,
            stdout=self.log, stderr=self.log,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                 if k in os.environ})
        self.starts += 1

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def get(self, port, path, timeout=2.0):
        """Returns the status and body of a call, or None."""
        try:
            with socket.create_connection((self.address, port),
                                          timeout=timeout) as sock:
                sock.settimeout(timeout)
                sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                             "Connection: close\r\n\r\n".encode())
                reader = HttpReader(sock)
                line, fields = reader.head()
                body = reader.exactly(int(fields.get("content-length", "0")))
                return int(line.split(" ")[1]), body
        except (OSError, EOFError, ValueError):
            return None

    def is_ready(self):
        got = self.get(self.world.ports, "/api/readiness")
        return got is not None and got[0] == 200

    @property
    def frontend(self):
        return self.address, self.world.ports + 1


class World:
    """Store, workers and gateways of one case. Use as a context manager."""

    def __init__(self, folder, zones):
        if not GATEWAY.exists():
            raise CannotRun(f"{GATEWAY} is missing; run the deploy file's "
                            "build line")
        self.record = Record(folder)
        self.zones = zones
        self.block = address_block()
        self.ports = free_ports(f"{self.block}.1", 4)
        first = free_ports(f"{self.block}.1", 16)
        self.internal_ports = (first, first + 15)
        self.temporary = tempfile.TemporaryDirectory(prefix="masticgap-review-")
        self.folder = Path(self.temporary.name)
        self.store = Store(f"{self.block}.200", 0)
        self.gateways = []
        self.listeners = [self.store]
        self.more_settings = {}  # of all gateways

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.signal(signal.SIGCONT)
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
        for listener in self.listeners:
            listener.close()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                print((self.folder / f"{gateway.name}.log").read_text()[-8000:])
        self.temporary.cleanup()

    def add_gateway(self, zone):
        number = len(self.gateways) + 1
        gateway = Gateway(self, f"front-{zone}-{number}",
                          f"{self.block}.{number}", zone)
        self.gateways.append(gateway)
        return gateway

    def add_worker(self, *args, **kwargs):
        worker = Worker(self.store, f"{self.block}.{100 + len(self.listeners)}",
                        *args, **kwargs)
        self.listeners.append(worker)
        worker.register()
        return worker

    def start(self, limit=15.0):
        """Starts all gateways and waits until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + limit
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > end:
                raise CannotRun("the gateways did not become ready")
            time.sleep(0.1)
        self.record(f"{len(self.gateways)} gateways are ready")


def main(case):
    """Runs a case; `case(trouble)` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = case(os.environ.get("TROUBLE", "1") != "0")
    except Exception as problem:  # Only a verdict may end with 0 or 1.
        print(f"cannot run: {problem!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
