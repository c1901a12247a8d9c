"""Reads and writes traces: event streams recorded as a sequence of CBOR items.

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

# Types without the field `at`, such as `Vm`, occur only inside events.
_EVENT_TYPES = {
    name: event_type
    for name, event_type in vars(events).items()
    if isinstance(event_type, type)
    and "at" in getattr(event_type, "_fields", ())
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


def digest(effects, previous: bytes = b"") -> bytes:
    """Returns the SHA-256 digest of the digest `previous` and the effects."""
    return hashlib.sha256(previous + encode_effects(effects)).digest()


def _decode_event(item, position):
    try:
        name, fields = item
        event_type = _EVENT_TYPES[name]
    except (TypeError, ValueError, KeyError) as exc:
        raise exceptions.TraceError(
            f"item {position} is not an event", step="read trace"
        ) from exc
    adapter = _ADAPTERS.get(name)
    if adapter is None:
        adapter = _ADAPTERS[name] = pydantic.TypeAdapter(event_type)
    try:
        return adapter.validate_python(fields)
    except pydantic.ValidationError as exc:
        error = exc.errors()[0]
        raise exceptions.TraceError(
            f"item {position}: {name}: {error['loc']}: {error['msg']}",
            step="read trace",
        ) from exc


def read(stream: typing.BinaryIO) -> Iterator:
    """Yields the events of a trace.

    An incomplete last item, such as a crash can leave, is ignored.

    Raises:
        TraceError: The header or an event is invalid.
    """
    decoder = cbor2.CBORDecoder(stream)
    try:
        header = decoder.decode()
    except cbor2.CBORError as exc:
        raise exceptions.TraceError(
            f"cannot read the trace header: {exc}", step="read trace"
        ) from exc
    expected = {"format": FORMAT, "version": VERSION}
    if header != expected:
        raise exceptions.TraceError(
            f"unsupported trace header {header!r}", step="read trace"
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
