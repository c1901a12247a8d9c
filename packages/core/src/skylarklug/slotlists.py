"""Compact encoding of per-worker counts in messages between nodes.

Nodes with the same sorted list of workers send one byte per worker and leave
out the names, which would take 5 to 10 times as much space.
"""

import zlib


def checksum(names: list[str]) -> int:
    """Returns the CRC-32 of a list of workers, to detect different lists."""
    return zlib.crc32("\n".join(names).encode())


def encode(counts: list[int], names: list[str], packed: bool):
    """Returns one byte per worker if `packed`, else counts by name.

    Trailing zeros of the bytes, and names with a count of zero, are left out.
    """
    if packed:
        return bytes(counts).rstrip(b"\0")
    return {
        name: count for name, count in zip(names, counts, strict=True) if count
    }


def decode(counts, names: list[str]) -> list[int]:
    """Returns one count per name from either encoding."""
    if isinstance(counts, bytes):
        return list(counts.ljust(len(names), b"\0"))
    return [counts.get(name, 0) for name in names]
