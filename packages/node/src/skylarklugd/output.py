"""Log lines to standard output that never block the process."""

import collections
import os
import select

# A write of this size to a writable pipe does not block (PIPE_BUF).
WRITE_SIZE = 4_096
# Lines wait in memory while nobody reads; further ones are counted as lost.
BUFFER_LIMIT = 262_144


class Output:
    """Buffers lines and writes them when the descriptor takes them."""

    def __init__(self, fd=1):
        self._fd = fd
        self._lines = collections.deque()
        self._size = 0
        self._rest = b""
        self.lost = 0
        self._unreported = 0

    def write(self, line: str) -> None:
        """Queues a line; counts it as lost when the buffer is full."""
        data = line.encode() + b"\n"
        if self._size + len(data) > BUFFER_LIMIT:
            self.lost += 1
            self._unreported += 1
            return
        if self._unreported:
            note = f"event=log-lost lines={self._unreported}\n".encode()
            self._unreported = 0
            self._append(note)
        self._append(data)

    def _append(self, data):
        self._lines.append(data)
        self._size += len(data)

    def flush(self) -> None:
        """Writes what the descriptor takes without blocking."""
        while self._lines or self._rest:
            writable = select.select([], [self._fd], [], 0)[1]
            if not writable:
                return
            try:
                self._write_some()
            except OSError:
                # Nobody can read any more; there is nowhere to say so.
                self.lost += len(self._lines)
                self._lines.clear()
                self._size = 0
                self._rest = b""
                return

    def _write_some(self):
        parts = [self._rest]
        size = len(self._rest)
        while self._lines and size < WRITE_SIZE:
            data = self._lines.popleft()
            self._size -= len(data)
            parts.append(data)
            size += len(data)
        data = b"".join(parts)
        written = os.write(self._fd, data[:WRITE_SIZE])
        self._rest = data[written:]
