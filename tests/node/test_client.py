import asyncio
import socket
import threading
import time

import pytest

from skylarklugd import client
from skylarklugd import upstream

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Peer:
    """A server that sends a scripted reply to each request it reads."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.block_s = 0
        self.connections = 0
        self.requests = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                reply = self.replies.pop(0) if self.replies else OK
                if reply is None:
                    break
                writer.write(reply)
                # Blocks the event loop, which the client shares.
                time.sleep(self.block_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def exchange(replies, scenario):
    """Runs `await scenario(http, peer)` with a new client and peer."""

    async def run():
        http = client.Client(connections=2, connect_timeout_ms=500)
        async with Peer(replies) as peer:
            try:
                return await scenario(http, peer)
            finally:
                http.close()

    return asyncio.run(run())


async def get(http, peer, timeout_ms=2_000, **options):
    return await http.call(
        peer.address, "GET", "/", None, timeout_ms, **options
    )


class TestExchanges:
    def test_connection_is_reused(self):
        """Guards against a new connection, which is charged, per request."""

        async def scenario(http, peer):
            for _ in range(5):
                assert (await get(http, peer)).body == b"ok"
            return peer.connections

        assert exchange([], scenario) == 1

    def test_response_that_arrived_while_the_process_was_busy_counts(self):
        """Guards against a time-out, and a new connection after it, that are
        due to this process alone."""

        async def scenario(http, peer):
            await get(http, peer)
            peer.block_s = 0.3
            assert (await get(http, peer, 200)).status == 200
            peer.block_s = 0
            await get(http, peer)
            return peer.connections

        assert exchange([], scenario) == 1

    @pytest.mark.parametrize(
        "reply",
        [
            b"HTTP/1.1 200 OK\r\n\r\nno length",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + OK[17:],
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + OK,
            b"\x00\xff garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            None,
        ],
    )
    def test_malformed_or_missing_response_fails_the_exchange_only(self, reply):
        """Guards against a response that is cut, ambiguous or taken for that
        of another request, and against a client that is unusable after it."""

        async def scenario(http, peer):
            with pytest.raises(upstream.ExchangeFailed) as caught:
                await get(http, peer, 300)
            assert caught.value.sent
            assert (await get(http, peer)).body == b"ok"
            return http.open_connections(peer.address)

        assert exchange([reply], scenario) == 1

    def test_informational_response_is_skipped(self):
        """Guards against a 100 response that is taken for the final one."""
        reply = b"HTTP/1.1 100 Continue\r\n\r\n" + OK
        response = exchange([reply], get)
        assert (response.status, response.body) == (200, b"ok")

    def test_late_response_is_not_given_to_the_next_request(self):
        """Guards against an answer of a request that was given up."""

        async def scenario(http, peer):
            with pytest.raises(upstream.ExchangeFailed):
                await get(http, peer, 100)
            return (await get(http, peer)).body, peer.connections

        assert exchange([b""], scenario) == (b"ok", 2)


class TestSilentConnections:
    def test_one_timeout_closes_those_that_were_idle(self):
        """Guards against one time-out for each pooled connection after all open
        ones have gone silent."""

        async def scenario(http, peer):
            await asyncio.gather(get(http, peer), get(http, peer))
            peer.replies = [b"", OK]
            with pytest.raises(upstream.ExchangeFailed):
                await get(http, peer, 100)
            assert (await get(http, peer)).body == b"ok"
            return peer.connections

        assert exchange([], scenario) == 3

    def test_connections_that_have_answered_meanwhile_stay(self):
        """Guards against a slow request that closes working connections."""

        async def scenario(http, peer):
            peer.replies = [b""]
            slow = asyncio.ensure_future(get(http, peer, 200))
            await asyncio.sleep(0.05)
            await get(http, peer)
            with pytest.raises(upstream.ExchangeFailed):
                await slow
            await get(http, peer)
            return peer.connections

        assert exchange([], scenario) == 2


class TestWaitForConnection:
    """Requests beyond the limit of connections, as to a worker of a gang."""

    def test_requests_beyond_the_limit_wait_for_a_connection(self):
        """Guards against orders that fail because others are under way."""

        async def scenario(http, peer):
            calls = [get(http, peer, 5_000, queue_ms=4_000) for _ in range(30)]
            responses = await asyncio.gather(*calls)
            assert [r.status for r in responses] == [200] * 30
            return peer.connections

        assert exchange([], scenario) == 2

    def test_connection_that_is_lost_lets_the_next_request_open_one(self):
        """Guards against requests that wait for a connection that is closed."""

        async def scenario(http, peer):
            calls = [get(http, peer, 5_000, queue_ms=4_000) for _ in range(4)]
            results = await asyncio.gather(*calls, return_exceptions=True)
            failed = [r for r in results if isinstance(r, Exception)]
            assert [exc.sent for exc in failed] == [True, True]
            return peer.connections, http.open_connections(peer.address)

        assert exchange([None, None], scenario) == (4, 2)

    def test_wait_ends_and_nothing_is_sent(self):
        """Guards against a request that is sent, or said to have been, after
        its wait for a connection."""

        async def scenario(http, peer):
            calls = [get(http, peer, 1_000) for _ in range(2)]
            busy = asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)
            with pytest.raises(upstream.ExchangeFailed) as caught:
                await get(http, peer, 600, queue_ms=100)
            assert not caught.value.sent
            await busy
            return len(peer.requests)

        assert exchange([b""] * 2, scenario) == 2

    def test_request_that_is_not_valid_any_more_is_not_sent(self):
        """Guards against an order that is sent after its wait although the
        permission to send it has ended."""

        async def scenario(http, peer):
            peer.replies = [b"", OK, OK, OK]
            calls = [get(http, peer, 300), get(http, peer, 300)]
            busy = asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)
            late = http.call(
                peer.address,
                "GET",
                "/late",
                None,
                2_000,
                is_valid=lambda: False,
                queue_ms=1_000,
            )
            with pytest.raises(upstream.ExchangeFailed) as caught:
                await late
            assert not caught.value.sent
            await busy
            assert (await get(http, peer)).status == 200
            return [r for r in peer.requests if b"/late" in r]

        assert exchange([], scenario) == []

    def test_cancelled_wait_passes_the_connection_on(self):
        """Guards against a connection that nobody uses, and nobody releases,
        because the request that it was given to was cancelled."""

        async def scenario(http, peer):
            peer.replies = [b"", b""]
            calls = [get(http, peer, 200), get(http, peer, 200)]
            busy = asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)
            waits = []
            for _ in range(6):
                call = get(http, peer, 2_000, queue_ms=1_500)
                waits.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.05)
            for call in waits[::2]:
                call.cancel()
            await busy
            results = await asyncio.gather(*waits, return_exceptions=True)
            return [getattr(result, "status", 0) for result in results]

        assert exchange([], scenario) == [0, 200] * 3


class TestRequestThatWasGivenUp:
    def test_rest_of_the_request_is_not_delivered(self):
        """Guards against an order that arrives after its sender has given it
        up, and after an order of the next leader."""
        body = b"x" * 150_000
        given_up = threading.Event()

        def read_all(sock):
            conn, _ = sock.accept()
            conn.settimeout(5)
            # Nothing is read until the client has given up.
            given_up.wait(5)
            size = 0
            try:
                while data := conn.recv(65_536):
                    size += len(data)
            except ConnectionResetError:
                return size, "reset"
            finally:
                conn.close()
            return size, "closed"

        async def scenario():
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                sock.bind(("127.0.0.1", 0))
                sock.listen()
                host, port = sock.getsockname()
                reading = asyncio.to_thread(read_all, sock)
                reading = asyncio.ensure_future(reading)
                http = client.Client(connections=2, connect_timeout_ms=500)
                with pytest.raises(upstream.ExchangeFailed) as caught:
                    await http.call(f"{host}:{port}", "POST", "/", body, 200)
                given_up.set()
                assert caught.value.sent
                return await reading

        size, end = asyncio.run(scenario())
        assert end == "reset"
        assert size < len(body)


class TestFailures:
    def test_refused_connection_sends_nothing(self):
        """Guards against "unknown" where the peer cannot have the request."""

        async def scenario(http, peer):
            peer._server.close()
            await peer._server.wait_closed()
            with pytest.raises(upstream.ExchangeFailed) as caught:
                await get(http, peer)
            return caught.value.sent, http.open_connections(peer.address)

        assert exchange([], scenario) == (False, 0)

    def test_line_break_in_a_header_sends_nothing(self):
        """Guards against a name from a stored row that adds a header."""

        async def scenario(http, peer):
            with pytest.raises(upstream.ExchangeFailed) as caught:
                headers = {"X-Worker": "w1\r\nX-Other: 1"}
                await http.call(peer.address, "GET", "/", None, 100, headers)
            return caught.value.sent, peer.requests

        assert exchange([], scenario) == (False, [])

    def test_connections_per_address_are_limited(self):
        """Guards against connections without limit to a silent peer."""

        async def scenario(http, peer):
            calls = [get(http, peer, 200) for _ in range(4)]
            results = await asyncio.gather(*calls, return_exceptions=True)
            sent = [exc.sent for exc in results]
            return sorted(sent), http.open_connections(peer.address)

        assert exchange([b""] * 4, scenario) == ([False, False, True, True], 0)

    def test_cancelled_call_closes_its_connection(self):
        """Guards against a response that is read by the next request."""

        async def scenario(http, peer):
            call = asyncio.ensure_future(get(http, peer))
            await asyncio.sleep(0.05)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            await asyncio.sleep(0.05)
            return http.open_connections(peer.address)

        assert exchange([b""], scenario) == 0
