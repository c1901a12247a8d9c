"""Tests of the caller-facing server against a scripted upstream."""

import asyncio
import contextlib
import json
import os
import socket

import pytest
from tests.node import support

from skylarklug import effects
from skylarklug import events

LARGE_BODY = os.urandom(5 * 1024 * 1024)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Skylarklug-Outcome: not-run\r\nSkylarklug-Leaving: true\r\n\r\n"
)


class TestRelay:
    @support.run_async
    async def test_request_and_response(self):
        """Guards against lost events or headers and connections not reused."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(upstream.address, node="n1") as node,
            support.Caller(node) as caller,
        ):
            for _ in range(3):
                status, headers, body = await caller.request(
                    "POST",
                    "/svc/certvault/a?b=c",
                    b"heat",
                    "Skylarklug-Deadline-Ms: 5000",
                    "Connection: X-Private",
                    "X-Private: 1",
                    "Skylarklug-Caller: gate-4",
                )
                assert (status, body) == (200, b"ok")
            closed = await node.wait_for(events.RequestClosed, 3)
            first = [type(e) for e in node.events[:6]]
            assert first == [
                events.RequestArrived,
                events.AttemptSent,
                events.AttemptHeaders,
                events.AttemptDone,
                events.RequestClosed,
                events.RequestArrived,
            ]
            arrived = node.events[0]
            assert arrived[2:] == (
                "certvault",
                "POST",
                "/svc/certvault/a?b=c",
                False,
                "gate-4",
                5000,
                0,
            )
            assert closed.complete and node.server.in_flight == 0
            head, sent = upstream.requests[0]
            assert sent == b"heat"
            assert headers["Skylarklug-Request-Id"] == closed.req_id
            assert arrived.req_id.encode() in head
            assert b"Skylarklug-Deadline-Ms: " in head
            assert b"X-Private" not in head and b"Hops" not in head
            assert upstream.connections == 1

    @support.run_async
    async def test_head_request(self):
        """Guards against sending, or waiting for, a body after HEAD."""
        upstream = support.Upstream(
            support.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        )
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            status, headers, _ = await caller.request("HEAD")
            assert status == 200 and headers["Content-Length"] == "9"
            status, _, _ = await caller.request("GET", "/live")
            assert status == 200

    @support.run_async
    async def test_forward_adds_hops_and_caller(self):
        """Guards against a request that is forwarded twice."""
        upstream = support.Upstream(support.respond(support.OK))

        def decide(event):
            if isinstance(event, events.RequestArrived):
                return [
                    effects.ForwardAttempt(
                        event.req_id, 1, "n2", upstream.address, 30_000
                    )
                ]

        async with (
            support.Node(upstream.address, decide) as node,
            support.Caller(node) as caller,
        ):
            await caller.request()
            head, _ = upstream.requests[0]
            assert b"Skylarklug-Hops: 1\r\n" in head
            assert b"Skylarklug-Caller: 127.0.0.1\r\n" in head

    @pytest.mark.parametrize("chunked", [False, True])
    @support.run_async
    async def test_large_bodies_stream_both_ways(self, chunked):
        """Guards against large bodies that are truncated, reordered or never
        delivered."""

        async def script(upstream, stream):
            _, body = await upstream.receive(stream)
            head = b"HTTP/1.1 200 OK\r\n"
            if not chunked:
                head += b"Content-Length: %d\r\n\r\n" % len(body)
                await stream.write(head + body)
                return
            await stream.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(body), 100_000):
                part = body[at : at + 100_000]
                await stream.write(b"%x\r\n%b\r\n" % (len(part), part))
            await stream.write(b"0\r\n\r\n")

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            if chunked:
                caller.send(
                    "POST", "/svc/s/x", b"", "Transfer-Encoding: chunked"
                )
                for at in range(0, len(LARGE_BODY), 70_000):
                    part = LARGE_BODY[at : at + 70_000]
                    caller.writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                caller.writer.write(b"0\r\n\r\n")
            else:
                caller.send("POST", "/svc/s/x", LARGE_BODY)
            status, _, body = await caller.receive()
            assert status == 200 and body == LARGE_BODY
            assert upstream.requests[0][1] == LARGE_BODY
            done = await node.wait_for(events.AttemptDone)
            assert done.size == len(LARGE_BODY)

    @support.run_async
    async def test_slow_caller_holds_no_slot_and_bounded_memory(self):
        """Guards against a slow caller that keeps an upstream busy, and
        against an unbounded buffer for a large response."""
        small, large = 900_000, 64 * 1024 * 1024
        written = []

        async def script(upstream, stream):
            head, _ = await upstream.receive(stream)
            size = small if b"/small" in head else large
            await stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            )
            for _ in range(size // 100_000):
                await stream.write(b"x" * 100_000)
                written.append(100_000)
            await stream.write(b"x" * (size % 100_000))

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            caller.writer.transport.pause_reading()
            caller.send("GET", "/svc/s/small")
            await node.wait_for(events.AttemptDone)
        written.clear()
        async with (
            support.Node(upstream.address, progress_timeout_ms=200) as node,
            support.Caller(node) as caller,
        ):
            caller.writer.transport.pause_reading()
            caller.send("GET", "/svc/s/large")
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete
            assert sum(written) < large / 2


class TestFailures:
    @support.run_async
    async def test_upstream_reads_post_and_closes(self):
        """Guards against a second run of a non-idempotent request."""

        async def script(upstream, stream):
            await upstream.receive(stream)
            await stream.write(support.OK)
            await upstream.receive(stream)

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            await caller.request()
            status, headers, body = await caller.request("POST", body=b"seal")
            assert status == 502
            assert headers["Skylarklug-Outcome"] == "unknown"
            assert json.loads(body)["outcome"] == "unknown"
            failed = await node.wait_for(events.AttemptFailed)
            assert failed.sent and not failed.refused
            posts = [r for r in upstream.requests if r[1] == b"seal"]
            assert len(posts) == 1

    @support.run_async
    async def test_refused_connection(self):
        """Guards against the outcome "unknown" when nothing was sent."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            async with (
                support.Node(address) as node,
                support.Caller(node) as caller,
            ):
                status, headers, _ = await caller.request("POST", body=b"seal")
                assert status == 503
                assert headers["Skylarklug-Outcome"] == "not-run"
                assert not node.events_of(events.AttemptFailed)[0].sent
                assert not node.events_of(events.AttemptSent)

    @support.run_async
    async def test_refusal_by_the_worker(self):
        """Guards against relaying a refusal as a response of the service."""
        upstream = support.Upstream(support.respond(REFUSAL))
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            status, headers, _ = await caller.request("POST", body=b"seal")
            assert status == 503
            assert "Skylarklug-Leaving" not in headers
            failed = node.events_of(events.AttemptFailed)[0]
            assert failed.refused and failed.leaving
            assert not node.events_of(events.AttemptHeaders)

    @support.run_async
    async def test_truncated_before_the_head_is_relayed(self):
        """Guards against a truncated response with status 200."""
        upstream = support.Upstream(
            support.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        )

        def decide(event):
            if isinstance(event, events.AttemptHeaders):
                return []

        async with (
            support.Node(upstream.address, decide) as node,
            support.Caller(node) as caller,
        ):
            status, headers, _ = await caller.request()
            assert status == 502
            assert headers["Skylarklug-Outcome"] == "unknown"

    @pytest.mark.parametrize(
        "framing",
        [
            b"Content-Length: 200003\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n",
        ],
    )
    @support.run_async
    async def test_truncated_after_the_head_is_relayed(self, framing):
        """Guards against a truncated body that is terminated as complete."""
        resume = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            part = b"x" * 100_000
            if b"chunked" in framing:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            await stream.write(b"HTTP/1.1 200 OK\r\n" + framing + part)
            await resume.wait()

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            caller.send()
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            resume.set()
            rest = await caller.reader.read()
            assert len(rest) < 200_003 and not rest.endswith(b"0\r\n\r\n")
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete

    @support.run_async
    async def test_overlong_response_is_not_complete_for_the_caller(self):
        """Guards against relaying a response with invalid framing."""
        upstream = support.Upstream(support.respond(support.OK + b"more"))
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            status, _, _ = await caller.request()
            assert status == 502
            assert not node.events_of(events.AttemptDone)

    @support.run_async
    async def test_caller_disconnects(self):
        """Guards against an attempt that never ends after the caller has
        disconnected."""
        arrived = asyncio.Event()
        disconnected = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            await stream.read_until_close()
            disconnected.set()

        upstream = support.Upstream(script)
        async with support.Node(upstream.address) as node:
            async with support.Caller(node) as caller:
                caller.send()
                await arrived.wait()
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete
            await disconnected.wait()
            assert not node.events_of(events.AttemptFailed)

    @support.run_async
    async def test_streamed_body_is_not_replayed(self):
        """Guards against a second attempt with an incomplete body."""

        async def script(upstream, stream):
            await stream.read_until(b"\r\n\r\n")
            await stream.read_bytes(300_000)

        upstream = support.Upstream(script)

        def decide(event):
            if isinstance(event, events.AttemptFailed) and event.attempt == 1:
                return [node.attempt_effect(event, 2)]

        async with (
            support.Node(upstream.address, decide) as node,
            support.Caller(node) as caller,
        ):
            caller.send("PUT", "/svc/s/x", LARGE_BODY)
            second = await node.wait_for(events.AttemptFailed, 2)
            assert node.events_of(events.AttemptFailed)[0].sent
            assert second[3:7] == (False, False, False, "replay body")
            status, _, _ = await caller.receive()
            assert status == 503
            assert upstream.connections == 1

    @support.run_async
    async def test_small_body_is_replayed(self):
        """Guards against a retry with an empty body."""

        async def script(upstream, stream):
            await upstream.receive(stream)
            if upstream.connections == 2:
                await stream.write(support.OK)

        upstream = support.Upstream(script)

        def decide(event):
            if isinstance(event, events.AttemptFailed):
                return [node.attempt_effect(event, 2)]

        async with (
            support.Node(upstream.address, decide) as node,
            support.Caller(node) as caller,
        ):
            status, _, _ = await caller.request("PUT", body=b"x" * 200_000)
            assert status == 200
            assert [len(r[1]) for r in upstream.requests] == [200_000] * 2


def build_request(*lines, body=b""):
    return "\r\n".join([*lines, "", ""]).encode() + body


GET = "GET /svc/s/x HTTP/1.1"
POST = "POST /svc/s/x HTTP/1.1"
HOST = "Host: n"
CHUNKED = "Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
BAD_REQUESTS = {
    "both": (
        400,
        build_request(
            POST, HOST, "Content-Length: 5", CHUNKED, body=LAST_CHUNK
        ),
    ),
    "lengths": (
        400,
        build_request(
            POST, HOST, "Content-Length: 5", "Content-Length: 6", body=b"x"
        ),
    ),
    "equal lengths": (
        400,
        build_request(POST, HOST, *["Content-Length: 1"] * 2, body=b"x"),
    ),
    "length list": (
        400,
        build_request(POST, HOST, "Content-Length: 1, 1", body=b"x"),
    ),
    "signed length": (
        400,
        build_request(POST, HOST, "Content-Length: +1", body=b"x"),
    ),
    "coding": (400, build_request(POST, HOST, "Transfer-Encoding: xchunked")),
    "codings": (
        400,
        build_request(POST, HOST, CHUNKED, CHUNKED, body=LAST_CHUNK),
    ),
    "chunk size": (400, build_request(POST, HOST, CHUNKED, body=b"-1\r\n")),
    "space before colon": (
        400,
        build_request(POST, HOST, "Content-Length : 5"),
    ),
    "folded": (400, build_request(GET, HOST, "A: b", " c: d")),
    "no host": (400, build_request(GET)),
    "two hosts": (400, build_request(GET, HOST, HOST)),
    "version": (400, build_request("GET /svc/s/x HTTP/1.0", HOST)),
    "start line": (400, build_request("nonsense", HOST)),
    "absolute": (400, build_request("GET http://n/svc/s/x HTTP/1.1", HOST)),
    "method": (400, build_request("TRACE /svc/s/x HTTP/1.1", HOST)),
    "path": (404, build_request("GET /other HTTP/1.1", HOST)),
    "no service": (404, build_request("GET /svc/ HTTP/1.1", HOST)),
    "deadline": (400, build_request(GET, HOST, "Skylarklug-Deadline-Ms: soon")),
    "zero deadline": (
        400,
        build_request(GET, HOST, "Skylarklug-Deadline-Ms: 0"),
    ),
    "idempotent": (
        400,
        build_request(POST, HOST, "Skylarklug-Idempotent: yes"),
    ),
    "hops": (400, build_request(GET, HOST, "Skylarklug-Hops: 2")),
    "length too large": (
        413,
        build_request(POST, HOST, "Content-Length: 8388609"),
    ),
    "large head": (431, build_request(GET, HOST, "A: " + "x" * 20_000)),
}


class TestValidation:
    @pytest.mark.parametrize(
        ("status", "message"), BAD_REQUESTS.values(), ids=list(BAD_REQUESTS)
    )
    @support.run_async
    async def test_bad_request(self, status, message):
        """Guards against request smuggling, unbounded input, and a node that
        stops serving after a bad request."""
        upstream = support.Upstream(support.respond_always)
        async with support.Node(upstream.address) as node:
            async with support.Caller(node) as caller:
                caller.writer.write(message)
                line = await caller.reader.readline()
                assert int(line.split()[1]) == status
            async with support.Caller(node) as caller:
                assert (await caller.request())[0] == 200
            assert len(upstream.requests) == 1
            assert len(node.events_of(events.RequestArrived)) == 1

    @support.run_async
    async def test_chunked_body_above_the_limit(self):
        """Guards against a chunked body that bypasses the size limit."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(upstream.address, body_limit=1000) as node,
            support.Caller(node) as caller,
        ):
            caller.send("POST", "/svc/s/x", b"", CHUNKED)
            caller.writer.write(b"7d0\r\n" + b"x" * 2000 + b"\r\n" + LAST_CHUNK)
            status, headers, _ = await caller.receive()
            assert status == 413
            assert headers["Skylarklug-Outcome"] == "not-run"
            assert not node.events and node.server.in_flight == 0

    @support.run_async
    async def test_streamed_body_above_the_limit(self):
        """Guards against a truncated body that is sent as complete."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(
                upstream.address, body_limit=400_000, prefetch=100_000
            ) as node,
            support.Caller(node) as caller,
        ):
            caller.send("POST", "/svc/s/x", b"", CHUNKED)
            caller.writer.write(
                b"7a120\r\n" + b"x" * 500_000 + b"\r\n" + LAST_CHUNK
            )
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete
            assert not upstream.requests

    @support.run_async
    async def test_slow_head_and_body(self):
        """Guards against callers that stall and occupy memory forever."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(upstream.address, header_timeout_ms=20) as node,
            support.Caller(node) as caller,
        ):
            caller.writer.write(b"GET /svc/s/x HT")
            with contextlib.suppress(ConnectionResetError):
                assert await caller.reader.read() == b""
        async with (
            support.Node(upstream.address, progress_timeout_ms=40) as node,
            support.Caller(node) as caller,
        ):
            caller.writer.write(build_request(POST, HOST, "Content-Length: 9"))
            status, headers, _ = await caller.receive()
            assert status == 400
            assert headers["Skylarklug-Outcome"] == "not-run"
            assert await caller.reader.read() == b""
            assert not node.events and node.server.in_flight == 0


class TestStopping:
    @support.run_async
    async def test_ready_and_live(self):
        """Guards against a wrong state reported to a load balancer."""
        async with (
            support.Node("127.0.0.1:1") as node,
            support.Caller(node) as caller,
        ):
            assert (await caller.request("GET", "/ready"))[0] == 503
            assert (await caller.request("GET", "/live"))[0] == 200
            node.server.set_ready(True)
            assert (await caller.request("GET", "/ready"))[0] == 200
            node.server.set_ready(False, "stopping")
            status, _, body = await caller.request("GET", "/ready")
            assert status == 503
            assert json.loads(body)["reason"] == "stopping"

    @support.run_async
    async def test_keep_alive_connections_close_when_not_ready(self):
        """Guards against a request on a keep-alive connection at exit."""
        async with (
            support.Node("127.0.0.1:1") as node,
            support.Caller(node) as caller,
        ):
            node.server.set_ready(True)
            _, headers, _ = await caller.request("GET", "/live")
            assert headers.get("Connection") != "close"
            node.server.set_ready(False, "stopping")
            _, headers, _ = await caller.request("GET", "/live")
            assert headers["Connection"] == "close"
            assert await caller.reader.read() == b""
            async with support.Caller(node) as other:
                assert (await other.request("GET", "/live"))[0] == 200

    @support.run_async
    async def test_requests_in_flight_finish(self):
        """Guards against a planned stop that interrupts a request."""
        arrived = asyncio.Event()
        resume = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            await resume.wait()
            await stream.write(support.OK)

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            caller.send()
            await arrived.wait()
            node.server.perform(effects.StopAccepting())
            with pytest.raises(OSError):
                async with support.Caller(node):
                    pass
            assert node.server.in_flight == 1
            resume.set()
            status, headers, _ = await caller.receive()
            assert status == 200 and headers["Connection"] == "close"
            assert await caller.reader.read() == b""
            await node.wait_for(events.RequestClosed)
            assert node.server.in_flight == 0
