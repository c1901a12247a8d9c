"""A documented entry of a worker, and odd ones of other writers."""

import base64
import json

ENTRY = {
    "service": "hub",
    "addr": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "room": {"cpu": 16_000, "mem_mb": 32_768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "born": 1_790_000_000_000,
    "seq": 4,
}


def raw(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


def nested(name, depth):
    """Returns an entry with a deeply nested list in one field."""
    text = b"[" * depth + b"]" * depth
    return raw(**{name: "@"}).replace(b'"@"', text)


def with_room(**fields):
    return raw(room={**ENTRY["room"], **fields})


def without(name):
    fields = dict(ENTRY)
    del fields[name]
    return json.dumps(fields).encode()


ODD_VALUES = [
    b"",
    b"{",
    b"\xff",
    b"null",
    b"5",
    b"[]",
    b'"text"',
    b"{}",
    b"[" * 100_000,
    b'{"service":"\xed\xa0\x80"}',
    raw(zone="\ud800"),
    *[
        nested(name, depth)
        for name in ("service", "addr", "zone", "labels", "born", "version")
        for depth in (2, 900, 1_000, 1_020, 20_000)
    ],
    nested("state", 1_000),
    nested("room", 1_000),
    *[without(name) for name in ("service", "addr", "zone", "state", "room")],
    without("labels"),
    *[with_room(cpu=cpu) for cpu in (-1, 1e308, 10**12, 10**30, "1", True)],
    with_room(mem_mb=None),
    with_room(gpus=[]),
    raw(room={}).replace(b"{}", b'{"cpu":1e400}'),
    raw(room={}).replace(b"{}", b'{"cpu":NaN}'),
    raw(room=[]),
    *[
        raw(born=born)
        for born in (-1, 1.5, 1e300, 2**53, 2**63, 2**64, 2**70, "1", True)
    ],
    raw(born=None),
    *[
        raw(state="draining", remaining_ms=remaining)
        for remaining in (-5, 1e300, 2**62, "5", None, False)
    ],
    *[
        raw(addr=address)
        for address in (
            "10.128.0.9:99999",
            "10.128.0.9:-1",
            "10.128.0.9:0",
            "10.128.0.9:",
            "10.128.0.9:" + "9" * 5_000,
            "10.128.0.9:80²",
            "10.128.0.9",
            ":8080",
            "",
            "worker.example:8080",
            "10.128.0.256:8080",
            "10.128.9:8080",
            "010.128.0.9:8080",
            "[10.128.0.9]:8080",
            "[::1]:8080",
            "0.0.0.0:8080",
            "255.255.255.255:8080",
            "224.0.0.1:8080",
            "10.128.0.9:8080 ",
            "10.128.0.9\r\nX: y:8080",
            5,
            None,
        )
    ],
    raw(service=5),
    raw(service=""),
    raw(service="x" * 201),
    raw(zone={"a": 1}),
    raw(state="odd"),
    raw(state=["ready"]),
    raw(labels="a"),
    raw(labels=[5]),
    raw(labels=["x" * 201]),
    raw(labels=["x"] * 101),
    raw(version=5),
    raw(capacity="8"),
    raw(cold_left_ms=-1),
    raw(seq=None),
]
ODD_ROWS = [
    None,
    5,
    [],
    "text",
    {},
    {"key": 5, "value": "e30="},
    {"key": None, "value": "e30="},
    {"key": [1], "tombstone": True},
    {"key": {}, "value": "e30="},
    {"key": "x" * 201, "value": base64.b64encode(raw()).decode()},
    {"key": "x\r\ny", "value": base64.b64encode(raw()).decode()},
    {"key": "", "value": base64.b64encode(raw()).decode()},
    {"key": "odd"},
    {"key": "odd", "value": None},
    {"key": "odd", "value": 5},
    {"key": "odd", "value": "%%%"},
    {"key": "odd", "value": "²"},
    {"key": "odd", "value": base64.b64encode(raw()).decode() + "!"},
]
