"""Detects the exit of another node's process by a TCP connection to it.

The host of a process that ends closes its connections and refuses new ones at
once. A host without power and a cut link do neither, so that heartbeats remain
necessary.
"""

import asyncio
import ipaddress

from skylarklugd import streams

# Most connections that a node holds; beyond that the oldest one is closed.
MAX_CONNECTIONS = 512
# Time limit for opening a connection.
CONNECT_TIMEOUT_S = 0.7
# Interval between attempts to connect.
CONNECT_INTERVAL_S = 0.5
# Attempts that follow each other faster once a connection has ended, and the
# delay between them.
FAST_ATTEMPTS = 3
FAST_ATTEMPT_DELAY_S = 0.05


class _Connection(asyncio.Protocol):
    """Waits for the end of a connection, on which nothing is sent.

    `ended` is done when it has ended.
    """

    def __init__(self, on_start=None):
        self.transport = None
        self.ended = asyncio.get_running_loop().create_future()
        self._on_start = on_start

    def connection_made(self, transport):
        self.transport = transport
        if self._on_start is not None:
            self._on_start(self)

    def data_received(self, data):
        # Not sent by a node.
        self.transport.abort()

    def connection_lost(self, exc):
        if not self.ended.done():
            self.ended.set_result(None)


class Listener:
    """Accepts the connections of nodes that watch this process."""

    def __init__(self):
        self._server = None
        # Open connections, oldest first.
        self._connections: dict[_Connection, None] = {}

    async def start(self, address: str) -> None:
        """Listens at "host:port".

        Raises:
            OSError: The address cannot be bound.
            ValueError: The address is malformed.
        """
        host, port = _parse_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self._hold), host, port
        )

    @property
    def port(self) -> int:
        """Port of the listener."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def connection_count(self) -> int:
        """Number of connections that are held."""
        return len(self._connections)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.transport.abort()

    def _hold(self, connection):
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.transport.abort()
        self._connections[connection] = None
        connection.ended.add_done_callback(
            lambda _: self._connections.pop(connection, None)
        )


class Watcher:
    """Watches the process that listens at an address until it has ended.

    Args:
        on_exit: Called with the epoch when the process has ended.
        log: Called with (level, event, fields).
    """

    def __init__(self, on_exit, log):
        self._on_exit = on_exit
        self._log = log
        self._task = None

    def watch(self, address: str, epoch: int) -> None:
        """Watches another process; none if the address is empty."""
        self.close()
        if not address:
            return
        try:
            host, port = _parse_address(address)
        except ValueError as exc:
            fields = {"step": "watch leader", "reason": str(exc)}
            self._log("warning", "leader-unwatched", fields)
            return
        self._task = asyncio.get_running_loop().create_task(
            self._run(host, port, epoch)
        )

    def close(self) -> None:
        """Closes the connection; `on_exit` is not called again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, host, port, epoch):
        loop = asyncio.get_running_loop()
        was_connected = False
        fast_attempts = 0
        while True:
            started_at = loop.time()
            try:
                await _hold_connection(host, port)
                was_connected = True
            except ConnectionRefusedError:
                # Before the first connection it may be a link that refuses, or
                # a process that does not listen yet.
                if was_connected:
                    self._on_exit(epoch)
                    return
            except Exception as exc:
                if not isinstance(exc, OSError):
                    fields = {"step": "watch leader", "reason": repr(exc)}
                    self._log("error", "defect", fields)
            else:
                if loop.time() - started_at >= CONNECT_INTERVAL_S:
                    fast_attempts = FAST_ATTEMPTS
                    continue
            if fast_attempts:
                fast_attempts -= 1
                await asyncio.sleep(FAST_ATTEMPT_DELAY_S)
                continue
            elapsed_s = loop.time() - started_at
            await asyncio.sleep(max(0, CONNECT_INTERVAL_S - elapsed_s))


async def _hold_connection(host, port):
    """Opens a connection and returns when it has ended.

    Raises:
        OSError: It could not be opened.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, connection = await loop.create_connection(
            _Connection, host, port
        )
    try:
        await connection.ended
    finally:
        transport.abort()


def _parse_address(address):
    """Splits "host:port" with an IP address, as names need a resolver.

    Raises:
        ValueError: The address is malformed.
    """
    host, port = streams.split_address(address)
    return str(ipaddress.ip_address(host)), port
