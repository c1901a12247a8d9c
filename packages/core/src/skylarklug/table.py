"""Operations on the platform's transactional table.

`commit` and `read` queue an operation and call back exactly once with a
`Result`. Every written value contains the operation id as `op`. If the rows of
a conflict contain the operation's own id, an earlier send of it was committed.

A transaction should check at least one of the rows that it writes, which makes
it safe to repeat it after a lost answer. Without such a check, the transaction
may be applied more than once.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from skylarklug import effects as effects_lib
from skylarklug import events

# Limit of operations that are sent and not answered.
MAX_IN_FLIGHT = 50
# Limit of rows written by a merged transaction. A group that reaches it is sent
# without waiting for the next tick.
GROUP_ROWS = 64
# The delay before a retry is random, up to a limit that doubles with each
# attempt from the base to the cap.
RETRY_BASE_MS = 100
RETRY_CAP_MS = 5_000
# Initial timeout of an operation, unless the settings contain one.
TIMEOUT_MS = 1_000
# The timeout doubles with each failure and then starts again from the initial
# one, until an answer arrives within the initial timeout. This leaves a slow
# table enough time to answer and limits the delay caused by lost answers.
MAX_TIMEOUT_DOUBLINGS = 2
# Consecutive failures that are treated as an outage: operations are then queued
# and one probe is sent at a time. If 30% of the answers are lost, this
# number is reached in less than 1% of all cases.
OUTAGE_FAILURES = 4
# Total rate at which all nodes re-send queued operations after an outage. It is
# below the several hundred writes per second that the table supports.
RESEND_PER_S = 200
# Minimum rate per node, for settings with many nodes.
RESEND_MIN_PER_S = 4
# Urgent operations are re-sent within this time after an outage; the period for
# the others is at least as long.
URGENT_RESEND_MS = 500


class Result(NamedTuple):
    """Result of an operation.

    `status` is "committed", "conflict", "read" or "unavailable". `version` is
    the table version. `rows` contains the rows that were read, or those whose
    check failed. After "unavailable", it is unknown whether a write was
    committed.
    """

    status: str
    version: int
    rows: tuple[events.Row, ...]


class _Call:
    """A call of `commit` or `read` and its callback."""

    __slots__ = ("checks", "writes", "on_done", "finished")

    def __init__(self, checks, writes, on_done):
        self.checks = checks
        self.writes = writes
        self.on_done = on_done
        self.finished = False


class _Operation:
    """A read or transaction that is sent under one operation id."""

    __slots__ = (
        "op_id",
        "calls",
        "query",
        "checks",
        "writes",
        "group",
        "urgent",
        "attempts",
        "sent_at",
    )

    def __init__(self, op_id, calls, *, query=None, group="", urgent=False):
        self.op_id = op_id
        self.calls = calls
        self.query = query
        self.checks = ()
        self.writes = ()
        self.group = group
        self.urgent = urgent
        self.attempts = 0
        self.sent_at = 0

    def has_pending_calls(self):
        return any(not call.finished for call in self.calls)


class TableState:
    """Operations of this node that are not completed, and counters."""

    def __init__(self):
        self.operations: dict[str, _Operation] = {}
        self.groups: dict[str, list[_Call]] = {}
        self.busy_groups: set[str] = set()
        self.urgent: collections.deque[str] = collections.deque()
        self.ready: collections.deque[str] = collections.deque()
        self.retries: list[tuple[int, int, str]] = []
        self.deadlines: list[tuple[int, int, _Call]] = []
        self.sequence = 0
        self.in_flight = 0
        self.consecutive_failures = 0
        self.timeout_doublings = 0
        self.outage = False
        self.probe_at = 0
        self.probes = 0
        self.counters: collections.Counter[str] = collections.Counter()


def new_state() -> TableState:
    """Returns the initial state, without operations."""
    return TableState()


def counters(state) -> dict[str, int]:
    """Returns the totals since the start of the node.

    Keys: "reads", "writes" (transactions sent), "rows_read", "rows_written",
    "retries", "conflicts", "recognised", "unavailable", "merged".
    """
    return dict(state.domains["table"].counters)


def in_outage(state) -> bool:
    """Returns whether operations are queued because of an outage."""
    return state.domains["table"].outage


def commit(
    state,
    effects: list,
    checks: Sequence[effects_lib.Check],
    writes: Sequence[effects_lib.Write],
    on_done: Callable,
    *,
    group: str = "",
    deadline_ms: int = 0,
    urgent: bool = False,
):
    """Queues a transaction; `on_done(state, effects, result)` is called once.

    Transactions of the same `group` may be merged into one; the merged ones
    are sent one at a time. If the transaction is not completed within
    `deadline_ms` (0 for no limit), the result is "unavailable". An `urgent`
    transaction is sent before those that are not.
    """
    table = state.domains["table"]
    call = _Call(tuple(checks), tuple(writes), on_done)
    _add_deadline(state, table, call, deadline_ms)
    if not group:
        operation = _Operation(state.new_id("op"), [call], urgent=urgent)
        _submit(state, effects, table, operation)
        return
    queue = table.groups.setdefault(group, [])
    queue.append(call)
    if sum(len(waiting.writes) for waiting in queue) >= GROUP_ROWS:
        _flush(state, effects, table, group)


def read(
    state,
    effects: list,
    keys: Sequence[str],
    prefixes: Sequence[str],
    on_done: Callable,
    *,
    after_version: int = 0,
    deadline_ms: int = 0,
    urgent: bool = False,
):
    """Reads rows; `on_done(state, effects, result)` is called once."""
    table = state.domains["table"]
    call = _Call((), (), on_done)
    _add_deadline(state, table, call, deadline_ms)
    query = (tuple(keys), tuple(prefixes), after_version)
    op_id = state.new_id("op")
    operation = _Operation(op_id, [call], query=query, urgent=urgent)
    _submit(state, effects, table, operation)


def _add_deadline(state, table, call, deadline_ms):
    if not deadline_ms:
        return
    table.sequence += 1
    entry = (state.now + deadline_ms, table.sequence, call)
    heapq.heappush(table.deadlines, entry)


def _flush(state, effects, table, group):
    """Merges waiting transactions of a group into one operation.

    A transaction waits for the next operation if it checks or writes a row
    written by one already merged, writes a row checked by one, checks a row at
    a different version, or would exceed `GROUP_ROWS`.
    """
    if group in table.busy_groups:
        return
    versions: dict[str, int] = {}
    written: set[str] = set()
    merged = []
    deferred = []
    rows = 0
    for call in table.groups.pop(group, ()):
        if call.finished:
            continue
        keys = {write.key for write in call.writes}
        checked = {check.key: check.version for check in call.checks}
        must_wait = (
            (merged and rows + len(call.writes) > GROUP_ROWS)
            or not written.isdisjoint(keys)
            or not written.isdisjoint(checked)
            or not keys.isdisjoint(versions)
            or any(versions.get(k, v) != v for k, v in checked.items())
        )
        if must_wait:
            deferred.append(call)
            continue
        merged.append(call)
        versions.update(checked)
        written.update(keys)
        rows += len(call.writes)
    if deferred:
        table.groups[group] = deferred
    if not merged:
        return
    table.busy_groups.add(group)
    table.counters["merged"] += len(merged) - 1
    operation = _Operation(state.new_id("op"), merged, group=group)
    _submit(state, effects, table, operation)


def _submit(state, effects, table, operation):
    table.operations[operation.op_id] = operation
    queue = table.urgent if operation.urgent else table.ready
    queue.append(operation.op_id)
    _send_queued(state, effects, table)


def _send_queued(state, effects, table):
    while not table.outage and table.in_flight < MAX_IN_FLIGHT:
        if not _send_next(state, effects, table):
            return


def _send_next(state, effects, table):
    """Sends the next queued operation that has an unfinished call."""
    while table.urgent or table.ready:
        queue = table.urgent or table.ready
        operation = table.operations[queue.popleft()]
        if operation.has_pending_calls():
            _send(state, effects, table, operation)
            return True
        _remove(table, operation)
    return False


def _remove(table, operation):
    table.operations.pop(operation.op_id, None)
    if operation.group:
        table.busy_groups.discard(operation.group)


def _timeout_ms(state):
    return state.settings.get("table", {}).get("timeout_ms", TIMEOUT_MS)


def _send(state, effects, table, operation):
    timeout_ms = _timeout_ms(state) << table.timeout_doublings
    first = operation.attempts == 0
    operation.attempts += 1
    operation.sent_at = state.now
    table.in_flight += 1
    table.counters["retries"] += not first
    if operation.query is not None:
        table.counters["reads"] += 1
        op_id = operation.op_id
        effects.append(
            effects_lib.ReadTable(op_id, *operation.query, timeout_ms)
        )
        return
    if first:
        _set_content(operation)
    table.counters["writes"] += 1
    effects.append(
        effects_lib.CommitTable(
            operation.op_id, operation.checks, operation.writes, timeout_ms
        )
    )


def _set_content(operation):
    """Sets the content of an operation, which all retries send unchanged."""
    pending = [call for call in operation.calls if not call.finished]
    operation.calls = pending
    checks = {}
    writes = []
    for call in pending:
        for check in call.checks:
            checks[check.key] = check
        for write in call.writes:
            value = write.value
            if value is not None:
                value = {**value, "op": operation.op_id}
            writes.append(effects_lib.Write(write.key, value))
    operation.checks = tuple(checks.values())
    operation.writes = tuple(writes)


def _finish(state, effects, call, result):
    if call.finished:
        return
    call.finished = True
    call.on_done(state, effects, result)


def _on_answer(state, event, effects):
    table = state.domains["table"]
    operation = table.operations.get(event.op_id)
    if operation is None:
        return
    table.in_flight -= 1
    kind = "write" if operation.query is None else "read"
    attributes = {"operation": kind, "status": event.status}
    effects.append(
        effects_lib.Measure("skylarklug.table.operations", 1, attributes)
    )
    if event.status == "unavailable":
        _on_unavailable(state, effects, table, operation)
        return
    table.consecutive_failures = 0
    if state.now - operation.sent_at < _timeout_ms(state):
        table.timeout_doublings = 0
    if table.outage:
        _recover(state, effects, table)
    _remove(table, operation)
    if event.status == "conflict":
        _on_conflict(state, effects, table, operation, event)
    else:
        table.counters["rows_read"] += len(event.rows)
        table.counters["rows_written"] += len(operation.writes)
        result = Result(event.status, event.version, event.rows)
        for call in operation.calls:
            _finish(state, effects, call, result)
    _send_queued(state, effects, table)


def _on_conflict(state, effects, table, operation, event):
    own_rows = [
        row
        for row in event.rows
        if row.value is not None and row.value.get("op") == operation.op_id
    ]
    if own_rows:
        table.counters["recognised"] += 1
        table.counters["rows_written"] += len(operation.writes)
        result = Result("committed", own_rows[0].version, ())
        for call in operation.calls:
            _finish(state, effects, call, result)
        return
    table.counters["conflicts"] += 1
    failed_rows = {row.key: row for row in event.rows}
    conflicting = []
    others = []
    for call in operation.calls:
        has_conflict = any(check.key in failed_rows for check in call.checks)
        (conflicting if has_conflict else others).append(call)
    if not conflicting:
        conflicting, others = others, []
    if others:
        if operation.group:
            table.busy_groups.add(operation.group)
        resubmitted = _Operation(
            state.new_id("op"), others, group=operation.group
        )
        _submit(state, effects, table, resubmitted)
    for call in conflicting:
        keys = {check.key for check in call.checks}
        rows = tuple(row for row in event.rows if row.key in keys)
        _finish(state, effects, call, Result("conflict", event.version, rows))


def _on_unavailable(state, effects, table, operation):
    table.consecutive_failures += 1
    table.timeout_doublings += 1
    table.timeout_doublings %= MAX_TIMEOUT_DOUBLINGS + 1
    table.counters["unavailable"] += 1
    if not operation.has_pending_calls():
        _remove(table, operation)
    elif table.outage:
        queue = table.urgent if operation.urgent else table.ready
        queue.append(operation.op_id)
    else:
        delay_ms = _backoff_ms(state, operation.attempts)
        _retry_at(table, operation, state.now + delay_ms)
    if table.outage:
        table.probes += 1
        table.probe_at = state.now + _backoff_ms(state, table.probes)
    elif table.consecutive_failures >= OUTAGE_FAILURES:
        table.outage = True
        table.probes = 1
        table.probe_at = state.now + _backoff_ms(state, OUTAGE_FAILURES)
        fields = {"step": "table", "failures": table.consecutive_failures}
        effects.append(effects_lib.Log("warning", "table-outage", fields))
    _send_queued(state, effects, table)


def _backoff_ms(state, attempts):
    max_delay_ms = min(RETRY_CAP_MS, RETRY_BASE_MS << min(attempts, 10))
    return state.rng.randint(1, max_delay_ms)


def _retry_at(table, operation, at):
    table.sequence += 1
    heapq.heappush(table.retries, (at, table.sequence, operation.op_id))


def _recover(state, effects, table):
    """Schedules the operations queued during an outage at random times."""
    table.outage = False
    nodes = max(1, len(state.settings.get("nodes", ())))
    resend_per_s = max(RESEND_MIN_PER_S, RESEND_PER_S // nodes)
    queued = len(table.ready)
    for queue, window_ms in (
        (table.urgent, URGENT_RESEND_MS),
        (table.ready, max(URGENT_RESEND_MS, queued * 1000 // resend_per_s)),
    ):
        while queue:
            operation = table.operations[queue.popleft()]
            delay_ms = state.rng.randint(0, window_ms)
            _retry_at(table, operation, state.now + delay_ms)
    fields = {"step": "table", "held": queued}
    effects.append(effects_lib.Log("info", "table-recovered", fields))


def _on_tick(state, event, effects):
    table = state.domains["table"]
    unavailable = Result("unavailable", 0, ())
    while table.deadlines and table.deadlines[0][0] <= state.now:
        _, _, call = heapq.heappop(table.deadlines)
        _finish(state, effects, call, unavailable)
    while table.retries and table.retries[0][0] <= state.now:
        _, _, op_id = heapq.heappop(table.retries)
        operation = table.operations[op_id]
        queue = table.urgent if operation.urgent else table.ready
        queue.append(op_id)
    for group in list(table.groups):
        _flush(state, effects, table, group)
    if table.outage:
        # Waiting for operations in flight cannot block the probes forever,
        # because the adapter answers every effect.
        if table.in_flight == 0 and table.probe_at <= state.now:
            _send_next(state, effects, table)
        return
    _send_queued(state, effects, table)


HANDLERS = {
    events.TableAnswered: _on_answer,
    events.Tick: _on_tick,
}
