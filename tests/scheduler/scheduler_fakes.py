"""Simulates a deployment in virtual time: nodes, a store and workers."""

import heapq
import itertools
import os

import orjson

from skylarklug.scheduler import events
from skylarklug.scheduler import freshness
from skylarklug.scheduler import peers
from skylarklug.scheduler import records
from skylarklug.scheduler import reducer

# Round trip to the store.
STORE_DELAY_MS = 6
# One-way delay between nodes and workers.
LINK_DELAY_MS = 2
TICK_INTERVAL_MS = 25
# Time limit of a call from node to node.
PEER_TIMEOUT_MS = 500
# Interval at which watches without changes return.
WATCH_POLL_MS = 1_000
MAX_LEASE_MS = 6_000
# A task that crashes its worker does so this long after its start.
CRASH_DELAY_MS = 10
# Time after which a worker that a task has crashed is back.
CRASH_DOWN_MS = 3_000
# Longest wait of a poll for an end, and how often the worker looks for one.
POLL_WAIT_MS = 200
POLL_STEP_MS = 20
# Time that a run takes to stop.
STOP_DURATION_MS = 200
# Time for which a member of a gang waits for the others.
GANG_TIMEOUT_MS = 4_000
# Time after which other nodes notice that a process has ended.
EXIT_DELAY_MS = 5
# Interval at which a worker publishes its entry.
HEARTBEAT_MS = 1_500
# A node has to notice a smaller capacity this long after it was published.
CONTACT_MS = 3_000
# Wall-clock time in ms at the virtual time 0.
WALL_OFFSET = 1_700_000_000_000
# Clocks that differ do so by up to 2%, and by this much at the virtual time 0.
CLOCK_OFFSET_MS = 700_000
# Time in ms of the store's steady clock at the virtual time 0.
STORE_CLOCK_OFFSET = 5_000_000
SERVICE = "hub"
QUEUE = records.Queue(
    name="batch",
    host="hub.example",
    prefix="/batch/",
    service=SERVICE,
    priority=2,
    max_attempts=2,
    stretch=2.0,
    objective_ms=1_000,
    advice=None,
)
CONFIGURATION = records.Configuration(1, {"batch": QUEUE})


def random_seeds(default_seeds):
    """Returns the seeds to play, from the environment if it names a range."""
    text = os.environ.get("RANDOM_FAULT_SEEDS")
    if text is None:
        return default_seeds
    first, _, end = text.partition("-")
    return range(int(first), int(end))


def job_id(number):
    return f"{number:016x}"


def first_key(number, index=0):
    """Returns the key of a task of the first step of a job."""
    return records.TaskKey(job_id(number), 0, 0, index)


def step(count=1, **fields):
    need = records.Resources(
        fields.pop("cpu", 1_000),
        fields.pop("memory_mb", 100),
        fields.pop("accelerators", 0),
    )
    estimate_ms = fields.pop("estimate_ms", 1_000)
    return records.Step(count, need, estimate_ms, **fields)


class Clock:
    """A steady clock, which may be slow."""

    def __init__(self, sim, offset_ms=0, rate=1.0):
        self.sim = sim
        self.offset_ms = offset_ms
        self.rate = rate

    def now(self):
        return self.at(self.sim.now)

    def at(self, time_ms):
        """Returns what it shows at a virtual time."""
        return self.offset_ms + int(time_ms * self.rate)


class Store:
    """A versioned store that can fail in a different way for each node.

    `modes` maps nodes to "refuse" (calls fail without effect), "silent" (calls
    get no answer and have no effect), "lose" (commits take effect, but their
    answers are lost), "late" (commits get no answer and take effect `late_ms`
    later if their checks still hold), "no heartbeats" (only heartbeats get no
    answer and have no effect) or "refuse writes" (only commits fail).
    """

    def __init__(self, sim):
        self.sim = sim
        self.rows = {}
        self.version = 0
        self.modes = {}
        # Additional duration of each transaction, and of its answer's way.
        self.slow_ms = 0
        self.slow_answers_ms = 0
        self.late_ms = 3_000
        # Whether it refuses the entries of workers.
        self.refuses_workers = False
        self.commits = []

    def commit(self, node, effect):
        mode = self.modes.get(node.name, "ok")
        if mode in ("refuse", "refuse writes"):
            return "refused", 0, ()
        if mode == "silent":
            return "unknown", 0, ()
        if mode == "no heartbeats":
            if any(write.key == "beat" for write in effect.writes):
                return "unknown", 0, ()
            mode = "ok"
        if mode == "late":
            self.sim.after(self.late_ms, lambda: self.apply(node, effect))
            return "unknown", 0, ()
        answer = self.apply(node, effect)
        return answer if mode == "ok" else ("unknown", 0, ())

    def clock_ms(self, status):
        """Returns the steady clock in an answer; 0 if it does not tell it."""
        if status not in ("ok", "conflict"):
            return 0
        return self.sim.now + STORE_CLOCK_OFFSET

    def is_readable(self, node):
        """Returns whether a node's reads and watches get answers."""
        return self.modes.get(node.name, "ok") not in ("refuse", "silent")

    def apply(self, node, effect):
        failed = []
        for check in effect.checks:
            row = self.rows.get((check.table, check.key))
            version = row.version if row else 0
            if version != check.version:
                value = row.value if row else None
                failed.append(
                    events.Row(check.table, check.key, version, value)
                )
        if failed:
            return "conflict", self.version, tuple(failed)
        self.version += 1
        self.commits.append((self.sim.now, node.name, effect))
        changed = []
        for write in effect.writes:
            row_key = (write.table, write.key)
            # Rows are stored as JSON.
            value = orjson.loads(orjson.dumps(write.value))
            row = events.Row(*row_key, self.version, value)
            if write.value is None:
                self.rows.pop(row_key, None)
            else:
                self.rows[row_key] = row
            changed.append(row)
        self.sim.publish_changes(changed)
        return "ok", self.version, ()

    def table(self, name):
        found = [r for (t, _), r in self.rows.items() if t == name]
        return tuple(sorted(found, key=lambda row: row.key))


class Worker:
    """A worker with a lease, a fencing epoch, runs and ends of runs.

    It starts whatever it is told to, even above its capacity.
    """

    def __init__(
        self, sim, name, cpu=16_000, labels=("a", "r1"), incarnation=1
    ):
        self.sim = sim
        self.name = name
        self.capacity = records.Resources(cpu, 64_000, 0)
        # Capacities of this incarnation, as (since when, capacity).
        self.capacities = []
        # Capacity and incarnation in its entry, and its labels there.
        self.published = (self.capacity, incarnation)
        self.published_labels = labels
        self.labels = labels
        # Whether another writer has put an unreadable entry over its own.
        self.has_odd_entry = False
        self.draining = False
        self.run_ms = 500
        self.fail = set()
        # Whether it rejects a start that exceeds its capacity.
        self.enforces_capacity = False
        # Number of starts to refuse, as an unhealthy worker does.
        self.refused_starts = 0
        # Number of starts to lose.
        self.lost_starts = 0
        # Number of starts to execute without sending an answer.
        self.unanswered_starts = 0
        # Delays of the next calls that are executed late, by the kind of call
        # ("look", "start" or "stop").
        self.late_calls = {"look": [], "start": [], "stop": []}
        # Address in its entry, if it is not its own.
        self.false_address = ""
        # Whether those get no answer. Otherwise they are executed twice, and
        # the first execution is answered.
        self.late_calls_only_late = False
        # Additional delay of each answer to a poll.
        self.poll_delay_ms = 0
        self.clock = sim.new_clock()
        self.clock_base_ms = self.clock.now()
        # Tasks whose runs or ends no node can read.
        self.unreadable_tasks = set()
        self.restart(incarnation)

    def restart(self, incarnation):
        """Begins a new incarnation, whose clock and numbers begin anew."""
        self.incarnation = incarnation
        self.clock.offset_ms = 0
        self.clock.offset_ms = self.clock_base_ms - self.clock.now()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.ends = []
        # Rows of the history by the number of the end.
        self.ended_runs = {}
        self.paces = {}
        self.last_acknowledged = 0
        self.rejected_up_to = {}
        # Numbers of ends after which the lease has lapsed.
        self.lapsed_ends = set()
        self.capacities = [(self.sim.now, self.capacity)]

    @property
    def cpu(self):
        return self.capacity.cpu

    @cpu.setter
    def cpu(self, cpu):
        self.resize(cpu=cpu)
        self.update_entry()

    def resize(self, **fields):
        """Changes the capacity; the entry does not show it yet."""
        self.capacity = self.capacity._replace(**fields)
        self.capacities.append((self.sim.now, self.capacity))

    def publish(self):
        """Publishes the entry, as soon as the store accepts it."""
        if self.sim.store.refuses_workers:
            self.sim.after(HEARTBEAT_MS, self.publish)
            return
        self.update_entry()
        self.sim.publish_entry(self)

    def update_entry(self):
        self.published = (self.capacity, self.incarnation)
        self.published_labels = self.labels

    def capacity_limit(self):
        """Returns the most that any start may use now.

        A smaller capacity counts once the nodes have had time to notice it.
        """
        since = self.sim.now - CONTACT_MS - HEARTBEAT_MS
        counted = []
        for number, (_, capacity) in enumerate(self.capacities):
            later = self.capacities[number + 1 :]
            if not later or later[0][0] > since:
                counted.append(capacity)
        return [max(amounts) for amounts in zip(*counted, strict=True)]

    def entry(self):
        capacity, incarnation = self.published
        labels = self.published_labels
        return records.WorkerEntry(
            worker=self.name,
            service=SERVICE,
            address=self.false_address or f"{self.name}:1",
            zone="z1",
            draining=self.draining,
            remaining_ms=-1,
            capacity=capacity,
            labels=labels,
            rack=labels[-1],
            incarnation=incarnation,
        )

    def expire(self):
        if self.clock.now() < self.lease_until:
            return
        # The rules do not count a later acknowledgement of these ends.
        self.lapsed_ends.update(end.number for end in self.ends)
        for key in list(self.runs):
            self.end(key, "lapsed")

    def end(self, key, outcome):
        run = self.runs.pop(key, None)
        if run is None:
            return
        attempt, _, checkpoint = run
        self.rejected_up_to[key] = max(self.rejected_up_to.get(key, 0), attempt)
        number = self.last_acknowledged + len(self.ends) + 1
        if self.ends:
            number = self.ends[-1].number + 1
        self.ends.append(
            records.EndReport(number, key, attempt, outcome, checkpoint)
        )
        row = (key, attempt, self.name, self.sim.now, outcome)
        self.sim.history.append(row)
        self.ended_runs[number] = row
        if outcome != "done":
            self.sim.break_gang(key, attempt)

    def crash(self, incarnation):
        lost = self.runs
        for key, run in lost.items():
            row = (key, run[0], self.name, self.sim.now, "crashed")
            self.sim.history.append(row)
        self.restart(incarnation)
        for key, run in lost.items():
            self.sim.break_gang(key, run[0])

    def accept_epoch(self, effect):
        if effect.epoch < self.fence:
            return False
        self.fence = effect.epoch
        if effect.lease_until:
            limit = self.clock.now() + MAX_LEASE_MS
            until = min(effect.lease_until, limit)
            self.lease_until = max(self.lease_until, until)
        return True

    def look(self, effect):
        self.expire()
        if not self.accept_epoch(effect):
            return "rejected", "fence", None
        while self.ends and self.ends[0].number <= effect.acknowledged:
            end = self.ends.pop(0)
            self.last_acknowledged = end.number
            if end.number in self.lapsed_ends:
                continue
            # A later incarnation may run the same attempt again, and the end of
            # that run is another one.
            row = self.ended_runs[end.number]
            if end.outcome == "done":
                self.sim.acknowledged_done.add(row)
            if end.outcome == "failed":
                self.sim.acknowledged_failed.add(row)
        return "ok", "", self.report()

    def report(self):
        """Returns what the answer to a poll says now."""
        self.expire()
        running = []
        hidden = self.unreadable_tasks
        ends = self.ends[: self.sim.max_listed_ends]
        for key, (attempt, _, checkpoint) in self.runs.items():
            if key in hidden:
                continue
            measurement = self.sim.measurement_of(self.sim, self, key)
            percent = 100 if self.sim.runs_until_cancelled(key) else 50
            running.append(
                records.RunReport(
                    key, attempt, checkpoint, percent, measurement
                )
            )
        return (
            self.incarnation,
            self.clock.now(),
            tuple(running),
            tuple(end for end in ends if end.key not in hidden),
            any(key in hidden for key in self.runs),
            min((end.number for end in ends if end.key in hidden), default=0),
            len(ends) == self.sim.max_listed_ends,
        )

    def start(self, effect):
        self.expire()
        if not self.accept_epoch(effect):
            return "rejected", "fence"
        if self.clock.now() >= self.lease_until:
            return "rejected", "late"
        run = self.runs.get(effect.key)
        if run is not None and run[0] == effect.attempt:
            return "ok", ""
        if effect.attempt <= self.rejected_up_to.get(effect.key, 0):
            return "rejected", "old"
        if self.enforces_capacity and not self.has_room(effect.key):
            return "rejected", "room"
        self.sim.check_start(self, effect)
        started = self.sim.now
        run = (effect.attempt, started, effect.checkpoint)
        self.runs[effect.key] = run
        self.paces.pop(effect.key, None)
        if effect.ticket:
            self.sim.tickets.append((self.name, effect.ticket))
        self.sim.starts.append((started, effect.key, effect.attempt, self.name))
        if effect.key in self.sim.fatal_tasks:
            self.sim.after(CRASH_DELAY_MS, lambda: self.sim.crash_worker(self))
        runs_until_cancelled = self.sim.runs_until_cancelled(effect.key)
        failing = effect.key.job in self.fail or "*" in self.fail
        failing = failing or effect.key in self.sim.failing_tasks
        if self.sim.step_of(effect.key).gang and not failing:
            self.sim.join_gang(self, effect.key, run)
        elif failing or not runs_until_cancelled:
            outcome = "failed" if failing else "done"

            def finish():
                if self.runs.get(effect.key) is run:
                    self.expire()
                    self.end(effect.key, outcome)

            self.sim.after(20 if failing else self.run_ms, finish)
        return "ok", ""

    def has_room(self, key):
        pairs = zip(self.used_with(key), self.capacity, strict=True)
        return all(used <= capacity for used, capacity in pairs)

    def used_with(self, key):
        """Returns the resources in use once this task runs too."""
        used = list(self.sim.counted_resources(key))
        for other in self.runs:
            for index, amount in enumerate(self.sim.counted_resources(other)):
                used[index] += amount
        return used

    def stop(self, effect):
        if effect.epoch < self.fence:
            return "rejected", "fence"
        self.rejected_up_to[effect.key] = max(
            self.rejected_up_to.get(effect.key, 0), effect.attempt
        )
        run = self.runs.get(effect.key)
        if run is not None and run[0] == effect.attempt:
            saved = (run[0], run[1], f"saved-{self.sim.now}")
            self.runs[effect.key] = saved

            def finish():
                if self.runs.get(effect.key) is saved:
                    self.end(effect.key, "stopped")

            self.sim.after(STOP_DURATION_MS, finish)
        return "ok", ""

    def pace(self, effect):
        if effect.epoch < self.fence:
            return "rejected", "fence"
        run = self.runs.get(effect.key)
        if run is None or run[0] != effect.attempt:
            return "rejected", "old"
        self.paces[effect.key] = effect.pace
        return "ok", ""


class Node:
    """A node: the state of its reducer and the tables that it watches."""

    def __init__(
        self, sim, name, incarnation, capacity=1.0, watch_address=None
    ):
        cfg = records.Settings(
            node=name,
            zone="z1",
            incarnation=incarnation,
            max_lease_ms=MAX_LEASE_MS,
            stop_grace_ms=6_000,
            status_ms=120_000,
            capacity=capacity,
            watch_address=f"{name}:9"
            if watch_address is None
            else watch_address,
            peer_address=f"{name}:8",
        )
        self.sim = sim
        self.name = name
        # The watch address of the leader that it watches, and its epoch.
        self.watched_leader = ("", 0)
        self.clock = sim.new_clock()
        self.state = reducer.new_state(cfg, incarnation)
        self.alive = True
        # What has arrived at a paused process; None while it runs.
        self.paused_events = None
        # How far its time of day is ahead of true time.
        self.wall_error_ms = 0
        self.watched = {}
        self.missed = set()
        # Tables whose reads get no answer.
        self.hung_tables = set()
        self.logs = []
        self.ready = False
        self.accepts_connections = True
        # Number of requests of which a part has been received.
        self.arriving_requests = 0


class Sim:
    """The simulation. All times are in virtual milliseconds."""

    def __init__(
        self,
        nodes=3,
        workers=4,
        configuration=CONFIGURATION,
        clocks_differ=False,
    ):
        self.now = 1_000
        self.clocks_differ = clocks_differ
        self.clock_numbers = itertools.count(1)
        self.configuration = configuration
        self.queue = []
        self.sequence = itertools.count()
        self.incarnations = itertools.count(1)
        self.store = Store(self)
        self.answers = {}
        # Number of requests refused because they arrived too late.
        self.refused_requests = 0
        self.starts = []
        self.history = []
        # Acknowledged ends with the outcome "done", as rows of the history.
        self.acknowledged_done = set()
        self.acknowledged_failed = set()
        # Tasks that fail on any worker.
        self.failing_tasks = set()
        self.specs = {}
        # Tasks that crash each worker that starts them.
        self.fatal_tasks = set()
        # Most ends in one answer to a poll.
        self.max_listed_ends = 500
        # Number of starts to come whose worker loses power before it begins.
        self.power_losses = 0
        # Whether a crashed worker is back under its name, or under a new one.
        self.names_return = False
        # Workers that are down, whose hosts refuse connections.
        self.crashed_workers = set()
        # Workers whose address another worker has.
        self.replaced_workers = set()
        self.problems = []
        # Whether nodes notice that the process of the leader has ended.
        self.notices_exits = True
        self.workers = {}
        self.cut_links = set()
        # Pairs of names of nodes that do not reach each other.
        self.cut_node_links = set()
        # Workers that no node reaches, and workers whose answers all get lost.
        self.silent_workers = set()
        self.mute_workers = set()
        # Workers whose entry has left the store, alive or not.
        self.unlisted_workers = set()
        self.measurement_of = lambda sim, worker, key: 0
        # Tickets by worker; None while the advice service does not answer.
        self.offered_tickets = {}
        self.tickets = []
        self.down = {}
        self.max_down = 0
        self.maintained = []
        self.maintained_in_wave = set()
        # The state of each wave that the operator sees.
        self.stored_reports = {}
        self.ended_by_maintenance = []
        self.reports = []
        self.nodes = {}
        for number in range(workers):
            worker = Worker(self, f"w{number}")
            self.workers[worker.name] = worker
        for number in range(nodes):
            self.add_node(f"n{number}")

    # ------------------------------------------------------------ simulation

    def after(self, delay, call):
        heapq.heappush(
            self.queue, (self.now + delay, next(self.sequence), call)
        )

    def new_clock(self):
        """Returns the clock of a node or a worker."""
        if not self.clocks_differ:
            return Clock(self)
        number = next(self.clock_numbers)
        return Clock(self, number * CLOCK_OFFSET_MS, 1 - number % 3 / 100)

    def run(self, milliseconds):
        end = self.now + milliseconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def add_node(self, name, capacity=1.0, watch_address=None):
        node = Node(
            self, name, next(self.incarnations), capacity, watch_address
        )
        self.nodes[name] = node
        self.watch_table(node, "leadership")
        self.send_operator_rows(node)
        self.tick(node)
        self.poll_watches(node)
        return node

    def kill(self, name):
        """Ends a process; its host closes its connections and refuses others.

        Nodes that watch it notice, unless the link to its host is cut.
        """
        killed = self.nodes[name]
        self.lose_node_power(name)
        for node in self.nodes.values():
            address, epoch = node.watched_leader
            if not address or address != killed.state.cfg.watch_address:
                continue
            if (node.name, name) in self.cut_links:
                continue
            if self.notices_exits:
                self.report_exit(node, epoch)

    def lose_node_power(self, name):
        """Ends a process and its host, which nobody notices at once."""
        self.nodes.pop(name).alive = False

    def refuse_connections(self, refusing):
        """Tells all nodes that watch a process that it seems to have ended."""
        for node in self.nodes.values():
            address, epoch = node.watched_leader
            if address and address == refusing.state.cfg.watch_address:
                self.report_exit(node, epoch)

    def report_exit(self, node, epoch):
        """Tells a node that the process of the leader seems to have ended."""
        self.deliver(
            node,
            EXIT_DELAY_MS,
            lambda at: events.LeaderExited(at, epoch),
        )

    def stop(self, node):
        """Asks a process to shut down; it exits by itself."""
        self.dispatch(node, events.StopRequested(node.clock.now()))

    def pause(self, node):
        """Suspends a process: what reaches it waits until it resumes."""
        node.paused_events = []

    def resume(self, node):
        held, node.paused_events = node.paused_events, None
        self.tick(node)
        for make in held:
            self.dispatch(node, make(node.clock.now()))

    def tick(self, node):
        if not node.alive or node.paused_events is not None:
            return
        wall_ms = self.now + WALL_OFFSET + node.wall_error_ms
        self.dispatch(node, events.Tick(node.clock.now(), wall_ms))
        self.after(TICK_INTERVAL_MS, lambda: self.tick(node))

    def deliver(self, node, delay, make):
        def arrive():
            if node.paused_events is not None:
                node.paused_events.append(make)
            elif node.alive:
                self.dispatch(node, make(node.clock.now()))

        self.after(delay, arrive)

    def dispatch(self, node, event):
        for effect in reducer.reduce(node.state, event):
            self.perform(node, effect)

    def perform(self, node, effect):
        name = type(effect).__name__
        handler = getattr(self, f"on_{name}", None)
        if handler is not None:
            handler(node, effect)

    def introduce(self, node, peer):
        """Tells a node the address of another one."""
        address = peer.state.cfg.peer_address
        self.dispatch(node, events.PeerCalled(node.clock.now(), address))

    # -------------------------------------------------------------- effects

    def on_Answer(self, node, effect):  # noqa: N802
        self.answers.setdefault(effect.req, []).append(effect)

    def on_Log(self, node, effect):  # noqa: N802
        node.logs.append((self.now, effect.event, effect.fields))
        if effect.event == "defect":
            self.problems.append(f"defect: {effect.fields}")

    def on_SetReady(self, node, effect):  # noqa: N802
        node.ready = effect.ready

    def on_StopAccepting(self, node, effect):  # noqa: N802
        node.accepts_connections = False

    def on_CloseIdleConnections(self, node, effect):  # noqa: N802
        self.dispatch(
            node, events.ConnectionsCounted(self.now, node.arriving_requests)
        )

    def on_CloseConnections(self, node, effect):  # noqa: N802
        self.refused_requests += node.arriving_requests
        node.arriving_requests = 0

    def on_Exit(self, node, effect):  # noqa: N802
        node.alive = False
        self.nodes.pop(node.name, None)

    def on_Commit(self, node, effect):  # noqa: N802
        sent_at = self.now

        def apply():
            status, version, rows = self.store.commit(node, effect)
            delay = STORE_DELAY_MS // 2 + self.store.slow_answers_ms
            if self.now - sent_at >= effect.timeout_ms:
                status, version, rows = "unknown", 0, ()
            elif status == "unknown":
                delay = effect.timeout_ms
            elif self.now + delay - sent_at > effect.timeout_ms:
                delay = sent_at + effect.timeout_ms - self.now
                status, version, rows = "unknown", 0, ()
            store_ms = self.store.clock_ms(status)
            self.deliver(
                node,
                delay,
                lambda at: events.StoreAnswered(
                    at,
                    node.clock.at(sent_at),
                    effect.op,
                    status,
                    version,
                    rows,
                    store_ms,
                ),
            )

        self.after(STORE_DELAY_MS // 2 + self.store.slow_ms, apply)

    def on_ReadRows(self, node, effect):  # noqa: N802
        sent_at = node.clock.now()

        def read():
            if not self.store.is_readable(node):
                answer = ("refused", 0, ())
            else:
                rows = self.store.table(effect.table)
                if effect.key:
                    rows = tuple(r for r in rows if r.key == effect.key)
                answer = ("ok", self.store.version, rows)
            store_ms = self.store.clock_ms(answer[0])
            self.deliver(
                node,
                STORE_DELAY_MS // 2,
                lambda at: events.StoreAnswered(
                    at, sent_at, effect.op, *answer, store_ms
                ),
            )

        self.after(STORE_DELAY_MS // 2, read)

    def on_WatchTable(self, node, effect):  # noqa: N802
        self.watch_table(node, effect.table)

    def send_operator_rows(self, node):
        """Lets a node read the operator's rows, if the store serves it."""
        if not self.serves(node, "operator"):
            node.missed.add("operator")
            return
        node.missed.discard("operator")
        self.deliver_operator_rows(node)

    def deliver_operator_rows(self, node):
        cfg = self.configuration
        read_at = node.clock.now()
        if cfg is not None:
            self.deliver(
                node,
                STORE_DELAY_MS,
                lambda at: events.ConfigurationRead(at, cfg),
            )
        self.deliver(
            node,
            STORE_DELAY_MS,
            lambda at: events.OperatorRowsRead(at, read_at),
        )

    def change_configuration(self, cfg):
        """Puts a configuration into force; nodes learn it from the store."""
        self.configuration = cfg
        for node in list(self.nodes.values()):
            self.send_operator_rows(node)

    def on_ReadOperatorRows(self, node, effect):  # noqa: N802
        del effect
        mode = self.store.modes.get(node.name, "ok")
        if mode == "silent":
            return
        if mode == "refuse":
            self.deliver(node, STORE_DELAY_MS, events.OperatorRowsUnread)
            return
        self.deliver_operator_rows(node)

    def on_AskPeer(self, node, effect):  # noqa: N802
        sent_at = node.clock.now()
        address = effect.address

        def fail(delay):
            self.deliver(
                node,
                delay,
                lambda at: events.PeerAnswered(at, address, False),
            )

        def arrive():
            found = [n for n in self.nodes.values() if f"{n.name}:8" == address]
            if not found or frozenset((node.name, found[0].name)) in (
                self.cut_node_links
            ):
                fail(PEER_TIMEOUT_MS)
                return
            peer = found[0]
            if peer.paused_events is not None:
                fail(PEER_TIMEOUT_MS)
                return
            caller = node.state.cfg.peer_address
            at = peer.clock.now()
            self.dispatch(peer, events.PeerCalled(at, caller))
            age_ms = freshness.age_ms_at(peer.state, at)
            cfg = peer.state.configuration
            current_at = sent_at - age_ms if age_ms >= 0 else -1
            if current_at < effect.oldest_at:
                cfg, current_at = None, -1
            if cfg is not None:
                self.deliver(
                    node,
                    LINK_DELAY_MS,
                    lambda at: events.ConfigurationRead(at, cfg, address),
                )
            addresses = tuple(peers.shared_addresses(peer.state))
            self.deliver(
                node,
                LINK_DELAY_MS,
                lambda at: events.PeerAnswered(
                    at, address, True, current_at, addresses
                ),
            )

        self.after(LINK_DELAY_MS, arrive)

    def on_UnwatchTable(self, node, effect):  # noqa: N802
        node.watched.pop(effect.table, None)

    def on_WatchLeader(self, node, effect):  # noqa: N802
        node.watched_leader = (effect.address, effect.epoch)

    def watch_table(self, node, table):
        watch_id = object()
        node.watched[table] = watch_id

        def read():
            if node.watched.get(table) is not watch_id:
                return
            if not self.serves(node, table):
                node.missed.add(table)
                return
            if table == "workers":
                event = events.WorkersChanged(
                    node.clock.now(), True, self.readable_entries(), ()
                )
            else:
                rows = self.store.table(table)
                at = node.clock.now()
                event = events.RowsChanged(at, table, True, rows)
            if node.paused_events is not None:
                node.paused_events.append(lambda at: event._replace(at=at))
            elif node.alive:
                self.dispatch(node, event)

        self.after(STORE_DELAY_MS, read)

    def poll_watches(self, node):
        """Ends idle watches; rereads tables whose changes were missed."""
        if not node.alive:
            return
        reachable = self.store.is_readable(node)
        at = node.clock.now()
        if reachable and node.paused_events is None:
            if "operator" in node.missed:
                self.send_operator_rows(node)
            elif "operator" not in node.hung_tables:
                self.dispatch(node, events.OperatorRowsRead(at, at))
            for table in sorted(node.watched):
                if table in node.hung_tables:
                    continue
                if table in node.missed:
                    self.watch_table(node, table)
                elif table == "workers":
                    event = events.WorkersChanged(at, False, (), ())
                    self.dispatch(node, event)
                else:
                    event = events.RowsChanged(at, table, False, ())
                    self.dispatch(node, event)
            node.missed &= node.hung_tables
        elif node.paused_events is None:
            for table in sorted([*node.watched, "operator"]):
                self.dispatch(node, events.FeedFailed(at, table))
        self.after(WATCH_POLL_MS, lambda: self.poll_watches(node))

    def publish_changes(self, changed):
        for node in list(self.nodes.values()):
            if not self.store.is_readable(node):
                node.missed.update(row.table for row in changed)
                continue
            by_table = {}
            for row in changed:
                if row.table in node.watched:
                    by_table.setdefault(row.table, []).append(row)
            for table, rows in by_table.items():
                if table in node.hung_tables:
                    node.missed.add(table)
                    continue
                self.deliver(
                    node,
                    STORE_DELAY_MS,
                    lambda at, table=table, rows=tuple(rows): (
                        events.RowsChanged(at, table, False, rows)
                    ),
                )

    def publish_entry(self, worker):
        """Sends a changed worker entry to the nodes that read the table.

        A process that is suspended reads the table when it resumes.
        """
        if worker.name in self.unlisted_workers:
            return
        changed = ((worker.entry(),), ())
        if worker.has_odd_entry:
            changed = ((), (worker.name,))
        for node in self.nodes.values():
            if "workers" not in node.watched:
                continue
            suspended = node.paused_events is not None
            if suspended or not self.serves(node, "workers"):
                node.missed.add("workers")
                continue
            self.deliver(
                node,
                STORE_DELAY_MS,
                lambda at: events.WorkersChanged(at, False, *changed),
            )

    def serves(self, node, table):
        """Returns whether the store answers a node that reads a table."""
        if table in node.hung_tables:
            return False
        return self.store.is_readable(node)

    def readable_entries(self):
        """Returns the entries that the store has now and nodes can read."""
        found = []
        for worker in self.workers.values():
            if worker.name in self.unlisted_workers or worker.has_odd_entry:
                continue
            found.append(worker.entry())
        return tuple(found)

    def publish_workers(self):
        """Sends the current worker entries to all nodes."""
        for worker in self.workers.values():
            worker.update_entry()
        entries = self.readable_entries()
        for node in self.nodes.values():
            if not self.store.is_readable(node):
                node.missed.add("workers")
            elif "workers" in node.watched:
                self.deliver(
                    node,
                    STORE_DELAY_MS,
                    lambda at: events.WorkersChanged(at, True, entries, ()),
                )

    def crash_worker(self, worker):
        """Takes a worker down; it is back after `CRASH_DOWN_MS`."""
        if self.workers.pop(worker.name, None) is None:
            return
        worker.crash(worker.incarnation + 1)
        former_name = worker.name
        self.crashed_workers.add(former_name)
        if not self.names_return:
            worker.name = f"w{next(self.sequence)}"

        def return_worker():
            self.workers[worker.name] = worker
            self.crashed_workers.discard(former_name)
            if worker.name != former_name:
                self.replaced_workers.add(former_name)
            self.publish_workers()

        self.after(CRASH_DOWN_MS, return_worker)

    def lose_power(self, worker, down_ms=CRASH_DOWN_MS):
        """Takes a worker down without a word; it is back under its name."""
        worker.crash(worker.incarnation + 1)
        self.silent_workers.add(worker.name)

        def return_worker():
            self.silent_workers.discard(worker.name)
            self.publish_workers()

        self.after(down_ms, return_worker)

    def cut_off(self, worker):
        """Cuts a worker off from all nodes."""
        for node in self.nodes:
            self.cut_links.add((node, worker))

    def can_reach(self, node, worker):
        if worker in self.silent_workers:
            return False
        return (node.name, worker) not in self.cut_links

    def on_PollWorker(self, node, effect):  # noqa: N802
        self.send_to_worker(node, effect, "look")

    def on_StartRun(self, node, effect):  # noqa: N802
        self.send_to_worker(node, effect, "start")

    def on_StopRun(self, node, effect):  # noqa: N802
        self.send_to_worker(node, effect, "stop")

    def on_SetPace(self, node, effect):  # noqa: N802
        self.send_to_worker(node, effect, "pace")

    def send_to_worker(self, node, effect, op):
        sent_at = self.now
        key = getattr(effect, "key", None)
        attempt = getattr(effect, "attempt", 0)

        def answer(delay, result, reason, poll_answer=None, clock_ms=-1):
            if result == "ok" and op == "look":
                self.deliver(
                    node,
                    delay,
                    lambda at: events.WorkerPolled(
                        at,
                        node.clock.at(sent_at),
                        effect.worker,
                        *poll_answer,
                    ),
                )
                return
            self.deliver(
                node,
                delay,
                lambda at: events.OrderAnswered(
                    at,
                    node.clock.at(sent_at),
                    effect.worker,
                    op,
                    key,
                    attempt,
                    result,
                    reason,
                    effect.address,
                    clock_ms,
                ),
            )

        def arrive():
            worker = self.workers.get(effect.worker)
            if f"m-{effect.worker}" in self.down:
                answer(effect.timeout_ms, "unknown", "silent")
                return
            if effect.worker in self.crashed_workers:
                answer(LINK_DELAY_MS, "refused", events.NOT_LISTENING)
                return
            is_other = worker and effect.address == worker.false_address
            if is_other or effect.worker in self.replaced_workers:
                answer(LINK_DELAY_MS, "reborn", "another instance")
                return
            if worker is None or not self.can_reach(node, effect.worker):
                answer(effect.timeout_ms, "unknown", "silent")
                return
            if worker.late_calls.get(op):
                delay = worker.late_calls[op].pop(0)
                self.execute_late(worker, op, effect, delay)
                if worker.late_calls_only_late:
                    answer(effect.timeout_ms, "unknown", "silent")
                    return
            if op == "start" and self.power_losses:
                self.power_losses -= 1
                self.lose_power(worker)
                answer(effect.timeout_ms, "unknown", "silent")
                return
            if op == "start" and worker.refused_starts:
                worker.refused_starts -= 1
                answer(LINK_DELAY_MS, "refused", "status 503")
                return
            if op == "start" and worker.lost_starts:
                worker.lost_starts -= 1
                answer(effect.timeout_ms, "unknown", "silent")
                return
            if op == "start" and worker.unanswered_starts:
                worker.unanswered_starts -= 1
                worker.start(effect)
                answer(effect.timeout_ms, "unknown", "silent")
                return
            found = getattr(worker, op)(effect)
            if effect.worker in self.mute_workers:
                answer(effect.timeout_ms, "unknown", "silent")
                return
            if op == "look" and found[0] == "ok":
                wait_ms = POLL_WAIT_MS if effect.wait_ms else 0
                answer_poll(worker, worker.incarnation, wait_ms)
                return
            clock_ms = worker.clock.now() if op == "start" else -1
            answer(LINK_DELAY_MS, *found, clock_ms=clock_ms)

        def answer_poll(worker, incarnation, wait_ms):
            """Answers at the first end, or after `wait_ms`."""
            if worker.name in self.silent_workers | self.mute_workers:
                waited_ms = self.now - sent_at
                answer(effect.timeout_ms - waited_ms, "unknown", "silent")
                return
            if worker.incarnation != incarnation:
                # The connection broke when the worker ended.
                answer(LINK_DELAY_MS, "unknown", "broken")
                return
            if wait_ms and not worker.ends:
                left_ms = wait_ms - POLL_STEP_MS
                self.after(
                    POLL_STEP_MS,
                    lambda: answer_poll(worker, incarnation, left_ms),
                )
                return
            delay = LINK_DELAY_MS + worker.poll_delay_ms
            late = self.now + delay - sent_at - effect.timeout_ms
            if late > 0:
                answer(delay - late, "unknown", "slow")
                return
            answer(delay, "ok", "", worker.report())

        self.after(LINK_DELAY_MS, arrive)

    def execute_late(self, worker, op, effect, delay):
        """Executes a call after newer ones; that is not answered.

        A start whose lease has ended by then is rejected. A restart of the
        worker drops the call.
        """
        incarnation = worker.incarnation

        def execute():
            if self.workers.get(worker.name) is not worker:
                return
            if worker.incarnation != incarnation:
                return
            if op == "start" and worker.clock.now() >= effect.lease_until:
                return
            getattr(worker, op)(effect)

        self.after(delay, execute)

    def on_RequestAdvice(self, node, effect):  # noqa: N802
        tickets_by_worker = self.offered_tickets
        tickets = {}
        for name in effect.workers:
            if tickets_by_worker and name in tickets_by_worker:
                tickets[name] = tickets_by_worker[name]
        self.deliver(
            node,
            50,
            lambda at: events.AdviceAnswered(
                at,
                effect.job,
                effect.occurrence,
                effect.step,
                tickets_by_worker is not None,
                effect.workers,
                tickets,
                2_000,
            ),
        )

    def on_ListMachines(self, node, effect):  # noqa: N802
        del effect
        machines = []
        for name in self.workers:
            state = "upkeep" if f"m-{name}" in self.down else "up"
            machines.append(records.Machine(f"m-{name}", SERVICE, state, name))
        self.deliver(
            node,
            STORE_DELAY_MS,
            lambda at: events.MachinesListed(at, True, tuple(machines)),
        )

    def on_BeginMaintenance(self, node, effect):  # noqa: N802
        machine = effect.machine
        worker = self.workers[machine.removeprefix("m-")]
        done = (machine, effect.wave) in self.maintained_in_wave
        result = ("ok", "")
        if not done and machine in self.down:
            result = ("rejected", "busy")
        elif not done:
            self.maintained_in_wave.add((machine, effect.wave))
            self.maintained.append(machine)
            self.ended_by_maintenance.extend(worker.runs)
            self.down[machine] = True
            self.max_down = max(self.max_down, len(self.down))
            worker.restart(worker.incarnation + 1)

            def finish_maintenance():
                del self.down[machine]
                self.publish_workers()

            self.after(2_000, finish_maintenance)
        self.deliver(
            node,
            STORE_DELAY_MS,
            lambda at: events.MaintenanceAnswered(
                at, machine, effect.wave, *result
            ),
        )

    def on_ReportWave(self, node, effect):  # noqa: N802
        """Stores the state of a wave, which never goes back."""
        if not self.store.is_readable(node):
            self.after(WATCH_POLL_MS, lambda: self.on_ReportWave(node, effect))
            return
        stored = self.stored_reports.get(effect.wave)
        if stored != "done":
            stored = self.stored_reports[effect.wave] = effect.state
        if stored not in self.reports[-1:]:
            self.reports.append(stored)
        self.deliver(
            node,
            STORE_DELAY_MS,
            lambda at: events.WaveReported(at, effect.wave, stored),
        )

    # ---------------------------------------------------------------- gangs

    def step_of(self, key):
        return self.specs[key.job].steps[key.step]

    def gang_runs(self, key, attempt):
        """Returns (worker, key, run) of the present members of a gang run."""
        found = []
        for worker in self.workers.values():
            for other, run in worker.runs.items():
                if other[:3] == key[:3] and run[0] == attempt:
                    found.append((worker, other, run))
        return found

    def join_gang(self, worker, key, run):
        """Lets a gang work once all members are present, or end alone."""
        members = self.gang_runs(key, run[0])
        if len(members) < self.step_of(key).count:

            def give_up():
                present = len(self.gang_runs(key, run[0]))
                if worker.runs.get(key) is not run:
                    return
                if present < self.step_of(key).count:
                    worker.expire()
                    worker.end(key, "alone")

            self.after(GANG_TIMEOUT_MS, give_up)
            return

        if self.runs_until_cancelled(key):
            return

        def finish():
            for member, _, _ in members:
                member.expire()
            for member, other, started in members:
                if member.runs.get(other) is not started:
                    return
            for member, other, _ in members:
                member.end(other, "done")

        self.after(worker.run_ms, finish)

    def break_gang(self, key, attempt):
        """Ends the other members of a gang after one has ended."""
        if not self.step_of(key).gang:
            return
        for worker, other, _ in self.gang_runs(key, attempt):
            worker.end(other, "broken")

    # -------------------------------------------------------------- clients

    def submit(self, number, *steps, node=None, prefix=QUEUE.prefix, **fields):
        """Submits a job and returns the id of the request."""
        job = job_id(number)
        spec = records.JobSpec(
            job="",
            queue="",
            service="",
            payload="do it",
            steps=steps,
            accepted_ms=0,
            **fields,
        )
        self.specs[job] = spec
        return self.call(
            events.JobSubmitted, job, node, spec, "", prefix=prefix
        )

    def request_status(self, number, node=None):
        return self.call(events.StatusRequested, job_id(number), node)

    def request_count(self, node=None, prefix=QUEUE.prefix):
        """Asks for the length of a queue."""
        return self.call(events.StatusRequested, "", node, prefix=prefix)

    def cancel(self, number, node=None):
        return self.call(events.CancelRequested, job_id(number), node)

    def call(self, kind, job, node, *fields, prefix=QUEUE.prefix):
        req = f"q{next(self.sequence)}"
        target = self.nodes[node or min(self.nodes)]
        at = target.clock.now()
        event = kind(at, req, QUEUE.host, prefix + job, *fields, 3_000)
        self.dispatch(target, event)
        return req

    def status(self, req):
        found = self.answers.get(req)
        return found[0].status if found else None

    def state_of(self, number):
        """Returns the job state that a client gets now."""
        req = self.request_status(number)
        self.run(50)
        return self.answers[req][0].body.get("state", "gone")

    # --------------------------------------------------------------- checks

    def leader(self):
        found = [n for n in self.nodes.values() if n.state.leader is not None]
        return max(found, key=lambda n: n.state.leader.epoch, default=None)

    def runs_until_cancelled(self, key):
        return self.specs[key.job].steps[key.step].runs_until_cancelled

    def check_start(self, worker, effect):
        """Records violations of invariants at the start of a task."""
        key = effect.key
        spec = self.specs[key.job]
        for other in self.workers.values():
            other.expire()
            if key in other.runs:
                self.problems.append(f"{key} twice at {self.now}")
        for dependency in spec.steps[key.step].after:
            done = {
                row[0]
                for row in self.history
                if row[0][:3] == (key.job, key.occurrence, dependency)
                and row[4] == "done"
            }
            if len(done) < spec.steps[dependency].count:
                self.problems.append(f"{key} before step {dependency}")
        used = worker.used_with(key)
        limit = worker.capacity_limit()
        if any(a > b for a, b in zip(used, limit, strict=True)):
            self.problems.append(
                f"{worker.name} holds {used} of {limit} at {self.now}"
            )

    def counted_resources(self, key):
        """Returns what a run uses; the CPU of best-effort runs is free."""
        step = self.specs[key.job].steps[key.step]
        if step.best_effort:
            return step.resources._replace(cpu=0)
        return step.resources

    def find_problems(self):
        """Returns all violations of invariants so far."""
        found = list(self.problems)
        for row in self.history:
            key, _, _, ended_at, _ = row
            if row not in self.acknowledged_done:
                continue
            for at, other, _, _ in self.starts:
                if other == key and at > ended_at:
                    found.append(f"{key} again at {at}")
        return found + self.find_starts_beyond_budget()

    def find_starts_beyond_budget(self):
        """Returns starts after too many acknowledged failures of a task."""
        failed_at = {}
        for row in self.history:
            key, _, _, ended_at, _ = row
            if self.runs_until_cancelled(key):
                continue
            if row in self.acknowledged_failed:
                failed_at.setdefault(key, []).append(ended_at)
        found = []
        for at, key, _, _ in self.starts:
            earlier = [t for t in failed_at.get(key, ()) if t < at]
            if len(earlier) >= QUEUE.max_attempts:
                found.append(f"{key} beyond its budget at {at}")
        return found

    def has_crashed_two_workers(self, number):
        """Returns whether two workers have crashed under a task of a job.

        Such a job may be given up.
        """
        crashes = {}
        for key, attempt, _, _, outcome in self.history:
            if outcome == "crashed" and key.job == job_id(number):
                crashes.setdefault(key, set()).add(attempt)
        return any(len(attempts) >= 2 for attempts in crashes.values())

    def running(self, number):
        """Returns (key, worker) of all current runs of a job."""
        job = job_id(number)
        found = []
        for worker in self.workers.values():
            worker.expire()
            for key in worker.runs:
                if key.job == job:
                    found.append((key, worker.name))
        return sorted(found)

    def log_of(self, event):
        found = []
        for node in self.nodes.values():
            found.extend(row for row in node.logs if row[1] == event)
        return found
