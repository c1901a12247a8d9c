"""A scripted upstream, a node without a reducer, and a raw HTTP client."""

import asyncio
import functools
import time

from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from skylarklug import effects
from skylarklug import events
from skylarklugd import server

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def run_async(test):
    """Runs an async test; the limit only turns a hang into a failure."""

    @functools.wraps(test)
    def wrapper(*args, **kwargs):
        async def limited():
            async with asyncio.timeout(60):
                try:
                    await test(*args, **kwargs)
                finally:
                    for upstream in Upstream.running:
                        upstream.stop()
                    Upstream.running.clear()

        asyncio.run(limited())

    return wrapper


def clock():
    return time.monotonic_ns() // 1_000_000


async def read_message(stream):
    """Reads a message from a tornado stream: its head and its body."""
    head = await stream.read_until(b"\r\n\r\n")
    headers = httputil.HTTPHeaders.parse(
        head.decode("latin1").split("\r\n", 1)[1]
    )
    if headers.get("Transfer-Encoding") == "chunked":
        body = b""
        while size := int(await stream.read_until(b"\r\n"), 16):
            body += (await stream.read_bytes(size + 2))[:-2]
        await stream.read_bytes(2)
        return head, body
    size = int(headers.get("Content-Length", 0))
    return head, await stream.read_bytes(size) if size else b""


class Upstream(tcpserver.TCPServer):
    """Runs `script(upstream, stream)` for every connection."""

    running = []

    def __init__(self, script):
        super().__init__()
        self.requests = []
        self.connections = 0
        self._script = script
        self.running.append(self)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def handle_stream(self, stream, address):
        self.connections += 1
        try:
            await self._script(self, stream)
        except iostream.StreamClosedError:
            pass
        finally:
            stream.close()

    async def receive(self, stream):
        """Reads one request and records it."""
        head, body = await read_message(stream)
        self.requests.append((head, body))
        return head, body


def respond(*responses):
    """Returns a script that answers each request of a connection in turn."""

    async def script(upstream, stream):
        for response in responses:
            await upstream.receive(stream)
            await stream.write(response)

    return script


async def respond_always(upstream, stream):
    while True:
        await upstream.receive(stream)
        await stream.write(OK)


class Node:
    """A `CallerServer` whose decisions are fixed.

    Every request goes to `address`, the response is relayed, and a failure
    becomes an error. `decide`, if given, sees each event first and returns
    effects, or None for the fixed decision.
    """

    def __init__(self, address, decide=None, timeout_ms=30_000, **cfg):
        self.address = address
        self.events = []
        self.logged = []
        self._decide = decide
        self._timeout_ms = timeout_ms
        self._changed = asyncio.Event()
        self.server = server.CallerServer(
            cfg, self.dispatch, clock, lambda *line: self.logged.append(line)
        )

    async def __aenter__(self):
        await self.server.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.server.close()

    def dispatch(self, event):
        self.events.append(event)
        performed = self._decide(event) if self._decide else None
        if performed is None:
            performed = self._default_effects(event)
        before = len(self.events)
        for effect in performed:
            self.server.perform(effect)
        assert len(self.events) == before, "an effect re-entered the reducer"
        self._changed.set()

    def attempt_effect(self, event, attempt=1, address=None):
        return effects.SendAttempt(
            event.req_id,
            attempt,
            "w",
            address or self.address,
            self._timeout_ms,
        )

    def _default_effects(self, event):
        if isinstance(event, events.RequestArrived):
            return [self.attempt_effect(event)]
        if isinstance(event, events.AttemptHeaders):
            return [effects.RelayAnswer(event.req_id, event.attempt)]
        if isinstance(event, events.AttemptFailed):
            known = event.refused or not event.sent
            status, outcome = (503, "not run") if known else (502, "unknown")
            return [
                effects.AnswerError(
                    event.req_id, status, outcome, event.step, "w", "-", 0
                )
            ]
        if isinstance(event, events.RequestClosed) and not event.complete:
            return [effects.CancelAttempt(event.req_id, 1)]
        return []

    async def wait_for(self, kind, count=1):
        """Waits until `count` events of a kind came; returns the last."""
        while True:
            found = [e for e in self.events if isinstance(e, kind)]
            if len(found) >= count:
                return found[count - 1]
            self._changed.clear()
            await self._changed.wait()

    def events_of(self, kind):
        return [e for e in self.events if isinstance(e, kind)]


class Caller:
    """A raw connection to a node."""

    def __init__(self, node):
        self._port = node.server.port

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        return self

    async def __aexit__(self, *exc_info):
        self.writer.close()

    def send(self, method="GET", path="/svc/s/x", body=b"", *lines):
        framing = [f"Content-Length: {len(body)}"] if body else []
        head = [f"{method} {path} HTTP/1.1", "Host: n", *framing, *lines]
        self.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def receive(self, method="GET"):
        """Returns status, headers and body.

        Raises `asyncio.IncompleteReadError` when the response is truncated.
        """
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, _, rest = head.partition("\r\n")
        headers = httputil.HTTPHeaders.parse(rest)
        status = int(line.split()[1])
        if status == 100:
            return await self.receive(method)
        if method == "HEAD" or status in (204, 304):
            return status, headers, b""
        if "Content-Length" in headers:
            size = int(headers["Content-Length"])
            return status, headers, await self.reader.readexactly(size)
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return status, headers, body

    async def request(self, method="GET", path="/svc/s/x", body=b"", *lines):
        self.send(method, path, body, *lines)
        return await self.receive(method)
