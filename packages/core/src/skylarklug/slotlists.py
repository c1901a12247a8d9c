"""Compact form of per-worker counts in messages between nodes.

Two nodes with the same sorted list of workers exchange one byte per worker
instead of names; names are 5 to 10 times longer.
"""

import zlib


def checksum(names: list[str]) -> int:
    """Returns a number that tells lists of workers apart."""
    return zlib.crc32("\n".join(names).encode())


def pack(counts: dict[str, int], names: list[str]) -> bytes:
    """Returns one byte per name, without trailing zeros."""
    packed = bytes(min(255, counts.get(name, 0)) for name in names)
    return packed.rstrip(b"\0")


def unpack(counts, names: list[str]) -> dict[str, int]:
    """Returns counts by worker; accepts the packed and the named form."""
    if not isinstance(counts, bytes):
        return dict(counts)
    return {names[i]: count for i, count in enumerate(counts) if count}
