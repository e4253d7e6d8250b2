"""JSON-over-HTTP calls for the scripts."""

import http.client
import json


def call(method, address, path, body=None, timeout=5.0):
    """Sends one request to (ip, port); returns (status, decoded body or text)."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload)
        answer = connection.getresponse()
        text = answer.read().decode()
        try:
            return answer.status, json.loads(text)
        except ValueError:
            return answer.status, text
    finally:
        connection.close()


def get(address, path, timeout=5.0):
    """Returns the decoded body of a GET that must succeed."""
    status, body = call("GET", address, path, timeout=timeout)
    if status != 200:
        raise RuntimeError(f"GET {path} at {address} answered {status}: {body}")
    return body
