"""One attempt of a request: the exchange with an upstream and its response.

The response is buffered up to a limit, so that it is read at the upstream's
speed, and is handed out to the relay towards the caller.
"""

import asyncio
import collections
from collections.abc import Callable

from tornado import httputil

from skylarklug import events
from skylarklugd import heads
from skylarklugd import upstream


class ResponseIncomplete(Exception):
    """The rest of the response will not come."""


class Attempt:
    """Runs one exchange and reports it as events.

    Args:
        req_id: The request.
        number: The number of the attempt.
        forwarded: Whether the upstream is another node.
        buffer_limit: Bytes of the response held before reading pauses.
        dispatch: Receives the events.
        clock: Monotonic milliseconds.
    """

    def __init__(
        self,
        req_id: str,
        number: int,
        forwarded: bool,
        buffer_limit: int,
        dispatch: Callable,
        clock: Callable[[], int],
    ):
        self.forwarded = forwarded
        self.status = 0
        self.reason = ""
        self.headers = httputil.HTTPHeaders()
        self.done = False
        self.failed = False
        self._ident = (req_id, number)
        self._buffer_limit = buffer_limit
        self._dispatch = dispatch
        self._clock = clock
        self._exchange = None
        self._cancelled = False
        self._refused = False
        self._leaving = False
        self._discarding = False
        self._chunks = collections.deque()
        self._buffered = 0
        self._taken = 0
        self._length = None
        self._reader = None
        self._pause = None

    async def run(
        self,
        pool: upstream.Pool,
        address: str,
        req: upstream.Request,
        *,
        timeout_ms: int,
        connections: int,
    ):
        """Performs the exchange; the outcome is reported as an event."""
        if self._cancelled:
            return
        self._exchange = pool.exchange(
            address, req, self, timeout_ms=timeout_ms, connections=connections
        )
        try:
            size = await self._exchange.run()
        except upstream.ExchangeFailed as exc:
            self.fail(exc.sent, exc.step, exc.reason)
            return
        except Exception as exc:
            # A fault of this program must still end the attempt, or its slot
            # would stay in use for ever.
            sent = self._exchange.sent
            self.fail(sent, "internal", f"{type(exc).__name__}: {exc}")
            raise
        if self._refused:
            self.fail(True, "upstream refused", f"status {self.status}")
            return
        self.done = True
        self._wake()
        if not self._cancelled:
            self._emit(events.AttemptDone, self.status, size)

    def fail(self, sent: bool, step: str, reason: str):
        """Ends the attempt without a whole response."""
        self.failed = True
        self._wake()
        if self._cancelled:
            return
        self._emit(
            events.AttemptFailed,
            sent,
            self._refused,
            self._leaving,
            step,
            reason,
        )

    def cancel(self):
        """Closes the connection; no further event is reported."""
        self._cancelled = True
        if self.done or self.failed:
            return
        if self._exchange is None:
            self.failed = True
            self._wake()
            return
        self._exchange.abort("cancel", "the attempt was cancelled")

    def discard(self):
        """Drops the response: the caller has left."""
        self._discarding = True
        self._chunks.clear()
        self._buffered = 0
        self._resume()

    # The interface `upstream.Sink`.

    def sent(self):
        """Reports that a byte may reach the upstream from now on."""
        self._emit(events.AttemptSent)

    def head(self, status, reason, headers):
        """Keeps the head and reports it unless it is a refusal."""
        self._leaving = heads.is_leaving(headers) and not self.forwarded
        self._refused = heads.is_refusal(status, headers, self.forwarded)
        self.status = status
        self.reason = reason
        self.headers = headers
        if "Content-Length" in headers:
            self._length = int(headers["Content-Length"])
        if not self._refused and not self._cancelled:
            self._emit(events.AttemptHeaders, status, self._leaving)

    def data(self, chunk):
        """Buffers a part of the body; pauses the upstream at the limit."""
        if self._refused or self._discarding:
            return None
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._wake()
        if self._buffered < self._buffer_limit:
            return None
        self._pause = asyncio.get_running_loop().create_future()
        return self._pause

    # For the relay.

    def take(self) -> bytes | None:
        """Returns what may be relayed now, None when nothing may.

        The last bytes of a response with a length are held back until the
        exchange has ended well: with them the caller has a whole response.
        """
        if not self._chunks:
            return None
        chunk = self._chunks[0]
        last = self._length is not None and (
            self._taken + len(chunk) >= self._length
        )
        if last and not self.done:
            return None
        self._chunks.popleft()
        self._taken += len(chunk)
        self._buffered -= len(chunk)
        if self._buffered < self._buffer_limit:
            self._resume()
        return chunk

    def take_all(self) -> bytes:
        """Returns the rest of a response that is done."""
        rest = b"".join(self._chunks)
        self._chunks.clear()
        self._taken += len(rest)
        return rest

    async def next_chunk(self) -> bytes:
        """Returns the next chunk, empty at the end.

        Raises:
            ResponseIncomplete: The response ended before its framing said.
        """
        while True:
            if self.failed:
                raise ResponseIncomplete
            chunk = self.take()
            if chunk is not None:
                return chunk
            if self.done:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader

    def _emit(self, kind, *fields):
        self._dispatch(kind(self._clock(), *self._ident, *fields))

    def _wake(self):
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _resume(self):
        if self._pause is not None and not self._pause.done():
            self._pause.set_result(None)
