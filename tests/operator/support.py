"""Operator endpoint of a node with a fixed reply, served on a thread."""

import contextlib
from http import server
import json
import socket
import threading


class Node:
    """Answers every command with `reply` and records the messages.

    Attributes:
        reply: Status code and body: bytes, or an object sent as JSON.
        received: Messages in order, each with its `token` and `path`.
    """

    def __init__(self, reply):
        self.reply = reply
        self.received = []
        self.address = ""


def _handler(node):
    class Handler(server.BaseHTTPRequestHandler):
        def do_POST(self):
            size = int(self.headers["Content-Length"])
            message = json.loads(self.rfile.read(size))
            message["token"] = self.headers["Authorization"]
            message["path"] = self.path
            node.received.append(message)
            if node.reply is None:
                # The connection closes without an answer.
                return
            code, body = node.reply
            if not isinstance(body, bytes):
                body = json.dumps(body).encode()
            self.send_response(code)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    return Handler


@contextlib.contextmanager
def serve(reply):
    """Runs a node on loopback; a reply of None closes the connection."""
    node = Node(reply)
    http = server.ThreadingHTTPServer(("127.0.0.1", 0), _handler(node))
    node.address = f"127.0.0.1:{http.server_port}"
    thread = threading.Thread(target=http.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield node
    finally:
        http.shutdown()
        thread.join()
        http.server_close()


@contextlib.contextmanager
def refusing_address():
    """Yields an address that refuses connections."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"
