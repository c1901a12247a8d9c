"""One HTTP call with a whole response, over the connection pool."""

from typing import NamedTuple

from tornado import httputil

from skylarklugd import upstream


class Response(NamedTuple):
    """A whole response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _Collector:
    """Gathers the parts of a response."""

    def __init__(self):
        self.status = 0
        self.headers = None
        self.chunks = []

    def sent(self):
        """Nothing to do: `ExchangeFailed` tells."""

    def head(self, status, reason, headers):
        """Notes the head of the final response."""
        self.status = status
        self.headers = headers

    def data(self, chunk):
        """Gathers a part of the body."""
        self.chunks.append(chunk)


class Client:
    """Calls other programs over kept connections.

    Args:
        connections: Connections per address.
        connect_timeout_ms: Time for opening a connection.
    """

    def __init__(self, *, connections, connect_timeout_ms):
        self._pool = upstream.Pool(
            connections=connections, connect_timeout_ms=connect_timeout_ms
        )

    async def call(
        self, address, method, target, body, timeout_ms, headers=None
    ) -> Response:
        """Performs one call.

        Args:
            address: "host:port" of the peer.
            method: Method of the request.
            target: Path and query.
            body: Bytes of the request; None for a request without a body.
            timeout_ms: Time for the whole call.
            headers: More headers of the request, by name.

        Raises:
            ExchangeFailed: There was no whole response.
        """
        fields = httputil.HTTPHeaders(headers or {})
        if "Host" not in fields:
            fields["Host"] = address
        if body is not None:
            fields["Content-Length"] = str(len(body))
        collector = _Collector()
        req = upstream.Request(method, target, fields, body or b"")
        exchange = self._pool.exchange(
            address, req, collector, timeout_ms=timeout_ms
        )
        await exchange.run()
        return Response(
            collector.status, collector.headers, b"".join(collector.chunks)
        )

    def close(self):
        """Closes all idle connections."""
        self._pool.close()
