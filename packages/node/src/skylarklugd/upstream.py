"""HTTP/1.1 client pool towards workers and other nodes.

One exchange has one connection for its whole duration. Nothing is ever sent
twice: a failure is reported to the caller of the pool together with whether a
byte of the request may have left. A connection whose exchange did not end
cleanly is closed, so a late response cannot reach another request.
"""

import asyncio
from collections.abc import Awaitable
import socket
from typing import NamedTuple
from typing import Protocol

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from skylarklug import exceptions
from skylarklugd import streams

CHUNK_SIZE = streams.CHUNK_SIZE
CONNECTIONS = 8
CONNECT_TIMEOUT_MS = 1_000
HEADER_LIMIT = 16_384
IDLE_TIMEOUT_MS = 15_000
RESPONSE_LIMIT = 1 << 40


class ExchangeFailed(exceptions.Unavailable):
    """The exchange ended without a whole response.

    Attributes:
        sent: Whether a byte of the request may have reached the peer.
    """

    def __init__(self, reason, *, sent, step, peer):
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent


class BodyFailed(exceptions.SkylarklugError):
    """The request body cannot be produced (any more)."""


class Body(Protocol):
    """A request body that is streamed."""

    def begin(self) -> None:
        """Claims the body; raises `BodyFailed` when it was used before."""

    async def read(self) -> bytes:
        """Returns the next chunk, empty at the end.

        Raises:
            BodyFailed: The rest of the body will not come.
        """


class Request(NamedTuple):
    """A request to send. Headers carry the framing of the body.

    A streamed body without `Content-Length` is sent in chunks; the method
    must then be POST, PUT or PATCH.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes | Body


class Sink(Protocol):
    """Receives the progress of an exchange."""

    def sent(self) -> None:
        """A byte of the request may reach the peer from now on."""

    def head(
        self, status: int, reason: str, headers: httputil.HTTPHeaders
    ) -> None:
        """The head of the final response has arrived."""

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """A part of the body has arrived; reading goes on after the future."""


class Pool:
    """Connections to upstreams, at most a stated number per address.

    Args:
        connections: Connections per address unless a call says otherwise.
        connect_timeout_ms: Time for opening a connection.
        head_timeout_ms: Time from the end of the request to the head of the
            response; 0 leaves it to the timeout of the attempt.
        header_limit: Largest response head in bytes.
        idle_timeout_ms: An idle connection is closed after this time.
    """

    def __init__(
        self,
        *,
        connections=CONNECTIONS,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        head_timeout_ms=0,
        header_limit=HEADER_LIMIT,
        idle_timeout_ms=IDLE_TIMEOUT_MS,
    ):
        self.connections = connections
        self.connect_timeout_ms = connect_timeout_ms
        self.head_timeout_ms = head_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.params = http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_SIZE,
            max_header_size=header_limit,
            max_body_size=RESPONSE_LIMIT,
        )
        self._idle: dict[
            str, dict[streams.UpstreamStream, asyncio.TimerHandle]
        ] = {}
        self._open: dict[str, int] = {}

    def open_connections(self, address: str) -> int:
        """Returns how many connections to the address exist."""
        return self._open.get(address, 0)

    def exchange(
        self,
        address: str,
        req: Request,
        sink: Sink,
        *,
        timeout_ms: int,
        connections: int = 0,
    ) -> "Exchange":
        """Prepares an exchange; `Exchange.run` performs it."""
        limit = connections or self.connections
        return Exchange(self, address, req, sink, timeout_ms, limit)

    def close(self):
        """Closes every idle connection."""
        for address in list(self._idle):
            for stream in list(self._idle.get(address, ())):
                self._forget_idle(address, stream)
                self.discard(address, stream)

    # The methods below are for `Exchange`.

    def take_idle(self, address: str) -> streams.UpstreamStream | None:
        """Removes and returns the connection that was used last."""
        idle = self._idle.get(address)
        while idle:
            stream = next(reversed(idle))
            self._forget_idle(address, stream)
            if stream.idle_state() == "open":
                return stream
            self.discard(address, stream)
        return None

    def reserve(self, address: str, limit: int) -> bool:
        """Counts a new connection unless the limit is reached."""
        count = self._open.get(address, 0)
        if count >= limit:
            return False
        self._open[address] = count + 1
        return True

    def release(self, address: str, stream: streams.UpstreamStream):
        """Keeps the connection for the next exchange."""
        loop = asyncio.get_running_loop()
        handle = loop.call_later(
            self.idle_timeout_ms / 1000, self._drop_idle, address, stream
        )
        self._idle.setdefault(address, {})[stream] = handle
        stream.set_close_callback(lambda: self._drop_idle(address, stream))

    def discard(self, address: str, stream: streams.UpstreamStream | None):
        """Closes the connection and stops counting it."""
        if stream is not None:
            stream.set_close_callback(None)
            stream.close()
        count = self._open[address] - 1
        if count:
            self._open[address] = count
        else:
            del self._open[address]

    def _drop_idle(self, address, stream):
        if stream in self._idle.get(address, ()):
            self._forget_idle(address, stream)
            self.discard(address, stream)

    def _forget_idle(self, address, stream):
        idle = self._idle[address]
        idle.pop(stream).cancel()
        if not idle:
            del self._idle[address]
        stream.set_close_callback(None)


class Exchange:
    """One request and its response on one connection."""

    def __init__(self, pool, address, req, sink, timeout_ms, limit):
        self.sent = False
        self.size = 0
        self._pool = pool
        self._address = address
        self._req = req
        self._sink = sink
        self._timeout_ms = timeout_ms
        self._limit = limit
        self._stream = None
        self._counted = False
        self._step = "connect"
        self._abort_cause = None
        self._pause = None
        self._headed = False
        self._reusable = False
        self._timers = []

    async def run(self) -> int:
        """Performs the exchange and returns the size of the response body.

        Raises:
            ExchangeFailed: There was no whole, well-framed response.
        """
        self._after(self._timeout_ms, "attempt timeout", "no whole response")
        writer = None
        try:
            await self._connect()
            conn = self._begin()
            if not isinstance(self._req.body, bytes):
                writer = asyncio.ensure_future(self._send_body(conn))
            await self._read(conn, writer)
            self._finish(writer)
            return self.size
        except iostream.StreamClosedError as exc:
            raise self._failure(self._step, _describe(exc)) from exc
        except BodyFailed as exc:
            raise self._failure(exc.step, exc.reason) from exc
        finally:
            if writer is not None:
                writer.cancel()
            for timer in self._timers:
                timer.cancel()
            self._drop()

    def abort(self, step: str, reason: str):
        """Closes the connection now; `run` then raises ExchangeFailed."""
        if self._abort_cause is None:
            self._abort_cause = (step, reason)
        self._drop()
        if self._pause is not None and not self._pause.done():
            self._pause.set_result(None)

    def _drop(self):
        stream, self._stream = self._stream, None
        if self._counted:
            self._counted = False
            self._pool.discard(self._address, stream)

    def _failure(self, step, reason):
        step, reason = self._abort_cause or (step, reason)
        return ExchangeFailed(
            reason, sent=self.sent, step=step, peer=self._address
        )

    def _check_abort(self):
        if self._abort_cause is not None:
            raise self._failure(*self._abort_cause)

    def _after(self, delay_ms, step, what):
        loop = asyncio.get_running_loop()
        reason = f"{what} in {delay_ms} ms"
        timer = loop.call_later(delay_ms / 1000, self.abort, step, reason)
        self._timers.append(timer)
        return timer

    async def _connect(self):
        self._check_abort()
        stream = self._pool.take_idle(self._address)
        if stream is not None:
            self._stream = stream
            self._counted = True
            return
        if not self._pool.reserve(self._address, self._limit):
            reason = f"all {self._limit} connections are in use"
            raise self._failure("connection limit", reason)
        self._counted = True
        timer = self._after(
            self._pool.connect_timeout_ms, "connect", "no connection"
        )
        try:
            host, port = streams.split_address(self._address)
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._stream = streams.UpstreamStream(socket.socket(family))
            await self._stream.connect((host, port))
        except (OSError, ValueError) as exc:
            raise self._failure("connect", _describe(exc)) from exc
        timer.cancel()
        self._check_abort()

    def _begin(self):
        req = self._req
        whole = isinstance(req.body, bytes)
        if not whole:
            req.body.begin()
        self._step = "send request"
        stream = self._stream
        if stream.closed():
            raise self._failure("send request", "connection closed")
        self.sent = True
        self._sink.sent()
        self._check_abort()
        conn = http1connection.HTTP1Connection(stream, True, self._pool.params)
        start = httputil.RequestStartLine(req.method, req.target, "HTTP/1.1")
        conn.write_headers(start, req.headers, req.body if whole else None)
        if whole:
            self._end_request(conn)
        return conn

    def _end_request(self, conn):
        conn.finish()
        if self._headed:
            return
        self._step = "read response head"
        if self._pool.head_timeout_ms:
            self._after(
                self._pool.head_timeout_ms,
                "read response head",
                "no response head",
            )

    async def _send_body(self, conn):
        try:
            while chunk := await self._req.body.read():
                await conn.write(chunk)
            self._end_request(conn)
        except BodyFailed as exc:
            self.abort(exc.step, exc.reason)
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as exc:
            self.abort("send request body", _describe(exc))

    async def _read(self, conn, writer):
        reader = _Reader(self, conn, writer)
        await conn.read_response(reader)
        self._check_abort()
        if not reader.finished:
            raise self._failure(
                self._step, reader.fault or "malformed response"
            )
        self._reusable = reader.reusable

    def _finish(self, writer):
        stream = self._stream
        state = stream.idle_state()
        if state == "overrun":
            raise self._failure(
                "read response body", "bytes after the end of the response"
            )
        if not self._reusable or state == "closed":
            return
        if writer is not None and not writer.done():
            return
        self._stream = None
        self._counted = False
        self._pool.release(self._address, stream)

    # Called by `_Reader`.

    def on_head(self, start_line, headers):
        """Passes the head of the final response on."""
        self._headed = True
        self._step = "read response body"
        for timer in self._timers[1:]:
            timer.cancel()
        self._sink.head(start_line.code, start_line.reason, headers)

    def on_data(self, chunk):
        """Passes a part of the body on and returns the future to await."""
        if self._abort_cause is not None:
            return None
        self.size += len(chunk)
        self._pause = self._sink.data(chunk)
        return self._pause


class _Reader(httputil.HTTPMessageDelegate):
    """Checks the framing of a response while it is read."""

    def __init__(self, exchange, conn, writer):
        self.finished = False
        self.reusable = False
        self.fault = ""
        self._exchange = exchange
        self._conn = conn
        self._writer = writer
        self._method = exchange._req.method

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200 and start_line.code != 101:
            return
        self.fault = framing_fault(self._method, start_line, headers)
        if self.fault:
            raise httputil.HTTPInputError(self.fault)
        options = headers.get("Connection", "").lower()
        self.reusable = (
            start_line.version == "HTTP/1.1" and "close" not in options
        )
        self._exchange.on_head(start_line, headers)

    def data_received(self, chunk):
        return self._exchange.on_data(chunk)

    def finish(self):
        self.finished = True
        if self._writer is not None and not self._writer.done():
            # The peer answered before it had the whole request. Nothing more
            # is sent, and read_response must not wait for the request's end.
            self._conn.close()

    def on_connection_close(self):
        pass


def framing_fault(method, start_line, headers) -> str:
    """Returns what is wrong with the framing of a response, or "".

    A body that only the end of the connection delimits is a fault: it cannot
    be told from a truncated one.
    """
    code = start_line.code
    if not 200 <= code <= 599:
        return f"status {code} is not a final status"
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or "," in "".join(lengths):
        return "repeated Content-Length"
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return "Content-Length is not a number"
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if codings and [c.lower() for c in codings] != ["chunked"]:
        return "unsupported Transfer-Encoding"
    bodiless = method == "HEAD" or code in (204, 304)
    if not lengths and not codings and not bodiless:
        return "neither Content-Length nor Transfer-Encoding"
    return ""


def _describe(exc) -> str:
    cause = getattr(exc, "real_error", None) or exc
    if isinstance(cause, iostream.UnsatisfiableReadError):
        return "response head is too large"
    if isinstance(cause, iostream.StreamClosedError):
        return "connection closed by the peer"
    return str(cause) or type(cause).__name__
