"""Stand-ins for the fault soak: workers, callers, and a loopback proxy with faults."""

import http.client
import http.server
import json
import random
import socket
import socketserver
import threading
import time


def unreadable_row(pick):
    """Returns the row of a worker as another writer might leave it, with a value that cannot be used."""
    row = {"service": "svc", "address": "127.0.0.1:9", "zone": "d1", "version": "v1", "slots": 4, "state": "ready",
           "cold_remaining": "0ms", "sequence_number": 1, "born": 1}
    return pick.choice([
        "[" * 10000, '{"slots": ' * 200 + "1" + "}" * 200, "not JSON", "", "\0\xff",
        json.dumps(row).replace('"slots": 4', '"slots": 1e999'),
        json.dumps(row | {"born": 10**40}),
        json.dumps(row | {"address": "127.0.0.1:70000"}),
        json.dumps(row | {"address": "127.0.0.1:-1"})])


class Worker:
    """HTTP worker with a limited number of slots; the soak sets its faults."""

    def __init__(self, world, ident, service="svc", domain="d1", slots=4):
        self.world, self.id, self.service, self.domain = world, ident, service, domain
        self.slots = slots
        self.running = 0
        self.slow = 1.0
        self.lose = 0.0  # Share of answers that are lost after execution.
        self.close = random.choice([0, 0, 0.2])  # Share of answers that announce the end of the connection.
        self.stopped = False
        self.left_at = None
        self.leaving = False  # Announced in each answer.
        self.lock = threading.Lock()
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body=b"", **fields):
                self.send_response(status)
                for name, value in fields.items():
                    self.send_header(name.replace("_", "-"), value)
                self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
                self.send_header("Server-Load", f"{worker.running},0,{worker.slots}")
                self.send_header("Content-Length", str(len(body)))
                self.send_header("Worker", worker.id)
                if worker.leaving:
                    self.send_header("Server-Leaving", "1")
                if random.random() < worker.close:
                    self.send_header("Connection", "close")
                self.end_headers()
                self.wfile.write(body)

            def serve(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if worker.stopped:
                    self.close_connection = True
                    return
                ident = self.headers.get("Attempt-Id", "")
                if self.headers.get("Expected-Instance") != worker.id:
                    return self.answer(421)
                with worker.lock:
                    full = worker.running >= worker.slots
                    if not full:
                        worker.running += 1
                if full:
                    return self.answer(503, Not_Executed="1")
                worker.world.executed(worker, ident, self.path)
                time.sleep(random.uniform(0.01, 0.05) * worker.slow)
                with worker.lock:
                    worker.running -= 1
                if worker.stopped or random.random() < worker.lose:
                    self.close_connection = True
                    return
                self.answer(200, ident.encode() * 3, Response_Signature="s")

            do_GET = do_POST = serve

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass  # A caller may close its connection at any time.

        self.server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, state="ready"):
        return json.dumps({
            "service": self.service, "address": "127.0.0.1:%d" % self.server.server_port,
            "zone": self.domain, "version": "v1", "slots": self.slots, "state": state,
            "cold_remaining": "0ms", "sequence_number": 1, "born": int(time.time() * 1000)})

    def stop(self):
        self.stopped = True
        self.server.shutdown()
        self.server.server_close()


class Proxy:
    """Forwards TCP connections to one address; modes are pass, cut, delay, silent and oneway."""

    def __init__(self, target):
        self.target, self.mode = target, "pass"
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "cut":
            for connection in list(self.open):
                self._reset(connection)

    @staticmethod
    def _reset(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The peer has closed it already.

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.mode == "cut":
                client.close()
                continue
            try:
                upstream = socket.create_connection(self.target, timeout=5)
                upstream.settimeout(None)
            except OSError:
                client.close()
                continue
            self.open |= {client, upstream}
            for pair in ((client, upstream, True), (upstream, client, False)):
                threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source, sink, outward):
        try:
            while True:
                part = source.recv(65536)
                if not part:
                    break
                if self.mode == "delay":
                    time.sleep(0.3)
                while self.mode == "silent" or (self.mode == "oneway" and not outward):
                    time.sleep(0.05)
                sink.sendall(part)
        except OSError:
            pass  # One side has closed the connection.
        for connection in (source, sink):
            self.open.discard(connection)
            self._reset(connection)


class Caller(threading.Thread):
    """Looks up a gateway, keeps the connection alive and records the result of each request."""

    def __init__(self, world, seed):
        super().__init__(daemon=True)
        self.world, self.random = world, random.Random(seed)
        self.connection = self.gateway = None

    def connect(self):
        gateway = self.random.choice(self.world.gateways)
        lookup = http.client.HTTPConnection(gateway.address, gateway.ports["lookup"], timeout=1)
        try:
            lookup.request("GET", "/api/resolution?name=a.example&region=r1&zone=d1")
            body = json.loads(lookup.getresponse().read())
        finally:
            lookup.close()
        address = self.random.choice(body["addresses"]).split(":")[0]
        self.gateway = next(g for g in self.world.gateways if g.address == address)
        self.connection = http.client.HTTPConnection(address, self.gateway.ports["traffic"], timeout=8)

    def run(self):
        number = 0
        while not self.world.ended:
            number += 1
            self.send_request(f"{self.name}-{number}")
            time.sleep(self.random.uniform(0.01, 0.06))

    def send_request(self, ident):
        try:
            if self.connection is None:
                self.connect()
                self.connection.connect()
        except (OSError, ValueError, KeyError, http.client.HTTPException, StopIteration):
            self.connection = None
            time.sleep(0.1)
            return
        safe = self.random.random() < 0.5
        path = self.random.choice(self.world.paths(safe))
        begun, run = time.monotonic(), self.gateway.run
        status, body = 0, b""
        try:
            self.connection.request(
                "GET" if safe else "POST", path, None if safe else b"x" * 200,
                {"Host": "a.example", "Attempt-Id": ident, "Deadline-Milliseconds": "3000",
                 "Cookie": "Affinity-Key=%d" % self.random.randrange(20)})
            answer = self.connection.getresponse()
            status, body = answer.status, answer.read()
            if answer.getheader("Server-Leaving"):
                self.world.announced(self.gateway, run, answer.getheader("Worker"))
            if answer.will_close:
                self.connection = None
        except (OSError, http.client.HTTPException):
            self.connection = None
        self.world.ended_request(ident, safe, path, status, body, self.gateway, run, begun)
