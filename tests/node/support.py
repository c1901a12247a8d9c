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
    """Runs an async test, with a timeout so that a hang becomes a failure."""

    @functools.wraps(test)
    def wrapper(*args, **kwargs):
        async def run_with_timeout():
            async with asyncio.timeout(60):
                try:
                    await test(*args, **kwargs)
                finally:
                    for upstream in Upstream.instances:
                        upstream.stop()
                    Upstream.instances.clear()

        asyncio.run(run_with_timeout())

    return wrapper


def clock():
    return time.monotonic_ns() // 1_000_000


async def read_message(stream):
    """Reads an HTTP message from a tornado stream; returns (head, body)."""
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
    """A server that runs `script(upstream, stream)` for every connection."""

    instances = []

    def __init__(self, script):
        super().__init__()
        self.requests = []
        self.connections = 0
        self._script = script
        self.instances.append(self)
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
    """Returns a script that sends one response per request, in order."""

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
    """A `CallerServer` with fixed effects in place of a reducer.

    By default every request is sent to `address`, its response is relayed, and
    a failure is answered with an error. `decide`, if given, is called with each
    event first; it returns effects, or None for the default ones.
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
        pending_effects = self._decide(event) if self._decide else None
        if pending_effects is None:
            pending_effects = self._default_effects(event)
        event_count = len(self.events)
        for effect in pending_effects:
            self.server.perform(effect)
        assert len(self.events) == event_count, (
            "an effect re-entered the reducer"
        )
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
            not_run = event.refused or not event.sent
            status, outcome = (503, "not run") if not_run else (502, "unknown")
            return [
                effects.AnswerError(
                    event.req_id, status, outcome, event.step, "w", "-", 0
                )
            ]
        if isinstance(event, events.RequestClosed) and not event.complete:
            return [effects.CancelAttempt(event.req_id, 1)]
        return []

    async def wait_for(self, event_type, count=1):
        """Waits for `count` events of a type and returns the last of them."""
        while True:
            found = [e for e in self.events if isinstance(e, event_type)]
            if len(found) >= count:
                return found[count - 1]
            self._changed.clear()
            await self._changed.wait()

    def events_of(self, event_type):
        return [e for e in self.events if isinstance(e, event_type)]


class Caller:
    """A raw HTTP/1.1 connection to a node."""

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
        framing_headers = [f"Content-Length: {len(body)}"] if body else []
        head = [
            f"{method} {path} HTTP/1.1",
            "Host: n",
            *framing_headers,
            *lines,
        ]
        self.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def receive(self, method="GET"):
        """Returns (status, headers, body) of the next final response.

        Raises:
            IncompleteReadError: The response is truncated.
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
