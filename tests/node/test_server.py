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

BIG = os.urandom(5 * 1024 * 1024)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Skylarklug-Outcome: not-run\r\nSkylarklug-Leaving: true\r\n\r\n"
)


class TestRelay:
    @support.run_async
    async def test_request_and_response(self):
        """Guards against lost events, headers and reused connections."""
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
        """Guards against a body, or a wait for one, after HEAD."""
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
        """Guards against large bodies that are cut, mixed up or held."""

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
                for at in range(0, len(BIG), 70_000):
                    part = BIG[at : at + 70_000]
                    caller.writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                caller.writer.write(b"0\r\n\r\n")
            else:
                caller.send("POST", "/svc/s/x", BIG)
            status, _, body = await caller.receive()
            assert status == 200 and body == BIG
            assert upstream.requests[0][1] == BIG
            done = await node.wait_for(events.AttemptDone)
            assert done.size == len(BIG)

    @support.run_async
    async def test_slow_caller_holds_no_slot_and_bounded_memory(self):
        """Guards against a slow reader that holds an upstream, and against
        an unbounded buffer for a larger response."""
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
        """Guards against "unknown" where nothing was sent."""
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
        """Guards against a refusal relayed as an answer of the service."""
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
        """Guards against a truncated 200."""
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
        """Guards against an end-of-body marker after a truncated body."""
        go_on = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            part = b"x" * 100_000
            if b"chunked" in framing:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            await stream.write(b"HTTP/1.1 200 OK\r\n" + framing + part)
            await go_on.wait()

        upstream = support.Upstream(script)
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            caller.send()
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            go_on.set()
            rest = await caller.reader.read()
            assert len(rest) < 200_003 and not rest.endswith(b"0\r\n\r\n")
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete

    @support.run_async
    async def test_overlong_response_is_not_complete_for_the_caller(self):
        """Guards against the last byte of a wrongly framed response."""
        upstream = support.Upstream(support.respond(support.OK + b"more"))
        async with (
            support.Node(upstream.address) as node,
            support.Caller(node) as caller,
        ):
            status, _, _ = await caller.request()
            assert status == 502
            assert not node.events_of(events.AttemptDone)

    @support.run_async
    async def test_caller_leaves(self):
        """Guards against an attempt that outlives its caller for ever."""
        arrived = asyncio.Event()
        gone = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            await stream.read_until_close()
            gone.set()

        upstream = support.Upstream(script)
        async with support.Node(upstream.address) as node:
            async with support.Caller(node) as caller:
                caller.send()
                await arrived.wait()
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete
            await gone.wait()
            assert not node.events_of(events.AttemptFailed)

    @support.run_async
    async def test_streamed_body_is_not_replayed(self):
        """Guards against a second attempt with half of a body."""

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
            caller.send("PUT", "/svc/s/x", BIG)
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


def raw(*lines, body=b""):
    return "\r\n".join([*lines, "", ""]).encode() + body


GET = "GET /svc/s/x HTTP/1.1"
POST = "POST /svc/s/x HTTP/1.1"
HOST = "Host: n"
CHUNKED = "Transfer-Encoding: chunked"
END = b"0\r\n\r\n"
BAD = {
    "both": (400, raw(POST, HOST, "Content-Length: 5", CHUNKED, body=END)),
    "lengths": (
        400,
        raw(POST, HOST, "Content-Length: 5", "Content-Length: 6", body=b"x"),
    ),
    "equal lengths": (
        400,
        raw(POST, HOST, *["Content-Length: 1"] * 2, body=b"x"),
    ),
    "length list": (400, raw(POST, HOST, "Content-Length: 1, 1", body=b"x")),
    "signed length": (400, raw(POST, HOST, "Content-Length: +1", body=b"x")),
    "coding": (400, raw(POST, HOST, "Transfer-Encoding: xchunked")),
    "codings": (400, raw(POST, HOST, CHUNKED, CHUNKED, body=END)),
    "chunk size": (400, raw(POST, HOST, CHUNKED, body=b"-1\r\n")),
    "space before colon": (400, raw(POST, HOST, "Content-Length : 5")),
    "folded": (400, raw(GET, HOST, "A: b", " c: d")),
    "no host": (400, raw(GET)),
    "two hosts": (400, raw(GET, HOST, HOST)),
    "version": (400, raw("GET /svc/s/x HTTP/1.0", HOST)),
    "start line": (400, raw("nonsense", HOST)),
    "absolute": (400, raw("GET http://n/svc/s/x HTTP/1.1", HOST)),
    "method": (400, raw("TRACE /svc/s/x HTTP/1.1", HOST)),
    "path": (404, raw("GET /other HTTP/1.1", HOST)),
    "no service": (404, raw("GET /svc/ HTTP/1.1", HOST)),
    "deadline": (400, raw(GET, HOST, "Skylarklug-Deadline-Ms: soon")),
    "zero deadline": (400, raw(GET, HOST, "Skylarklug-Deadline-Ms: 0")),
    "idempotent": (400, raw(POST, HOST, "Skylarklug-Idempotent: yes")),
    "hops": (400, raw(GET, HOST, "Skylarklug-Hops: 2")),
    "length too large": (413, raw(POST, HOST, "Content-Length: 8388609")),
    "large head": (431, raw(GET, HOST, "A: " + "x" * 20_000)),
}


class TestValidation:
    @pytest.mark.parametrize(("status", "message"), BAD.values(), ids=list(BAD))
    @support.run_async
    async def test_bad_request(self, status, message):
        """Guards against request smuggling and unbounded input; the node
        keeps serving."""
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
        """Guards against a chunked body that escapes the length check."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(upstream.address, body_limit=1000) as node,
            support.Caller(node) as caller,
        ):
            caller.send("POST", "/svc/s/x", b"", CHUNKED)
            caller.writer.write(b"7d0\r\n" + b"x" * 2000 + b"\r\n" + END)
            status, headers, _ = await caller.receive()
            assert status == 413
            assert headers["Skylarklug-Outcome"] == "not-run"
            assert not node.events and node.server.in_flight == 0

    @support.run_async
    async def test_streamed_body_above_the_limit(self):
        """Guards against a streamed body passed on as if it were whole."""
        upstream = support.Upstream(support.respond_always)
        async with (
            support.Node(
                upstream.address, body_limit=400_000, prefetch=100_000
            ) as node,
            support.Caller(node) as caller,
        ):
            caller.send("POST", "/svc/s/x", b"", CHUNKED)
            caller.writer.write(b"7a120\r\n" + b"x" * 500_000 + b"\r\n" + END)
            closed = await node.wait_for(events.RequestClosed)
            assert not closed.complete
            assert not upstream.requests

    @support.run_async
    async def test_slow_head_and_body(self):
        """Guards against half-open callers that hold memory for ever."""
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
            caller.writer.write(raw(POST, HOST, "Content-Length: 9"))
            status, headers, _ = await caller.receive()
            assert status == 400
            assert headers["Skylarklug-Outcome"] == "not-run"
            assert await caller.reader.read() == b""
            assert not node.events and node.server.in_flight == 0


class TestStopping:
    @support.run_async
    async def test_ready_and_live(self):
        """Guards against a load balancer that is told the wrong state."""
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
    async def test_kept_connections_end_during_the_notice(self):
        """Guards against a request on a kept connection at the exit."""
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
        go_on = asyncio.Event()

        async def script(upstream, stream):
            await upstream.receive(stream)
            arrived.set()
            await go_on.wait()
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
            go_on.set()
            status, headers, _ = await caller.receive()
            assert status == 200 and headers["Connection"] == "close"
            assert await caller.reader.read() == b""
            await node.wait_for(events.RequestClosed)
            assert node.server.in_flight == 0
