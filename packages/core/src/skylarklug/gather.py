"""Collects rows from the other nodes for an operator's query.

The node that received the query sends it to every node of its own data centre
and to one node of each other data centre, which relays it to the others there.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from skylarklug import events
from skylarklug import membership
from skylarklug import query

# Time to wait for the answers of other nodes.
TIMEOUT_MS = 2000
# A relaying node stops waiting this much earlier, so that its own answer
# arrives before the timeout.
RELAY_MARGIN_MS = 500
# Keeps an answer below the frame size limit.
ROWS_PER_FRAME = 100
# Lists whose rows exist only on their owner: they need no merging, and their
# counts can be added up.
OWNED_LISTS = frozenset({"jobs", "tasks"})
# Columns that identify a row that several nodes know; the first column for
# all other lists.
ROW_KEYS = {"services": ("service", "node"), "teams": ("team", "partition")}


class PendingQuery:
    """A query that waits for answers from other nodes.

    Attributes:
        deadline: Monotonic time at which the query ends without the missing
            answers.
        rows: Rows received so far.
        on_result: Called with the `Result`.
        unanswered: Data centre of each node that has not answered yet.
        received_parts: Number of frames received from each node.
        missing: Data centres whose rows are incomplete.
    """

    def __init__(self, deadline, rows, on_result):
        self.deadline = deadline
        self.rows = list(rows)
        self.on_result: Callable = on_result
        self.unanswered: dict[str, str] = {}
        self.received_parts: dict[str, int] = {}
        self.missing: set[str] = set()


class Result(NamedTuple):
    """Rows of all nodes that answered, and data centres with missing rows."""

    rows: list[dict[str, Any]]
    missing: list[str]


class GatherState:
    """Pending queries by id."""

    def __init__(self):
        self.pending: dict[str, PendingQuery] = {}


def new_state() -> GatherState:
    """Returns the initial state, without queries."""
    return GatherState()


def collect(state, effects, text, scope, own_rows, on_result) -> None:
    """Queries other nodes and calls `on_result(state, effects, result)` once.

    Args:
        state: State of the node.
        effects: Effects to append to.
        text: The operator's command.
        scope: "deployment" for all nodes, "data-centre" for those of this
            data centre.
        own_rows: Rows of this node.
        on_result: Called with a `Result`.
    """
    timeout_ms = TIMEOUT_MS
    if scope == "data-centre":
        timeout_ms -= RELAY_MARGIN_MS
    query_id = state.new_id("ask")
    pending = PendingQuery(state.now + timeout_ms, own_rows, on_result)
    for node in membership.live_nodes(state, state.data_centre):
        if node == state.node:
            continue
        if not membership.is_reachable(state, node):
            pending.missing.add(state.data_centre)
            continue
        pending.unanswered[node] = state.data_centre
        _send(state, effects, node, query_id, text, "node")
    if scope == "deployment":
        _query_other_data_centres(state, effects, pending, query_id, text)
    state.domains["gather"].pending[query_id] = pending
    _finish_if_complete(state, effects, query_id)


def _query_other_data_centres(state, effects, pending, query_id, text):
    rows = membership.list_nodes(state)
    for data_centre in sorted({row["data_centre"] for row in rows}):
        if data_centre == state.data_centre:
            continue
        for node in membership.live_nodes(state, data_centre):
            if not membership.is_reachable(state, node):
                continue
            pending.unanswered[node] = data_centre
            _send(state, effects, node, query_id, text, "data-centre")
            break
        else:
            pending.missing.add(data_centre)


def _send(state, effects, node, query_id, text, scope):
    fields = {"id": query_id, "text": text, "scope": scope}
    membership.send(state, effects, node, "command", fields)


def send_rows(state, effects, peer, query_id, rows, missing) -> None:
    """Sends rows to the querying node, split by the frame size limit."""
    parts = max(1, -(-len(rows) // ROWS_PER_FRAME))
    for part in range(parts):
        first = part * ROWS_PER_FRAME
        fields = {
            "id": query_id,
            "rows": rows[first : first + ROWS_PER_FRAME],
            "missing": sorted(missing),
            "part": part,
            "parts": parts,
        }
        membership.send(state, effects, peer, "command-answer", fields)


def _on_peer_message(state, event, effects):
    if event.body.get("kind") != "command-answer":
        return
    query_id = event.body.get("id")
    pending = state.domains["gather"].pending.get(query_id)
    if pending is None or event.peer not in pending.unanswered:
        return
    pending.rows.extend(event.body.get("rows", ()))
    pending.missing.update(event.body.get("missing", ()))
    received = pending.received_parts.get(event.peer, 0) + 1
    pending.received_parts[event.peer] = received
    if received < event.body.get("parts", 1):
        return
    del pending.unanswered[event.peer]
    _finish_if_complete(state, effects, query_id)


def _on_peer_lost(state, event, effects):
    for query_id, pending in list(state.domains["gather"].pending.items()):
        data_centre = pending.unanswered.pop(event.peer, None)
        if data_centre is None:
            continue
        pending.missing.add(data_centre)
        _finish_if_complete(state, effects, query_id)


def _on_tick(state, event, effects):
    for query_id, pending in list(state.domains["gather"].pending.items()):
        if event.at < pending.deadline:
            continue
        pending.missing.update(pending.unanswered.values())
        pending.unanswered.clear()
        _finish_if_complete(state, effects, query_id)


def _finish_if_complete(state, effects, query_id):
    pending = state.domains["gather"].pending[query_id]
    if pending.unanswered:
        return
    del state.domains["gather"].pending[query_id]
    result = Result(pending.rows, sorted(pending.missing))
    pending.on_result(state, effects, result)


def merge(name: str, rows: list) -> list[dict]:
    """Merges rows with the same identity, keeping each field's first value.

    Every node knows the VM list, but only the owner of a worker knows its
    allocated resources, so a complete row needs values of both.
    """
    if name in OWNED_LISTS:
        return rows
    columns = ROW_KEYS.get(name, query.FIELDS[name][:1])
    merged = {}
    for row in rows:
        key = tuple(str(row.get(column)) for column in columns)
        merged_row = merged.setdefault(key, {})
        for field, value in row.items():
            if merged_row.get(field) is None:
                merged_row[field] = value
    return list(merged.values())


HANDLERS = {
    events.PeerMessage: _on_peer_message,
    events.PeerLost: _on_peer_lost,
    events.Tick: _on_tick,
}
