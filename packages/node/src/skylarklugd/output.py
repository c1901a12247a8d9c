"""Non-blocking output of log lines to standard output."""

import collections
import os
import select

# PIPE_BUF: a write of up to this size to a writable pipe does not block.
MAX_WRITE_BYTES = 4_096
# Lines beyond this limit are dropped and counted while the reader is stalled.
MAX_BUFFERED_BYTES = 262_144


class Output:
    """Buffers lines and writes them whenever the file descriptor is writable.

    Attributes:
        lost_lines: Number of lines dropped since the start.
    """

    def __init__(self, fd=1):
        self._fd = fd
        self._queued_lines = collections.deque()
        self._buffered_bytes = 0
        self._partial_write = b""
        self.lost_lines = 0
        self._unreported_lines = 0

    def write(self, line: str) -> None:
        """Queues a line, or drops and counts it if the buffer is full."""
        data = line.encode() + b"\n"
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.lost_lines += 1
            self._unreported_lines += 1
            return
        if self._unreported_lines:
            notice = f"event=log-lost lines={self._unreported_lines}\n".encode()
            self._unreported_lines = 0
            self._append(notice)
        self._append(data)

    def _append(self, data):
        self._queued_lines.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Writes as many queued lines as possible without blocking."""
        while self._queued_lines or self._partial_write:
            writable = select.select([], [self._fd], [], 0)[1]
            if not writable:
                return
            try:
                self._write_chunk()
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged.
                self.lost_lines += len(self._queued_lines)
                self._queued_lines.clear()
                self._buffered_bytes = 0
                self._partial_write = b""
                return

    def _write_chunk(self):
        parts = [self._partial_write]
        size = len(self._partial_write)
        while self._queued_lines and size < MAX_WRITE_BYTES:
            data = self._queued_lines.popleft()
            self._buffered_bytes -= len(data)
            parts.append(data)
            size += len(data)
        data = b"".join(parts)
        written = os.write(self._fd, data[:MAX_WRITE_BYTES])
        self._partial_write = data[written:]
