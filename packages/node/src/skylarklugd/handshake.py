"""Mutual authentication of two nodes by a shared secret.

The connecting node sends `hello` with a nonce, the accepting node answers
`challenge` with its own nonce and a code over both, the connecting node
sends `proof`, and the accepting node ends with `welcome`. The code is an
HMAC-SHA256 over the role and everything both sides have stated, so neither
an old exchange nor the other side's own code can be replayed.
"""

import hashlib
import hmac
import os
from typing import NamedTuple

import cbor2

from skylarklug import exceptions

NONCE_SIZE = 32
NAME_LIMIT = 128
FRAME_LIMIT = 65_536


class Identity(NamedTuple):
    """Who a node says it is."""

    node: str
    incarnation: int
    data_centre: str


class AuthenticationFailed(exceptions.NotAllowed):
    """The other side is not a node that knows the secret."""


def decode(frame) -> dict:
    """Decodes one frame.

    Raises:
        ProtocolError: It is not one CBOR map with a kind.
    """
    if not isinstance(frame, bytes):
        raise exceptions.ProtocolError("text frame", step="decode frame")
    try:
        body = cbor2.loads(
            frame,
            max_depth=32,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as exc:
        raise exceptions.ProtocolError(
            f"malformed CBOR: {exc}", step="decode frame"
        ) from exc
    if not isinstance(body, dict) or not isinstance(body.get("kind"), str):
        raise exceptions.ProtocolError(
            "not a map with a kind", step="decode frame"
        )
    return body


async def connect(ws, secret: bytes, local: Identity, peer: str) -> Identity:
    """Authenticates as the connecting side and returns the other identity.

    Raises:
        AuthenticationFailed: The other side is not `peer`, or does not know
            the secret.
        ProtocolError: A frame is malformed.
    """
    nonce = os.urandom(NONCE_SIZE)
    await ws.send(_statement("hello", local, nonce))
    challenge = await _receive(ws, "challenge")
    remote, remote_nonce = _identity(challenge)
    if remote.node != peer:
        raise AuthenticationFailed(
            f"the node is {remote.node!r}", step="authenticate"
        )
    stated = (local, nonce, remote, remote_nonce)
    _verify(challenge, _code(secret, "accept", *stated))
    proof = {"kind": "proof", "mac": _code(secret, "connect", *stated)}
    await ws.send(cbor2.dumps(proof))
    await _receive(ws, "welcome")
    return remote


async def accept(ws, secret: bytes, local: Identity) -> Identity:
    """Authenticates as the accepting side, up to but without `welcome`."""
    remote, remote_nonce = _identity(await _receive(ws, "hello"))
    if remote.node == local.node:
        raise AuthenticationFailed(
            "the node has this node's name", step="authenticate"
        )
    nonce = os.urandom(NONCE_SIZE)
    stated = (remote, remote_nonce, local, nonce)
    mac = _code(secret, "accept", *stated)
    await ws.send(_statement("challenge", local, nonce, mac=mac))
    _verify(await _receive(ws, "proof"), _code(secret, "connect", *stated))
    return remote


async def send_welcome(ws):
    """Tells the connecting side that the link is in use."""
    await ws.send(cbor2.dumps({"kind": "welcome"}))


def _statement(kind, local, nonce, **more):
    body = {
        "kind": kind,
        "from": local.node,
        "incarnation": local.incarnation,
        "data_centre": local.data_centre,
        "nonce": nonce,
        **more,
    }
    return cbor2.dumps(body)


async def _receive(ws, kind):
    body = decode(await ws.recv())
    if body["kind"] != kind:
        raise exceptions.ProtocolError(
            f"{body['kind'][:32]!r} instead of {kind}", step="authenticate"
        )
    return body


def _identity(body):
    node = body.get("from")
    incarnation = body.get("incarnation")
    data_centre = body.get("data_centre")
    nonce = body.get("nonce")
    valid = (
        isinstance(node, str)
        and 0 < len(node) <= NAME_LIMIT
        and isinstance(data_centre, str)
        and len(data_centre) <= NAME_LIMIT
        and type(incarnation) is int
        and isinstance(nonce, bytes)
        and len(nonce) == NONCE_SIZE
    )
    if not valid:
        raise exceptions.ProtocolError(
            "malformed statement", step="authenticate"
        )
    return Identity(node, incarnation, data_centre), nonce


def _code(secret, role, connecting, nonce, accepting, remote_nonce):
    text = cbor2.dumps(
        [role, list(connecting), nonce, list(accepting), remote_nonce]
    )
    return hmac.new(secret, text, hashlib.sha256).digest()


def _verify(body, expected):
    mac = body.get("mac")
    if not isinstance(mac, bytes) or not hmac.compare_digest(mac, expected):
        raise AuthenticationFailed(
            "wrong authentication code", step="authenticate"
        )
