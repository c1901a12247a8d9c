"""Records of jobs and tasks, and the allowed state transitions of tasks."""

import collections

from skylarklug import effects as effects_lib
from skylarklug import exceptions

# Limit of the recorded transitions of a task, which explain its state to
# operators.
MAX_RECORDED_TRANSITIONS = 8

PENDING = "pending"
STARTING = "starting"
RUNNING = "running"
CHECKPOINTING = "checkpointing"
STOPPING = "stopping"
FINISHED = "finished"
FAILED = "failed"
CANCELLED = "cancelled"
TERMINAL = frozenset((FINISHED, FAILED, CANCELLED))
LIVE = frozenset((STARTING, RUNNING, CHECKPOINTING, STOPPING))

# A pending task may finish: a worker that becomes reachable after its lease
# has expired may report the end of the last attempt.
TRANSITIONS = {
    PENDING: frozenset((STARTING, FINISHED, FAILED, CANCELLED)),
    STARTING: frozenset(
        (RUNNING, PENDING, STOPPING, FINISHED, FAILED, CANCELLED)
    ),
    RUNNING: frozenset(
        (CHECKPOINTING, STOPPING, PENDING, FINISHED, FAILED, CANCELLED)
    ),
    CHECKPOINTING: frozenset(
        (RUNNING, STOPPING, PENDING, FINISHED, FAILED, CANCELLED)
    ),
    STOPPING: frozenset((PENDING, FINISHED, FAILED, CANCELLED)),
    FINISHED: frozenset(),
    FAILED: frozenset(),
    CANCELLED: frozenset(),
}


class Size(collections.namedtuple("Size", "mcpus memory_mb accelerators")):
    """A capacity or demand, with processors in thousandths, memory in MB."""

    __slots__ = ()

    def fits(self, capacity) -> bool:
        """Returns whether this demand fits into `capacity`."""
        return (
            self[0] <= capacity[0]
            and self[1] <= capacity[1]
            and self[2] <= capacity[2]
        )


def size_of(value) -> Size:
    """Returns the `Size` of a mapping with cpus, memory_mb, accelerators."""
    return Size(
        round(value["cpus"] * 1000),
        int(value["memory_mb"]),
        int(value.get("accelerators", 0)),
    )


class Task:
    """A task that has been started or is about to be started."""

    __slots__ = (
        "job", "index", "id", "state", "attempt", "version", "worker",
        "checkpoint", "failures", "evictions", "progress", "reasons",
        "state_since", "awaiting_row", "stop_reason", "row_state",
    )  # fmt: skip

    def __init__(self, job, index):
        self.job = job
        self.index = index
        self.id = f"{job.id}/{index}"
        self.state = PENDING
        self.attempt = 0
        self.version = 0
        self.worker = ""
        self.checkpoint = None
        self.failures = 0
        self.evictions = 0
        self.progress = 0.0
        self.reasons = collections.deque(maxlen=MAX_RECORDED_TRANSITIONS)
        self.state_since = 0
        self.awaiting_row = False
        self.stop_reason = ""
        self.row_state = ""

    @property
    def key(self) -> str:
        """Key of the task's row in the table."""
        return f"task/{self.job.partition}/{self.id}"


class Job:
    """The range of a job's tasks that one partition runs."""

    __slots__ = (
        "partition", "id", "version", "row", "spec", "team", "kind",
        "job_class", "size", "priority", "first", "end", "cancelled",
        "next_index", "requeued", "tasks", "counts", "loaded_at", "unrunnable",
        "moving",
    )  # fmt: skip

    def __init__(self, partition, row, now):
        self.partition = partition
        self.id = row.value["job"]
        self.tasks = {}
        self.requeued = collections.deque()
        self.counts = collections.Counter()
        self.next_index = row.value["first"]
        self.loaded_at = now
        self.unrunnable = ""
        self.moving = False
        self.update(row)

    def update(self, row):
        """Applies a newer version of the job row."""
        self.version = row.version
        self.row = row.value
        self.spec = spec = row.value["spec"]
        self.team = spec["team"]
        self.kind = spec["kind"]
        self.job_class = spec["class"]
        self.size = size_of(spec["size"])
        self.priority = spec["priority"]
        self.first = row.value["first"]
        self.end = row.value["end"]
        self.cancelled = row.value["cancelled"]
        self.next_index = max(self.next_index, self.first)

    @property
    def key(self) -> str:
        """Key of the job's row in the table."""
        return f"job/{self.partition}/{self.id}"

    @property
    def never_started(self) -> int:
        """Number of tasks that have never been started."""
        return max(0, self.end - self.next_index)

    @property
    def state(self) -> str:
        """State of the job's tasks on this partition as a whole."""
        done = sum(self.counts[name] for name in TERMINAL)
        if self.cancelled:
            return CANCELLED
        if done >= self.end - self.first:
            return FAILED if self.counts[FAILED] else FINISHED
        if self.unrunnable:
            return "unrunnable"
        if any(self.counts[name] for name in LIVE):
            return RUNNING
        return PENDING


def log(effects, event, level="info", **fields):
    """Appends a `Log` effect."""
    effects.append(effects_lib.Log(level, event, fields))


def transition(state, effects, task, new_state, reason):
    """Moves a task to another state and records the reason.

    Raises:
        SkylarklugError: The transition is not in `TRANSITIONS`.
    """
    if new_state not in TRANSITIONS[task.state]:
        raise exceptions.SkylarklugError(
            f"illegal transition {task.state} to {new_state}: {reason}",
            step="transition",
            peer=task.worker,
            request=task.id,
        )
    counts = task.job.counts
    counts[task.state] -= 1
    counts[new_state] += 1
    task.reasons.append((state.now, task.state, new_state, reason))
    log(
        effects, "task", task=task.id, attempt=task.attempt, state=new_state,
        was=task.state, worker=task.worker, reason=reason,
    )  # fmt: skip
    task.state = new_state
    task.state_since = state.now
