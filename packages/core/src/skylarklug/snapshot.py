"""Snapshots of a partition's rows, so that a new owner loads them quickly.

Two objects per partition are written in turn; a put that breaks off damages
only the older one. A snapshot holds what the table said at its version, so a
late put of a former owner is old but never wrong.

Object format: 4 bytes magic, 4 bytes CRC-32 of the rest (big endian), then
zlib-compressed CBOR `{"partition", "version", "rows"}` with rows as `[key,
version, value]`.
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

INTERVAL_MS = 60_000
SLOTS = 2
# An object store that is slower than this costs more than a full read.
FETCH_TIMEOUT_MS = 2_000
# Commits since the snapshot; about 10 minutes at 300 writes per second. A
# table may forget deletions older than that.
MAX_AGE_VERSIONS = 200_000
MAGIC = b"SLS1"
COMPRESSION_LEVEL = 1

_HEADER = struct.Struct(">4sI")


class Loaded(NamedTuple):
    """Rows of a partition at a table version.

    `source` is "snapshot" when only changed rows were read from the table,
    else "table".
    """

    partition: str
    rows: tuple[events.Row, ...]
    version: int
    source: str


class _Cache:
    """Rows of an owned partition as of a table version."""

    def __init__(self, snapshot_at):
        self.rows: dict[str, events.Row] = {}
        self.version = 0
        self.snapshot_at = snapshot_at
        self.slot = 0
        self.busy = False


class _Load:
    """A load whose objects have been asked for."""

    def __init__(self, partition, done, deadline):
        self.partition = partition
        self.done = done
        self.deadline = deadline
        self.waiting: set[str] = set()
        self.best: tuple[int, dict[str, events.Row]] | None = None


class SnapshotState:
    """Caches of owned partitions and loads under way."""

    def __init__(self):
        self.caches: dict[str, _Cache] = {}
        self.loads: list[_Load] = []
        self.puts: dict[str, str] = {}


def new_state() -> SnapshotState:
    """Returns the state of a node that owns nothing."""
    return SnapshotState()


def encode(partition: str, version: int, rows) -> bytes:
    """Returns a snapshot as the bytes of an object."""
    content = {
        "partition": partition,
        "version": version,
        "rows": [[row.key, row.version, row.value] for row in rows],
    }
    body = zlib.compress(cbor2.dumps(content), COMPRESSION_LEVEL)
    return _HEADER.pack(MAGIC, zlib.crc32(body)) + body


def decode(partition: str, data: bytes):
    """Returns (version, rows by key), or None when the object is damaged."""
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


def load(state, effects: list, partition: str, done: Callable):
    """Loads the rows of a partition; `done(state, effects, loaded)` follows.

    It reads the newest good snapshot and the rows changed since, or all rows
    when there is no such snapshot. The caller checks that it still owns the
    partition at the epoch for which it asked.
    """
    domain = state.domains["snapshot"]
    request = _Load(partition, done, state.now + FETCH_TIMEOUT_MS)
    for slot in range(SLOTS):
        op_id = state.new_id("load")
        request.waiting.add(op_id)
        key = object_key(partition, slot)
        effects.append(effects_lib.GetObject(op_id, key))
    domain.loads.append(request)


def _on_object(state, event, effects):
    domain = state.domains["snapshot"]
    partition = domain.puts.pop(event.op_id, None)
    if partition is not None:
        _on_put(state, effects, partition, event.status)
        return
    for request in domain.loads:
        if event.op_id not in request.waiting:
            continue
        request.waiting.discard(event.op_id)
        _take_object(effects, request, event)
        if not request.waiting:
            _read_rows(state, effects, request)
        return


def _take_object(effects, request, event):
    if event.status != "ok":
        return
    found = decode(request.partition, event.body)
    if found is None:
        fields = {"partition": request.partition, "step": "load snapshot"}
        effects.append(effects_lib.Log("warning", "snapshot-torn", fields))
    elif request.best is None or found[0] > request.best[0]:
        request.best = found


def _read_rows(state, effects, request):
    state.domains["snapshot"].loads.remove(request)
    version, rows = request.best or (0, {})
    if ownership.table_version(state) - version > MAX_AGE_VERSIONS:
        version, rows = 0, {}
    source = "snapshot" if version else "table"

    def done(state, effects, result):
        cache = _cache(state, request.partition)
        cache.rows = rows
        cache.version = 0
        _merge(cache, result)
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
        request.done(state, effects, loaded)

    prefixes = _prefixes(request.partition)
    table.read(state, effects, (), prefixes, done, after_version=version)


def _cache(state, partition):
    """Returns the cache of a partition; one not owned is not kept."""
    caches = state.domains["snapshot"].caches
    return caches.get(partition) or _Cache(0)


def _merge(cache, result):
    for row in result.rows:
        if row.value is None:
            cache.rows.pop(row.key, None)
        else:
            cache.rows[row.key] = row
    cache.version = max(cache.version, result.version)


# ---------------------------------------------------------------- snapshots


def _on_tick(state, event, effects):
    domain = state.domains["snapshot"]
    for request in list(domain.loads):
        if state.now >= request.deadline:
            _read_rows(state, effects, request)
    for partition, cache in domain.caches.items():
        if state.now < cache.snapshot_at or cache.busy:
            continue
        cache.snapshot_at = state.now + INTERVAL_MS
        if ownership.mode(state) == "held":
            _take(state, effects, partition, cache)


def _take(state, effects, partition, cache):
    """Reads what changed since the last snapshot and stores a new one."""
    domain = state.domains["snapshot"]

    def done(state, effects, result):
        cache.busy = False
        if result.status != "read" or domain.caches.get(partition) is not cache:
            return
        _merge(cache, result)
        op_id = state.new_id("snapshot")
        domain.puts[op_id] = partition
        body = encode(partition, cache.version, cache.rows.values())
        key = object_key(partition, cache.slot)
        effects.append(effects_lib.PutObject(op_id, key, body))

    cache.busy = True
    table.read(
        state,
        effects,
        (),
        _prefixes(partition),
        done,
        after_version=cache.version,
        deadline_ms=INTERVAL_MS,
    )


def _on_put(state, effects, partition, status):
    cache = state.domains["snapshot"].caches.get(partition)
    if status != "ok":
        # The object may be damaged now; the next put overwrites the same one.
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
