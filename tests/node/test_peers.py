"""Tests of the links between nodes, over loopback sockets."""

import asyncio
import contextlib
import pathlib

import cbor2
import pytest
from tests.node import support
from websockets import exceptions as ws_exceptions
from websockets.asyncio import client

from skylarklug import effects
from skylarklug import events
from skylarklug import exceptions
from skylarklugd import handshake
from skylarklugd import peers


class Peer:
    """A `PeerLinks` that records its events and log lines."""

    def __init__(self, node, **cfg):
        self.node = node
        self.events = []
        self.logged = []
        self._changed = asyncio.Event()
        cfg = {"secret": "s3", "data_centre": "dc", "incarnation": 5, **cfg}
        self.links = peers.PeerLinks(
            {"node": node, **cfg}, self._add, support.clock, self._log
        )

    async def __aenter__(self):
        await self.links.start()
        self.address = f"127.0.0.1:{self.links.port}"
        return self

    async def __aexit__(self, *exc_info):
        await self.links.close()

    def _add(self, event):
        self.events.append(event)
        self._changed.set()

    def _log(self, level, event, fields):
        self.logged.append(fields.get("reason", event))
        self._changed.set()

    def connect(self, other):
        self.links.perform(effects.ConnectPeer(other.node, other.address))

    def send(self, other, **body):
        self.links.perform(effects.SendPeer(other.node, body))

    def events_of(self, kind):
        return [e for e in self.events if isinstance(e, kind)]

    async def wait_until(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()

    async def wait_for(self, kind, count=1):
        await self.wait_until(lambda: len(self.events_of(kind)) >= count)
        return self.events_of(kind)[count - 1]


@contextlib.asynccontextmanager
async def connected_pair(**cfg):
    async with Peer("a", **cfg) as a, Peer("b", **cfg) as b:
        a.connect(b)
        await a.wait_for(events.PeerConnected)
        await b.wait_for(events.PeerConnected)
        yield a, b


@contextlib.asynccontextmanager
async def raw_connection(b, secret=b"s3"):
    """Opens an authenticated websocket connection to `b` as node "a"."""
    async with client.connect(f"ws://{b.address}/", proxy=None) as ws:
        local = handshake.Identity("a", 5, "dc")
        await handshake.connect(ws, secret, local, b.node)
        yield ws


class TestMessages:
    @support.run_async
    async def test_round_trip(self):
        """Guards against lost, altered or uncounted messages."""
        async with connected_pair() as (a, b):
            connected = b.events_of(events.PeerConnected)[0]
            assert connected[1:] == ("a", "dc", 5)
            a.send(b, kind="ping", version=7)
            ping = await b.wait_for(events.PeerMessage)
            assert ping.peer == "a" and ping.body["version"] == 7
            b.send(a, kind="ack", updates=[])
            assert (await a.wait_for(events.PeerMessage)).peer == "b"
            assert a.links.bytes_sent == b.links.bytes_received > 0
            a.links.perform(effects.ClosePeer("b", "leaving"))
            lost = await a.wait_for(events.PeerLost)
            assert lost.reason == "leaving"
            assert (await b.wait_for(events.PeerLost)).reason == "leaving"

    @support.run_async
    async def test_queue_drops_the_oldest(self):
        """Guards against unbounded memory use for a peer that does not read."""
        async with connected_pair(queue_frames=4) as (a, b):
            for number in range(10):
                a.send(b, kind="load", number=number)
            last = await b.wait_for(events.PeerMessage, 4)
            assert a.links.dropped == 6 and last.body["number"] == 9

    @support.run_async
    async def test_oversized_message_is_not_sent(self):
        """Guards against a frame so large that the peer closes the link."""
        async with connected_pair() as (a, b):
            a.send(b, kind="config", document="x" * 70_000)
            a.send(b, kind="ping")
            await b.wait_for(events.PeerMessage)
            assert "too large" in a.logged[0]

    @support.run_async
    async def test_simultaneous_connects_leave_one_link(self):
        """Guards against two links, or none, between two nodes."""
        async with Peer("a") as a, Peer("b") as b:
            a.connect(b)
            b.connect(a)
            await a.wait_for(events.PeerConnected)
            await b.wait_for(events.PeerConnected)
            # A message may be lost with the link that is closed.
            while not b.events_of(events.PeerMessage) or not a.events_of(
                events.PeerMessage
            ):
                a.send(b, kind="ping")
                b.send(a, kind="ping")
                await asyncio.sleep(0.001)
            assert a.links.peers == ["b"] and b.links.peers == ["a"]
            for peer in (a, b):
                assert len(peer.events_of(events.PeerConnected)) == 1

    @support.run_async
    async def test_connection_refused(self):
        """Guards against a failed connection that is not reported."""
        async with Peer("a") as a:
            a.links.perform(effects.ConnectPeer("b", "127.0.0.1:1"))
            assert (await a.wait_for(events.PeerLost)).peer == "b"

    @support.run_async
    async def test_close_before_connect_starts(self):
        """Guards against a peer that can never be connected to again.

        A connect task that is cancelled before it first runs would not report
        PeerLost.
        """
        async with Peer("a") as a, Peer("b") as b:
            a.connect(b)
            a.links.perform(effects.ClosePeer("b", "changed"))
            assert (await a.wait_for(events.PeerLost)).reason == "changed"
            a.connect(b)
            await a.wait_for(events.PeerConnected)


class TestTls:
    @support.run_async
    async def test_certificates_are_reloaded(self, tmp_path):
        """Guards against a node that must be restarted for a new certificate,
        and against certificates that are not verified."""
        certificates = pathlib.Path(__file__).parent / "certificates"

        def install(node, name):
            content = (certificates / f"{name}.pem").read_bytes()
            (tmp_path / node).write_bytes(content)
            names = ("certificate", "key", "ca")
            return dict.fromkeys(names, str(tmp_path / node))

        async with (
            Peer("a", tls=install("a", "first")) as a,
            Peer("b", tls=install("b", "first")) as b,
        ):
            a.connect(b)
            await a.wait_for(events.PeerConnected)
            a.links.perform(effects.ClosePeer("b", "test"))
            await a.wait_for(events.PeerLost)
            await b.wait_for(events.PeerLost)
            install("b", "second")
            a.connect(b)
            await a.wait_for(events.PeerLost, 2)
            assert len(b.events_of(events.PeerConnected)) == 1
            install("a", "second")
            a.connect(b)
            await a.wait_for(events.PeerConnected, 2)
            (tmp_path / "a").write_text("broken")
            a.links.perform(effects.ClosePeer("b", "test"))
            await a.wait_for(events.PeerLost, 3)
            a.connect(b)
            await a.wait_for(events.PeerConnected, 3)


class TestRefusals:
    @support.run_async
    async def test_wrong_secret(self):
        """Guards against a link with a node that does not know the secret."""
        async with Peer("a", secret="other") as a, Peer("b") as b:
            a.connect(b)
            await a.wait_for(events.PeerLost)
            await b.wait_until(lambda: b.logged)
            assert not a.events_of(events.PeerConnected) and not b.events

    @support.run_async
    async def test_wrong_proof(self):
        """Guards against a peer that sends the code of the challenge back."""
        async with (
            Peer("b") as b,
            client.connect(f"ws://{b.address}/", proxy=None) as ws,
        ):
            hello = {
                "kind": "hello",
                "from": "a",
                "incarnation": 5,
                "data_centre": "dc",
                "nonce": b"n" * handshake.NONCE_SIZE,
            }
            await ws.send(cbor2.dumps(hello))
            challenge = cbor2.loads(await ws.recv())
            proof = {"kind": "proof", "mac": challenge["mac"]}
            await ws.send(cbor2.dumps(proof))
            with pytest.raises(ws_exceptions.ConnectionClosed):
                await ws.recv()
            assert b.logged == ["wrong authentication code"]
            assert not b.events

    @support.run_async
    async def test_unexpected_node_name(self):
        """Guards against a link to another node than the intended one."""
        async with Peer("a") as a, Peer("b") as b:
            a.links.perform(effects.ConnectPeer("c", b.address))
            await a.wait_for(events.PeerLost)
            assert not b.events_of(events.PeerConnected)

    @support.run_async
    async def test_oversized_frame(self):
        """Guards against unbounded memory use for one frame."""
        async with Peer("b") as b, raw_connection(b) as ws:
            body = {"kind": "ping", "from": "a", "incarnation": 5}
            await ws.send(cbor2.dumps({**body, "pad": "x" * 70_000}))
            lost = await b.wait_for(events.PeerLost)
            assert "larger than" in lost.reason and b.logged
            assert not b.events_of(events.PeerMessage)

    @pytest.mark.parametrize(
        "frame",
        [b"\xff", b"", b"\x81" * 500, cbor2.dumps([1]), b"\xa1\x01", "text"],
    )
    @support.run_async
    async def test_malformed_frame(self, frame):
        """Guards against malformed input that reaches the reducer."""
        async with Peer("b") as b, raw_connection(b) as ws:
            await ws.send(frame)
            await b.wait_for(events.PeerLost)
            assert b.logged and not b.events_of(events.PeerMessage)

    @pytest.mark.parametrize(
        "change",
        [{"kind": "shell"}, {"from": "c"}, {"incarnation": 6}],
    )
    @support.run_async
    async def test_refused_message(self, change):
        """Guards against unknown message kinds and forged senders."""
        async with Peer("b") as b, raw_connection(b) as ws:
            body = {"kind": "ping", "from": "a", "incarnation": 5}
            await ws.send(cbor2.dumps({**body, **change}))
            await ws.send(cbor2.dumps({**body, "n": 2}))
            message = await b.wait_for(events.PeerMessage)
            assert message.body["n"] == 2 and len(b.logged) == 1

    def test_empty_secret(self):
        """Guards against links that need no secret."""
        with pytest.raises(exceptions.SettingsError):
            peers.PeerLinks({"secret": ""}, None, None, None)
