"""A worker is killed in the middle of an answer that has no length."""

import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
import deployment as d  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = {"atl-a": "atl"}
WORKERS = 8  # one of them is killed: share 0.125 of the service's workers
ROUNDS = 3
REQUESTS = 16  # at the same time, in each round
BODY_BYTES = 200_000
WHOLE = b"certificate " * 4000


class WorkerProcess:
    def __init__(self, w, number):
        self.w, self.id = w, f"i-{number}"
        self.address = f"{w.block}.{100 + number}"
        self.runs = []
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, str(FOLDER / "worker.py"), self.address],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        port = int(self.process.stdout.readline())
        threading.Thread(target=self.read, args=(self.process.stdout,),
                         daemon=True).start()
        self.w.store.write("servers", self.id, {
            "service": "certline", "address": f"{self.address}:{port}",
            "zone": "atl-a", "version": "v1", "slots": 3, "state": "ready",
            "cold_remaining": "0ms", "sequence_number": 1,
            "born": int(time.time() * 1000)})

    def read(self, lines):
        for line in lines:
            self.runs.append(line.split()[1])
            self.w.record(f"worker {self.id} {line.strip()}")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def send(gateway, request):
    """Sends a request; returns the status, whether the answer looks complete,
    and its body."""
    got, body = "closed", b""
    try:
        with socket.create_connection(gateway.frontend, timeout=8) as sock:
            sock.settimeout(8)
            sock.sendall((f"PUT /r1/{request} HTTP/1.1\r\nHost: a.example\r\n"
                          f"Attempt-Id: {request}\r\n"
                          "Deadline-Milliseconds: 5000\r\n"
                          f"Content-Length: {BODY_BYTES}\r\n\r\n").encode()
                         + b"b" * BODY_BYTES)
            reader = d.HttpReader(sock)
            line, fields = reader.head()
            got = line.split(" ")[1]
            if "content-length" in fields:
                body = reader.exactly(int(fields["content-length"]))
            elif "chunked" in fields.get("transfer-encoding", ""):
                body = reader.chunked()
            else:
                while True:
                    body = reader.buffer
                    reader._more()
    except EOFError:
        return got, got != "closed" and body != b"", body
    except OSError as problem:
        return f"{got} ({problem})", False, body
    return got, True, body


def case(trouble):
    with d.World(FOLDER, ZONES) as w:
        w.store.write("op", "config", d.config(
            7, [{"name": "r1", "hostname": "a.example", "prefix": "/r1/",
                 "kind": "unsafe", "service": "certline", "max_attempts": 2,
                 "timeout": "5s", "target_latency": "1s", "priority": 0}],
            [{"name": "certline", "health_check_path": "/health",
              "connection_limit": 64}]))
        gateway = w.add_gateway("atl-a")
        workers = [WorkerProcess(w, number) for number in range(WORKERS)]
        broken, ran, lock = 0, 0, threading.Lock()
        try:
            w.start()

            def client(request):
                nonlocal broken
                got, whole, body = send(gateway, request)
                wrong = got == "200" and whole and body != WHOLE
                with lock:
                    broken += wrong
                w.record(f"client of {request}: {got}, "
                         f"{'complete' if whole else 'incomplete'}, "
                         f"{len(body)} of {len(WHOLE)} bytes"
                         + (", MIXED" if wrong else ""))

            for number in range(ROUNDS):
                clients = [threading.Thread(target=client,
                                            args=(f"req-{number}-{each}",))
                           for each in range(REQUESTS)]
                for each in clients:
                    each.start()
                time.sleep(0.15)
                if trouble:
                    victim = max(workers, key=lambda each: len(each.runs))
                    w.record(f"kill -9 of worker {victim.id}")
                    victim.kill()
                for each in clients:
                    each.join()
                ran = sum(len(each.runs) for each in workers)
                if trouble:
                    time.sleep(1)
                    victim.start()
                    time.sleep(1)
        finally:
            for each in workers:
                each.kill()
        w.record(f"{ran} of {ROUNDS * REQUESTS} requests ran; {broken} answers "
                 "that ended early looked complete")
        if ran < ROUNDS * REQUESTS // 2:
            raise d.CannotRun("too few requests reached a worker")
        return broken == 0


d.main(case)
