"""Record of what the workers really executed.

The ledger belongs to the test bench and survives the workers. Nothing of the
system reads it, so what it counts is independent of what the system claims.

A worker publishes the output of a finished task when the finish has been
acknowledged as accepted. The output of an unacknowledged finish is lost with
its worker, so a second finish is a duplicate only if both were accepted.
"""

import time
from typing import NamedTuple


class Interval(NamedTuple):
    """An attempt that executed on `worker`; `end` is None while it does."""

    attempt: int
    worker: str
    start: int
    end: int | None


class Overlap(NamedTuple):
    """Two attempts of a task that executed at the same time."""

    task: str
    attempt: int
    worker: str
    other_attempt: int
    other_worker: str


class TaskRecord:
    """What happened to one task on all workers.

    Attributes:
        intervals: When and where its attempts executed.
        units: For each unit of work, the attempts that completed it.
        total: Units of work of the whole task; 0 when it has no end.
        first_unit: For each attempt, the unit from which it resumed.
        finishes: Attempts whose finish still exists on a worker or has been
            accepted.
        accepted: Attempts whose finish was acknowledged as accepted.
        stops: Pairs of attempt and reason.
        failures: Attempts that failed.
        started_after_finish: Attempts begun after an accepted finish.
    """

    def __init__(self):
        self.intervals: list[Interval] = []
        self.units: dict[int, list[int]] = {}
        self.total = 0
        self.first_unit: dict[int, int] = {}
        self.finishes: list[int] = []
        self.accepted: list[int] = []
        self.stops: list[tuple[int, str]] = []
        self.failures: list[int] = []
        self.started_after_finish: list[int] = []

    def covered(self) -> bool:
        """True when every unit of work has been completed."""
        return self.total > 0 and len(self.units) == self.total

    def acknowledged(self) -> bool:
        """True when no finish waits for its acknowledgement."""
        return not self.finishes or bool(self.accepted)

    def redone(self) -> int:
        """Number of completions beyond the first of each unit."""
        return sum(len(attempts) - 1 for attempts in self.units.values())

    def open_interval(self) -> Interval | None:
        """The interval in which the task executes now, or None."""
        for interval in reversed(self.intervals):
            if interval.end is None:
                return interval
        return None


class Counts(NamedTuple):
    """Totals over the tasks that a run expects.

    `repeated` counts tasks with several finishes, accepted or not.
    """

    finished_once: int
    lost: int
    duplicated: int
    repeated: int
    evicted: int
    failed_attempts: int
    redone_units: int


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class Ledger:
    """Executions of all tasks and requests.

    Args:
        clock: Returns the time in milliseconds, the same for all workers.
    """

    def __init__(self, clock=_monotonic_ms):
        self.clock = clock
        self.tasks: dict[str, TaskRecord] = {}
        self.overlaps: list[Overlap] = []
        self.requests: dict[str, list[str]] = {}
        self.completed: dict[str, int] = {}

    def record(self, task: str) -> TaskRecord:
        """Returns the record of a task, creating it when needed."""
        return self.tasks.setdefault(task, TaskRecord())

    def begin(self, task: str, attempt: int, worker: str):
        """An attempt starts to execute, or resumes after a pause."""
        record = self.record(task)
        other = record.open_interval()
        if other is not None:
            self.overlaps.append(
                Overlap(task, attempt, worker, other.attempt, other.worker)
            )
        record.intervals.append(Interval(attempt, worker, self.clock(), None))
        if record.accepted and attempt not in record.accepted:
            record.started_after_finish.append(attempt)

    def plan(self, task: str, attempt: int, first_unit: int, total: int):
        """The attempt will do the units from `first_unit` to `total`."""
        record = self.record(task)
        record.first_unit[attempt] = first_unit
        record.total = total

    def end(self, task: str, attempt: int, worker: str):
        """The attempt no longer executes."""
        intervals = self.record(task).intervals
        for index, interval in enumerate(intervals):
            if interval.end is not None or interval.worker != worker:
                continue
            if interval.attempt == attempt:
                intervals[index] = interval._replace(end=self.clock())

    def complete_unit(self, task: str, attempt: int, unit: int):
        """The attempt completed one unit of work."""
        self.record(task).units.setdefault(unit, []).append(attempt)

    def finish(self, task: str, attempt: int):
        """The attempt finished; its output is not published yet."""
        self.record(task).finishes.append(attempt)

    def accept(self, task: str, attempt: int):
        """The finish was acknowledged as accepted."""
        record = self.record(task)
        if attempt not in record.accepted:
            record.accepted.append(attempt)

    def discard(self, task: str, attempt: int):
        """The output was dropped, or lost with its worker."""
        record = self.record(task)
        if attempt in record.finishes and attempt not in record.accepted:
            record.finishes.remove(attempt)

    def stop(self, task: str, attempt: int, reason: str):
        """The attempt was stopped before its end."""
        self.record(task).stops.append((attempt, reason))

    def fail(self, task: str, attempt: int):
        """The attempt failed."""
        self.record(task).failures.append(attempt)

    def run_request(self, token: str, worker: str):
        """A worker began to execute a request."""
        self.requests.setdefault(token, []).append(worker)

    def complete_request(self, token: str):
        """A worker executed a request to its end."""
        self.completed[token] = self.completed.get(token, 0) + 1

    def duplicated(self, task: str) -> bool:
        """True when the task ran twice at once or was published twice."""
        record = self.record(task)
        if len(record.accepted) > 1 or record.started_after_finish:
            return True
        return any(overlap.task == task for overlap in self.overlaps)

    def count(self, tasks) -> Counts:
        """Counts the outcome of the tasks that were to finish."""
        once = lost = duplicated = repeated = 0
        evicted = failed = redone = 0
        for task in tasks:
            record = self.record(task)
            repeated += len(record.finishes) > 1
            evicted += sum(1 for _, why in record.stops if why == "command")
            failed += len(record.failures)
            redone += record.redone()
            if self.duplicated(task):
                duplicated += 1
                continue
            if not record.finishes or not record.covered():
                lost += 1
                continue
            once += 1
        return Counts(once, lost, duplicated, repeated, evicted, failed, redone)
