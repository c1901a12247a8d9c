"""Tests that the observer reports each violated invariant, and only those."""

import pytest

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import invariants

SIZE = {"cpus": 10, "memory_mb": 100, "accelerators": 0}


def arrived(idempotent=True):
    return events.RequestArrived(
        0, "r", "s", "GET", "/", idempotent, "c", 1000, 0
    )


def send(attempt=1, worker="w"):
    return fx.SendAttempt("r", attempt, worker, "address", 1000)


def failed(sent=True, refused=False, leaving=False, at=20, attempt=1):
    return events.AttemptFailed(
        at, "r", attempt, sent, refused, leaving, "read", "reset"
    )


def error(outcome="not run"):
    return fx.AnswerError("r", 503, outcome, "step", "peer", "reason", 0)


def vm_list(state="live", at=0, cpus=16.0):
    vm = events.Vm(
        "w", "yumbo", "r", state, "a", "c", cpus, 60000, 0, ("s",), 8, 64
    )
    return events.VmListRead(at, 1, (vm,))


def start(task="t", worker="w", attempt=1, lease_until=0):
    command = fx.Command("start", task, attempt, {"size": SIZE})
    return fx.SyncWorker(
        worker, "c", "p", 1, 1, lease_until, 0, (command,), 1000, 500
    )


def synced(worker="w", at=0, clock=0, tasks=(), leaving=False):
    return events.WorkerSynced(
        at, at, worker, 1, "ok", 1, clock, 1, leaving, False, tasks, None
    )


def finish(op_id="op", attempt=1):
    value = {"state": "finished", "attempt": attempt}
    write = fx.Write("task/yumbo/0/team.job/1", value)
    return fx.CommitTable(op_id, (), (write,), 1000)


def committed(op_id="op", status="committed"):
    return events.TableAnswered(5, op_id, status, 1, ())


def version(number):
    return fx.Measure("skylarklug.config.version", number, {})


def tick(at=100):
    return events.Tick(at)


TASK = "team.job/1"
# Each stream violates only the named invariant.
FAILING = [
    ("I1", "two tasks of 10 on 16 processors", [
        (vm_list(), []), (tick(), [start("t")]), (tick(), [start("u")]),
    ]),
    ("I2", "started elsewhere within the lease", [
        (synced(clock=500), []), (tick(), [start(lease_until=30_500)]),
        (tick(29_999), [start(worker="x", attempt=2)]),
    ]),
    ("I3", "finished by two attempts", [
        (tick(), [finish()]), (committed(), []),
        (tick(), [finish("two", 2)]), (committed("two"), []),
    ]),
    ("I3", "started after its finish", [
        (tick(), [finish()]), (committed(), []), (tick(), [start(TASK)]),
    ]),
    ("I4", "relayed twice", [
        (arrived(), [send()]),
        (tick(), [fx.RelayAnswer("r", 1), fx.RelayAnswer("r", 2)]),
    ]),
    ("I4", "relayed, then an error", [
        (arrived(), [send()]), (tick(), [fx.RelayAnswer("r", 1)]),
        (tick(), [error("unknown")]),
    ]),
    ("I5", "sent, then answered as not run", [
        (arrived(), [send()]), (events.AttemptSent(1, "r", 1), []),
        (failed(), [error()]),
    ]),
    ("I6", "sent again after a lost answer", [
        (arrived(False), [send()]), (events.AttemptSent(1, "r", 1), []),
        (failed(), [send(2)]),
    ]),
    ("I6", "forwarded after it was sent", [
        (arrived(False), [send()]),
        (failed(), [fx.ForwardAttempt("r", 2, "n", "a", 1000)]),
    ]),
    ("I7", "leaving in the VM list", [
        (vm_list("leaving"), []), (tick(5001), []),
        (arrived()._replace(at=5001), [send()]),
    ]),
    ("I7", "leaving in a worker's answer", [
        (synced(leaving=True), []),
        (arrived()._replace(at=5001), [send()]),
    ]),
    ("I7", "leaving in a refusal", [
        (arrived(), [send()]),
        (failed(refused=True, leaving=True, at=10), []),
        (tick(5011), [send(2)]),
    ]),
    ("I8", "exit with a request in flight", [
        (arrived(), [send()]), (tick(), [fx.Exit(0, "stopped")]),
    ]),
    ("I9", "version goes back", [
        (tick(), [version(3)]), (tick(), [version(2)]),
    ]),
]  # fmt: skip

# Each stream is similar to one above but violates no invariant.
ALLOWED = [
    ("I1 after the first has ended", [
        (vm_list(), []), (tick(), [start("t")]),
        (synced(tasks=(
            events.WorkerTask("t", 1, "finished", None, "", 1.0),
        )), []),
        (tick(), [start("u")]),
    ]),
    ("I2 after the lease", [
        (synced(clock=500), []), (tick(), [start(lease_until=30_500)]),
        (tick(30_000), [start(worker="x", attempt=2)]),
    ]),
    ("I3 the same finish written twice", [
        (tick(), [finish()]), (committed(), []),
        (tick(), [finish("two")]), (committed("two"), []),
    ]),
    ("I3 a finish that lost its race", [
        (tick(), [finish()]), (committed(status="conflict"), []),
        (tick(), [start(TASK)]),
    ]),
    ("I5 refused by the worker", [
        (arrived(), [send()]), (events.AttemptSent(1, "r", 1), []),
        (failed(refused=True), [error()]),
    ]),
    ("I6 nothing was sent", [
        (arrived(False), [send()]), (failed(sent=False), [send(2)]),
    ]),
    ("I6 the request is idempotent", [
        (arrived(), [send()]), (failed(), [send(2)]),
    ]),
    ("I7 within the limit", [
        (vm_list("leaving"), []), (arrived()._replace(at=5000), [send()]),
    ]),
    ("I8 after the exchange has ended", [
        (arrived(), [send()]), (tick(), [fx.RelayAnswer("r", 1)]),
        (events.RequestClosed(3, "r", True), [fx.Exit(0, "stopped")]),
    ]),
    ("I9 the same version again", [
        (tick(), [version(2)]), (tick(), [version(2), version(3)]),
    ]),
]  # fmt: skip


def observe(stream):
    observer = invariants.Observer()
    for event, produced in stream:
        observer.observe(event, produced)
    return observer


class TestObserver:
    @pytest.mark.parametrize(
        ("invariant", "stream"),
        [(name, stream) for name, _, stream in FAILING],
        ids=[f"{name} {what}" for name, what, _ in FAILING],
    )
    def test_violation_is_reported(self, invariant, stream):
        """Guards against a check that never fails."""
        found = observe(stream).violations
        assert [violation.invariant for violation in found] == [invariant]

    @pytest.mark.parametrize(
        "stream",
        [stream for _, stream in ALLOWED],
        ids=[name for name, _ in ALLOWED],
    )
    def test_allowed_stream_is_not_reported(self, stream):
        """Guards against a check that reports correct behaviour."""
        assert observe(stream).violations == []

    def test_every_invariant_has_a_failing_stream(self):
        """Guards against an invariant without a check."""
        names = {name for name, _, _ in FAILING}
        assert names == {f"I{number}" for number in range(1, 10)}

    def test_counts(self):
        """Guards against an outcome that is not counted."""
        counts = observe(
            [
                (arrived(), [send()]),
                (failed(), [error("unknown")]),
                (arrived(), [error()]),
                (tick(), [start(), version(1), finish()]),
                (committed(), [fx.Measure("skylarklug.tasks.evicted", 2, {})]),
            ]
        ).counts
        assert counts == {
            "requests": 2,
            "relayed": 0,
            "errors_not_run": 1,
            "errors_unknown": 1,
            "attempts": 1,
            "tasks_started": 1,
            "tasks_finished": 1,
            "tasks_evicted": 2,
            "config_versions": 1,
        }
