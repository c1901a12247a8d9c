"""State of the scheduler on one node. Only event handlers modify it."""

import random
from typing import Any

from skylarklug.scheduler import leases
from skylarklug.scheduler import records

WAITING = "waiting"
STARTING = "starting"
WORKING = "working"
STOPPING = "stopping"
FINISHED = "finished"

# A healthy worker answers a poll within the poll's wait and a round trip. A
# worker that has been silent for longer gets no tasks.
WORKER_SILENCE_MS = 2_000
# How the latest run ended of a task that may have run under a former leader.
UNKNOWN_END = "unknown"
# A task whose runs all end sooner is not at work.
LASTING_RUN_MS = 1_000


class Task:
    """One task of a job that this node leads.

    Attributes:
        status: `WAITING`, `STARTING` (ordered, not confirmed), `WORKING`,
            `STOPPING` or `FINISHED`.
        attempt: Number of the latest attempt.
        failures: Numbers of the attempts that failed; runs that were stopped
            or lost do not count.
        crashes: Crashes of workers that runs of the task may have caused, by
            attempt.
        ticket: Ticket that the latest start carried; empty for none.
        checkpoint: Latest checkpoint; empty for none.
        worker: Worker of the current run; empty for none.
        not_before: Earliest time of the next start.
        held: Whether a former leader may have started it; then it is not
            started while a run may exist on a worker that does not answer.
        avoided_workers: Workers on which the task failed.
        ordered_at: When the latest start or stop was sent.
        order_count: How often the current start or stop was sent.
        confirmed_at: When the worker first confirmed the run.
        running_since: When the worker first confirmed that it runs the task; 0
            if it has not.
        adopted: Whether a former leader had started the run.
        listed_at: When the latest poll was sent that listed the run.
        percent: Progress, as reported by the worker.
        measurement: Tail latency in ms, or CPU in use.
        pace: Speed limit of the run, in percent of full speed.
        pace_confirmed: False if the worker may not have applied `pace`, which
            is then sent again.
        pace_ordered_at: When `pace` was sent.
        full_speed_cpu: CPU that a best-effort task uses at full speed.
        slow_since: Since when `pace` has been low; 0 if it is not.
        over_target_since: Since when the tail latency has been above its
            target; 0 if it is not.
        excess_load: By how much its load exceeds the estimate.
        estimated_at: When its tail latency last updated the estimates.
        missed_polls: Consecutive polls that did not list the run.
        waiting_since: When the task started to wait for its next start. For
            the first start, when its job was accepted or the last step that it
            waits for was done.
        idle_since: Since when it has had no run that lasted: since it was
            accepted, or since the end of the latest run of at least
            `LASTING_RUN_MS`.
        idle_before_ms: How long it had been idle when its current run started.
        last_end: How its latest run ended; empty if it has had none.
        last_run_at: When its latest run ended, however short it was; when it
            was accepted if it has had none.
        preemptions: How often it was stopped for another task.
        speed_wanted_since: Since when a best-effort task has waited for a
            worker that allows it its full speed: since its job was accepted or
            its latest run ended. A later step does not wait anew.
        wait_reason: Why it waits or waited, one of `waiting.ALL`; empty if it
            has not waited.
    """

    __slots__ = (
        "attempt",
        "adopted",
        "avoided_workers",
        "excess_load",
        "checkpoint",
        "confirmed_at",
        "crashes",
        "failures",
        "full_speed_cpu",
        "measurement",
        "held",
        "idle_before_ms",
        "idle_since",
        "job",
        "key",
        "last_end",
        "last_run_at",
        "listed_at",
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
        "preemptions",
        "running_since",
        "slow_since",
        "status",
        "step",
        "ticket",
        "speed_wanted_since",
        "wait_reason",
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
        self.crashes: dict[int, records.Crash] = {}
        self.ticket = ""
        self.checkpoint = ""
        self.worker = ""
        self.not_before = 0
        self.held = False
        self.avoided_workers: set[str] = set()
        self.ordered_at = 0
        self.order_count = 0
        self.confirmed_at = 0
        self.adopted = False
        self.running_since = 0
        self.listed_at = 0
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
        self.idle_since = 0
        self.idle_before_ms = 0
        self.last_end = ""
        self.last_run_at = 0
        self.preemptions = 0
        self.wait_reason = ""
        self.speed_wanted_since = 0

    def survived_ms(self) -> int:
        """Returns how long the current run is known to have run, in ms."""
        if not self.running_since:
            return 0
        return max(0, self.listed_at - self.running_since)


class Job:
    """A job that this node leads.

    Attributes:
        state: The state that clients see once it is committed.
        version: Version of its `work` row.
        start_recorded: Whether a committed row says that tasks may have
            started.
        started: Whether a task has started.
        final_saved: Whether the final state is committed.
        remaining: Number of unfinished tasks by (occurrence, step).
        tasks: Unfinished tasks of the expanded occurrences, by key.
        expanded: Occurrences whose tasks have been created.
        done: Indices of finished tasks by (occurrence, step).
        failures: Failed attempts of unfinished tasks, by task key.
        crashes: Crashes of workers under unfinished tasks, by task key.
        crash_changes: Number of changes of `crashes`.
        crash_changes_saved: The number that a committed row holds.
        awaits_save: Whether its tasks start only once its row is saved.
        has_cancel_row: Whether a stored row requests its cancellation.
        deadline: Time after which it is late, in Unix milliseconds.
        tickets: Advice on allowed workers by (occurrence, step).
    """

    __slots__ = (
        "awaits_save",
        "start_recorded",
        "crashes",
        "crash_changes",
        "crash_changes_saved",
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
        self.awaits_save = False
        self.has_cancel_row = False
        self.remaining: dict[tuple[int, int], int] = {}
        self.tasks: dict[records.TaskKey, Task] = {}
        self.expanded: set[int] = set()
        self.done: dict[tuple[int, int], set[int]] = {}
        self.failures: dict[records.TaskKey, set[int]] = {}
        self.crashes: dict[records.TaskKey, dict[int, records.Crash]] = {}
        self.crash_changes = 0
        self.crash_changes_saved = 0
        self.deadline = 0
        self.tickets: dict[tuple[int, int], Any] = {}


class Worker:
    """A worker, as the leader knows it.

    Attributes:
        listed: Whether its entry is in the platform's list.
        fenced: Whether it has accepted this leader's epoch.
        incarnation: Number of its latest known start.
        announced_at: When an entry announced that start; 0 once it answered.
        false_incarnation: Number of a start in its entry that it has refuted.
        clock: (worker's clock ms, our clock ms) at its latest answer.
        runs: Tasks that run or may run there, by key.
        used: [CPU, memory, accelerators] that those tasks reserve and that
            `unwanted_runs` use.
        short_cpu: CPU that short tasks among them reserve.
        reservations: Resources that are kept free for overdue tasks, by key.
        unwanted_runs: Resources of the runs that it listed last although no
            task here has them; they are being stopped.
        has_unknown_run: Whether the resources of one of those are unknown.
        allowed_shares: Share of its CPU that best-effort tasks may use now, by
            image.
        recently_ended: Best-effort tasks that ended recently, as (image, CPU,
            when).
        acknowledged: Highest number of an end that the worker may forget.
        last_end_number: The ends up to this number have been handled.
        unsaved_ends: Job by number of the ends not committed yet.
        has_unreadable_end: Whether it last listed an end that could not be
            read.
        has_more_ends: Whether it had more ends than it could list last.
        later_ends: Numbers of the ends handled although an earlier one could
            not be read.
        unverified_starts: Starts that may have reached a later incarnation than
            the one that last answered a poll, by (task, attempt): when the
            order was answered, 0 before.
        awaits_verification: Whether the next poll waits for the answers to
            those starts.
        lease_granted_at: When the latest order that renews its lease was
            sent.
        answered_at: When it last answered.
        asked_at: When the latest poll was sent that its current incarnation
            has answered.
        answer_due_at: When the poll in flight should have been answered.
        answered_address: Address at which its current incarnation answered.
        reached_at: When its current incarnation first answered.
        poll_pending: Whether a poll is in flight.
        failed_polls: Consecutive polls that failed.
        poll_due_at: When to send the next poll.
        cordoned: Whether it is being drained and takes no new tasks.
        restarted: Whether it has restarted since the last poll.
        replaced: Whether another instance has its address.
        recent_failures: When a task of a job last failed there, by job.
        quarantined_until: It gets no tasks until then, after many failures.
        backoff_until: It gets no tasks until then, after it refused one.
        change_sequence: Number of its latest change, as counted by its leader.
    """

    __slots__ = (
        "acknowledged",
        "allowed_shares",
        "answered_at",
        "answered_address",
        "answer_due_at",
        "awaits_verification",
        "asked_at",
        "recent_failures",
        "announced_at",
        "false_incarnation",
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
        "reached_at",
        "replaced",
        "reservations",
        "restarted",
        "backoff_until",
        "change_sequence",
        "runs",
        "later_ends",
        "has_more_ends",
        "has_unreadable_end",
        "unsaved_ends",
        "unverified_starts",
        "unwanted_runs",
        "has_unknown_run",
        "short_cpu",
        "used",
    )

    def __init__(self, entry: records.WorkerEntry):
        self.entry = entry
        self.name = entry.worker
        self.listed = True
        self.fenced = False
        self.incarnation = 0
        self.announced_at = 0
        self.false_incarnation = 0
        self.clock = (0, 0)
        self.runs: dict[records.TaskKey, Task] = {}
        self.used = [0, 0, 0]
        self.short_cpu = 0
        self.reservations: dict[records.TaskKey, records.Resources] = {}
        self.unwanted_runs: list[records.Resources] = []
        self.has_unknown_run = False
        self.allowed_shares: dict[str, float] = {}
        self.recently_ended: list[tuple[str, float, int]] = []
        self.acknowledged = 0
        self.last_end_number = 0
        self.unsaved_ends: dict[int, str] = {}
        self.has_unreadable_end = False
        self.has_more_ends = False
        self.later_ends: set[int] = set()
        self.unverified_starts: dict[tuple[records.TaskKey, int], int] = {}
        self.awaits_verification = False
        self.lease_granted_at = 0
        self.answered_at = 0
        self.asked_at = 0
        self.answer_due_at = 0
        self.answered_address = ""
        self.reached_at = 0
        self.poll_pending = False
        self.failed_polls = 0
        self.poll_due_at = 0
        self.recent_failures: dict[str, int] = {}
        self.quarantined_until = 0
        self.backoff_until = 0
        self.restarted = False
        self.replaced = False
        self.cordoned = False
        self.change_sequence = 0

    def record_change(self, leader: "LeaderState"):
        """Records a change that may let a waiting task start here."""
        leader.change_sequence += 1
        self.change_sequence = leader.change_sequence

    def is_responsive(self, now: int) -> bool:
        """Returns whether it has recently answered under this epoch."""
        return self.fenced and now - self.answered_at < WORKER_SILENCE_MS

    def clock_now(self, now: int) -> int:
        """Returns an estimate of the worker's current clock."""
        clock, at = self.clock
        return clock + now - at


class LeaderState:
    """State that a node only has while it leads. It starts out empty.

    Attributes:
        epoch: Fencing token of this leadership.
        owner_version: Version of the `owner` row, checked by each commit.
        since: When the claim of the leadership was sent.
        confirmed_at: When the latest successful commit was sent.
        heartbeat_number: Number of its latest heartbeat.
        sent_heartbeats: When the latest heartbeat was sent, and from when on
            the leases count that it allows, by its number.
        heartbeat_at: When the latest successful heartbeat, or the claim, was
            sent.
        leases_from: From when on the longest leases that it may grant count,
            as the store has it; 0 as long as it may grant none.
        lease_extra_ms: By how much its leases may last longer than those of a
            small fleet.
        inherited_horizon: Until when the leases of former leaders last, as the
            heartbeats of the last one tell; None if that is not known.
        former_horizon: The same by all rows that tell it.
        former_names: The workers in the stored roster when it took over.
        reached_names: Those of them that have answered it.
        majority_at: When most of them had; 0 before.
        planned: Whether the process that led before is known to have ended, and
            no leader before it can send orders.
        horizon_applied: Whether `former_horizon` has been shortened by it.
        expiries_changed: Whether the ends of leases that are stored have to be
            stored again.
        idle_inherited: What former leaders have recorded on tasks without a
            run, by task.
        idle_known: The tasks in the latest commit of such records.
        idle_saved: Those of them that it says to run nowhere.
        idle_recorded: The tasks of which a stored record may say so.
        idle_released: When a record was changed so that its task may start, by
            task.
        former_locations: On which worker former leaders had a long-running
            task, by task.
        located: The workers that stored locations may name, by task.
        locations_saved: The stored locations; None if they are not known.
        intended_workers: The workers on which recorded tasks start after the
            next commit.
        location_awaited: Whether a task waits for the removal of one to start.
        former_run_at: When the former leader last had runs of the tasks that it
            had not recorded.
        loaded_at: When it had read all state of former leaders; 0 before.
        stored_rosters: Names of the workers in the rosters of which one is
            stored.
        settled_at: When leases of all runs of former leaders have expired.
        settled: Whether no unknown run of a former leader can exist.
        claimed_early_ms: How long before the timeout of heartbeats the former
            leader, or an unsettled one before it, was replaced.
        loaded: Tables that have been read completely.
        closed_jobs: When jobs were removed after their end, by name.
        dirty: Jobs whose `work` row must be written.
        saving: Jobs in the commit in flight.
        save_at: When the latest commit ended; a failed one adds a delay.
        ready: Tasks to place, by (job, occurrence, step).
        due_occurrences: Heap of (due time, job, occurrence) to expand.
        unconfirmed: Tasks with a start that is not confirmed or a stop whose
            run has not ended; their orders are repeated.
        unproven_crashes: Tasks with crash records, by the worker that may still
            show that it has not crashed.
        outages: When workers stopped to answer, by (name, incarnation).
        trials: Suspect tasks whose run keeps its worker free of other starts.
        trial_workers: Workers of `trials` at the latest placement pass.
        free_trials: How many more workers may get a trial in that pass.
        job_rows: Rows of `jobs` to process once `work` has been read.
        placement_requested: Whether something changed that may let a
            waiting task start.
        change_sequence: Number of the latest change of a worker that may let a
            waiting task start there.
        failed_searches: Kinds of waiting tasks that fitted nowhere, with the
            sequence number of that search.
        resume_groups_at: Sort key of the first group of best-effort tasks that
            the last placement pass has not come to, or None.
        reservations: Reservations of workers, by the key of their task.
        eligible_workers: Workers that may run the tasks of a service with a
            label in the current placement pass, even if they are full.
        overdue_due_at: Earliest time at which overdue tasks are placed next.
        reviews_left: How many reservations may still be made or reviewed in
            the current pass.
        failed_reservations: When a step's overdue tasks last found neither a
            worker nor one to reserve, by (job, occurrence, step).
        placement_due_at: Earliest time of the next placement pass.
        reserved_cpu_share: Share of all CPU that tasks reserve.
        short_task_demand: Moving average of the share of all CPU that short
            tasks request.
        work_rows: Rows of `work` whose jobs have not been loaded.
        former_workers: Workers on which a run of a former leader may exist
            that no worker has reported.
        unsaved_jobs: The jobs whose rows did not show all ends of their runs
            when the former leader stopped; None if any may be one.
        waiting_tasks: Tasks that ran nowhere, or only on workers whose record
            in the store names them, when the former leader stopped.
        unreached: Former workers whose leases ended without an answer.
        unreached_logged: Whether those without an answer have been logged.
        roster_saved: Address by worker, as in the committed roster.
        leases_version: Version of the row of leases, checked by its commits.
        roster_written: The stored roster; None if it is not known.
        roster_number: Number of its latest commit of the roster.
        roster_changed: Whether a worker has answered that may need an entry.
        expiries_saved: Workers for which the store has the end of the last
            lease; None if that is not known.
        expiring: Workers that a commit has been sent for whose outcome may be
            unknown, and those of `expiries_saved`. They get no lease and no
            start.
        estimates: Load estimates and interference coefficients by serving
            image.
        saved_coefficients: Coefficients in the store, for a successor.
        successor: Node on a larger VM that asks to take over; empty for none.
        successor_capacity: Capacity of that VM, in cores.
        worker_reached_at: When a worker last answered for the first time.
        starts_in_flight: Start orders that are not answered yet.
        unsent_starts: Members of gangs whose start has not been sent yet,
            because too many others are in flight.
        entries_answered_at: When worker entries were last received.
        entries_read_at: The received entries are at least as recent as this.
    """

    def __init__(self, epoch: int, owner_version: int, now: int):
        self.epoch = epoch
        self.owner_version = owner_version
        self.since = now
        self.confirmed_at = now
        self.heartbeat_at = now
        self.heartbeat_number = 0
        self.sent_heartbeats: dict[int, tuple[int, int]] = {}
        self.leases_from = 0
        self.lease_extra_ms = 0
        self.inherited_horizon: Any = None
        self.former_horizon: Any = None
        self.former_names: frozenset[str] = frozenset()
        self.reached_names: set[str] = set()
        self.majority_at = 0
        self.planned = False
        self.horizon_applied = False
        self.expiries_changed = False
        self.idle_inherited: dict[records.TaskKey, Any] = {}
        self.idle_known: frozenset[records.TaskKey] = frozenset()
        self.idle_saved: frozenset[records.TaskKey] = frozenset()
        self.idle_recorded: set[records.TaskKey] = set()
        self.idle_released: dict[records.TaskKey, int] = {}
        self.former_locations: dict[records.TaskKey, str] = {}
        self.located: dict[records.TaskKey, set[str]] = {}
        self.locations_saved: dict[records.TaskKey, str] | None = {}
        self.intended_workers: dict[records.TaskKey, str] = {}
        self.location_awaited = False
        self.former_run_at = now
        self.loaded_at = 0
        self.stored_rosters: list[frozenset[str]] = []
        self.successor = ""
        self.successor_capacity = 0.0
        self.worker_reached_at = 0
        self.starts_in_flight = 0
        self.unsent_starts: dict[records.TaskKey, Task] = {}
        self.entries_answered_at = now
        self.entries_read_at = now
        self.settled_at = 0
        self.settled = False
        self.claimed_early_ms = 0
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
        self.unproven_crashes: dict[str, dict[records.TaskKey, Task]] = {}
        self.outages: dict[tuple[str, int], Any] = {}
        self.trials: dict[records.TaskKey, Task] = {}
        self.trial_workers: set[str] = set()
        self.free_trials = 0
        self.job_rows: list[Any] = []
        self.placement_requested = False
        self.change_sequence = 1
        self.failed_searches: dict[Any, Any] = {}
        self.resume_groups_at: tuple | None = None
        self.reservations: dict[records.TaskKey, Any] = {}
        self.eligible_workers: dict[tuple[str, str], list[Worker]] = {}
        self.overdue_due_at = 0
        self.reviews_left = 0
        self.failed_reservations: dict[tuple, int] = {}
        self.placement_due_at = 0
        self.waiting_measured_at = 0
        self.short_task_demand = 0.0
        self.demand_updated_at = 0
        self.preemption_due_at = 0
        self.reserved_cpu_share = 0.0
        self.work_rows: dict[str, Any] = {}
        self.roster_saved: dict[str, str] = {}
        self.roster_saved_at = 0
        self.roster_saving = False
        self.roster_due_at = 0
        self.roster_check_at = 0
        self.leases_version = 0
        self.roster_written: Any = None
        self.former_workers: dict[str, leases.FormerWorker] = {}
        self.unsaved_jobs: frozenset[str] | None = None
        self.waiting_tasks: frozenset[records.TaskKey] = frozenset()
        self.unreached: list[str] = []
        self.unreached_logged = False
        self.roster_number = 0
        self.roster_changed = False
        self.expiries_saved: frozenset[str] | None = frozenset()
        self.expiring: frozenset[str] = frozenset()
        self.estimates: dict[str, Any] = {}
        self.saved_coefficients: dict[str, Any] = {}
        self.handover_read = False
        self.handover_due_at = 0
        self.advice_pending = False
        self.waves: dict[int, Any] = {}
        self.machines: dict[str, records.Machine] | None = None
        self.machines_listed_at = 0
        self.list_pending = False
        self.list_requested_at = 0
        self.list_due_at = 0
        self.maintenance_due_at = 0
        self.heartbeat_pending = False
        self.heartbeat_due_at = 0


class State:
    """All state of one node's reducer."""

    def __init__(self, cfg: records.Settings, seed: int):
        self.cfg = cfg
        self.rng = random.Random(seed)
        self.now = 0
        self.wall_offset = 0
        self.configuration: records.Configuration | None = None
        # Whether there is a newer version that this node can't read.
        self.newer_unreadable = False
        # All changes of the operator's rows up to this time have been read; -1
        # before the first read.
        self.operator_current_at = -1
        # When the store last answered a poll of these rows, and whether the
        # last poll has failed.
        self.operator_answered_at = 0
        self.operator_feed_failed = False
        # Whether the last log line said that the configuration is current.
        self.configuration_current = False
        # Start of the round that asks for newer rows, -1 while there is none;
        # who has not answered it; the end of the last one, if the configuration
        # was not current then, or -1.
        self.round_started_at = -1
        self.round_awaited: set[str] = set()
        self.round_failed_at = -1
        self.round_due_at = 0
        # Requests that wait for a round, by id.
        self.undecided: dict[str, Any] = {}
        # Nodes that may be asked, by address, and what they are chosen by.
        self.peers: dict[str, Any] = {}
        self.peer_rng = random.Random(f"peers {seed}")
        # The one that knew the newest rows; empty for none.
        self.best_peer = ""
        self.leader_peer = ""
        self.greeting_due_at = 0
        # Time of the first event.
        self.started_at = -1
        self.waves: dict[int, records.Wave] = {}
        self.ready = False
        self.stopping_at = 0
        self.released = False
        # Whether clients may still connect.
        self.accepting = True
        self.open_requests: dict[str, int] = {}
        self.callbacks: dict[str, Any] = {}
        self.last_call_number = 0
        # Leadership as this node last read it.
        self.owner: Any = None
        self.owner_version = 0
        self.owner_updated_at = 0
        self.leadership_read_at = -1
        # Epoch of the latest leader that seems to have exited; -1 for none.
        self.exited_epoch = -1
        # Watch address and epoch of the leader whose exit is reported.
        self.watched_leader = ("", 0)
        # Since when the store has not served this node; 0 while it does.
        self.store_lost_at = 0
        # When the store last served this node, and when it last did so after
        # a time in which it may have been away.
        self.store_served_at = 0
        # Latest reading of the store's clock.
        self.store_clock = leases.ClockReading(0, 0, 0)
        self.store_returned_at = 0
        # Latest known state by job, oldest first.
        self.known_states: dict[str, str] = {}
        self.heartbeat: Any = {}
        self.heartbeat_version = 0
        self.claiming = False
        self.claim_due_at = 0
        # When this node asks for the leadership, and the latest epoch for
        # which a node has asked.
        self.candidate_due_at = 0
        self.proposed_epoch = 0
        self.leader: LeaderState | None = None

    @property
    def wall_ms(self) -> int:
        """Returns the wall-clock time in Unix milliseconds."""
        return self.now + self.wall_offset

    def register_callback(self, done) -> str:
        """Registers the callback of a store call and returns the call's id."""
        self.last_call_number += 1
        op = str(self.last_call_number)
        self.callbacks[op] = done
        return op
