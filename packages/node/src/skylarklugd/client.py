"""HTTP client that buffers whole responses over pooled connections.

A connection stays registered with the event loop between exchanges and reads a
response with one system call, so an exchange takes a fraction of the processor
time of a streamed one in `upstream`. `httptools` parses the responses.
"""

import asyncio
import collections
import socket
import struct
from typing import NamedTuple

import httptools

from skylarklugd import streams
from skylarklugd import upstream

# Maximum size of a response, head and body, in bytes. The largest one is a
# page of 1 MB of rows, in base64.
MAX_RESPONSE_BYTES = 4_194_304
# Value of SO_LINGER (on, 0 s) with which a close discards what is unsent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# An idle connection is closed after this time.
IDLE_TIMEOUT_S = 15.0


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection that performs one exchange at a time.

    Also implements the callbacks of `httptools.HttpResponseParser`.

    Attributes:
        idle_since: Event loop time at which the latest exchange ended.
        was_opened: Whether the connection was ever established, so that
            `on_closed` will be called.
        has_timed_out: Whether an exchange has had no whole response in time.
        on_closed: Called with this connection when it is lost.
    """

    def __init__(self, on_closed):
        self.idle_since = 0.0
        self.was_opened = False
        self.has_timed_out = False
        self.on_closed = on_closed
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._response = None
        self._status = 0
        self._headers = {}
        self._chunks = []
        self._size = 0
        self._complete = False
        self._reusable = False

    @property
    def is_open(self) -> bool:
        """Returns whether another exchange can use this connection."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes) -> asyncio.Future:
        """Sends a request; returns the future of its `Response`."""
        self._response = asyncio.get_running_loop().create_future()
        self._headers = {}
        self._chunks = []
        self._size = 0
        self._complete = False
        self._reusable = False
        self._transport.write(data)
        return self._response

    def expire(self, reason: str):
        """Fails the exchange in progress unless its response has arrived."""
        if self._response is not None:
            self.has_timed_out = True
            self.fail(reason)

    def fail(self, reason: str):
        """Closes the connection and fails the exchange in progress.

        The connection is reset: otherwise the system goes on delivering a
        request that has been given up, when another node may already lead.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None and self._response is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            self._transport.abort()
        self._set_failure(reason)

    def _set_failure(self, reason):
        response, self._response = self._response, None
        if response is not None and not response.done():
            response.set_exception(ConnectionError(reason))

    # Methods for the event loop

    def connection_made(self, transport):
        self._transport = transport
        self.was_opened = True

    def connection_lost(self, exc):
        self._transport = None
        self._set_failure(str(exc or "connection closed by the peer"))
        self.on_closed(self)

    def data_received(self, data):
        if self._response is None:
            self.fail("bytes after the end of the response")
            return
        self._size += len(data)
        if self._size > MAX_RESPONSE_BYTES:
            self.fail("response is too large")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            # An error of a callback is the cause of the parser's error.
            self.fail(str(exc.__context__ or exc) or "malformed response")
            return
        if not self._complete:
            return
        response, self._response = self._response, None
        if not self._reusable:
            self._transport.abort()
        if not response.done():
            response.set_result(
                Response(self._status, self._headers, b"".join(self._chunks))
            )

    # Methods for the parser

    def on_message_begin(self):
        if self._complete:
            raise ValueError("bytes after the end of the response")

    def on_header(self, name, value):
        key = name.decode("latin-1").lower()
        if key == "content-length" and key in self._headers:
            raise ValueError("repeated Content-Length")
        self._headers[key] = value.decode("latin-1")

    def on_headers_complete(self):
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        has_body = self._status not in (204, 304)
        is_framed = (
            "content-length" in self._headers
            or self._headers.get("transfer-encoding", "").lower() == "chunked"
        )
        if has_body and not is_framed:
            raise ValueError("neither Content-Length nor Transfer-Encoding")
        self._reusable = self._parser.should_keep_alive()

    def on_body(self, chunk):
        self._chunks.append(chunk)

    def on_message_complete(self):
        if self._status < 200:
            self._headers = {}
            return
        self._complete = True


class Client:
    """Makes HTTP requests over pooled keep-alive connections.

    A request is never retried. A failure says whether the peer may have
    received it.

    Args:
        connections: Maximum number of connections per address.
        connect_timeout_ms: Timeout for opening a connection.
    """

    def __init__(self, *, connections, connect_timeout_ms):
        self._limit = connections
        self._connect_timeout_ms = connect_timeout_ms
        self._idle: dict[str, list[_Connection]] = {}
        self._open: dict[str, int] = {}
        # Requests that wait for a connection, oldest first, by address.
        self._waiting: dict[str, collections.deque[asyncio.Future]] = {}
        self._sweep = None

    async def call(
        self,
        address,
        method,
        target,
        body,
        timeout_ms,
        headers=None,
        is_valid=None,
        queue_ms=0,
    ) -> Response:
        """Sends one request and returns its response, whatever the status.

        Args:
            address: "host:port" of the peer.
            method: HTTP method.
            target: Path and query.
            body: Body of the request, or None to send none.
            timeout_ms: Timeout for the whole exchange.
            headers: Additional request headers by name.
            is_valid: Called right before the request is sent, which may be
                later than the call; nothing is sent unless it returns true.
            queue_ms: How long the request may wait for a connection while all
                of them are in use; a part of `timeout_ms`.

        Raises:
            ExchangeFailed: No complete response was received.
        """
        request = _format_request(address, method, target, body, headers)
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + timeout_ms / 1000
        conn = self._take_idle(address)
        if conn is None and queue_ms:
            conn = await self._wait_for_connection(address, queue_ms)
        if conn is None:
            remaining_ms = (expires_at - loop.time()) * 1000
            conn = await self._connect(address, remaining_ms)
        if is_valid is not None and not is_valid():
            self._release(address, conn)
            raise upstream.ExchangeFailed(
                "the request was delayed until it was not allowed any more",
                sent=False,
                step="send request",
                peer=address,
            )
        reason = f"no whole response in {timeout_ms} ms"
        sent_at = loop.time()
        response = conn.send(request)
        timer = loop.call_at(expires_at, conn.expire, reason)
        try:
            return await response
        except ConnectionError as exc:
            if conn.has_timed_out:
                self._close_idle_since(address, sent_at)
            raise upstream.ExchangeFailed(
                str(exc), sent=True, step="read response", peer=address
            ) from exc
        except asyncio.CancelledError:
            conn.fail("cancelled")
            raise
        finally:
            timer.cancel()
            self._release(address, conn)

    def close(self):
        """Closes all idle connections."""
        for connections in list(self._idle.values()):
            for conn in list(connections):
                conn.fail("client closed")
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None

    def open_connections(self, address: str) -> int:
        """Returns the number of connections to the address."""
        return self._open.get(address, 0)

    def _take_idle(self, address):
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.is_open:
                return conn
        return None

    async def _wait_for_connection(self, address, queue_ms):
        """Returns a released connection, or None if one may be opened.

        Also returns None when the time is up; opening one then fails.
        """
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + queue_ms / 1000
        while self._open.get(address, 0) >= self._limit:
            if loop.time() >= expires_at:
                return None
            fut = loop.create_future()
            waiting = self._waiting.setdefault(address, collections.deque())
            waiting.append(fut)
            timer = loop.call_at(expires_at, _finish_wait, fut, None)
            try:
                conn = await fut
            except asyncio.CancelledError:
                if fut.done() and not fut.cancelled():
                    self._pass_on(address, fut.result())
                raise
            finally:
                timer.cancel()
            if conn is not None and conn.is_open:
                return conn
        return None

    def _pass_on(self, address, conn):
        """Lets the next request use a connection, or open one if None."""
        if conn is None:
            self._wake_next(address, None)
        else:
            self._release(address, conn)

    def _wake_next(self, address, conn) -> bool:
        """Gives a connection to the request that has waited the longest.

        If the connection is None, the request opens one. Returns whether a
        request has waited.
        """
        waiting = self._waiting.get(address)
        while waiting:
            fut = waiting.popleft()
            if not waiting:
                self._waiting.pop(address, None)
            if _finish_wait(fut, conn):
                return True
        return False

    def _release(self, address, conn):
        if not conn.is_open or self._wake_next(address, conn):
            return
        loop = asyncio.get_running_loop()
        conn.idle_since = loop.time()
        self._idle.setdefault(address, []).append(conn)
        if self._sweep is None:
            self._sweep = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)

    def _close_idle_since(self, address, time):
        """Closes the connections that have been idle since before a time.

        Open connections to one peer may all go silent at once, without a reset,
        while new ones work. Each of them would cost a time-out.
        """
        for conn in list(self._idle.get(address, ())):
            if conn.idle_since <= time:
                conn.fail("another connection to the peer has gone silent")

    def _close_idle(self):
        self._sweep = None
        loop = asyncio.get_running_loop()
        limit = loop.time() - IDLE_TIMEOUT_S
        for connections in list(self._idle.values()):
            for conn in list(connections):
                if conn.idle_since <= limit:
                    conn.fail("idle")
        if self._open:
            self._sweep = loop.call_later(IDLE_TIMEOUT_S, self._close_idle)

    async def _connect(self, address, timeout_ms):
        if self._open.get(address, 0) >= self._limit:
            raise upstream.ExchangeFailed(
                f"all {self._limit} connections are in use",
                sent=False,
                step="connection limit",
                peer=address,
            )
        self._open[address] = self._open.get(address, 0) + 1
        limit_ms = min(timeout_ms, self._connect_timeout_ms)
        conn = _Connection(lambda lost: self._on_closed(address, lost))
        is_established = False
        try:
            host, port = streams.split_address(address)
            async with asyncio.timeout(limit_ms / 1000):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: conn, host, port)
            is_established = True
        except (OSError, ValueError) as exc:
            # A timeout is an OSError without a text.
            reason = str(exc) or f"no connection in {limit_ms} ms"
            raise upstream.ExchangeFailed(
                reason,
                sent=False,
                step="connect",
                peer=address,
                not_listening=isinstance(exc, ConnectionRefusedError),
            ) from exc
        finally:
            if not is_established:
                if conn.was_opened:
                    conn.fail("not needed any more")
                else:
                    self._uncount(address)
        if not conn.is_open:
            raise upstream.ExchangeFailed(
                "connection closed by the peer",
                sent=False,
                step="connect",
                peer=address,
            )
        return conn

    def _on_closed(self, address, conn):
        self._uncount(address)
        idle = self._idle.get(address)
        if idle and conn in idle:
            idle.remove(conn)
        if not idle:
            self._idle.pop(address, None)

    def _uncount(self, address):
        count = self._open[address] - 1
        if count:
            self._open[address] = count
        else:
            del self._open[address]
        self._wake_next(address, None)


def _finish_wait(fut, conn) -> bool:
    """Ends a wait for a connection; returns False if it had ended."""
    if fut.done():
        return False
    fut.set_result(conn)
    return True


def _format_request(address, method, target, body, headers) -> bytes:
    """Returns the bytes of a request.

    Raises:
        ExchangeFailed: A part of the head contains a line break.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    if not headers or "Host" not in headers:
        lines.append(f"Host: {address}")
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if "\r" in line or "\n" in line:
            raise upstream.ExchangeFailed(
                "line break in the request head",
                sent=False,
                step="send request",
                peer=address,
            )
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace") + (body or b"")
