"""Immutable records of jobs, workers, machines and configuration."""

from typing import NamedTuple

PENDING = "pending"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
CANCELLED = "canceled"
FINAL_STATES = frozenset({DONE, FAILED, CANCELLED})


class TaskKey(NamedTuple):
    """Identifies one task: `index` of `step` in one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class Resources(NamedTuple):
    """CPU in thousandths of a core, memory in MB, number of accelerators."""

    cpu: int
    memory_mb: int
    accelerators: int


class Step(NamedTuple):
    """One step of a job: `count` identical tasks.

    Attributes:
        resources: Resources that each task requests.
        estimate_ms: A rough estimate of a task's run time.
        after: Indices of the steps whose tasks must all be done first.
        checkpoints: Tasks save checkpoints and can resume from them.
        gang: All tasks start together, or none does.
        same_rack: All tasks run in one rack.
        label: Label that the worker must have; empty for none.
        rack: Preferred rack, where the data is; empty for no preference.
        max_per_worker: Maximum tasks of an occurrence on one worker; 0 for
            no limit.
        speculative: Copies of a task may run in parallel.
        runs_until_cancelled: Tasks are long-running: they run until the job is
            cancelled.
        image: Tasks of one image have the same load profile.
        target_ms: Target of a serving task's tail latency; 0 for other tasks.
        best_effort: Tasks reserve no CPU and only use what others leave idle.
        max_unavailable: Maximum tasks that the scheduler itself may keep
            down at once; -1 for no limit.
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
    best_effort: bool = False
    max_unavailable: int = -1


class Advice(NamedTuple):
    """Cost and validity of the advice on which workers may run a step."""

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class QueueTerms(NamedTuple):
    """How the jobs of a queue are run, by one version of the configuration.

    Attributes:
        version: Version of the configuration; 0 if it is not known.
        priority: Priority of the jobs; 0 is the highest.
        max_attempts: Failed attempts of one task that fail its job.
        stretch: Factor on a job's critical path in its deadline.
        objective_ms: Constant part of the time until the deadline.
        advice: Cost of advice on workers; None if none is needed.
    """

    version: int
    priority: int
    max_attempts: int
    stretch: float
    objective_ms: int
    advice: Advice | None


# The terms of jobs that were accepted by a build that did not store them.
UNKNOWN_TERMS = QueueTerms(0, 0, 1, 1.0, 0, None)


class JobSpec(NamedTuple):
    """A job as its client submitted it.

    `accepted_ms` and `first_due_ms` are Unix milliseconds. `repeats` is the
    number of timed occurrences, or 0 for a job that runs once, immediately.
    `terms` are those of its queue when it was accepted.
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
    terms: QueueTerms = UNKNOWN_TERMS


class Queue(NamedTuple):
    """A queue of jobs, selected by `host` and the longest matching `prefix`.

    The other fields are those of `QueueTerms`.
    """

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
    """One version of the operator's configuration.

    Attributes:
        queues: Queues by name.
        unguarded_services: Services whose workers start whatever they are told
            to, even above their capacity.
    """

    version: int
    queues: dict[str, Queue]
    unguarded_services: frozenset[str] = frozenset()

    def terms_of(self, queue: Queue) -> QueueTerms:
        """Returns the terms of one of the queues."""
        return QueueTerms(
            self.version,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.objective_ms,
            queue.advice,
        )

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


class WorkerEntry(NamedTuple):
    """A worker's own registration.

    `remaining_ms` is -1 when unknown. `incarnation` grows with each start of
    the worker.
    """

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
    """A run on a worker.

    `measurement` is the tail latency of a serving task in milliseconds, or the
    CPU that any other task uses in thousandths of a core.
    """

    key: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    measurement: float


class EndReport(NamedTuple):
    """A run that ended. `number` grows within one incarnation of the worker."""

    number: int
    key: TaskKey
    attempt: int
    outcome: str
    checkpoint: str


class Crash(NamedTuple):
    """A crash of a worker soon after it had started a task.

    Attributes:
        worker: Name of the worker.
        incarnation: The incarnation of the worker that has crashed.
        address: Its "host:port"; another worker may come up there.
        survived_ms: How long the run is known to have run before; -1 if the
            worker had not confirmed that it ran.
        proven: Whether that incarnation has ended; otherwise it may only be
            silent.
        ended_ms: How long after the start was confirmed, or else ordered, the
            process of the worker was known to have ended; -1 if that is not
            known. The run has lasted for `survived_ms` to `ended_ms`.
        shared: Whether other workers were lost with it for a cause other than
            their tasks.
    """

    worker: str
    incarnation: int
    address: str
    survived_ms: int
    proven: bool = False
    ended_ms: int = -1
    shared: bool = False


class Wave(NamedTuple):
    """A wave of maintenance: each machine goes down once.

    The wave has `period_s` seconds; at most `max_count` machines are down at
    once.
    """

    wave: int
    machines: tuple[str, ...]
    period_s: float
    max_count: int


class Machine(NamedTuple):
    """A machine that hosts a worker, as the platform lists it."""

    machine: str
    pool: str
    state: str
    worker: str


class Settings(NamedTuple):
    """The settings of a node that the reducer uses.

    Attributes:
        max_lease_ms: Longest lease that a worker accepts.
        stop_grace_ms: Time that the process has for a graceful stop.
        status_ms: How long a leader remembers a job after it has removed it.
        capacity: What the VM can carry as the leader, in cores; the least that
            its processor, memory and link allow.
        machine_lease_ms: Time for which a leader that has sent an order to the
            machine API may rely on no other leader sending one.
        entry_notice_ms: Age that the known entry of a worker may have when a
            task starts by it.
        watch_address: The "host:port" to which other nodes connect in order to
            detect the exit of this process; empty for none.
        configuration_age_ms: Age that the known configuration may have when a
            request is decided by it.
        peer_address: The "host:port" at which this node answers others; empty
            if it does not.
    """

    node: str
    zone: str
    incarnation: int
    max_lease_ms: int
    stop_grace_ms: int
    status_ms: int
    capacity: float = 1.0
    machine_lease_ms: int = 3_000
    entry_notice_ms: int = 3_000
    watch_address: str = ""
    configuration_age_ms: int = 2_000
    peer_address: str = ""
