"""The configuration in force and its changes.

A change is a compare-and-set of `config/current` that also writes a history
and an audit row. Only a higher configuration version is ever applied, so an
accepted one never reverts.

Peers announce a new version without the document. A node that is behind reads
the table at once and asks the peer for the document when the table does not
answer soon: sending the document over every link costs several KB/s per node.
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

CURRENT = "config/current"
POLL_INTERVAL_MS = 2_000
CHANGE_DEADLINE_MS = 4_000
CREATE_DELAY_MS = 1_000
REPOLL_INTERVAL_MS = 200
ASK_DELAY_MS = 400
# With 30% loss a question and its answer both arrive in 49% of all cases; 16
# questions fit into the 5 s that a change may take.
ASK_INTERVAL_MS = 250


class ConfigurationState:
    """The document in force and what is known about newer ones."""

    def __init__(self):
        self.version = 0
        self.document: document_lib.Document = copy.deepcopy(document_lib.EMPTY)
        self.table_version = 0
        self.polling = False
        self.poll_at = 0
        self.create_at = 0
        self.stopping = False
        # The newest version that a peer reported, and that peer.
        self.ahead = 0
        self.ahead_peer = ""
        self.ask_at = 0
        self.started_at = 0


def new_state() -> ConfigurationState:
    """Returns the state of a node that holds no version."""
    return ConfigurationState()


def current(state) -> document_lib.Document:
    """Returns the document in force; it must not be changed in place."""
    return state.domains["configuration"].document


def copy_current(state) -> document_lib.Document:
    """Returns a copy of the document in force, free to be changed."""
    return copy.deepcopy(current(state))


def version(state) -> int:
    """Returns the configuration version in force, 0 before there is one."""
    return state.domains["configuration"].version


def status(state) -> dict[str, Any]:
    """Returns where the newest version known is in force.

    Keys: "version", "in_force", "nodes" and "versions" (version by node).
    """
    versions = membership.config_versions(state)
    newest = max(versions.values())
    in_force = sum(held == newest for held in versions.values())
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
    done: Callable,
    *,
    action: str = "set",
    key: str = "",
):
    """Puts an edited document in force by compare-and-set.

    A repeat with the same `key` and `action` changes nothing and reports the
    version of the first one; another action under the key is a conflict.

    `edit` returns the new document and may change its argument, a copy; it
    raises `exceptions.BadInput` when it can't. `done(state, effects, status,
    body)` gets the statuses of `AnswerCommand`. A conflict shows the winner's
    version, actor and document. "unavailable" carries `unknown`: false when
    nothing was changed, true when the answer to the write was lost.
    """
    audit = _audit_key(state, actor, key)

    def on_read(state, effects, result):
        if result.status != "read":
            body = {"reason": "the table does not answer", "unknown": False}
            done(state, effects, "unavailable", body)
            return
        rows = {row.key: row for row in result.rows}
        row = rows.get(CURRENT, events.Row(CURRENT, 0, None))
        _apply_row(state, effects, row)
        earlier = rows.get(audit)
        if earlier is not None and earlier.value is not None:
            _repeat(state, effects, earlier.value, action, done)
            return
        change = _Change(actor, action, audit)
        _edit(state, effects, change, edit, if_version, row, done)

    keys = (CURRENT, audit)
    table.read(
        state, effects, keys, (), on_read, deadline_ms=CHANGE_DEADLINE_MS
    )


class _Change(NamedTuple):
    """Who changes what, and the key of the audit row."""

    actor: str
    action: str
    audit: str


def _audit_key(state, actor, key):
    if key:
        return f"audit/{actor}/{key}"
    return f"audit/{state.new_id('config')}"


def _repeat(state, effects, entry, action, done):
    if entry["action"] == action:
        body = {"version": entry["version"], "repeated": True}
        done(state, effects, "done", body)
        return
    body = {
        "message": f"the key was used for another command: {entry['action']}",
        "winner": entry,
    }
    done(state, effects, "conflict", body)


def _edit(state, effects, change, edit, if_version, row, done):
    held = 0 if row.value is None else row.value["version"]
    if if_version and if_version != held:
        done(state, effects, "conflict", _winner(row))
        return
    document = (
        document_lib.EMPTY if row.value is None else row.value["document"]
    )
    try:
        document = edit(copy.deepcopy(document))
    except exceptions.BadInput as exc:
        done(state, effects, "bad-input", {"errors": [str(exc)]})
        return
    errors = document_lib.check(document)
    if errors:
        done(state, effects, "bad-input", {"errors": errors})
        return
    _write(state, effects, change, document, row, done)


def _write(state, effects, change, document, row, done):
    held = 0 if row.value is None else row.value["version"]
    value = {"version": held + 1, "document": document, "actor": change.actor}
    history = f"config/history/{held + 1}"
    audit = change.audit
    entry = {
        "actor": change.actor,
        "action": change.action,
        "from": held,
        "version": held + 1,
        "node": state.node,
        "time_ms": _wall_clock_ms(state),
    }

    def on_commit(state, effects, result):
        if result.status == "committed":
            fresh = events.Row(CURRENT, result.version, value)
            _apply_row(state, effects, fresh)
            done(state, effects, "done", {"version": held + 1})
        elif result.status == "conflict":
            rows = {row.key: row for row in result.rows}
            earlier = rows.get(audit)
            if earlier is not None and earlier.value is not None:
                _repeat(state, effects, earlier.value, change.action, done)
                return
            winner = rows.get(CURRENT, row)
            _apply_row(state, effects, winner)
            done(state, effects, "conflict", _winner(winner))
        else:
            reason = "no answer to the write; it may have taken effect"
            body = {"reason": reason, "unknown": True, "version": held + 1}
            done(state, effects, "unavailable", body)

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
    done: Callable,
    *,
    key: str = "",
):
    """Puts the document of an old version in force under a new version."""
    history = f"config/history/{to_version}"

    def on_read(state, effects, result):
        if result.status != "read":
            body = {"reason": "the table does not answer", "unknown": False}
            done(state, effects, "unavailable", body)
            return
        found = [row.value for row in result.rows if row.value is not None]
        if not found:
            errors = [f"there is no configuration version {to_version}"]
            done(state, effects, "bad-input", {"errors": errors})
            return

        def edit(document):
            return found[0]["document"]

        action = f"rollback to {to_version}"
        change(
            state,
            effects,
            actor,
            edit,
            if_version,
            done,
            action=action,
            key=key,
        )

    table.read(
        state, effects, (history,), (), on_read, deadline_ms=CHANGE_DEADLINE_MS
    )


def _winner(row):
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


# ------------------------------------------------------------------- spread


def _is_valid(value) -> bool:
    document = value.get("document")
    if not isinstance(value.get("version"), int) or document is None:
        return False
    return not document_lib.check(document)


def _apply_row(state, effects, row):
    if row.value is not None and not _is_valid(row.value):
        # A row written by other means must not stop the node.
        fields = {"step": "read configuration", "version": row.version}
        effects.append(effects_lib.Log("error", "config-invalid", fields))
        return
    if row.value is not None:
        _apply(state, effects, row.value["version"], row.value["document"], "")


def _apply(state, effects, new_version, document, source):
    """Puts a document in force when its version is higher."""
    domain = state.domains["configuration"]
    if new_version <= domain.version:
        return
    first = domain.version == 0
    domain.version = new_version
    domain.document = document
    membership.set_config_version(state, new_version)
    state.raise_event(events.ConfigApplied(state.now, new_version, document))
    fields = {"version": new_version, "peer": source or "table"}
    effects.append(effects_lib.Log("info", "config-applied", fields))
    effects.append(
        effects_lib.Measure("skylarklug.config.version", new_version, {})
    )
    if first and not domain.stopping:
        effects.append(effects_lib.SetReady(True, "configuration is held"))
    known = membership.config_versions(state)
    for peer in membership.linked_nodes(state):
        if known.get(peer, 0) < new_version:
            _send(state, effects, peer)


def _send(state, effects, peer, document=None, want=False):
    """Announces the version held, with the document or asking for one."""
    version = state.domains["configuration"].version
    fields = {"version": version, "document": document, "want": want}
    membership.send(state, effects, peer, "config", fields)


def _on_message(state, event, effects):
    domain = state.domains["configuration"]
    body = event.body
    kind = body.get("kind")
    if kind not in ("config", "ping", "ack"):
        return
    theirs = body.get("version", 0)
    if body.get("want") and theirs < domain.version:
        _send(state, effects, event.peer, domain.document)
    elif body.get("document") is not None:
        _take(state, effects, event.peer, body)
    elif theirs > domain.version:
        _learn(state, event.peer, theirs)


def _learn(state, peer, theirs):
    """Notes that a peer holds a higher version."""
    domain = state.domains["configuration"]
    if theirs < domain.ahead:
        return
    if domain.ahead <= domain.version or theirs > domain.ahead:
        domain.poll_at = state.now
        domain.ask_at = state.now + ASK_DELAY_MS
    domain.ahead = theirs
    domain.ahead_peer = peer


def _take(state, effects, peer, body: Mapping[str, Any]):
    domain = state.domains["configuration"]
    if body["version"] <= domain.version:
        return
    errors = document_lib.check(body["document"])
    if errors:
        # Only an accepted document reaches the table, so a peer that runs a
        # newer release is the likely source.
        fields = {"peer": peer, "version": body["version"], "reason": errors}
        effects.append(effects_lib.Log("error", "config-refused", fields))
        return
    _apply(state, effects, body["version"], body["document"], peer)


def _on_connected(state, event, effects):
    if state.domains["configuration"].version:
        _send(state, effects, event.peer)


def _poll(state, effects):
    domain = state.domains["configuration"]

    def done(state, effects, result):
        domain.polling = False
        if result.status != "read":
            return
        domain.table_version = max(domain.table_version, result.version)
        for row in result.rows:
            _apply_row(state, effects, row)
        if domain.ahead > domain.version:
            # The read may have been answered before the change.
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
        done,
        after_version=domain.table_version,
        deadline_ms=POLL_INTERVAL_MS,
    )


def _create(state, effects):
    """Writes version 1 when the table holds no configuration yet.

    Nodes that start together wait a random time first, and the check that
    the row is absent lets one of them win.
    """
    domain = state.domains["configuration"]
    document = copy.deepcopy(
        state.settings.get("configuration", document_lib.EMPTY)
    )

    def done(state, effects, status, body):
        domain.create_at = 0

    row = events.Row(CURRENT, 0, None)
    change = _Change(state.node, "create", _audit_key(state, state.node, ""))
    _write(state, effects, change, document, row, done)


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
    if domain.ahead > domain.version and state.now >= domain.ask_at:
        domain.ask_at = state.now + ASK_INTERVAL_MS
        _send(state, effects, domain.ahead_peer, want=True)
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
