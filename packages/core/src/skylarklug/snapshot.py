"""Snapshots of a partition's rows, which shorten loading by a new owner.

Two objects per partition are written alternately, so that an interrupted put
damages only the older one. A snapshot contains the rows of the table at its
version. A delayed put by a former owner is therefore outdated but consistent.

Object format: 4 bytes magic number, 4 bytes CRC-32 of the rest (big endian),
then zlib-compressed CBOR `{"partition", "version", "rows"}` with rows as
`[key, version, value]`.
"""

from collections.abc import Callable
import struct
from typing import NamedTuple
import zlib

import cbor2

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import ownership
from skylarklug import table

# Interval between snapshots of a partition.
INTERVAL_MS = 60_000
# Number of objects per partition that are written alternately.
SLOTS = 2
# Waiting longer for the object store costs more than a full read of the table.
FETCH_TIMEOUT_MS = 2_000
# Maximum age of a snapshot in table versions: about 10 minutes at 300 writes
# per second. The table may have discarded older deletions.
MAX_AGE_VERSIONS = 200_000
# First bytes of every object.
MAGIC = b"SLS1"
# zlib level, from 1 (fastest) to 9 (smallest).
COMPRESSION_LEVEL = 1

# Magic number and checksum.
_HEADER = struct.Struct(">4sI")


class Loaded(NamedTuple):
    """Rows of a partition at a table version.

    `source` is "snapshot" if only the rows changed since a snapshot were read
    from the table, otherwise "table".
    """

    partition: str
    rows: tuple[events.Row, ...]
    version: int
    source: str


class _Cache:
    """Rows of an owned partition at a table version, for the next snapshot."""

    def __init__(self, snapshot_at):
        self.rows: dict[str, events.Row] = {}
        self.version = 0
        self.snapshot_at = snapshot_at
        self.slot = 0
        self.busy = False


class _Load:
    """A load that waits for the snapshot objects of its partition."""

    def __init__(self, partition, on_loaded, deadline):
        self.partition = partition
        self.on_loaded = on_loaded
        self.deadline = deadline
        self.pending_op_ids: set[str] = set()
        self.newest: tuple[int, dict[str, events.Row]] | None = None


class SnapshotState:
    """Caches of owned partitions, and pending loads and puts."""

    def __init__(self):
        self.caches: dict[str, _Cache] = {}
        self.pending_loads: list[_Load] = []
        self.pending_puts: dict[str, str] = {}


def new_state() -> SnapshotState:
    """Returns the initial state, without partitions."""
    return SnapshotState()


def encode(partition: str, version: int, rows) -> bytes:
    """Returns the content of a snapshot object."""
    content = {
        "partition": partition,
        "version": version,
        "rows": [[row.key, row.version, row.value] for row in rows],
    }
    body = zlib.compress(cbor2.dumps(content), COMPRESSION_LEVEL)
    return _HEADER.pack(MAGIC, zlib.crc32(body)) + body


def decode(partition: str, data: bytes):
    """Returns (version, rows by key), or None if the object is invalid."""
    if len(data) < _HEADER.size:
        return None
    magic, checksum = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if magic != MAGIC or zlib.crc32(body) != checksum:
        return None
    content = cbor2.loads(zlib.decompress(body))
    if content["partition"] != partition:
        return None
    rows = {row[0]: events.Row(*row) for row in content["rows"]}
    return content["version"], rows


def object_key(partition: str, slot: int) -> str:
    """Returns the object store key of a snapshot."""
    return f"snapshot/{partition}/{slot}"


def _prefixes(partition):
    return (f"job/{partition}/", f"task/{partition}/")


# --------------------------------------------------------------------- load


def load(state, effects: list, partition: str, on_loaded: Callable):
    """Loads the rows of a partition.

    It reads the newest valid snapshot and the rows changed since, or all rows
    if there is none, and calls `on_loaded(state, effects, loaded)`. The caller
    has to check that it still owns the partition at the epoch of the request.
    """
    domain = state.domains["snapshot"]
    request = _Load(partition, on_loaded, state.now + FETCH_TIMEOUT_MS)
    for slot in range(SLOTS):
        op_id = state.new_id("load")
        request.pending_op_ids.add(op_id)
        key = object_key(partition, slot)
        effects.append(effects_lib.GetObject(op_id, key))
    domain.pending_loads.append(request)


def _on_object(state, event, effects):
    domain = state.domains["snapshot"]
    partition = domain.pending_puts.pop(event.op_id, None)
    if partition is not None:
        _on_put(state, effects, partition, event.status)
        return
    for request in domain.pending_loads:
        if event.op_id not in request.pending_op_ids:
            continue
        request.pending_op_ids.discard(event.op_id)
        _decode_object(effects, request, event)
        if not request.pending_op_ids:
            _read_rows(state, effects, request)
        return


def _decode_object(effects, request, event):
    if event.status != "ok":
        return
    decoded = decode(request.partition, event.body)
    if decoded is None:
        fields = {"partition": request.partition, "step": "load snapshot"}
        effects.append(effects_lib.Log("warning", "snapshot-torn", fields))
    elif request.newest is None or decoded[0] > request.newest[0]:
        request.newest = decoded


def _read_rows(state, effects, request):
    state.domains["snapshot"].pending_loads.remove(request)
    version, rows = request.newest or (0, {})
    if ownership.table_version(state) - version > MAX_AGE_VERSIONS:
        version, rows = 0, {}
    source = "snapshot" if version else "table"

    def on_read(state, effects, result):
        cache = _get_cache(state, request.partition)
        cache.rows = rows
        cache.version = 0
        _apply_changes(cache, result)
        fields = {
            "partition": request.partition,
            "source": source,
            "rows": len(rows),
            "changed": len(result.rows),
        }
        effects.append(effects_lib.Log("info", "partition-loaded", fields))
        loaded = Loaded(
            request.partition, tuple(rows.values()), result.version, source
        )
        request.on_loaded(state, effects, loaded)

    prefixes = _prefixes(request.partition)
    table.read(state, effects, (), prefixes, on_read, after_version=version)


def _get_cache(state, partition):
    """Returns the cache of a partition, or a temporary one if not owned."""
    caches = state.domains["snapshot"].caches
    return caches.get(partition) or _Cache(0)


def _apply_changes(cache, result):
    for row in result.rows:
        if row.value is None:
            cache.rows.pop(row.key, None)
        else:
            cache.rows[row.key] = row
    cache.version = max(cache.version, result.version)


# ---------------------------------------------------------------- snapshots


def _on_tick(state, event, effects):
    domain = state.domains["snapshot"]
    for request in list(domain.pending_loads):
        if state.now >= request.deadline:
            _read_rows(state, effects, request)
    for partition, cache in domain.caches.items():
        if state.now < cache.snapshot_at or cache.busy:
            continue
        cache.snapshot_at = state.now + INTERVAL_MS
        if ownership.mode(state) == "held":
            _store_snapshot(state, effects, partition, cache)


def _store_snapshot(state, effects, partition, cache):
    """Reads the rows changed since the last snapshot and stores a new one."""
    domain = state.domains["snapshot"]

    def on_read(state, effects, result):
        cache.busy = False
        if result.status != "read" or domain.caches.get(partition) is not cache:
            return
        _apply_changes(cache, result)
        op_id = state.new_id("snapshot")
        domain.pending_puts[op_id] = partition
        body = encode(partition, cache.version, cache.rows.values())
        key = object_key(partition, cache.slot)
        effects.append(effects_lib.PutObject(op_id, key, body))

    cache.busy = True
    table.read(
        state,
        effects,
        (),
        _prefixes(partition),
        on_read,
        after_version=cache.version,
        deadline_ms=INTERVAL_MS,
    )


def _on_put(state, effects, partition, status):
    cache = state.domains["snapshot"].caches.get(partition)
    if status != "ok":
        # The object may be damaged, so the next put overwrites the same one.
        fields = {"partition": partition, "step": "put snapshot"}
        effects.append(effects_lib.Log("warning", "snapshot-failed", fields))
    elif cache is not None:
        cache.slot = (cache.slot + 1) % SLOTS


def _on_acquired(state, event, effects):
    domain = state.domains["snapshot"]
    first_at = state.now + state.rng.randint(INTERVAL_MS // 2, INTERVAL_MS)
    domain.caches[event.partition] = _Cache(first_at)


def _on_lost(state, event, effects):
    state.domains["snapshot"].caches.pop(event.partition, None)


HANDLERS = {
    events.ObjectAnswered: _on_object,
    events.Tick: _on_tick,
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
}
