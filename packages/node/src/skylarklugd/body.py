"""Buffer for the body of a caller's request while it is sent upstream."""

import asyncio
import collections

from skylarklugd import upstream


class RequestBody:
    """Buffers a small body for replay and streams a large body once.

    The reader of the caller's connection adds chunks with `put`. Up to
    `prefetch` bytes are buffered before the request is routed. A body that
    fits is kept, and any number of attempts can send it. A larger body is
    streamed through a bounded buffer, and only one attempt can claim it.

    Args:
        prefetch: Size of the buffer in bytes.

    Attributes:
        size: Number of bytes received so far.
        ended: Whether the body has been received completely.
    """

    def __init__(self, prefetch: int):
        self.size = 0
        self.ended = False
        self._prefetch_bytes = prefetch
        self._buffered_bytes = 0
        self._chunks = collections.deque()
        self._claimed = False
        self._error = None
        self._read_waiter = None
        self._space_waiter = None

    @property
    def large(self) -> bool:
        """Whether the body exceeds the buffer and must be streamed."""
        return self.size > self._prefetch_bytes

    @property
    def claimed(self) -> bool:
        """Whether an attempt has claimed the streamed body."""
        return self._claimed

    def put(self, chunk: bytes) -> asyncio.Future | None:
        """Adds a chunk.

        Returns a future if the buffer is full; the caller must not be read
        until it is done.
        """
        self.size += len(chunk)
        self._buffered_bytes += len(chunk)
        self._chunks.append(chunk)
        self._wake_read()
        if self._buffered_bytes <= self._prefetch_bytes:
            return None
        self._space_waiter = asyncio.get_running_loop().create_future()
        return self._space_waiter

    def end(self):
        """Marks the body as complete."""
        self.ended = True
        self._wake_read()

    def fail(self, reason: str):
        """Marks the body as failed unless it is already complete."""
        if not self.ended and self._error is None:
            self._error = upstream.BodyFailed(reason, step="read caller body")
        self._wake_read()
        self.resume()

    def resume(self):
        """Resumes reading from the caller."""
        if self._space_waiter is not None and not self._space_waiter.done():
            self._space_waiter.set_result(None)

    def replayable_bytes(self) -> bytes | None:
        """Returns the whole body if it can be replayed, else None."""
        if not self.ended or self.large:
            return None
        if len(self._chunks) > 1:
            joined = b"".join(self._chunks)
            self._chunks.clear()
            self._chunks.append(joined)
        return self._chunks[0] if self._chunks else b""

    # Implementation of `upstream.Body` for streamed bodies.

    def begin(self):
        """Claims the body for one attempt.

        Raises:
            BodyFailed: Another attempt has claimed it.
        """
        if self._claimed:
            raise upstream.BodyFailed(
                "the body was streamed to another attempt", step="replay body"
            )
        self._claimed = True

    async def read(self) -> bytes:
        """Returns the next chunk, or empty bytes at the end.

        Raises:
            BodyFailed: The body failed before it was complete.
        """
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.ended:
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes <= self._prefetch_bytes:
            self.resume()
        return chunk

    def _wake_read(self):
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
