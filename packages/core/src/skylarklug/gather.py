"""Collects rows from the other nodes for an operator's question.

The node that got the question asks every node of its own data centre and one
node of each other data centre, which asks the rest of its own.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from skylarklug import events
from skylarklug import membership
from skylarklug import query

TIMEOUT_MS = 2000
# Time kept back from a relaying node, so that its answer arrives in time.
RELAY_MARGIN_MS = 500
ROWS_PER_FRAME = 100
# Lists whose rows exist only on the owner; their counts can be added up.
OWNED_LISTS = frozenset({"jobs", "tasks"})
# Columns that identify a row when several nodes know about it.
ROW_KEYS = {"services": ("service", "node"), "teams": ("team", "partition")}


class Waiting:
    """One question that waits for answers from other nodes."""

    def __init__(self, deadline, rows, done):
        self.deadline = deadline
        self.rows = list(rows)
        self.done: Callable = done
        self.open: dict[str, str] = {}
        self.parts: dict[str, int] = {}
        self.missing: set[str] = set()


class Result(NamedTuple):
    """Rows from all nodes that answered, and the data centres missing."""

    rows: list[dict[str, Any]]
    missing: list[str]


class GatherState:
    """Questions in progress by id."""

    def __init__(self):
        self.waiting: dict[str, Waiting] = {}


def new_state() -> GatherState:
    """Returns an empty state."""
    return GatherState()


def collect(state, effects, text, scope, own_rows, done) -> None:
    """Asks other nodes and calls `done(state, effects, result)` once.

    Args:
        state: State of the node.
        effects: Effects to append to.
        text: The operator's command.
        scope: "deployment" for all nodes, "data-centre" for this one.
        own_rows: Rows that this node itself contributes.
        done: Called with a `Result`.
    """
    timeout = TIMEOUT_MS
    if scope == "data-centre":
        timeout -= RELAY_MARGIN_MS
    ident = state.new_id("ask")
    waiting = Waiting(state.now + timeout, own_rows, done)
    for node in membership.live_nodes(state, state.data_centre):
        if node == state.node:
            continue
        if not membership.is_reachable(state, node):
            waiting.missing.add(state.data_centre)
            continue
        waiting.open[node] = state.data_centre
        _send(state, effects, node, ident, text, "node")
    if scope == "deployment":
        _ask_other_data_centres(state, effects, waiting, ident, text)
    state.domains["gather"].waiting[ident] = waiting
    _finish_if_complete(state, effects, ident)


def _ask_other_data_centres(state, effects, waiting, ident, text):
    rows = membership.list_nodes(state)
    for data_centre in sorted({row["data_centre"] for row in rows}):
        if data_centre == state.data_centre:
            continue
        for node in membership.live_nodes(state, data_centre):
            if not membership.is_reachable(state, node):
                continue
            waiting.open[node] = data_centre
            _send(state, effects, node, ident, text, "data-centre")
            break
        else:
            waiting.missing.add(data_centre)


def _send(state, effects, node, ident, text, scope):
    fields = {"id": ident, "text": text, "scope": scope}
    membership.send(state, effects, node, "command", fields)


def send_rows(state, effects, peer, ident, rows, missing) -> None:
    """Sends rows back in frames below the frame size limit."""
    parts = max(1, -(-len(rows) // ROWS_PER_FRAME))
    for part in range(parts):
        first = part * ROWS_PER_FRAME
        fields = {
            "id": ident,
            "rows": rows[first : first + ROWS_PER_FRAME],
            "missing": sorted(missing),
            "part": part,
            "parts": parts,
        }
        membership.send(state, effects, peer, "command-answer", fields)


def _on_peer_message(state, event, effects):
    if event.body.get("kind") != "command-answer":
        return
    ident = event.body.get("id")
    waiting = state.domains["gather"].waiting.get(ident)
    if waiting is None or event.peer not in waiting.open:
        return
    waiting.rows.extend(event.body.get("rows", ()))
    waiting.missing.update(event.body.get("missing", ()))
    received = waiting.parts.get(event.peer, 0) + 1
    waiting.parts[event.peer] = received
    if received < event.body.get("parts", 1):
        return
    del waiting.open[event.peer]
    _finish_if_complete(state, effects, ident)


def _on_peer_lost(state, event, effects):
    for ident, waiting in list(state.domains["gather"].waiting.items()):
        data_centre = waiting.open.pop(event.peer, None)
        if data_centre is None:
            continue
        waiting.missing.add(data_centre)
        _finish_if_complete(state, effects, ident)


def _on_tick(state, event, effects):
    for ident, waiting in list(state.domains["gather"].waiting.items()):
        if event.at < waiting.deadline:
            continue
        waiting.missing.update(waiting.open.values())
        waiting.open.clear()
        _finish_if_complete(state, effects, ident)


def _finish_if_complete(state, effects, ident):
    waiting = state.domains["gather"].waiting[ident]
    if waiting.open:
        return
    del state.domains["gather"].waiting[ident]
    result = Result(waiting.rows, sorted(waiting.missing))
    waiting.done(state, effects, result)


def merge(name: str, rows: list) -> list[dict]:
    """Merges rows about the same thing; the first known value of a field wins.

    Every node knows the VM list, but only the owner of a worker knows its
    commitments, so their rows complete each other.
    """
    if name in OWNED_LISTS:
        return rows
    columns = ROW_KEYS.get(name, query.FIELDS[name][:1])
    merged = {}
    for row in rows:
        key = tuple(str(row.get(column)) for column in columns)
        known = merged.setdefault(key, {})
        for field, value in row.items():
            if known.get(field) is None:
                known[field] = value
    return list(merged.values())


HANDLERS = {
    events.PeerMessage: _on_peer_message,
    events.PeerLost: _on_peer_lost,
    events.Tick: _on_tick,
}
