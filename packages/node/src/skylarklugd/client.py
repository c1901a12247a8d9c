"""HTTP client that buffers whole responses, on top of the connection pool."""

from typing import NamedTuple

from tornado import httputil

from skylarklugd import upstream


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _ResponseSink:
    """Buffers a response; implements `upstream.Sink`."""

    def __init__(self):
        self.status = 0
        self.headers = None
        self.chunks = []

    def sent(self):
        """Does nothing; `ExchangeFailed` says whether the request was sent."""

    def head(self, status, reason, headers):
        """Stores the status and headers of the final response."""
        self.status = status
        self.headers = headers

    def data(self, chunk):
        """Appends a chunk of the body."""
        self.chunks.append(chunk)


class Client:
    """Makes HTTP requests over pooled keep-alive connections.

    Args:
        connections: Maximum number of connections per address.
        connect_timeout_ms: Timeout for opening a connection.
    """

    def __init__(self, *, connections, connect_timeout_ms):
        self._pool = upstream.Pool(
            connections=connections, connect_timeout_ms=connect_timeout_ms
        )

    async def call(
        self, address, method, target, body, timeout_ms, headers=None
    ) -> Response:
        """Sends one request and returns its response, whatever the status.

        Args:
            address: "host:port" of the peer.
            method: HTTP method.
            target: Path and query.
            body: Body of the request, or None to send none.
            timeout_ms: Timeout for the whole exchange.
            headers: Additional request headers by name.

        Raises:
            ExchangeFailed: No complete response was received.
        """
        request_headers = httputil.HTTPHeaders(headers or {})
        if "Host" not in request_headers:
            request_headers["Host"] = address
        if body is not None:
            request_headers["Content-Length"] = str(len(body))
        sink = _ResponseSink()
        req = upstream.Request(method, target, request_headers, body or b"")
        exchange = self._pool.exchange(
            address, req, sink, timeout_ms=timeout_ms
        )
        await exchange.run()
        return Response(sink.status, sink.headers, b"".join(sink.chunks))

    def close(self):
        """Closes all idle connections."""
        self._pool.close()
