"""Recorded event streams: a sequence of CBOR items, one for each event.

The first item is a header that names the format and its version. Each further
item is `[type name, [field, ...]]`.
"""

from collections.abc import Iterator
import hashlib
import typing

import cbor2
import pydantic

from skylarklug import events
from skylarklug import exceptions

FORMAT = "skylarklug-trace"
VERSION = 1

# Types without the field `at`, such as `Vm`, are only parts of events.
_TYPES = {
    name: kind
    for name, kind in vars(events).items()
    if isinstance(kind, type) and "at" in getattr(kind, "_fields", ())
}
_ADAPTERS: dict[str, pydantic.TypeAdapter] = {}


def encode_header() -> bytes:
    """Returns the first item of a trace."""
    return cbor2.dumps({"format": FORMAT, "version": VERSION})


def encode_event(event) -> bytes:
    """Returns one event as a CBOR item."""
    return cbor2.dumps([type(event).__name__, list(event)])


def encode_effects(effects) -> bytes:
    """Returns effects as CBOR items with map keys in canonical order."""
    return b"".join(
        cbor2.dumps([type(effect).__name__, list(effect)], canonical=True)
        for effect in effects
    )


def digest(effects, before: bytes = b"") -> bytes:
    """Returns a SHA-256 digest that chains `before` with the effects."""
    return hashlib.sha256(before + encode_effects(effects)).digest()


def _decode_event(item, position):
    try:
        name, fields = item
        kind = _TYPES[name]
    except (TypeError, ValueError, KeyError) as exc:
        raise exceptions.TraceError(
            f"item {position} is not an event", step="read trace"
        ) from exc
    adapter = _ADAPTERS.get(name)
    if adapter is None:
        adapter = _ADAPTERS[name] = pydantic.TypeAdapter(kind)
    try:
        return adapter.validate_python(fields)
    except pydantic.ValidationError as exc:
        problem = exc.errors()[0]
        raise exceptions.TraceError(
            f"item {position}: {name}: {problem['loc']}: {problem['msg']}",
            step="read trace",
        ) from exc


def read(stream: typing.BinaryIO) -> Iterator:
    """Yields the events of a trace.

    A trace that was cut off in its last item, as after a crash, ends there.

    Raises:
        TraceError: The header or an event is not valid.
    """
    decoder = cbor2.CBORDecoder(stream)
    try:
        header = decoder.decode()
    except cbor2.CBORError as exc:
        raise exceptions.TraceError(
            f"no header: {exc}", step="read trace"
        ) from exc
    expected = {"format": FORMAT, "version": VERSION}
    if header != expected:
        raise exceptions.TraceError(
            f"unsupported header {header!r}", step="read trace"
        )
    position = 0
    while True:
        position += 1
        try:
            item = decoder.decode()
        except cbor2.CBORDecodeEOF:
            return
        except cbor2.CBORError as exc:
            raise exceptions.TraceError(
                f"item {position} is damaged: {exc}", step="read trace"
            ) from exc
        yield _decode_event(item, position)
