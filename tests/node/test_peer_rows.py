import asyncio
import json

import pytest
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from skylarklug import exceptions
from skylarklugd import client
from skylarklugd import peer_rows

ADDRESS = "10.1.0.13:7722"


def identify(row):
    return (row["key"], row["ver"]) if "ver" in row else None


def run(scenario):
    """Runs `await scenario(http)` with a new client."""

    async def play():
        http = client.Client(connections=4, connect_timeout_ms=500)
        try:
            return await scenario(http)
        finally:
            http.close()

    return asyncio.run(play())


def ask_raw(body, status=200):
    """Returns what a client makes of an answer with this body."""

    async def scenario(http):
        def respond(req):
            headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
            line = httputil.ResponseStartLine("HTTP/1.1", status, "-")
            req.connection.write_headers(line, headers, body)
            req.connection.finish()

        (sock,) = netutil.bind_sockets(0, "127.0.0.1")
        server = httpserver.HTTPServer(respond)
        server.add_socket(sock)
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        try:
            peer_client = peer_rows.PeerClient(http, ADDRESS, 0)
            return await peer_client.ask(address, 0)
        finally:
            server.stop()

    return run(scenario)


class TestRowCache:
    def test_older_row_replaces_no_newer_one(self):
        """Guards against an older version that comes back with a late answer
        of another node or of the store."""
        cache = peer_rows.RowCache()
        new, old = {"key": "a", "ver": 7}, {"key": "a", "ver": 5}
        assert cache.add([new], identify) == [new]
        assert cache.add([old, new], identify) == []
        assert cache.newer_than(0) == [new]
        assert cache.newer_than(7) == []
        assert cache.version == 7

    def test_row_without_a_version_is_passed_on_and_not_kept(self):
        """Guards against an odd row of the store that is not reported."""
        cache = peer_rows.RowCache()
        odd = {"key": "a"}
        assert cache.add([odd], identify) == [odd]
        assert cache.newer_than(0) == []


class TestExchange:
    def test_rows_and_age_arrive(self):
        """Guards against a client and a server that disagree."""
        rows = [{"key": "config", "ver": 9, "value": "e30="}]
        calls = []

        async def scenario(http):
            def respond(*call):
                calls.append(call)
                return peer_rows.Answer(120, rows, (ADDRESS,))

            server = peer_rows.Server()
            server.respond = respond
            (sock,) = netutil.bind_sockets(0, "127.0.0.1")
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            sock.close()
            server.listen(address)
            try:
                found = await peer_rows.PeerClient(http, ADDRESS, 0).ask(
                    address, 8
                )
                odd = []
                for target in ("/rows?after=-1", "/rows?after=x", "/other"):
                    response = await http.call(
                        address, "GET", target, None, 1_000
                    )
                    odd.append(response.status)
                posted = await http.call(
                    address, "POST", "/rows?after=1", b"", 1_000
                )
                return found, odd, posted.status
            finally:
                server.close()

        found, odd, posted = run(scenario)
        assert found == peer_rows.Answer(120, rows, (ADDRESS,))
        assert calls == [(8, ADDRESS)]
        assert odd == [400, 400, 400]
        assert posted == 400

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b"5",
            b"\xff\x00",
            b"[" * 100_000,
            b"{}",
            b'{"age_ms": -2, "rows": [], "addresses": []}',
            b'{"age_ms": 1.5, "rows": [], "addresses": []}',
            b'{"age_ms": true, "rows": [], "addresses": []}',
            b'{"age_ms": 5, "rows": {}, "addresses": []}',
            b'{"age_ms": 5, "rows": [], "addresses": "10.0.0.1:5"}',
            b'{"age_ms": 5, "rows": [], "addresses": null}',
        ],
    )
    def test_malformed_answer_counts_as_none(self, body):
        """Guards against one malformed message that ends a process, or makes
        rows seem newer than they are."""
        with pytest.raises(exceptions.SkylarklugError):
            ask_raw(body)

    def test_failed_call_counts_as_none(self):
        """Guards against an error of a peer that is taken for its rows."""
        body = json.dumps({"age_ms": 5, "rows": [], "addresses": []}).encode()
        with pytest.raises(exceptions.Unavailable):
            ask_raw(body, 500)

    def test_odd_addresses_are_left_out(self):
        """Guards against addresses that no peer can have."""
        odd = [5, "host:80", "10.0.0.1", "10.0.0.1:0", "0.0.0.0:5", ADDRESS]
        body = json.dumps({"age_ms": 5, "rows": [], "addresses": odd}).encode()
        assert ask_raw(body).addresses == (ADDRESS,)
