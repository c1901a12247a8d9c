"""Websocket links between nodes.

Each message is a CBOR map in one binary frame. A link delivers messages whole
and in order, or drops them. The reducer decides when to connect, and to which
node.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import cbor2
from websockets import exceptions as ws_exceptions
from websockets.asyncio import client
from websockets.asyncio import server

from skylarklug import effects
from skylarklug import events
from skylarklug import exceptions
from skylarklugd import handshake
from skylarklugd import tls

# The messages that a node accepts after the handshake; it drops all others.
MESSAGE_KINDS = frozenset(
    {
        "ping",
        "ack",
        "ping-req",
        "ping-ack",
        "config",
        "slots-want",
        "slots-grant",
        "slots-return",
        "load",
        "job-hint",
        "command",
        "command-answer",
        "leave",
    }
)
# Reason in the close frame of a link that another link to the same node
# supersedes.
DUPLICATE_LINK = "duplicate link"
# `open_timeout_ms` covers connecting and the handshake, `close_timeout_ms` the
# close handshake. `keepalive_ms` is both the interval of websocket pings and
# the time allowed for the pong. `queue_frames` and `queue_bytes` limit what
# waits to be sent on one link.
DEFAULTS = {
    "host": "127.0.0.1",
    "port": 0,
    "node": "node",
    "data_centre": "",
    "incarnation": 0,
    "secret": "",
    "tls": None,
    "open_timeout_ms": 3_000,
    "close_timeout_ms": 1_000,
    "keepalive_ms": 10_000,
    "queue_frames": 256,
    "queue_bytes": 1_048_576,
}


class _Link:
    """An authenticated connection and its send queue.

    Args:
        ws: The websocket connection.
        remote: Identity of the other node.
        initiator: Name of the node that opened the connection.
    """

    def __init__(self, ws, remote, initiator):
        self.ws = ws
        self.remote = remote
        self.initiator = initiator
        self.queue = collections.deque()
        self.queued_bytes = 0
        self.wake = asyncio.Event()
        self.reason = ""


class PeerLinks:
    """Accepts and opens links, and sends and receives messages on them.

    Args:
        cfg: Settings; `DEFAULTS` supplies those that are missing. `secret` is
            text or bytes. `tls` is None or has the paths of the `certificate`,
            `key` and `ca` files.
        dispatch: Receives PeerConnected, PeerLost and PeerMessage.
        clock: Returns monotonic milliseconds.
        log: Receives level, event name and fields.

    Attributes:
        bytes_sent, bytes_received: Sizes of all frames with their headers.
        dropped: Number of messages dropped because a send queue was full.
    """

    def __init__(
        self,
        cfg: Mapping[str, Any],
        dispatch: Callable[[Any], None],
        clock: Callable[[], int],
        log: Callable[[str, str, Mapping[str, Any]], None],
    ):
        self.cfg = {**DEFAULTS, **cfg}
        secret = self.cfg["secret"]
        self._secret = secret.encode() if isinstance(secret, str) else secret
        if not self._secret:
            raise exceptions.SettingsError("the peer secret is empty")
        self.port = self.cfg["port"]
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped = 0
        self._local = handshake.Identity(
            self.cfg["node"], self.cfg["incarnation"], self.cfg["data_centre"]
        )
        self._dispatch = dispatch
        self._clock = clock
        self._log = log
        self._tls = None
        self._server = None
        self._links: dict[str, _Link] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._tasks = set()
        self._closing = False
        self._performers = {
            effects.ConnectPeer: self._connect_peer,
            effects.ClosePeer: self._close_peer,
            effects.SendPeer: self._send_peer,
        }

    @property
    def effect_types(self) -> tuple[type, ...]:
        """The effect types that `perform` accepts."""
        return tuple(self._performers)

    @property
    def peers(self) -> list[str]:
        """The sorted names of the nodes to which a link is open."""
        return sorted(self._links)

    async def start(self):
        """Opens the listener and sets `port` to the port in use."""
        if self.cfg["tls"]:
            self._tls = tls.Contexts(self.cfg["tls"], self._log)
        self._server = await server.serve(
            self._accept,
            self.cfg["host"],
            self.cfg["port"],
            ssl=self._tls.listener_context() if self._tls else None,
            server_header=None,
            **self._options(),
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Closes the listener and every link without reporting events."""
        self._closing = True
        for task in list(self._connecting.values()):
            task.cancel()
        links = [link.ws.close(1001) for link in self._links.values()]
        await asyncio.gather(*links)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def perform(self, effect):
        """Performs one effect; its events follow later from the event loop."""
        self._performers[type(effect)](effect)

    def _options(self):
        return {
            "compression": None,
            "max_size": handshake.FRAME_LIMIT,
            "open_timeout": self.cfg["open_timeout_ms"] / 1000,
            "close_timeout": self.cfg["close_timeout_ms"] / 1000,
            "ping_interval": self.cfg["keepalive_ms"] / 1000,
            "ping_timeout": self.cfg["keepalive_ms"] / 1000,
        }

    # Effects

    def _connect_peer(self, effect):
        if effect.peer in self._connecting or effect.peer in self._links:
            return
        task = self._spawn(self._connect(effect.peer, effect.address))
        self._connecting[effect.peer] = task

    def _close_peer(self, effect):
        task = self._connecting.get(effect.peer)
        if task is not None:
            # Deferred because a task that is cancelled before it first runs
            # never enters its `try` block and would not report PeerLost.
            asyncio.get_running_loop().call_soon(task.cancel, effect.reason)
        link = self._links.get(effect.peer)
        if link is not None:
            self._close_link(link, effect.reason)

    def _send_peer(self, effect):
        link = self._links.get(effect.peer)
        if link is None:
            return
        body = {
            **effect.body,
            "from": self._local.node,
            "incarnation": self._local.incarnation,
        }
        frame = cbor2.dumps(body)
        if len(frame) > handshake.FRAME_LIMIT:
            self._log_refusal(
                effect.peer,
                "send frame",
                f"{body.get('kind')} of {len(frame)} bytes is too large",
            )
            return
        link.queue.append(frame)
        link.queued_bytes += len(frame)
        # A peer that does not read must not cause unbounded memory use, so
        # the oldest messages are dropped.
        while (
            len(link.queue) > self.cfg["queue_frames"]
            or link.queued_bytes > self.cfg["queue_bytes"]
        ):
            link.queued_bytes -= len(link.queue.popleft())
            self.dropped += 1
        link.wake.set()

    # Opening links

    async def _connect(self, peer, address):
        scheme = "wss" if self._tls else "ws"
        reason = ""
        ws = None
        try:
            async with asyncio.timeout(self.cfg["open_timeout_ms"] / 1000):
                ws = await client.connect(
                    f"{scheme}://{address}/",
                    ssl=self._tls.client_context() if self._tls else None,
                    proxy=None,
                    user_agent_header=None,
                    **self._options(),
                )
                remote = await handshake.connect(
                    ws, self._secret, self._local, peer
                )
        except exceptions.SkylarklugError as exc:
            reason = exc.reason
            self._log_refusal(peer, exc.step, reason)
        except ws_exceptions.ConnectionClosed as exc:
            reason = _close_reason(exc)
        except TimeoutError:
            reason = "no link within the time limit"
        except Exception as exc:
            # Every failure has to be reported as PeerLost: without it the
            # reducer would not request another connection to this node.
            reason = f"{type(exc).__name__}: {exc}"
        except asyncio.CancelledError as exc:
            reason = str(exc) or "closed"
        finally:
            del self._connecting[peer]
        if not reason:
            await self._serve_link(_Link(ws, remote, self._local.node))
            return
        if ws is not None:
            await ws.close(1008, reason[:64])
        # A peer that refuses a duplicate link already has a link to this
        # node, which by now is usually open on this side as well.
        if peer not in self._links:
            self._dispatch_event(events.PeerLost, peer, reason)

    async def _accept(self, ws):
        remote_address = ws.remote_address
        peer = (
            f"{remote_address[0]}:{remote_address[1]}" if remote_address else ""
        )
        try:
            async with asyncio.timeout(self.cfg["open_timeout_ms"] / 1000):
                remote = await handshake.accept(ws, self._secret, self._local)
                link = _Link(ws, remote, remote.node)
                if not self._takes_precedence(link):
                    await ws.close(1008, DUPLICATE_LINK)
                    return
                await handshake.send_welcome(ws)
        except exceptions.SkylarklugError as exc:
            self._log_refusal(peer, exc.step, exc.reason)
            await ws.close(1008, exc.reason[:64])
            return
        except (TimeoutError, ws_exceptions.ConnectionClosed) as exc:
            reason = _close_reason(exc)
            self._log_refusal(peer, "authenticate", reason)
            return
        await self._serve_link(link)

    def _takes_precedence(self, link):
        """Returns whether the link replaces the current one to its node.

        A link to a newer incarnation replaces one to an older. If both nodes
        connect at the same time, both keep the link that was opened by the
        node whose name sorts first. A second link opened by the same node
        means that it has lost the first one.
        """
        current = self._links.get(link.remote.node)
        if current is None:
            return True
        if link.remote.incarnation != current.remote.incarnation:
            return link.remote.incarnation > current.remote.incarnation
        if link.initiator == current.initiator:
            return True
        return link.initiator < current.initiator

    # Open links

    async def _serve_link(self, link):
        peer = link.remote.node
        if self._closing or not self._takes_precedence(link):
            await link.ws.close(1008, DUPLICATE_LINK)
            return
        current = self._links.get(peer)
        self._links[peer] = link
        if current is not None:
            current.reason = DUPLICATE_LINK
            self._spawn(current.ws.close(1008, DUPLICATE_LINK))
        if current is None or current.remote != link.remote:
            if current is not None:
                self._dispatch_event(
                    events.PeerLost, peer, "the node has restarted"
                )
            self._dispatch_event(
                events.PeerConnected,
                peer,
                link.remote.data_centre,
                link.remote.incarnation,
            )
        send_task = self._spawn(self._send(link))
        try:
            await self._receive(link)
        except ws_exceptions.ConnectionClosed as exc:
            self._record_close(link, exc)
        finally:
            send_task.cancel()
            if self._links.get(peer) is link:
                del self._links[peer]
                reason = link.reason or "connection closed"
                self._dispatch_event(events.PeerLost, peer, reason)
        await link.ws.close()

    async def _receive(self, link):
        peer = link.remote.node
        while True:
            frame = await link.ws.recv()
            self.bytes_received += _wire_size(frame, link, self._local, False)
            current = self._links.get(peer)
            if current is None or current.remote != link.remote:
                return
            try:
                body = handshake.decode(frame)
            except exceptions.ProtocolError as exc:
                self._log_refusal(peer, exc.step, exc.reason)
                self._close_link(link, exc.reason)
                return
            if body["kind"] not in MESSAGE_KINDS:
                kind = body["kind"][:32]
                self._log_refusal(
                    peer, "check message", f"unknown kind {kind!r}"
                )
                continue
            claimed_sender = (body.get("from"), body.get("incarnation"))
            if claimed_sender != link.remote[:2]:
                self._log_refusal(peer, "check message", "wrong sender")
                continue
            self._dispatch_event(events.PeerMessage, peer, body)

    async def _send(self, link):
        while True:
            while link.queue:
                frame = link.queue.popleft()
                link.queued_bytes -= len(frame)
                try:
                    await link.ws.send(frame)
                except ws_exceptions.ConnectionClosed:
                    return
                self.bytes_sent += _wire_size(frame, link, self._local, True)
            link.wake.clear()
            await link.wake.wait()

    def _close_link(self, link, reason):
        link.reason = link.reason or reason
        self._spawn(link.ws.close(1008, reason[:64]))

    def _record_close(self, link, exc):
        reason = _close_reason(exc)
        link.reason = link.reason or reason
        if exc.sent is not None and exc.sent.code == 1009:
            self._log_refusal(link.remote.node, "read frame", reason)

    def _log_refusal(self, peer, step, reason):
        fields = {"peer": peer, "step": step, "reason": reason}
        self._log("warning", "peer-refused", fields)

    def _dispatch_event(self, event_type, *fields):
        if not self._closing:
            self._dispatch(event_type(self._clock(), *fields))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _close_reason(exc):
    if isinstance(exc, TimeoutError):
        return "no answer within the time limit"
    if exc.sent is not None and exc.sent.code == 1009:
        return f"a frame is larger than {handshake.FRAME_LIMIT} bytes"
    if exc.rcvd is not None and exc.rcvd.reason:
        return exc.rcvd.reason
    return "connection closed"


def _wire_size(frame, link, local, sending):
    """Returns the size of a frame with its websocket header (RFC 6455)."""
    size = len(frame)
    header = 2 if size < 126 else 4 if size < 65_536 else 10
    # Only the client masks its frames, with a key of four bytes.
    masked = (link.initiator == local.node) == sending
    return size + header + (4 if masked else 0)
