"""A worker that answers before it has read the body of its request.

Usage: worker.py ADDRESS. Prints its port, then a line for each request that it
runs. Its answers have no length and end with their connections.
"""

import os
import socket
import sys
import threading
import time

ANSWER = b"certificate " * 4000
FIRST_PART = 20_000
PAUSE = 0.3  # seconds between the two parts of an answer


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head, size = b"", 0
    while b"\r\n\r\n" not in head:
        part = sock.recv(1024)
        if not part:
            return
        head += part
    head, _, body = head.partition(b"\r\n\r\n")
    fields = dict(line.split(": ", 1)
                  for line in head.decode("latin-1").split("\r\n")[1:])
    request = fields["Attempt-Id"]
    os.write(1, f"runs {request}\n".encode())
    sock.sendall((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\n"
                  "Response-Signature: s1\r\nConnection: close\r\n"
                  "\r\n").encode() + ANSWER[:FIRST_PART])
    time.sleep(PAUSE)
    sock.sendall(ANSWER[FIRST_PART:])
    size = len(body)
    while size < int(fields["Content-Length"]):
        part = sock.recv(65536)
        if not part:
            break
        size += len(part)
    sock.close()


def end_with_parent():
    sys.stdin.read()
    os._exit(0)


def main():
    threading.Thread(target=end_with_parent, daemon=True).start()
    listener = socket.socket()
    # Window and segment size of an ordinary network; those of loopback hold a
    # whole body, so that nothing ever waits to be sent.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    listener.bind((sys.argv[1], 0))
    listener.listen(64)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
