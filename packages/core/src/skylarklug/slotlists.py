"""Compact form of per-worker counts in messages between nodes.

Two nodes with the same sorted list of workers exchange one byte per worker
instead of names; names are 5 to 10 times longer.
"""

import zlib


def checksum(names: list[str]) -> int:
    """Returns a number that tells lists of workers apart."""
    return zlib.crc32("\n".join(names).encode())


def encode(counts: list[int], names: list[str], packed: bool):
    """Returns one byte per worker, or counts by name, without zeros."""
    if packed:
        return bytes(counts).rstrip(b"\0")
    return {
        name: count for name, count in zip(names, counts, strict=True) if count
    }


def decode(counts, names: list[str]) -> list[int]:
    """Returns one count per name from either form."""
    if isinstance(counts, bytes):
        return list(counts.ljust(len(names), b"\0"))
    return [counts.get(name, 0) for name in names]
