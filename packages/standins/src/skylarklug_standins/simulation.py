"""Simulated execution of a task, controlled by its payload.

All payload fields are optional:

- `units`: Units of work. Without it, watchers and services never finish.
- `run_time_ms`: Actual run time, if it differs from the declared one.
- `fail_after_units`: The task fails after this many completed units.
- `fail_attempts`: Only attempts up to this number fail; by default all.
- `fail_reason`: Reason that a failed attempt reports.
- `noise`: Interference, added to the service time factor of the worker.
- `use_cpus`, `use_memory_mb`: Actual usage, if it differs from the size.
"""

from collections.abc import Mapping
import json
import math
from typing import Any

# Units of work of a task whose payload doesn't set `units`.
DEFAULT_UNITS = 10
# Kinds of tasks that run until they are stopped, unless `units` is set.
ENDLESS_KINDS = ("watcher", "service")
# Duration of one unit of a task that never finishes.
ENDLESS_UNIT_MS = 100.0
# Run time of a task that declares none.
DEFAULT_RUN_TIME_MS = 1_000.0


class StoreUnavailable(Exception):
    """The object store did not respond or returned an error, such as 503."""


def quantile(values: list[float], fraction: float) -> float:
    """Returns the nearest-rank quantile of a non-empty list."""
    ordered = sorted(values)
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(rank, 1) - 1]


def _decode_payload(raw: Any) -> Mapping[str, Any]:
    """Decodes a payload; one that is not a mapping has no effect."""
    if isinstance(raw, (str, bytes)):
        try:
            raw = json.loads(raw)
        except ValueError:
            return {}
    return raw if isinstance(raw, Mapping) else {}


class Run:
    """One attempt of a task that holds resources on a worker.

    Attributes:
        total_units: Units of work; 0 if the task never finishes.
        completed_units: Completed units, including those of the checkpoint
            that the attempt resumed from.
        checkpointed_units: Units that `checkpoint` covers.
        speed_fraction: Fraction of full speed, set by `throttle`.
        interference: Increase of the worker's service time factor at full
            speed.
        loading: Whether the checkpoint to resume from is still to be read.
        stopping: Whether work has ended while the final checkpoint and
            report are still to be written.
    """

    def __init__(self, command: Mapping[str, Any], now: int):
        payload = _decode_payload(command.get("payload"))
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
        self._unit_progress_ms = 0.0
        self._updated_ms = now

    def resume(self, units: int, now: int):
        """Resumes from a checkpoint that covers `units`."""
        self.completed_units = units
        self.checkpointed_units = units
        self.loading = False
        self._updated_ms = now

    def skip_to(self, now: int):
        """Advances the time to `now` without doing work."""
        self._updated_ms = max(self._updated_ms, now)

    def advance_to(self, until: int) -> list[int]:
        """Simulates work until `until`; returns the units completed."""
        elapsed = max(until - self._updated_ms, 0)
        self._updated_ms = max(self._updated_ms, until)
        if self.loading:
            return []
        self._unit_progress_ms += elapsed * self.speed_fraction
        completed = []
        while self._unit_progress_ms >= self.unit_ms and not self.outcome():
            self._unit_progress_ms -= self.unit_ms
            # A task that never finishes counts its units, but doesn't record
            # each of them.
            if self.total_units:
                completed.append(self.completed_units)
            self.completed_units += 1
        return completed

    def outcome(self) -> str:
        """Returns "failed", "finished", or "" if the attempt goes on."""
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
        """Returns the completed fraction; 0 for a task that never finishes."""
        if not self.total_units:
            return 0.0
        return min(self.completed_units / self.total_units, 1.0)

    def usage(self) -> dict[str, float]:
        """Returns the CPUs and memory that this attempt actually uses."""
        cpus = self.payload.get("use_cpus", self.size.get("cpus", 0))
        memory = self.payload.get(
            "use_memory_mb", self.size.get("memory_mb", 0)
        )
        return {"cpus": cpus * self.speed_fraction, "memory_mb": memory}
