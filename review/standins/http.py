"""A small HTTP/1.1 server and client on loopback addresses."""

import asyncio
import json
from typing import Any
from typing import NamedTuple
import urllib.parse


class Request(NamedTuple):
    """A request; header names are in lower case, `body` is decoded JSON."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


class NoAnswer(Exception):
    """A handler raises it to leave a request without an answer."""


async def _read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """Serves on one port until it is closed; it can be opened again."""

    def __init__(self, port: int = 0):
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self) -> str:
        """Returns "host:port"."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Starts to listen, on the port it had before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=4_194_304
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops to listen and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(self, req: Request) -> tuple[int, Any]:
        """Returns the status and the body of the response."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                answer = await self._dispatch(message)
                if answer is None:
                    # The peer gives up some time and closes the connection.
                    await reader.read()
                    return
                status, fields = answer
                data = json.dumps(fields, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _dispatch(self, message):
        first, headers, body = message
        method, target, _ = first.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        decoded = json.loads(body) if body else None
        req = Request(method, url.path, query, headers, decoded)
        try:
            return await self.handle(req)
        except NoAnswer:
            return None


async def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Makes one request on a new connection.

    Returns (status, decoded body); the status is 0 if no whole response came.
    """
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    for name, value in {"Host": address, **(headers or {})}.items():
        lines.append(f"{name}: {value}")
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(data)}")
    request = ("\r\n".join(lines) + "\r\n\r\n").encode() + data
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            message = await _read_message(reader)
    except OSError:
        # Includes the timeout.
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    first, _, raw = message
    return int(first.split(" ")[1]), json.loads(raw) if raw else None
