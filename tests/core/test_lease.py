"""Tests of worker leases and of the exchange with workers."""

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import jobs
from skylarklug import lease

HOUR_MS = 3_600_000


def running(world, task):
    """Returns the names of the workers on which a task runs."""
    return [
        name
        for name, worker in world.workers.items()
        if not worker.dead and any(t["task"] == task for t in worker.running())
    ]


def started(world, **fields):
    """Submits a long job and returns the worker of its first task."""
    fields = {"run_time_ms": HOUR_MS, **fields}
    world.submit(world.nodes[0], "k", **fields)
    world.run(2_000)
    [name] = running(world, "a.k/0")
    return world.workers[name]


def exchanges(world, node, name):
    """Returns a list that collects the messages of a node to a worker."""
    seen = []
    original_call = world.exchange

    def exchange(sender, message):
        if sender is node and message.worker == name:
            seen.append((world.now, message))
        original_call(sender, message)

    world.exchange = exchange
    return seen


class TestGrant:
    def test_end_in_the_workers_clock(self, sim):
        """Guards against a lease that a delayed message extends."""
        world = sim()
        worker = world.workers["w00"]
        left = []
        original_call = worker.handle

        def handle(message):
            left.append(message.lease_until - worker.clock())
            return original_call(message)

        worker.handle = handle
        world.run(30_000)
        assert len(left) >= 5
        assert max(left) <= lease.LEASE_MS * 1.02
        assert min(left) >= lease.LEASE_MS * 0.98

    def test_first_message_grants_nothing(self, sim):
        """Guards against a deadline in a clock that is not known."""
        world = sim(ready=False)
        seen = exchanges(world, world.nodes[0], "w00")
        world.acquire(world.nodes[0])
        world.run(200)
        (_, first), (_, second) = seen[:2]
        assert first.lease_until == 0
        assert first.known_revision == 0
        assert second.lease_until > 0

    def test_valid_until_is_at_most_a_second(self, sim):
        """Guards against a paused process that sends old decisions."""
        world = sim()
        seen = exchanges(world, world.nodes[0], "w00")
        world.run(20_000)
        assert len(seen) >= 4
        assert all(m.valid_until <= now + 1_000 for now, m in seen)

    def test_no_renewal_after_a_failed_exchange(self, sim):
        """Guards against a lease that is never known to have expired."""
        world = sim()
        record = lease.worker_of(world.nodes[0].state, "w00")
        world.workers["w00"].unreachable_from.add("n0")
        world.run(6_000)
        end = record.lease_end
        world.run(20_000)
        assert record.failures > 3
        assert record.lease_end == end


class TestExpiry:
    def test_restart_only_after_certain_expiry(self, sim):
        """Guards against a second copy while the first still runs."""
        world = sim()
        worker = started(world)
        worker.unreachable_from.add("n0")
        isolated_at = world.now
        world.run(29_000)
        assert running(world, "a.k/0") == [worker.vm.vm]
        while running(world, "a.k/0") in ([], [worker.vm.vm]):
            world.run(100)
        assert world.now - isolated_at >= lease.EXPIRY_MARGIN_MS + 25_000
        assert (
            world.now - isolated_at <= 30_000 + lease.EXPIRY_MARGIN_MS + 5_500
        )
        assert not world.violations

    def test_short_checkpoint_interval_is_kept(self, sim):
        """Guards against checkpoints delayed until the renewal every 5 s."""
        world = sim()
        worker = started(world, run_time_ms=60_000, checkpoint_ms=1_000)
        world.run(3_000)
        [task] = worker.tasks.values()
        assert task["checkpoint"] is not None

    def test_another_durable_end_is_not_accepted(self, sim):
        """Guards against a worker that counts a dropped finish as durable."""
        world = sim()
        started(world, run_time_ms=3_000)
        [key] = [key for key in world.rows if key.startswith("task/")]
        _, row = world.rows[key]
        other = {**row, "attempt": row["attempt"] + 1, "state": "finished"}
        world.version += 1
        world.rows[key] = (world.version, other)
        acks = []
        exchange = world.exchange

        def record_acks(node, message):
            acks.extend(c for c in message.commands if c.op == "ack")
            return exchange(node, message)

        world.exchange = record_acks
        world.run(12_000)
        assert [c.fields for c in acks] == [{"accepted": False}]

    def test_resumes_from_the_checkpoint(self, sim):
        """Guards against work that is lost when a worker dies."""
        world = sim()
        worker = started(world, run_time_ms=60_000, checkpoint_ms=5_000)
        world.run(30_000)
        worker.dead = True
        del world.vms[worker.vm.vm]
        world.nodes[0].feed(
            events.WorkersChanged(world.now, (), (), (worker.vm.vm,))
        )
        world.run(45_000)
        [name] = running(world, "a.k/0")
        [task] = world.workers[name].running()
        assert 0.3 < task["from"] < 0.6
        world.run(60_000)
        assert world.states() == {"a.k/0": "finished"}

    def test_late_finish_before_the_next_attempt_counts(self, sim):
        """Guards against a finished task that runs again."""
        world = sim(workers=1)
        worker = started(world, run_time_ms=20_000)
        worker.unreachable_from.add("n0")
        world.run(45_000)
        assert world.states() == {"a.k/0": "starting"}
        worker.unreachable_from.clear()
        world.run(10_000)
        assert world.states() == {"a.k/0": "finished"}
        assert world.row("task/yumbo/0/a.k/0").value["attempt"] == 1


class TestTakeOver:
    def test_adopts_running_tasks(self, sim):
        """Guards against tasks that restart when their owner dies."""
        world = sim(nodes=2)
        worker = started(world, tasks=8)
        world.nodes[0].dead = True
        world.run(19_000)
        world.acquire(world.nodes[1], taken_over=True)
        world.run(60_000)
        assert running(world, "a.k/0") == [worker.vm.vm]
        state = world.nodes[1].state
        assert jobs.find_task(state, "yumbo/0", "a.k/0").state == "running"
        assert not world.violations

    def test_unreachable_worker_waits_for_the_detach_limit(self, sim):
        """Guards against a restart while a former owner still renews."""
        world = sim(nodes=2, detach_limit_ms=120_000)
        worker = started(world)
        former, new = world.nodes
        worker.unreachable_from.add("n1")
        former.table_unreachable = True
        world.run(20_000)
        world.acquire(new, taken_over=True)
        world.run(100_000)
        assert running(world, "a.k/0") == [worker.vm.vm]
        world.run(80_000)
        assert running(world, "a.k/0") not in ([], [worker.vm.vm])
        assert not world.violations

    def test_terminated_worker_waits_for_the_lease_only(self, sim):
        """Guards against a wait of 15 minutes after a VM failure."""
        world = sim(nodes=2)
        worker = started(world)
        worker.dead = True
        del world.vms[worker.vm.vm]
        world.nodes[0].dead = True
        world.acquire(world.nodes[1], taken_over=True)
        world.run(30_000)
        assert running(world, "a.k/0") == []
        world.run(10_000)
        assert running(world, "a.k/0")

    def test_fenced_owner_sends_no_commands(self, sim):
        """Guards against two owners that both command a worker."""
        world = sim(nodes=2)
        worker = started(world)
        former, new = world.nodes
        former.table_unreachable = True
        world.run(20_000)
        world.acquire(new, taken_over=True)
        world.run(6_000)
        record = lease.worker_of(former.state, worker.vm.vm)
        assert record.phase == "fenced"
        seen = exchanges(world, former, worker.vm.vm)
        world.run(20_000)
        assert all(not m.lease_until and not m.commands for _, m in seen)
        assert running(world, "a.k/0") == [worker.vm.vm]


class TestModes:
    def test_detached_renews_and_starts_nothing(self, sim):
        """Guards against tasks that stop in a table outage."""
        world = sim(detach_limit_ms=60_000)
        worker = started(world, tasks=30, run_time_ms=30_000)
        world.table_down = True
        world.run(18_000)
        assert world.nodes[0].mode == "detached"
        attempts = set(worker.tasks)
        world.run(30_000)
        assert set(worker.tasks) == attempts
        final_states = [t["state"] for t in worker.tasks.values()]
        assert final_states == ["finished"] * len(final_states)
        world.table_down = False
        world.run(120_000)
        assert set(world.states().values()) == {"finished"}

    def test_detach_limit_ends_the_renewals(self, sim):
        """Guards against an isolated owner that renews for ever."""
        world = sim(detach_limit_ms=60_000)
        worker = started(world)
        world.nodes[0].table_unreachable = True
        world.run(60_000)
        assert worker.running()
        world.run(36_000)
        assert not worker.running()

    def test_suspended_sends_nothing(self, sim):
        """Guards against a resumed process that acts on old state."""
        world = sim()
        started(world)
        node = world.nodes[0]
        node.paused = True
        world.run(20_000)
        node.table_unreachable = True
        node.resume()
        seen = exchanges(world, node, "w00")
        world.run(10_000)
        assert node.mode == "suspended"
        assert not seen
        node.table_unreachable = False
        world.run(10_000)
        assert seen


class TestLostAnswers:
    def test_start_is_settled_by_the_next_exchange(self, sim):
        """Guards against a start abandoned while its message is in flight."""
        world = sim(workers=2, seed=5)
        world.loss = 0.4
        world.submit(world.nodes[0], "k", tasks=12, run_time_ms=5_000)
        world.run(180_000)
        world.loss = 0.0
        world.run(60_000)
        assert set(world.states().values()) == {"finished"}
        assert not world.violations

    def test_acknowledges_after_the_commit(self, sim):
        """Guards against a finish discarded by the worker before its commit."""
        world = sim()
        worker = started(world, run_time_ms=8_000)
        world.table_down = True
        world.run(12_000)
        [task] = worker.tasks.values()
        assert task["state"] == "finished"
        world.table_down = False
        world.run(10_000)
        assert not worker.tasks
        assert world.states() == {"a.k/0": "finished"}

    def test_commands_go_out_at_once(self, sim):
        """Guards against a start that waits for the renewal interval."""
        world = sim()
        world.submit(world.nodes[0], "k", run_time_ms=HOUR_MS)
        world.run(400)
        assert running(world, "a.k/0")

    def test_refused_start_returns_to_pending(self, sim):
        """Guards against an attempt that stays in starting for ever."""
        world = sim(workers=2)
        world.refuse = 1.0
        world.submit(world.nodes[0], "k", run_time_ms=HOUR_MS)
        world.run(500)
        world.refuse = 0.0
        world.run(10_000)
        assert running(world, "a.k/0")
        assert world.row("task/yumbo/0/a.k/0").value["attempt"] == 3

    def test_attempt_that_is_not_current_is_stopped(self, sim):
        """Guards against an attempt that an earlier owner started."""
        world = sim(workers=2)
        worker = started(world)
        [other] = [w for w in world.workers.values() if w is not worker]
        [task] = worker.tasks.values()
        other.tasks["a.k/0", 0] = {**task, "attempt": 0}
        other.change(other.tasks["a.k/0", 0])
        world.run(12_000)
        assert running(world, "a.k/0") == [worker.vm.vm]
        assert not other.tasks

    def test_sync_dropped_at_its_deadline_is_repeated(self, sim):
        """Guards against commands lost when the process is delayed."""
        world = sim()
        node = world.nodes[0]
        record = lease.worker_of(node.state, "w00")
        world.exchange = lambda node, message: None
        world.run(6_000)
        assert record.in_flight
        event = events.WorkerSyncFailed(
            world.now, "w00", record.in_flight, "deadline", "late"
        )
        effects = []
        lease.HANDLERS[type(event)](node.state, event, effects)
        assert not effects and not record.failures
        sent = []
        world.exchange = lambda node, message: sent.append(message)
        world.run(500)
        assert any(m.worker == "w00" for m in sent)
        assert all(isinstance(m, effects_lib.SyncWorker) for m in sent)
