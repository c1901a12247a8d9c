"""Tests of the links between nodes over loopback sockets."""

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
    """`PeerLinks` with everything it reported."""

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

    def say(self, other, **body):
        self.links.perform(effects.SendPeer(other.node, body))

    def of(self, kind):
        return [e for e in self.events if isinstance(e, kind)]

    async def until(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()

    async def wait_for(self, kind, count=1):
        await self.until(lambda: len(self.of(kind)) >= count)
        return self.of(kind)[count - 1]


@contextlib.asynccontextmanager
async def pair(**cfg):
    async with Peer("a", **cfg) as a, Peer("b", **cfg) as b:
        a.connect(b)
        await a.wait_for(events.PeerConnected)
        await b.wait_for(events.PeerConnected)
        yield a, b


@contextlib.asynccontextmanager
async def stranger(b, secret=b"s3"):
    """Opens an authenticated raw connection to `b` as node "a"."""
    async with client.connect(f"ws://{b.address}/", proxy=None) as ws:
        own = handshake.Identity("a", 5, "dc")
        await handshake.connect(ws, secret, own, b.node)
        yield ws


class TestMessages:
    @support.run_async
    async def test_round_trip(self):
        """Guards against lost, changed or uncounted messages."""
        async with pair() as (a, b):
            connected = b.of(events.PeerConnected)[0]
            assert connected[1:] == ("a", "dc", 5)
            a.say(b, kind="ping", version=7)
            ping = await b.wait_for(events.PeerMessage)
            assert ping.peer == "a" and ping.body["version"] == 7
            b.say(a, kind="ack", updates=[])
            assert (await a.wait_for(events.PeerMessage)).peer == "b"
            assert a.links.bytes_sent == b.links.bytes_received > 0
            a.links.perform(effects.ClosePeer("b", "leaving"))
            lost = await a.wait_for(events.PeerLost)
            assert lost.reason == "leaving"
            assert (await b.wait_for(events.PeerLost)).reason == "leaving"

    @support.run_async
    async def test_queue_drops_the_oldest(self):
        """Guards against unbounded memory for a peer that does not read."""
        async with pair(queue_frames=4) as (a, b):
            for number in range(10):
                a.say(b, kind="load", number=number)
            last = await b.wait_for(events.PeerMessage, 4)
            assert a.links.dropped == 6 and last.body["number"] == 9

    @support.run_async
    async def test_too_large_to_send(self):
        """Guards against a frame that makes the peer close the link."""
        async with pair() as (a, b):
            a.say(b, kind="config", document="x" * 70_000)
            a.say(b, kind="ping")
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
            # A message may be lost with the link that gives way.
            while not b.of(events.PeerMessage) or not a.of(events.PeerMessage):
                a.say(b, kind="ping")
                b.say(a, kind="ping")
                await asyncio.sleep(0.001)
            assert a.links.peers == ["b"] and b.links.peers == ["a"]
            for peer in (a, b):
                assert len(peer.of(events.PeerConnected)) == 1

    @support.run_async
    async def test_nobody_listens(self):
        """Guards against a connect without any result."""
        async with Peer("a") as a:
            a.links.perform(effects.ConnectPeer("b", "127.0.0.1:1"))
            assert (await a.wait_for(events.PeerLost)).peer == "b"

    @support.run_async
    async def test_close_before_the_connect_has_begun(self):
        """Guards against a peer that can never be connected again."""
        async with Peer("a") as a, Peer("b") as b:
            a.connect(b)
            a.links.perform(effects.ClosePeer("b", "changed"))
            assert (await a.wait_for(events.PeerLost)).reason == "changed"
            a.connect(b)
            await a.wait_for(events.PeerConnected)


class TestTls:
    @support.run_async
    async def test_certificates_are_reloaded(self, tmp_path):
        """Guards against a restart for every new certificate, and against
        certificates that nobody checks."""
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
            assert len(b.of(events.PeerConnected)) == 1
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
        """Guards against a stranger among the nodes."""
        async with Peer("a", secret="other") as a, Peer("b") as b:
            a.connect(b)
            await a.wait_for(events.PeerLost)
            await b.until(lambda: b.logged)
            assert not a.of(events.PeerConnected) and not b.events

    @support.run_async
    async def test_wrong_proof(self):
        """Guards against a caller that skips its half of the proof."""
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
    async def test_other_node_at_the_address(self):
        """Guards against messages to the wrong node."""
        async with Peer("a") as a, Peer("b") as b:
            a.links.perform(effects.ConnectPeer("c", b.address))
            await a.wait_for(events.PeerLost)
            assert not b.of(events.PeerConnected)

    @support.run_async
    async def test_oversized_frame(self):
        """Guards against memory taken by one frame."""
        async with Peer("b") as b, stranger(b) as ws:
            body = {"kind": "ping", "from": "a", "incarnation": 5}
            await ws.send(cbor2.dumps({**body, "pad": "x" * 70_000}))
            lost = await b.wait_for(events.PeerLost)
            assert "larger than" in lost.reason and b.logged
            assert not b.of(events.PeerMessage)

    @pytest.mark.parametrize(
        "frame",
        [b"\xff", b"", b"\x81" * 500, cbor2.dumps([1]), b"\xa1\x01", "text"],
    )
    @support.run_async
    async def test_malformed_frame(self, frame):
        """Guards against bytes that reach the reducer unchecked."""
        async with Peer("b") as b, stranger(b) as ws:
            await ws.send(frame)
            await b.wait_for(events.PeerLost)
            assert b.logged and not b.of(events.PeerMessage)

    @pytest.mark.parametrize(
        "change",
        [{"kind": "shell"}, {"from": "c"}, {"incarnation": 6}],
    )
    @support.run_async
    async def test_refused_message(self, change):
        """Guards against unknown kinds and forged senders."""
        async with Peer("b") as b, stranger(b) as ws:
            body = {"kind": "ping", "from": "a", "incarnation": 5}
            await ws.send(cbor2.dumps({**body, **change}))
            await ws.send(cbor2.dumps({**body, "n": 2}))
            message = await b.wait_for(events.PeerMessage)
            assert message.body["n"] == 2 and len(b.logged) == 1

    def test_empty_secret(self):
        """Guards against links that anyone may open."""
        with pytest.raises(exceptions.SettingsError):
            peers.PeerLinks({"secret": ""}, None, None, None)
