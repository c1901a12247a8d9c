"""The state of the scheduler on one node. Only handlers change it."""

import random
from typing import Any

from skylarklug.scheduler import records

WAITING = "waiting"
STARTING = "starting"
WORKING = "working"
STOPPING = "stopping"
FINISHED = "finished"

# A healthy worker answers a look within its wait and a round trip. One that
# has been silent for longer gets no task.
WORKER_SILENCE_MS = 2_000


class Task:
    """One task of a job that this node leads.

    Attributes:
        status: `WAITING`, `STARTING` (ordered, not confirmed), `WORKING`,
            `STOPPING` or `FINISHED`.
        attempt: Number of the newest start.
        failures: Attempts that ended through the task's or a worker's fault.
        checkpoint: Newest saved progress; empty for none.
        not_before: The task is not started earlier than this.
        held_until: An unseen run of a former leader may last until then.
        avoid: Workers on which the task failed.
        order_at: When the newest start or stop was sent.
        confirmed_at: When the worker first confirmed the run.
        percent: Progress, as the worker reports it.
        gauge: Tail in ms, or processor in use.
        pace: Percent of full speed that it was ordered to work at.
        pace_known: Whether the worker has surely taken that order.
        paced_at: When that order was sent.
        full_cpu: Processor that a filling task uses at full pace.
        slow_since: Since when its pace has been low; 0 if it is not.
        over_since: Since when its tail has been over its target; 0 if not.
        burst: How much higher its load is than expected.
        learned_at: When its tail was last compared with the expected one.
    """

    __slots__ = (
        "attempt",
        "avoided_workers",
        "excess_load",
        "checkpoint",
        "confirmed_at",
        "failures",
        "full_speed_cpu",
        "measurement",
        "held_until",
        "job",
        "key",
        "estimated_at",
        "missed_polls",
        "not_before",
        "ordered_at",
        "order_count",
        "over_target_since",
        "pace",
        "pace_confirmed",
        "pace_ordered_at",
        "percent",
        "slow_since",
        "status",
        "step",
        "ticket",
        "waiting_since",
        "worker",
    )

    def __init__(self, job: "Job", key: records.TaskKey, step: records.Step):
        self.job = job
        self.key = key
        self.step = step
        self.status = WAITING
        self.attempt = 0
        self.failures: set[int] = set()
        self.ticket = ""
        self.checkpoint = ""
        self.worker = ""
        self.not_before = 0
        self.held_until = 0
        self.avoided_workers: set[str] = set()
        self.ordered_at = 0
        self.order_count = 0
        self.confirmed_at = 0
        self.percent = 0
        self.measurement = 0.0
        self.pace = 100
        self.pace_confirmed = True
        self.pace_ordered_at = 0
        self.full_speed_cpu = float(step.resources.cpu)
        self.slow_since = 0
        self.over_target_since = 0
        self.excess_load = 0.0
        self.estimated_at = 0
        self.missed_polls = 0
        self.waiting_since = 0


class Job:
    """A job that this node leads.

    Attributes:
        state: The state that clients see once it is committed.
        version: Version of its `work` row.
        begun: Whether a committed row says that tasks may have started.
        left: Unfinished tasks by (occurrence, step).
        tasks: Tasks that exist so far, by key.
        opened: Occurrences whose tasks exist.
        done: Finished indices by (occurrence, step).
        failures: Failed attempts by task key, of unfinished tasks.
        has_marker: A row asks for its cancellation.
    """

    __slots__ = (
        "start_recorded",
        "deadline",
        "done",
        "failures",
        "final_saved",
        "has_cancel_row",
        "remaining",
        "expanded",
        "spec",
        "started",
        "state",
        "tasks",
        "tickets",
        "version",
    )

    def __init__(self, spec: records.JobSpec, version: int):
        self.spec = spec
        self.version = version
        self.state = records.PENDING
        self.start_recorded = False
        self.started = False
        self.final_saved = False
        self.has_cancel_row = False
        self.remaining: dict[tuple[int, int], int] = {}
        self.tasks: dict[records.TaskKey, Task] = {}
        self.expanded: set[int] = set()
        self.done: dict[tuple[int, int], set[int]] = {}
        self.failures: dict[records.TaskKey, set[int]] = {}
        self.deadline = 0
        self.tickets: dict[tuple[int, int], Any] = {}


class Worker:
    """A worker as its leader knows it.

    Attributes:
        listed: Its entry is in the platform's list.
        fenced: It has answered under this leader's epoch.
        clock: (worker's clock ms, our clock ms) at its newest answer.
        runs: Tasks that run or may run there, by key.
        used: What those tasks count against the room.
        allowed: Share of it that an image may fill now, by image.
        departed: Filling tasks that ended lately: (image, processor, when).
        acknowledged: Highest end that it may forget.
        unsaved: Ends that are not committed yet: number to job.
        granted_at: When the newest order that renews its lease was sent.
        answered_at: When it last answered.
        closed: It is being emptied and takes no new task.
        reborn: It has started again since the last look.
        blame: Recent failed ends there, of different jobs.
    """

    __slots__ = (
        "acknowledged",
        "allowed_shares",
        "answered_at",
        "recent_failures",
        "incarnation",
        "clock",
        "cordoned",
        "recently_ended",
        "entry",
        "failed_polls",
        "quarantined_until",
        "fenced",
        "lease_granted_at",
        "last_end_number",
        "listed",
        "poll_due_at",
        "poll_pending",
        "name",
        "restarted",
        "backoff_until",
        "runs",
        "unsaved_ends",
        "used",
    )

    def __init__(self, entry: records.WorkerEntry):
        self.entry = entry
        self.name = entry.worker
        self.listed = True
        self.fenced = False
        self.incarnation = 0
        self.clock = (0, 0)
        self.runs: dict[records.TaskKey, Task] = {}
        self.used = [0, 0, 0]
        self.allowed_shares: dict[str, float] = {}
        self.recently_ended: list[tuple[str, float, int]] = []
        self.acknowledged = 0
        self.last_end_number = 0
        self.unsaved_ends: dict[int, str] = {}
        self.lease_granted_at = 0
        self.answered_at = 0
        self.poll_pending = False
        self.failed_polls = 0
        self.poll_due_at = 0
        self.recent_failures: dict[str, int] = {}
        self.quarantined_until = 0
        self.backoff_until = 0
        self.restarted = False
        self.cordoned = False

    def is_responsive(self, now: int) -> bool:
        """Whether it has answered lately under this leader's epoch."""
        return self.fenced and now - self.answered_at < WORKER_SILENCE_MS

    def clock_now(self, now: int) -> int:
        """Returns an estimate of the worker's clock."""
        clock, at = self.clock
        return clock + now - at


class LeaderState:
    """The books of a leader. A new leader begins with empty ones.

    Attributes:
        epoch: Fencing token of this leadership.
        owner_version: Version of the `owner` row, checked by each commit.
        confirmed_at: When the newest successful commit was sent.
        settled_at: When unseen runs of former leaders have surely ended.
        loaded: Tables that have been read whole.
        dirty: Jobs whose `work` row must be written.
        saving: Jobs in the commit in flight.
        estimates: Loads of serving tasks and what raises them, by image.
        handed_over: Coefficients that the store holds for a successor.
    """

    def __init__(self, epoch: int, owner_version: int, now: int):
        self.epoch = epoch
        self.owner_version = owner_version
        self.confirmed_at = now
        self.settled_at = 0
        self.settled = False
        self.loaded: set[str] = set()
        self.jobs: dict[str, Job] = {}
        self.closed_jobs: dict[str, int] = {}
        self.workers: dict[str, Worker] = {}
        self.dirty: dict[str, None] = {}
        self.saving: frozenset[str] = frozenset()
        self.save_at = 0
        self.ready: dict[tuple, dict[records.TaskKey, Task]] = {}
        self.due_occurrences: list[tuple[int, str, int]] = []
        self.unconfirmed: dict[records.TaskKey, Task] = {}
        self.job_rows: list[Any] = []
        self.placement_requested = False
        self.placement_due_at = 0
        self.short_task_demand = 0.0
        self.demand_updated_at = 0
        self.preemption_due_at = 0
        self.cpu_demand = 0.0
        self.work_rows: dict[str, Any] = {}
        self.roster: set[str] = set()
        self.roster_saved: set[str] = set()
        self.roster_saving = False
        self.roster_due_at = 0
        self.roster_version = 0
        self.former_workers: dict[str, Any] = {}
        self.estimates: dict[str, Any] = {}
        self.saved_coefficients: dict[str, Any] = {}
        self.handover_read = False
        self.handover_due_at = 0
        self.advice_pending = False
        self.waves: dict[int, Any] = {}
        self.machines: dict[str, records.Machine] | None = None
        self.machines_read_at = 0
        self.list_pending = False
        self.list_due_at = 0
        self.maintenance_due_at = 0
        self.heartbeat_pending = False
        self.heartbeat_due_at = 0


class State:
    """Everything that the decisions of one node depend on."""

    def __init__(self, cfg: records.Settings, seed: int):
        self.cfg = cfg
        self.rng = random.Random(seed)
        self.now = 0
        self.wall_offset = 0
        self.configuration: records.Configuration | None = None
        self.waves: dict[int, records.Wave] = {}
        self.ready = False
        self.stopping_at = 0
        self.released = False
        self.open_requests: dict[str, int] = {}
        self.callbacks: dict[str, Any] = {}
        self.last_call_number = 0
        # Leadership as this node sees it.
        self.owner: Any = None
        self.owner_version = 0
        self.owner_updated_at = 0
        self.leadership_read_at = -1
        self.heartbeat: Any = {}
        self.heartbeat_version = 0
        self.claiming = False
        self.claim_due_at = 0
        self.leader: LeaderState | None = None

    @property
    def wall_ms(self) -> int:
        """The time of day in Unix milliseconds."""
        return self.now + self.wall_offset

    def register_callback(self, done) -> str:
        """Registers what to call with the answer of a store call."""
        self.last_call_number += 1
        op = str(self.last_call_number)
        self.callbacks[op] = done
        return op
