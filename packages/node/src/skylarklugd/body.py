"""The body of a caller's request, between its reader and its sender."""

import asyncio
import collections

from skylarklugd import upstream


class RequestBody:
    """Holds a small body for repeated sending and streams a large one once.

    The reader of the caller's connection puts chunks in. Up to `prefetch`
    bytes are collected before the request goes on. A body that ends within
    them is kept and may be sent any number of times. A larger one is passed
    through a bounded buffer and may be taken by one attempt only.
    """

    def __init__(self, prefetch: int):
        self.size = 0
        self.ended = False
        self._prefetch = prefetch
        self._buffered = 0
        self._chunks = collections.deque()
        self._taken = False
        self._failure = None
        self._reader = None
        self._writer = None

    @property
    def large(self) -> bool:
        """Whether the body is too large to be kept."""
        return self.size > self._prefetch

    @property
    def claimed(self) -> bool:
        """Whether a large body has been claimed by an attempt."""
        return self._taken

    def put(self, chunk: bytes) -> asyncio.Future | None:
        """Adds a chunk; the caller is read again after the future."""
        self.size += len(chunk)
        self._buffered += len(chunk)
        self._chunks.append(chunk)
        self._wake_reader()
        if self._buffered <= self._prefetch:
            return None
        self._writer = asyncio.get_running_loop().create_future()
        return self._writer

    def end(self):
        """The caller has sent the whole body."""
        self.ended = True
        self._wake_reader()

    def fail(self, reason: str):
        """The rest of the body will not come."""
        if not self.ended and self._failure is None:
            self._failure = upstream.BodyFailed(reason, step="read caller body")
        self._wake_reader()
        self.resume()

    def resume(self):
        """Lets the reader of the caller go on."""
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    def replayable_bytes(self) -> bytes | None:
        """Returns the body when it is complete and small, else None."""
        if not self.ended or self.large:
            return None
        if len(self._chunks) > 1:
            joined = b"".join(self._chunks)
            self._chunks.clear()
            self._chunks.append(joined)
        return self._chunks[0] if self._chunks else b""

    # The interface `upstream.Body`, for a large body.

    def begin(self):
        """Claims the body for one attempt."""
        if self._taken:
            raise upstream.BodyFailed(
                "the body was streamed to another attempt", step="replay body"
            )
        self._taken = True

    async def read(self) -> bytes:
        """Returns the next chunk, empty at the end."""
        while not self._chunks:
            if self._failure is not None:
                raise self._failure
            if self.ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        if self._buffered <= self._prefetch:
            self.resume()
        return chunk

    def _wake_reader(self):
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
