"""Keeps the configuration in force, changes it, and distributes new versions.

A change is a compare-and-set of `config/current` that also writes a history
and an audit row. A node applies only higher configuration versions, so an
accepted change is never reverted.

Peers announce a new version without the document. A node with an older
version reads the table immediately, and requests the document from the peer
if the table does not answer soon. Sending the document over every link would
cost several KB/s per node.
"""

from collections.abc import Callable
from collections.abc import Mapping
import copy
from typing import Any
from typing import NamedTuple

from skylarklug import document as document_lib
from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import exceptions
from skylarklug import membership
from skylarklug import table

# Key of the row that holds the configuration in force.
CURRENT = "config/current"
# Time between two reads of the table, shortened by up to 10% at random.
POLL_INTERVAL_MS = 2_000
# Time that the table has to answer each read or write of a change.
CHANGE_DEADLINE_MS = 4_000
# Upper bound of the random delay before a node writes version 1.
CREATE_DELAY_MS = 1_000
# Delay before the next read when the table returned an older version than a
# peer has reported.
REPOLL_INTERVAL_MS = 200
# Time that the table has to answer before the peer is asked instead.
REQUEST_DELAY_MS = 400
# With 30% packet loss, a request and its answer both arrive in 49% of all
# cases; 16 requests fit into the 5 s within which a change must be in force.
REQUEST_INTERVAL_MS = 250


class ConfigurationState:
    """The document in force, and the newest version that peers reported."""

    def __init__(self):
        self.version = 0
        self.document: document_lib.Document = copy.deepcopy(document_lib.EMPTY)
        self.table_version = 0
        self.polling = False
        self.poll_at = 0
        self.create_at = 0
        self.stopping = False
        # The newest version that a peer reported, and the peer's name.
        self.newest_reported = 0
        self.newest_peer = ""
        self.request_at = 0
        self.started_at = 0


def new_state() -> ConfigurationState:
    """Returns the initial state, without a configuration version."""
    return ConfigurationState()


def current(state) -> document_lib.Document:
    """Returns the document in force; callers must not modify it."""
    return state.domains["configuration"].document


def copy_current(state) -> document_lib.Document:
    """Returns a copy of the document in force that may be modified."""
    return copy.deepcopy(current(state))


def version(state) -> int:
    """Returns the configuration version in force, 0 before there is one."""
    return state.domains["configuration"].version


def status(state) -> dict[str, Any]:
    """Returns on which nodes the newest known version is in force.

    Keys: "version", "in_force", "nodes" and "versions" (version by node).
    """
    versions = membership.config_versions(state)
    newest = max(versions.values())
    in_force = sum(node_version == newest for node_version in versions.values())
    return {
        "version": newest,
        "in_force": in_force,
        "nodes": len(versions),
        "versions": versions,
    }


# ------------------------------------------------------------------ changes


def change(
    state,
    effects: list,
    actor: str,
    edit: Callable[[document_lib.Document], document_lib.Document],
    if_version: int,
    on_done: Callable,
    *,
    action: str = "set",
    key: str = "",
):
    """Puts an edited document in force by compare-and-set.

    Repeating a change with the same `key` and `action` has no effect and
    reports the version of the first one. A different action under the same
    key is a conflict.

    `edit` gets a copy of the current document, which it may modify, and
    returns the new one; it raises `exceptions.BadInput` for an invalid edit.
    `on_done(state, effects, status, body)` gets a status of `AnswerCommand`.
    The body of a conflict holds the version, actor and document of the change
    that succeeded. The body of "unavailable" holds `unknown`: false when
    nothing was changed, true when the answer to the write was lost.
    """
    audit = _audit_key(state, actor, key)

    def on_read(state, effects, result):
        if result.status != "read":
            body = {"reason": "the table does not answer", "unknown": False}
            on_done(state, effects, "unavailable", body)
            return
        rows = {row.key: row for row in result.rows}
        row = rows.get(CURRENT, events.Row(CURRENT, 0, None))
        _apply_row(state, effects, row)
        earlier = rows.get(audit)
        if earlier is not None and earlier.value is not None:
            _answer_repeat(state, effects, earlier.value, action, on_done)
            return
        change = _Change(actor, action, audit)
        _apply_edit(state, effects, change, edit, if_version, row, on_done)

    keys = (CURRENT, audit)
    table.read(
        state, effects, keys, (), on_read, deadline_ms=CHANGE_DEADLINE_MS
    )


class _Change(NamedTuple):
    """The actor and the action of a change, and the key of its audit row."""

    actor: str
    action: str
    audit: str


def _audit_key(state, actor, key):
    if key:
        return f"audit/{actor}/{key}"
    return f"audit/{state.new_id('config')}"


def _answer_repeat(state, effects, entry, action, on_done):
    if entry["action"] == action:
        body = {"version": entry["version"], "repeated": True}
        on_done(state, effects, "done", body)
        return
    body = {
        "message": f"the key was used for another command: {entry['action']}",
        "winner": entry,
    }
    on_done(state, effects, "conflict", body)


def _apply_edit(state, effects, change, edit, if_version, row, on_done):
    current_version = 0 if row.value is None else row.value["version"]
    if if_version and if_version != current_version:
        on_done(state, effects, "conflict", _describe_row(row))
        return
    document = (
        document_lib.EMPTY if row.value is None else row.value["document"]
    )
    try:
        document = edit(copy.deepcopy(document))
    except exceptions.BadInput as exc:
        on_done(state, effects, "bad-input", {"errors": [str(exc)]})
        return
    errors = document_lib.check(document)
    if errors:
        on_done(state, effects, "bad-input", {"errors": errors})
        return
    _commit_change(state, effects, change, document, row, on_done)


def _commit_change(state, effects, change, document, row, on_done):
    current_version = 0 if row.value is None else row.value["version"]
    value = {
        "version": current_version + 1,
        "document": document,
        "actor": change.actor,
    }
    history = f"config/history/{current_version + 1}"
    audit = change.audit
    entry = {
        "actor": change.actor,
        "action": change.action,
        "from": current_version,
        "version": current_version + 1,
        "node": state.node,
        "time_ms": _wall_clock_ms(state),
    }

    def on_commit(state, effects, result):
        if result.status == "committed":
            new_row = events.Row(CURRENT, result.version, value)
            _apply_row(state, effects, new_row)
            on_done(state, effects, "done", {"version": current_version + 1})
        elif result.status == "conflict":
            rows = {row.key: row for row in result.rows}
            earlier = rows.get(audit)
            if earlier is not None and earlier.value is not None:
                _answer_repeat(
                    state, effects, earlier.value, change.action, on_done
                )
                return
            current_row = rows.get(CURRENT, row)
            _apply_row(state, effects, current_row)
            on_done(state, effects, "conflict", _describe_row(current_row))
        else:
            reason = "no answer to the write; it may have taken effect"
            body = {
                "reason": reason,
                "unknown": True,
                "version": current_version + 1,
            }
            on_done(state, effects, "unavailable", body)

    table.commit(
        state,
        effects,
        (
            effects_lib.Check(CURRENT, row.version),
            effects_lib.Check(history, 0),
            effects_lib.Check(audit, 0),
        ),
        (
            effects_lib.Write(CURRENT, value),
            effects_lib.Write(history, value),
            effects_lib.Write(audit, entry),
        ),
        on_commit,
        deadline_ms=CHANGE_DEADLINE_MS,
    )


def rollback(
    state,
    effects: list,
    actor: str,
    to_version: int,
    if_version: int,
    on_done: Callable,
    *,
    key: str = "",
):
    """Puts the document of an old version in force as a new version."""
    history = f"config/history/{to_version}"

    def on_read(state, effects, result):
        if result.status != "read":
            body = {"reason": "the table does not answer", "unknown": False}
            on_done(state, effects, "unavailable", body)
            return
        values = [row.value for row in result.rows if row.value is not None]
        if not values:
            errors = [f"there is no configuration version {to_version}"]
            on_done(state, effects, "bad-input", {"errors": errors})
            return

        def edit(document):
            return values[0]["document"]

        action = f"rollback to {to_version}"
        change(
            state,
            effects,
            actor,
            edit,
            if_version,
            on_done,
            action=action,
            key=key,
        )

    table.read(
        state, effects, (history,), (), on_read, deadline_ms=CHANGE_DEADLINE_MS
    )


def _describe_row(row):
    if row.value is None:
        return {"version": 0, "actor": "", "document": {}}
    return {
        "version": row.value["version"],
        "actor": row.value.get("actor", ""),
        "document": row.value["document"],
    }


def _wall_clock_ms(state):
    started_at = state.domains["configuration"].started_at
    return state.incarnation + state.now - started_at


# ------------------------------------------------------------- distribution


def _is_valid(value) -> bool:
    document = value.get("document")
    if not isinstance(value.get("version"), int) or document is None:
        return False
    return not document_lib.check(document)


def _apply_row(state, effects, row):
    if row.value is not None and not _is_valid(row.value):
        # A row that was not written by this system must not stop the node.
        fields = {"step": "read configuration", "version": row.version}
        effects.append(effects_lib.Log("error", "config-invalid", fields))
        return
    if row.value is not None:
        _apply(state, effects, row.value["version"], row.value["document"], "")


def _apply(state, effects, new_version, document, source):
    """Puts a document in force if its version is higher than the current."""
    domain = state.domains["configuration"]
    if new_version <= domain.version:
        return
    is_first = domain.version == 0
    domain.version = new_version
    domain.document = document
    membership.set_config_version(state, new_version)
    state.raise_event(events.ConfigApplied(state.now, new_version, document))
    fields = {"version": new_version, "peer": source or "table"}
    effects.append(effects_lib.Log("info", "config-applied", fields))
    effects.append(
        effects_lib.Measure("skylarklug.config.version", new_version, {})
    )
    if is_first and not domain.stopping:
        effects.append(effects_lib.SetReady(True, "configuration is held"))
    peer_versions = membership.config_versions(state)
    for peer in membership.linked_nodes(state):
        if peer_versions.get(peer, 0) < new_version:
            _announce(state, effects, peer)


def _announce(state, effects, peer, document=None, request_document=False):
    """Sends a peer this node's version, with or without a document.

    `request_document` asks the peer to answer with its document.
    """
    version = state.domains["configuration"].version
    fields = {
        "version": version,
        "document": document,
        "want": request_document,
    }
    membership.send(state, effects, peer, "config", fields)


def _on_message(state, event, effects):
    domain = state.domains["configuration"]
    body = event.body
    kind = body.get("kind")
    if kind not in ("config", "ping", "ack"):
        return
    peer_version = body.get("version", 0)
    if body.get("want") and peer_version < domain.version:
        _announce(state, effects, event.peer, domain.document)
    elif body.get("document") is not None:
        _accept_document(state, effects, event.peer, body)
    elif peer_version > domain.version:
        _record_peer_version(state, event.peer, peer_version)


def _record_peer_version(state, peer, peer_version):
    """Records a higher version of a peer, and schedules reading it."""
    domain = state.domains["configuration"]
    if peer_version < domain.newest_reported:
        return
    if (
        domain.newest_reported <= domain.version
        or peer_version > domain.newest_reported
    ):
        domain.poll_at = state.now
        domain.request_at = state.now + REQUEST_DELAY_MS
    domain.newest_reported = peer_version
    domain.newest_peer = peer


def _accept_document(state, effects, peer, body: Mapping[str, Any]):
    domain = state.domains["configuration"]
    if body["version"] <= domain.version:
        return
    errors = document_lib.check(body["document"])
    if errors:
        # The table holds only valid documents, so the peer probably runs a
        # newer release with another schema.
        fields = {"peer": peer, "version": body["version"], "reason": errors}
        effects.append(effects_lib.Log("error", "config-refused", fields))
        return
    _apply(state, effects, body["version"], body["document"], peer)


def _on_connected(state, event, effects):
    if state.domains["configuration"].version:
        _announce(state, effects, event.peer)


def _poll(state, effects):
    domain = state.domains["configuration"]

    def on_read(state, effects, result):
        domain.polling = False
        if result.status != "read":
            return
        domain.table_version = max(domain.table_version, result.version)
        for row in result.rows:
            _apply_row(state, effects, row)
        if domain.newest_reported > domain.version:
            # The table may have answered before the change was written.
            repoll_at = state.now + REPOLL_INTERVAL_MS
            domain.poll_at = min(domain.poll_at, repoll_at)
        if not domain.version and not domain.create_at:
            delay_ms = state.rng.randint(0, CREATE_DELAY_MS)
            domain.create_at = state.now + delay_ms

    domain.polling = True
    table.read(
        state,
        effects,
        (CURRENT,),
        (),
        on_read,
        after_version=domain.table_version,
        deadline_ms=POLL_INTERVAL_MS,
    )


def _create(state, effects):
    """Writes version 1 when the table holds no configuration yet.

    Nodes that start together call this after a random delay. The write
    requires that the row is absent, so only one of them succeeds.
    """
    domain = state.domains["configuration"]
    document = copy.deepcopy(
        state.settings.get("configuration", document_lib.EMPTY)
    )

    def on_done(state, effects, status, body):
        domain.create_at = 0

    row = events.Row(CURRENT, 0, None)
    change = _Change(state.node, "create", _audit_key(state, state.node, ""))
    _commit_change(state, effects, change, document, row, on_done)


# ----------------------------------------------------------------- handlers


def _on_started(state, event, effects):
    state.domains["configuration"] = domain = ConfigurationState()
    domain.started_at = state.now
    domain.poll_at = state.now


def _on_tick(state, event, effects):
    domain = state.domains["configuration"]
    if state.now >= domain.poll_at and not domain.polling:
        jitter_ms = state.rng.randint(0, POLL_INTERVAL_MS // 10)
        domain.poll_at = state.now + POLL_INTERVAL_MS - jitter_ms
        _poll(state, effects)
    if (
        domain.newest_reported > domain.version
        and state.now >= domain.request_at
    ):
        domain.request_at = state.now + REQUEST_INTERVAL_MS
        _announce(state, effects, domain.newest_peer, request_document=True)
    if domain.create_at and state.now >= domain.create_at:
        domain.create_at = 0
        if not domain.version:
            _create(state, effects)


def _on_stop(state, event, effects):
    state.domains["configuration"].stopping = True


HANDLERS = {
    events.NodeStarted: _on_started,
    events.Tick: _on_tick,
    events.StopRequested: _on_stop,
    events.PeerConnected: _on_connected,
    events.PeerMessage: _on_message,
}
