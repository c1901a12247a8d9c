"""Record of what the workers executed, independent of the scheduler.

The ledger belongs to the test environment and outlives the workers. The system
under test does not read it, so its counts can verify what the system reports.

A worker publishes the output of a finished task once the finish has been
acknowledged as accepted. The output of an unacknowledged finish is lost with
its worker, so a second finish is a duplicate only if both were accepted.
"""

import time
from typing import NamedTuple


class Interval(NamedTuple):
    """Time in which an attempt executed; `end` is None while it runs."""

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
    """Executions of one task on all workers.

    Attributes:
        intervals: Execution intervals of its attempts.
        units: For each unit of work, the attempts that completed it.
        total: Units of work of the whole task; 0 if it runs indefinitely.
        first_unit: For each attempt, the unit from which it resumed.
        finishes: Attempts whose finish is still held by a worker or has been
            accepted.
        accepted: Attempts whose finish was acknowledged as accepted.
        stops: Attempt and reason of each stop.
        failures: Attempts that failed.
        started_after_finish: Attempts started after an accepted finish.
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

    def all_units_completed(self) -> bool:
        """Returns whether every unit of work has been completed."""
        return self.total > 0 and len(self.units) == self.total

    def acknowledged(self) -> bool:
        """Returns whether no finish awaits its acknowledgement."""
        return not self.finishes or bool(self.accepted)

    def redone(self) -> int:
        """Returns the number of repeated completions of units."""
        return sum(len(attempts) - 1 for attempts in self.units.values())

    def open_interval(self) -> Interval | None:
        """Returns the interval of the running attempt, or None."""
        for interval in reversed(self.intervals):
            if interval.end is None:
                return interval
        return None


class Counts(NamedTuple):
    """Totals over a set of tasks.

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
        clock: Returns the time in milliseconds; shared by all workers.
    """

    def __init__(self, clock=_monotonic_ms):
        self.clock = clock
        self.tasks: dict[str, TaskRecord] = {}
        self.overlaps: list[Overlap] = []
        self.requests: dict[str, list[str]] = {}
        self.completed: dict[str, int] = {}

    def record(self, task: str) -> TaskRecord:
        """Returns the record of a task, which is created if missing."""
        return self.tasks.setdefault(task, TaskRecord())

    def begin(self, task: str, attempt: int, worker: str):
        """Records that an attempt starts, or resumes after a pause."""
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
        """Records that an attempt covers units `first_unit` to `total`."""
        record = self.record(task)
        record.first_unit[attempt] = first_unit
        record.total = total

    def end(self, task: str, attempt: int, worker: str):
        """Records that an attempt no longer executes."""
        intervals = self.record(task).intervals
        for index, interval in enumerate(intervals):
            if interval.end is not None or interval.worker != worker:
                continue
            if interval.attempt == attempt:
                intervals[index] = interval._replace(end=self.clock())

    def complete_unit(self, task: str, attempt: int, unit: int):
        """Records that an attempt completed one unit of work."""
        self.record(task).units.setdefault(unit, []).append(attempt)

    def finish(self, task: str, attempt: int):
        """Records that an attempt finished; its output is unpublished."""
        self.record(task).finishes.append(attempt)

    def accept(self, task: str, attempt: int):
        """Records that a finish was acknowledged as accepted."""
        record = self.record(task)
        if attempt not in record.accepted:
            record.accepted.append(attempt)

    def discard(self, task: str, attempt: int):
        """Records that an output was dropped, or lost with its worker."""
        record = self.record(task)
        if attempt in record.finishes and attempt not in record.accepted:
            record.finishes.remove(attempt)

    def stop(self, task: str, attempt: int, reason: str):
        """Records that an attempt was stopped before it finished."""
        self.record(task).stops.append((attempt, reason))

    def fail(self, task: str, attempt: int):
        """Records that an attempt failed."""
        self.record(task).failures.append(attempt)

    def run_request(self, token: str, worker: str):
        """Records that a worker started to execute a request."""
        self.requests.setdefault(token, []).append(worker)

    def complete_request(self, token: str):
        """Records that a worker completed a request."""
        self.completed[token] = self.completed.get(token, 0) + 1

    def duplicated(self, task: str) -> bool:
        """Returns whether a task was executed or published twice.

        Counts attempts that overlapped, that started after an accepted
        finish, or that were both accepted.
        """
        record = self.record(task)
        if len(record.accepted) > 1 or record.started_after_finish:
            return True
        return any(overlap.task == task for overlap in self.overlaps)

    def count(self, tasks) -> Counts:
        """Returns the totals over the given tasks."""
        finished = lost = duplicated = repeated = 0
        evicted = failed = redone = 0
        for task in tasks:
            record = self.record(task)
            repeated += len(record.finishes) > 1
            evicted += sum(
                1 for _, stop_reason in record.stops if stop_reason == "command"
            )
            failed += len(record.failures)
            redone += record.redone()
            if self.duplicated(task):
                duplicated += 1
                continue
            if not record.finishes or not record.all_units_completed():
                lost += 1
                continue
            finished += 1
        return Counts(
            finished, lost, duplicated, repeated, evicted, failed, redone
        )
