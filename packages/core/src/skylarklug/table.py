"""Operations on the platform's transactional table.

`commit` and `read` queue an operation and call back once with a `Result`.
Every written value carries the operation id as `op`, so a conflict that shows
the operation's own id means that an earlier send had taken effect.

A transaction should check at least one of the rows that it writes: the check
makes a repeat after a lost answer harmless. Without such a check the
transaction may be applied more than once.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from skylarklug import effects as effects_lib
from skylarklug import events

MAX_IN_FLIGHT = 50
GROUP_ROWS = 64
RETRY_BASE_MS = 100
RETRY_CAP_MS = 5_000
TIMEOUT_MS = 1_000
# The timeout doubles with each failure, then starts again, until an answer
# comes within the first timeout: a slow table gets to answer, and lost answers
# cost little.
MAX_TIMEOUT_DOUBLINGS = 2
# Consecutive failures after which operations are held and one probe at a time
# is sent. Lost answers at 30% reach it in less than 1% of all cases.
OUTAGE_FAILURES = 4
# All nodes together re-send held operations at this rate after an outage; it
# stays below the several hundred writes per second that the table takes.
RESEND_PER_S = 200
RESEND_MIN_PER_S = 4
URGENT_RESEND_MS = 500


class Result(NamedTuple):
    """Outcome of an operation.

    `status` is "committed", "conflict", "read" or "unavailable". `version` is
    the table version; `rows` holds what was read, or the rows whose check
    failed. After "unavailable" the effect of a write is unknown.
    """

    status: str
    version: int
    rows: tuple[events.Row, ...]


class _Member:
    """One caller's transaction or read."""

    __slots__ = ("checks", "writes", "done", "finished")

    def __init__(self, checks, writes, done):
        self.checks = checks
        self.writes = writes
        self.done = done
        self.finished = False


class _Operation:
    """What is sent to the table under one operation id."""

    __slots__ = (
        "op_id",
        "members",
        "query",
        "checks",
        "writes",
        "group",
        "urgent",
        "attempts",
        "sent_at",
    )

    def __init__(self, op_id, members, *, query=None, group="", urgent=False):
        self.op_id = op_id
        self.members = members
        self.query = query
        self.checks = ()
        self.writes = ()
        self.group = group
        self.urgent = urgent
        self.attempts = 0
        self.sent_at = 0

    def is_wanted(self):
        return any(not member.finished for member in self.members)


class TableState:
    """Operations of this node that the table has not settled."""

    def __init__(self):
        self.operations: dict[str, _Operation] = {}
        self.groups: dict[str, list[_Member]] = {}
        self.busy_groups: set[str] = set()
        self.urgent: collections.deque[str] = collections.deque()
        self.ready: collections.deque[str] = collections.deque()
        self.retries: list[tuple[int, int, str]] = []
        self.deadlines: list[tuple[int, int, _Member]] = []
        self.sequence = 0
        self.in_flight = 0
        self.failures = 0
        self.timeout_doublings = 0
        self.outage = False
        self.probe_at = 0
        self.probes = 0
        self.counters: collections.Counter[str] = collections.Counter()


def new_state() -> TableState:
    """Returns the state of a node without operations."""
    return TableState()


def counters(state) -> dict[str, int]:
    """Returns totals since the start.

    Keys: "reads", "writes" (transactions sent), "rows_read", "rows_written",
    "retries", "conflicts", "recognised", "unavailable", "merged".
    """
    return dict(state.domains["table"].counters)


def in_outage(state) -> bool:
    """Returns whether the last operations all failed."""
    return state.domains["table"].outage


def commit(
    state,
    effects: list,
    checks: Sequence[effects_lib.Check],
    writes: Sequence[effects_lib.Write],
    done: Callable,
    *,
    group: str = "",
    deadline_ms: int = 0,
    urgent: bool = False,
):
    """Queues a transaction; `done(state, effects, result)` is called once.

    Transactions of one `group` may be merged into one and are sent one after
    the other. With `deadline_ms` (time left, 0 for none) the result may be
    "unavailable". An `urgent` transaction goes before the queue.
    """
    table = state.domains["table"]
    member = _Member(tuple(checks), tuple(writes), done)
    _add_deadline(state, table, member, deadline_ms)
    if not group:
        operation = _Operation(state.new_id("op"), [member], urgent=urgent)
        _submit(state, effects, table, operation)
        return
    queue = table.groups.setdefault(group, [])
    queue.append(member)
    if sum(len(waiting.writes) for waiting in queue) >= GROUP_ROWS:
        _flush(state, effects, table, group)


def read(
    state,
    effects: list,
    keys: Sequence[str],
    prefixes: Sequence[str],
    done: Callable,
    *,
    after_version: int = 0,
    deadline_ms: int = 0,
    urgent: bool = False,
):
    """Reads rows; `done(state, effects, result)` is called once."""
    table = state.domains["table"]
    member = _Member((), (), done)
    _add_deadline(state, table, member, deadline_ms)
    query = (tuple(keys), tuple(prefixes), after_version)
    op_id = state.new_id("op")
    operation = _Operation(op_id, [member], query=query, urgent=urgent)
    _submit(state, effects, table, operation)


def _add_deadline(state, table, member, deadline_ms):
    if not deadline_ms:
        return
    table.sequence += 1
    entry = (state.now + deadline_ms, table.sequence, member)
    heapq.heappush(table.deadlines, entry)


def _flush(state, effects, table, group):
    """Merges waiting transactions of a group into one operation.

    A transaction that touches a row written by an earlier one, or checks a
    row at another version, waits for the next operation.
    """
    if group in table.busy_groups:
        return
    versions: dict[str, int] = {}
    written: set[str] = set()
    taken = []
    left = []
    rows = 0
    for member in table.groups.pop(group, ()):
        if member.finished:
            continue
        keys = {write.key for write in member.writes}
        checked = {check.key: check.version for check in member.checks}
        apart = (
            (taken and rows + len(member.writes) > GROUP_ROWS)
            or not written.isdisjoint(keys)
            or not written.isdisjoint(checked)
            or not keys.isdisjoint(versions)
            or any(versions.get(k, v) != v for k, v in checked.items())
        )
        if apart:
            left.append(member)
            continue
        taken.append(member)
        versions.update(checked)
        written.update(keys)
        rows += len(member.writes)
    if left:
        table.groups[group] = left
    if not taken:
        return
    table.busy_groups.add(group)
    table.counters["merged"] += len(taken) - 1
    operation = _Operation(state.new_id("op"), taken, group=group)
    _submit(state, effects, table, operation)


def _submit(state, effects, table, operation):
    table.operations[operation.op_id] = operation
    queue = table.urgent if operation.urgent else table.ready
    queue.append(operation.op_id)
    _pump(state, effects, table)


def _pump(state, effects, table):
    while not table.outage and table.in_flight < MAX_IN_FLIGHT:
        if not _send_next(state, effects, table):
            return


def _send_next(state, effects, table):
    """Sends the next queued operation that is still wanted."""
    while table.urgent or table.ready:
        queue = table.urgent or table.ready
        operation = table.operations[queue.popleft()]
        if operation.is_wanted():
            _send(state, effects, table, operation)
            return True
        _drop(table, operation)
    return False


def _drop(table, operation):
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
        _merge(operation)
    table.counters["writes"] += 1
    effects.append(
        effects_lib.CommitTable(
            operation.op_id, operation.checks, operation.writes, timeout_ms
        )
    )


def _merge(operation):
    """Fixes the content of the operation; it stays the same in repeats."""
    wanted = [member for member in operation.members if not member.finished]
    operation.members = wanted
    checks = {}
    writes = []
    for member in wanted:
        for check in member.checks:
            checks[check.key] = check
        for write in member.writes:
            value = write.value
            if value is not None:
                value = {**value, "op": operation.op_id}
            writes.append(effects_lib.Write(write.key, value))
    operation.checks = tuple(checks.values())
    operation.writes = tuple(writes)


def _finish(state, effects, member, result):
    if member.finished:
        return
    member.finished = True
    member.done(state, effects, result)


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
    table.failures = 0
    if state.now - operation.sent_at < _timeout_ms(state):
        table.timeout_doublings = 0
    if table.outage:
        _recover(state, effects, table)
    _drop(table, operation)
    if event.status == "conflict":
        _on_conflict(state, effects, table, operation, event)
    else:
        table.counters["rows_read"] += len(event.rows)
        table.counters["rows_written"] += len(operation.writes)
        result = Result(event.status, event.version, event.rows)
        for member in operation.members:
            _finish(state, effects, member, result)
    _pump(state, effects, table)


def _on_conflict(state, effects, table, operation, event):
    own = [
        row
        for row in event.rows
        if row.value is not None and row.value.get("op") == operation.op_id
    ]
    if own:
        table.counters["recognised"] += 1
        table.counters["rows_written"] += len(operation.writes)
        result = Result("committed", own[0].version, ())
        for member in operation.members:
            _finish(state, effects, member, result)
        return
    table.counters["conflicts"] += 1
    failed = {row.key: row for row in event.rows}
    losers = []
    rest = []
    for member in operation.members:
        lost = any(check.key in failed for check in member.checks)
        (losers if lost else rest).append(member)
    if not losers:
        losers, rest = rest, []
    if rest:
        if operation.group:
            table.busy_groups.add(operation.group)
        again = _Operation(state.new_id("op"), rest, group=operation.group)
        _submit(state, effects, table, again)
    for member in losers:
        keys = {check.key for check in member.checks}
        rows = tuple(row for row in event.rows if row.key in keys)
        _finish(state, effects, member, Result("conflict", event.version, rows))


def _on_unavailable(state, effects, table, operation):
    table.failures += 1
    table.timeout_doublings += 1
    table.timeout_doublings %= MAX_TIMEOUT_DOUBLINGS + 1
    table.counters["unavailable"] += 1
    if not operation.is_wanted():
        _drop(table, operation)
    elif table.outage:
        queue = table.urgent if operation.urgent else table.ready
        queue.append(operation.op_id)
    else:
        delay_ms = _backoff_ms(state, operation.attempts)
        _retry_at(table, operation, state.now + delay_ms)
    if table.outage:
        table.probes += 1
        table.probe_at = state.now + _backoff_ms(state, table.probes)
    elif table.failures >= OUTAGE_FAILURES:
        table.outage = True
        table.probes = 1
        table.probe_at = state.now + _backoff_ms(state, OUTAGE_FAILURES)
        fields = {"step": "table", "failures": table.failures}
        effects.append(effects_lib.Log("warning", "table-outage", fields))
    _pump(state, effects, table)


def _backoff_ms(state, attempts):
    limit = min(RETRY_CAP_MS, RETRY_BASE_MS << min(attempts, 10))
    return state.rng.randint(1, limit)


def _retry_at(table, operation, at):
    table.sequence += 1
    heapq.heappush(table.retries, (at, table.sequence, operation.op_id))


def _recover(state, effects, table):
    """Spreads the operations held during an outage over time."""
    table.outage = False
    nodes = max(1, len(state.settings.get("nodes", ())))
    per_s = max(RESEND_MIN_PER_S, RESEND_PER_S // nodes)
    held = len(table.ready)
    for queue, window_ms in (
        (table.urgent, URGENT_RESEND_MS),
        (table.ready, max(URGENT_RESEND_MS, held * 1000 // per_s)),
    ):
        while queue:
            operation = table.operations[queue.popleft()]
            delay_ms = state.rng.randint(0, window_ms)
            _retry_at(table, operation, state.now + delay_ms)
    fields = {"step": "table", "held": held}
    effects.append(effects_lib.Log("info", "table-recovered", fields))


def _on_tick(state, event, effects):
    table = state.domains["table"]
    unavailable = Result("unavailable", 0, ())
    while table.deadlines and table.deadlines[0][0] <= state.now:
        _, _, member = heapq.heappop(table.deadlines)
        _finish(state, effects, member, unavailable)
    while table.retries and table.retries[0][0] <= state.now:
        _, _, op_id = heapq.heappop(table.retries)
        operation = table.operations[op_id]
        queue = table.urgent if operation.urgent else table.ready
        queue.append(op_id)
    for group in list(table.groups):
        _flush(state, effects, table, group)
    if table.outage:
        # The adapter answers every effect, so waiting for the operations in
        # flight cannot stop the probes for good.
        if table.in_flight == 0 and table.probe_at <= state.now:
            _send_next(state, effects, table)
        return
    _pump(state, effects, table)


HANDLERS = {
    events.TableAnswered: _on_answer,
    events.Tick: _on_tick,
}
