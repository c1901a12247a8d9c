"""Streams that track what has been read, and parsing of addresses."""

import socket

from tornado import iostream

# Maximum bytes of one read from a socket and of one chunk of a body.
CHUNK_SIZE = 65_536
# Maximum bytes that a stream buffers.
READ_BUFFER_LIMIT = 4 * CHUNK_SIZE


class TrackedStream(iostream.IOStream):
    """A stream that detects received bytes that have not been read.

    Bytes left after a response mean that the connection cannot be reused.
    Bytes after a request mean that another one has begun.
    """

    def __init__(self, sock):
        self._received = 0
        self._consumed = 0
        self._message_end = 0
        self._last_read = None
        super().__init__(
            sock,
            max_buffer_size=READ_BUFFER_LIMIT,
            read_chunk_size=CHUNK_SIZE,
        )
        super().set_nodelay(True)

    def read_from_fd(self, buf):
        """Counts the bytes received from the socket."""
        count = super().read_from_fd(buf)
        self._received += count or 0
        return count

    def read_bytes(self, num_bytes, partial=False):
        """Counts the bytes of the read once it is done."""
        return self._track_read(super().read_bytes(num_bytes, partial))

    def read_until(self, delimiter, max_bytes=None):
        """Counts the bytes of the read once it is done."""
        return self._track_read(super().read_until(delimiter, max_bytes))

    def read_until_regex(self, regex, max_bytes=None):
        """Counts the bytes of the read once it is done."""
        return self._track_read(super().read_until_regex(regex, max_bytes))

    def set_nodelay(self, value):
        """Does nothing: TCP_NODELAY is set once, when the stream is created.

        HTTP1Connection would toggle it, at a cost of two system calls per
        exchange.
        """

    def idle_state(self) -> str:
        """Returns "open", "closed", or "overrun" if unread bytes remain."""
        self._count_last_read()
        waiting = self._peek()
        if self._received != self._consumed or waiting:
            return "overrun"
        return "open" if waiting is None else "closed"

    def mark_message_end(self) -> None:
        """Records that all reads so far belong to complete messages."""
        self._count_last_read()
        self._message_end = self._consumed

    def has_partial_message(self) -> bool:
        """Returns whether bytes of another message have been received."""
        return self._received != self._message_end or bool(self._peek())

    def _peek(self) -> bytes | None:
        """Peeks at one byte of the socket.

        Returns b"" if the connection is closed, and None if it is open and
        nothing has arrived.
        """
        if self.closed():
            return b""
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _track_read(self, fut):
        self._count_last_read()
        self._last_read = fut
        return fut

    def _count_last_read(self):
        fut = self._last_read
        if fut is None or not fut.done():
            return
        self._last_read = None
        if not fut.cancelled() and fut.exception() is None:
            self._consumed += len(fut.result())


def split_address(address: str) -> tuple[str, int]:
    """Splits "host:port"; an IPv6 host may be enclosed in brackets.

    Raises:
        ValueError: The address has no host or no valid port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"not an address: {address!r}")
    return host, int(port)
