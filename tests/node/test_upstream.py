"""Tests of the client pool against a scripted upstream."""

import asyncio
import socket

import pytest
from tests.node import support
from tornado import httputil

from skylarklugd import upstream as upstream_lib


class Sink:
    def __init__(self):
        self.sent_count = 0
        self.status = 0
        self.body = b""

    def sent(self):
        self.sent_count += 1

    def head(self, status, reason, headers):
        self.status = status

    def data(self, chunk):
        self.body += chunk


def prepare(pool, address, method="GET", sink=None, **options):
    headers = httputil.HTTPHeaders({"Host": "u"})
    if method == "POST":
        headers["Content-Length"] = "4"
    req = upstream_lib.Request(
        method, "/svc/s/x", headers, b"seal" if method == "POST" else b""
    )
    options.setdefault("timeout_ms", 30_000)
    return pool.exchange(address, req, sink or Sink(), **options)


async def run_failing(pool, address, method="GET", **options):
    with pytest.raises(upstream_lib.ExchangeFailed) as excinfo:
        await prepare(pool, address, method, **options).run()
    return excinfo.value


def reserve_unused_address():
    """Returns an address on which nothing listens, and its bound socket."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return f"127.0.0.1:{sock.getsockname()[1]}", sock


class TestSending:
    @support.run_async
    async def test_post_is_not_resent_on_a_reused_connection(self):
        """Guards against an automatic retry, which would run a POST twice."""

        async def script(upstream, stream):
            await upstream.receive(stream)
            await stream.write(support.OK)
            await upstream.receive(stream)

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool()
        await prepare(pool, upstream.address).run()
        exc = await run_failing(pool, upstream.address, "POST")
        assert exc.sent
        assert exc.step == "read response head"
        assert len(upstream.requests) == 2
        assert upstream.connections == 1

    @support.run_async
    async def test_refused_connection_sends_nothing(self):
        """Guards against the outcome "unknown" when nothing was sent."""
        address, sock = reserve_unused_address()
        pool = upstream_lib.Pool()
        sink = Sink()
        exc = await run_failing(pool, address, sink=sink)
        sock.close()
        assert not exc.sent and exc.step == "connect"
        assert sink.sent_count == 0
        assert pool.open_connections(address) == 0

    @support.run_async
    async def test_connection_closed_while_idle_is_replaced(self):
        """Guards against the use of a connection that the peer has closed."""
        closed = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            await stream.write(support.OK)
            stream.close()
            closed.set()

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool()
        await prepare(pool, upstream.address).run()
        await closed.wait()
        await prepare(pool, upstream.address, "POST").run()
        assert upstream.connections == 2

    @support.run_async
    async def test_connection_limit(self):
        """Guards against more connections than a worker accepts."""
        arrived = asyncio.Event()
        resume = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            await resume.wait()
            await stream.write(support.OK)

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool(connections=1)
        first = asyncio.ensure_future(prepare(pool, upstream.address).run())
        await arrived.wait()
        exc = await run_failing(pool, upstream.address)
        assert exc.step == "connection limit" and not exc.sent
        resume.set()
        assert await first == 2

    @support.run_async
    async def test_bad_address(self):
        """Guards against an unexpected exception, which would not end the
        attempt."""
        pool = upstream_lib.Pool()
        exc = await run_failing(pool, "nowhere")
        assert exc.step == "connect" and not exc.sent


MALFORMED_RESPONSES = {
    "truncated": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "truncated chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    ),
    "bad chunk size": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n"
    ),
    "overlong": support.OK + b"more",
    "second response": support.OK + support.OK,
    "garbage": b"\x00\xffnot http at all\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "two lengths": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"
    ),
    "length and chunked": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    ),
    "empty": b"",
    "large head": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000 + b"\r\n\r\n",
    "switching": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
}


class TestFraming:
    @pytest.mark.parametrize(
        "response", MALFORMED_RESPONSES.values(), ids=list(MALFORMED_RESPONSES)
    )
    @support.run_async
    async def test_invalid_framing_is_an_error(self, response):
        """Guards against accepting a truncated or malformed response."""
        upstream = support.Upstream(support.respond(response))
        pool = upstream_lib.Pool()
        exc = await run_failing(pool, upstream.address)
        assert exc.sent
        assert pool.open_connections(upstream.address) == 0

    @pytest.mark.parametrize(
        ("method", "response", "size"),
        [
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 0),
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 0),
            ("GET", b"HTTP/1.1 100 Continue\r\n\r\n" + support.OK, 2),
            (
                "GET",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n0\r\n\r\n",
                2,
            ),
        ],
    )
    @support.run_async
    async def test_valid_framing(self, method, response, size):
        """Guards against rejecting complete responses."""
        upstream = support.Upstream(support.respond(response, response))
        pool = upstream_lib.Pool()
        for _ in range(2):
            assert await prepare(pool, upstream.address, method).run() == size
        assert upstream.connections == 1

    @support.run_async
    async def test_late_response_reaches_no_other_request(self):
        """Guards against the response of an aborted exchange being read as
        that of the next exchange."""
        late = asyncio.Event()
        arrived = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            if upstream.connections == 1:
                await late.wait()
                await stream.write(support.OK.replace(b"ok", b"no"))
                return
            await stream.write(support.OK)

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool()
        first = prepare(pool, upstream.address)
        running = asyncio.ensure_future(first.run())
        await arrived.wait()
        first.abort("cancel", "not wanted")
        with pytest.raises(upstream_lib.ExchangeFailed):
            await running
        late.set()
        sink = Sink()
        await prepare(pool, upstream.address, sink=sink).run()
        assert sink.body == b"ok"

    @support.run_async
    async def test_unsolicited_bytes_end_an_idle_connection(self):
        """Guards against bytes received while idle being read as a response."""
        resume = asyncio.Event()
        written = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            await stream.write(support.OK)
            if upstream.connections == 1:
                await resume.wait()
                await stream.write(support.OK.replace(b"ok", b"no"))
                written.set()
                await stream.read_until_close()

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool()
        await prepare(pool, upstream.address).run()
        resume.set()
        await written.wait()
        sink = Sink()
        await prepare(pool, upstream.address, sink=sink).run()
        assert sink.body == b"ok"
        assert upstream.connections == 2

    @support.run_async
    async def test_timeouts(self):
        """Guards against an upstream that never responds and keeps its
        connection in use."""

        async def script(upstream, stream):
            await upstream.receive(stream)
            await stream.read_until_close()

        upstream = support.Upstream(script)
        pool = upstream_lib.Pool(head_timeout_ms=20)
        exc = await run_failing(pool, upstream.address)
        assert exc.sent and exc.step == "read response head"
        pool = upstream_lib.Pool()
        exc = await run_failing(pool, upstream.address, timeout_ms=10)
        assert exc.step == "attempt timeout"
