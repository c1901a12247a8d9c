"""Mutual authentication of two nodes by a shared secret.

The connecting node sends `hello` with a nonce. The accepting node answers with
`challenge`, which holds its own nonce and a message authentication code (MAC).
The connecting node sends its own MAC in `proof`, and the accepting node ends
the handshake with `welcome`.

Each MAC is an HMAC-SHA256 over the role of its sender and the identities and
nonces of both nodes. The nonces prevent the replay of an earlier handshake, and
the role prevents a node's MAC from being sent back to it.
"""

import hashlib
import hmac
import os
from typing import NamedTuple

import cbor2

from skylarklug import exceptions

# Bytes of a nonce.
NONCE_SIZE = 32
# Characters of a node name or of a data centre name.
NAME_LIMIT = 128
# Bytes of one frame; bounds the memory that a peer can occupy with it.
FRAME_LIMIT = 65_536


class Identity(NamedTuple):
    """The identity that a node states in the handshake."""

    node: str
    incarnation: int
    data_centre: str


class AuthenticationFailed(exceptions.NotAllowed):
    """The other side is not the expected node or lacks the secret."""


def decode(frame) -> dict:
    """Decodes one frame.

    Raises:
        ProtocolError: The frame is not a CBOR map with a text as `kind`.
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
    """Authenticates as the connecting side; returns the remote identity.

    Raises:
        AuthenticationFailed: The other side is not `peer` or does not know
            the secret.
        ProtocolError: A frame is malformed.
    """
    nonce = os.urandom(NONCE_SIZE)
    await ws.send(_encode_identity("hello", local, nonce))
    challenge = await _receive(ws, "challenge")
    remote, remote_nonce = _parse_identity(challenge)
    if remote.node != peer:
        raise AuthenticationFailed(
            f"the node is {remote.node!r}", step="authenticate"
        )
    signed_fields = (local, nonce, remote, remote_nonce)
    _verify_mac(challenge, _compute_mac(secret, "accept", *signed_fields))
    proof = {
        "kind": "proof",
        "mac": _compute_mac(secret, "connect", *signed_fields),
    }
    await ws.send(cbor2.dumps(proof))
    await _receive(ws, "welcome")
    return remote


async def accept(ws, secret: bytes, local: Identity) -> Identity:
    """Authenticates as the accepting side; returns the remote identity.

    If the link is accepted, `send_welcome` has to follow.

    Raises:
        AuthenticationFailed: The other side states this node's own name or
            does not know the secret.
        ProtocolError: A frame is malformed.
    """
    remote, remote_nonce = _parse_identity(await _receive(ws, "hello"))
    if remote.node == local.node:
        raise AuthenticationFailed(
            "the node has this node's name", step="authenticate"
        )
    nonce = os.urandom(NONCE_SIZE)
    signed_fields = (remote, remote_nonce, local, nonce)
    mac = _compute_mac(secret, "accept", *signed_fields)
    await ws.send(_encode_identity("challenge", local, nonce, mac=mac))
    _verify_mac(
        await _receive(ws, "proof"),
        _compute_mac(secret, "connect", *signed_fields),
    )
    return remote


async def send_welcome(ws):
    """Tells the connecting side that the link is accepted."""
    await ws.send(cbor2.dumps({"kind": "welcome"}))


def _encode_identity(kind, local, nonce, **extra):
    body = {
        "kind": kind,
        "from": local.node,
        "incarnation": local.incarnation,
        "data_centre": local.data_centre,
        "nonce": nonce,
        **extra,
    }
    return cbor2.dumps(body)


async def _receive(ws, kind):
    body = decode(await ws.recv())
    if body["kind"] != kind:
        raise exceptions.ProtocolError(
            f"{body['kind'][:32]!r} instead of {kind}", step="authenticate"
        )
    return body


def _parse_identity(body):
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


def _compute_mac(
    secret, role, connecting, connecting_nonce, accepting, accepting_nonce
):
    message = cbor2.dumps(
        [
            role,
            list(connecting),
            connecting_nonce,
            list(accepting),
            accepting_nonce,
        ]
    )
    return hmac.new(secret, message, hashlib.sha256).digest()


def _verify_mac(body, expected):
    mac = body.get("mac")
    if not isinstance(mac, bytes) or not hmac.compare_digest(mac, expected):
        raise AuthenticationFailed(
            "wrong authentication code", step="authenticate"
        )
