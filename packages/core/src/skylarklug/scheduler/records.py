"""What the scheduler knows about jobs, workers and configuration, as data."""

from typing import NamedTuple

PENDING = "pending"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
CANCELLED = "canceled"
FINAL_STATES = frozenset({DONE, FAILED, CANCELLED})


class TaskKey(NamedTuple):
    """Names one task: `index` of `step` in one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class Resources(NamedTuple):
    """Processor in thousandths of a core, memory in MB, accelerators."""

    cpu: int
    memory_mb: int
    accelerators: int


class Step(NamedTuple):
    """One step of a job: `count` equal tasks.

    Attributes:
        after: Steps whose tasks must all be done first.
        estimate_ms: A rough estimate of a task's run time.
        rack: Where the data is; empty when it does not matter.
        label: Label that the worker must have; empty for none.
        max_per_worker: Most tasks of an occurrence on one worker; 0 for any.
        speculative: Copies may run in parallel.
        lasting: Tasks run until the job is cancelled.
        image: Tasks of one image behave alike.
        target_ms: Latency objective of what a lasting task serves; 0 if none.
        fills: The tasks take processor time that others leave unused.
        may_miss: Tasks that may be away at once by the system's own doing;
            -1 when the step states no limit.
    """

    count: int
    resources: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    runs_until_cancelled: bool = False
    image: str = ""
    target_ms: int = 0
    uses_idle_cpu: bool = False
    max_unavailable: int = -1


class JobSpec(NamedTuple):
    """A job as its client submitted it.

    `accepted_ms` and `first_due_ms` are Unix milliseconds. `repeats` is 0 for
    a job that runs once, at once.
    """

    job: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class Advice(NamedTuple):
    """What asking for a step's allowed workers costs and how long it holds."""

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class Queue(NamedTuple):
    """A queue of jobs; `host` and the longest `prefix` select it."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_ms: int
    advice: Advice | None


class Configuration(NamedTuple):
    """One version of the operator's configuration."""

    version: int
    queues: dict[str, Queue]

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of the path, or None."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


class WorkerEntry(NamedTuple):
    """A worker as it registers itself. `remaining_ms` is -1 when unknown."""

    worker: str
    service: str
    address: str
    zone: str
    draining: bool
    remaining_ms: int
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    incarnation: int


class RunReport(NamedTuple):
    """A run on a worker; `gauge` is its tail in ms, or processor in use."""

    key: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    measurement: float


class EndReport(NamedTuple):
    """A run that ended. `number` grows within one life of the worker."""

    number: int
    key: TaskKey
    attempt: int
    outcome: str
    checkpoint: str


class Wave(NamedTuple):
    """Machines that each need one upkeep within `period_s` seconds."""

    wave: int
    machines: tuple[str, ...]
    period_s: float
    max_count: int


class Machine(NamedTuple):
    """A machine that carries a worker, by the platform's list."""

    machine: str
    pool: str
    state: str
    worker: str


class Settings(NamedTuple):
    """The part of a node's settings that decisions use, in milliseconds."""

    node: str
    zone: str
    incarnation: int
    max_lease_ms: int
    stop_grace_ms: int
    status_ms: int
