"""Simulated work of a task, and what its payload may ask for.

Payload fields, all optional: `units` (units of work; watchers and services
have no end without it), `run_time_ms` (real run time, when it differs from
the declared one), `fail_after_units` (fails once that many are done),
`fail_attempts` (only attempts up to this number fail; default all),
`fail_reason`, `noise` (added to the service time factor of the worker),
`use_cpus` and `use_memory_mb` (real use, when it differs from the size).
"""

from collections.abc import Mapping
import json
import math
from typing import Any

DEFAULT_UNITS = 10
ENDLESS_KINDS = ("watcher", "service")
ENDLESS_UNIT_MS = 100.0
DEFAULT_RUN_TIME_MS = 1_000.0


class StoreUnavailable(Exception):
    """The object store did not answer, or answered 503."""


def quantile(values: list[float], fraction: float) -> float:
    """Returns the nearest-rank quantile of a non-empty list."""
    ordered = sorted(values)
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(rank, 1) - 1]


def _payload(raw: Any) -> Mapping[str, Any]:
    """Returns the payload as a mapping; any other payload asks nothing."""
    if isinstance(raw, (str, bytes)):
        try:
            raw = json.loads(raw)
        except ValueError:
            return {}
    return raw if isinstance(raw, Mapping) else {}


class Run:
    """One attempt of a task that holds resources on a worker.

    Attributes:
        total_units: Units of work; 0 when the task has no end.
        completed_units: Completed units, counted from the start of the task.
        checkpointed_units: Units covered by `checkpoint`.
        speed_fraction: Fraction of full speed, from `throttle`.
        loading: The checkpoint to resume from has not been read yet.
        stopping: No more work is done; the report is being prepared.
    """

    def __init__(self, command: Mapping[str, Any], now: int):
        payload = _payload(command.get("payload"))
        self.task = command["task"]
        self.attempt = command["attempt"]
        self.size = dict(command.get("size") or {})
        self.checkpoint = command.get("checkpoint") or None
        self.payload = payload
        self.kind = command.get("kind", "batch")
        endless = self.kind in ENDLESS_KINDS and "units" not in payload
        self.total_units = 0 if endless else payload.get("units", DEFAULT_UNITS)
        declared = command.get("run_time_ms") or DEFAULT_RUN_TIME_MS
        run_time_ms = payload.get("run_time_ms", declared)
        self.unit_ms = ENDLESS_UNIT_MS
        if self.total_units:
            self.unit_ms = max(run_time_ms / self.total_units, 1.0)
        self.interference = payload.get("noise", 0.0)
        self.completed_units = 0
        self.checkpointed_units = 0
        self.speed_fraction = 1.0
        self.loading = True
        self.stopping = False
        self.reason = ""
        self.revision = 0
        self._spent_ms = 0.0
        self._at = now

    def resume(self, units: int, now: int):
        """Continues after the completed units of a checkpoint."""
        self.completed_units = units
        self.checkpointed_units = units
        self.loading = False
        self._at = now

    def skip_to(self, now: int):
        """Does no work between the last call and `now`."""
        self._at = max(self._at, now)

    def advance_to(self, until: int) -> list[int]:
        """Works until then; returns the units completed."""
        elapsed = max(until - self._at, 0)
        self._at = max(self._at, until)
        if self.loading:
            return []
        self._spent_ms += elapsed * self.speed_fraction
        completed = []
        while self._spent_ms >= self.unit_ms and not self.outcome():
            self._spent_ms -= self.unit_ms
            # A task without end keeps a count but leaves no unit records.
            if self.total_units:
                completed.append(self.completed_units)
            self.completed_units += 1
        return completed

    def outcome(self) -> str:
        """Returns "failed" or "finished", or "" while work is left."""
        if self.loading:
            return ""
        limit = self.payload.get("fail_after_units")
        attempts = self.payload.get("fail_attempts", self.attempt)
        if limit is not None and self.attempt <= attempts:
            if self.completed_units >= limit:
                self.reason = self.payload.get("fail_reason", "payload")
                return "failed"
        if self.total_units and self.completed_units >= self.total_units:
            return "finished"
        return ""

    def progress(self) -> float:
        """Returns the fraction done; 0 for a task without end."""
        if not self.total_units:
            return 0.0
        return min(self.completed_units / self.total_units, 1.0)

    def usage(self) -> dict[str, float]:
        """Returns the real use of the worker by this task."""
        cpus = self.payload.get("use_cpus", self.size.get("cpus", 0))
        memory = self.payload.get(
            "use_memory_mb", self.size.get("memory_mb", 0)
        )
        return {"cpus": cpus * self.speed_fraction, "memory_mb": memory}
