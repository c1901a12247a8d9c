"""The stream under a connection to an upstream, and addresses."""

import socket

from tornado import iostream

CHUNK_SIZE = 65_536
READ_BUFFER_LIMIT = 4 * CHUNK_SIZE


class UpstreamStream(iostream.IOStream):
    """A stream that counts the received bytes nobody has read yet."""

    def __init__(self, sock):
        self._received = 0
        self._consumed = 0
        self._last_read = None
        super().__init__(
            sock,
            max_buffer_size=READ_BUFFER_LIMIT,
            read_chunk_size=CHUNK_SIZE,
        )
        super().set_nodelay(True)

    def read_from_fd(self, buf):
        """Counts what arrives."""
        count = super().read_from_fd(buf)
        self._received += count or 0
        return count

    def read_bytes(self, num_bytes, partial=False):
        """Counts what is read."""
        return self._track(super().read_bytes(num_bytes, partial))

    def read_until(self, delimiter, max_bytes=None):
        """Counts what is read."""
        return self._track(super().read_until(delimiter, max_bytes))

    def read_until_regex(self, regex, max_bytes=None):
        """Counts what is read."""
        return self._track(super().read_until_regex(regex, max_bytes))

    def set_nodelay(self, value):
        """Leaves the option as it is: on since the stream was made.

        HTTP1Connection would toggle it, at two system calls per exchange.
        """

    def idle_state(self) -> str:
        """Returns "open", "closed", or "overrun" when bytes are waiting."""
        self._settle()
        waiting = self._peek()
        if self._received != self._consumed or waiting:
            return "overrun"
        return "open" if waiting is None else "closed"

    def _peek(self) -> bytes | None:
        """Returns a waiting byte, b"" at the end, None when open and empty."""
        if self.closed():
            return b""
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _track(self, fut):
        self._settle()
        self._last_read = fut
        return fut

    def _settle(self):
        fut = self._last_read
        if fut is None or not fut.done():
            return
        self._last_read = None
        if not fut.cancelled() and fut.exception() is None:
            self._consumed += len(fut.result())


def split_address(address: str) -> tuple[str, int]:
    """Splits "host:port"; an IPv6 host may stand in brackets."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"not an address: {address!r}")
    return host, int(port)
