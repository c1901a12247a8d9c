"""One attempt of a request: the exchange with an upstream.

The response is buffered up to a limit, so that a slow caller does not delay the
upstream, and is taken from the buffer by the relay to the caller.
"""

import asyncio
import collections
from collections.abc import Callable

from tornado import httputil

from skylarklug import events
from skylarklugd import heads
from skylarklugd import upstream


class ResponseIncomplete(Exception):
    """The attempt failed before the response was complete."""


class Attempt:
    """Runs one exchange and reports its progress as events.

    Args:
        req_id: ID of the request.
        number: Number of the attempt within the request.
        forwarded: Whether the upstream is another node.
        buffer_limit: Bytes of the response to buffer before reading pauses.
        dispatch: Receives the events.
        clock: Returns monotonic milliseconds.
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
        self._event_key = (req_id, number)
        self._buffer_limit = buffer_limit
        self._dispatch = dispatch
        self._clock = clock
        self._exchange = None
        self._cancelled = False
        self._refused = False
        self._leaving = False
        self._discarded = False
        self._chunks = collections.deque()
        self._buffered_bytes = 0
        self._taken_bytes = 0
        self._length = None
        self._waiter = None
        self._read_pause = None

    async def run(
        self,
        pool: upstream.Pool,
        address: str,
        req: upstream.Request,
        *,
        timeout_ms: int,
        connections: int,
    ):
        """Performs the exchange and reports its outcome as an event."""
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
            # The attempt has to end even after an internal error, because its
            # slot would otherwise stay in use forever.
            sent = self._exchange.sent
            self.fail(sent, "internal", f"{type(exc).__name__}: {exc}")
            raise
        if self._refused:
            self.fail(True, "upstream refused", f"status {self.status}")
            return
        self.done = True
        self._wake_waiter()
        if not self._cancelled:
            self._dispatch_event(events.AttemptDone, self.status, size)

    def fail(self, sent: bool, step: str, reason: str):
        """Ends the attempt without a complete response."""
        self.failed = True
        self._wake_waiter()
        if self._cancelled:
            return
        self._dispatch_event(
            events.AttemptFailed,
            sent,
            self._refused,
            self._leaving,
            step,
            reason,
        )

    def cancel(self):
        """Closes the connection and suppresses further events."""
        self._cancelled = True
        if self.done or self.failed:
            return
        if self._exchange is None:
            self.failed = True
            self._wake_waiter()
            return
        self._exchange.abort("cancel", "the attempt was cancelled")

    def discard(self):
        """Drops the response because the exchange with the caller has ended."""
        self._discarded = True
        self._chunks.clear()
        self._buffered_bytes = 0
        self._resume()

    # Methods of `upstream.Sink`

    def sent(self):
        """Reports that the request may reach the upstream from now on."""
        self._dispatch_event(events.AttemptSent)

    def head(self, status, reason, headers):
        """Stores the response head and reports it unless it is a refusal."""
        self._leaving = heads.is_leaving(headers) and not self.forwarded
        self._refused = heads.is_refusal(status, headers, self.forwarded)
        self.status = status
        self.reason = reason
        self.headers = headers
        if "Content-Length" in headers:
            self._length = int(headers["Content-Length"])
        if not self._refused and not self._cancelled:
            self._dispatch_event(events.AttemptHeaders, status, self._leaving)

    def data(self, chunk):
        """Buffers a part of the body; pauses reading at the limit."""
        if self._refused or self._discarded:
            return None
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._wake_waiter()
        if self._buffered_bytes < self._buffer_limit:
            return None
        self._read_pause = asyncio.get_running_loop().create_future()
        return self._read_pause

    # Methods for the relay to the caller

    def take_chunk(self) -> bytes | None:
        """Returns the next chunk that may be relayed, or None.

        The last chunk of a response with a Content-Length is held back until
        the exchange has succeeded, because it completes the response for the
        caller.
        """
        if not self._chunks:
            return None
        chunk = self._chunks[0]
        last = self._length is not None and (
            self._taken_bytes + len(chunk) >= self._length
        )
        if last and not self.done:
            return None
        self._chunks.popleft()
        self._taken_bytes += len(chunk)
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes < self._buffer_limit:
            self._resume()
        return chunk

    def take_all(self) -> bytes:
        """Returns the rest of a response that was received completely."""
        rest = b"".join(self._chunks)
        self._chunks.clear()
        self._taken_bytes += len(rest)
        return rest

    async def next_chunk(self) -> bytes:
        """Returns the next chunk, empty at the end.

        Raises:
            ResponseIncomplete: The attempt failed before the response was
                complete.
        """
        while True:
            if self.failed:
                raise ResponseIncomplete
            chunk = self.take_chunk()
            if chunk is not None:
                return chunk
            if self.done:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _dispatch_event(self, event_type, *fields):
        self._dispatch(event_type(self._clock(), *self._event_key, *fields))

    def _wake_waiter(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _resume(self):
        if self._read_pause is not None and not self._read_pause.done():
            self._read_pause.set_result(None)
