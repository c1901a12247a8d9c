import random

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events


class TestLostAnswers:
    def test_start_is_repeated_with_its_attempt(self, deployment):
        """Guards against a second run when the answer to a start is lost."""
        sim = deployment()
        for worker in sim.workers.values():
            worker.unanswered_starts = 1
            worker.run_ms = 3_000
        sim.submit(1, fakes.step(4, cpu=9_000))
        sim.run(10_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 4
        assert sim.state_of(1) == "done"

    def test_run_ends_before_its_start_is_confirmed(self, deployment):
        """Guards against a second run when the repeated start is rejected
        because the first run has already ended."""
        sim = deployment()
        for worker in sim.workers.values():
            worker.unanswered_starts = 1
            worker.run_ms = 50
            worker.poll_delay_ms = 1_500
        sim.submit(1, fakes.step(4, cpu=9_000))
        sim.run(10_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 4
        assert sim.state_of(1) == "done"

    def test_commit_whose_answer_is_lost(self, deployment):
        """Guards against progress that stalls when the answer to a commit is
        lost."""
        sim = deployment()
        leader = sim.leader().name
        client_node = next(n for n in sim.nodes if n != leader)
        sim.store.modes[leader] = "lose"
        sim.submit(1, fakes.step(3), node=client_node)
        sim.run(1_700)
        sim.store.modes.clear()
        sim.run(4_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == 3

    def test_end_is_acknowledged_only_when_saved(self, deployment):
        """Guards against an end that the worker forgets before it is stored."""
        sim = deployment(nodes=2)
        leader = sim.leader()
        sim.submit(1, fakes.step(2))
        sim.run(200)
        sim.store.modes[leader.name] = "refuse"
        sim.run(1_500)
        unacknowledged = sum(len(w.ends) for w in sim.workers.values())
        assert unacknowledged == 2
        sim.store.modes.clear()
        sim.run(1_500)
        assert sim.state_of(1) == "done"
        assert not any(w.ends for w in sim.workers.values())


class TestTakeover:
    def test_new_leader_adopts_runs(self, deployment):
        """Guards against losing or duplicating runs when a leader dies."""
        sim = deployment()
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(1_000)
        before = sim.running(1)
        sim.kill(sim.leader().name)
        sim.run(6_000)
        assert sim.running(1) == before
        assert len(sim.starts) == 4
        assert sim.leader().state.leader.epoch == 2

    def test_graceful_stop_hands_over_at_once(self, deployment):
        """Guards against seconds without a leader after a graceful stop."""
        sim = deployment()
        old_leader = sim.leader()
        sim.dispatch(old_leader, events.StopRequested(sim.now))
        sim.run(300)
        assert sim.leader() is not old_leader
        req = sim.submit(1, fakes.step(), node=old_leader.name)
        sim.run(2_000)
        assert sim.status(req) == 200
        assert len(sim.starts) == 1
        sim.run(5_000)
        assert old_leader.name not in sim.nodes

    def test_leader_without_store_does_not_expire_leases(self, deployment):
        """Guards against a leader without access to the store that considers
        leases expired which the new leader renews, and restarts their tasks."""
        sim = deployment(workers=4)
        sim.submit(1, fakes.step(4, cpu=7_000, runs_until_cancelled=True))
        sim.run(1_000)
        old_leader = sim.leader()
        for name in ("w0", "w1"):
            sim.cut_links.add((old_leader.name, name))
        sim.run(2_000)
        sim.store.modes[old_leader.name] = "silent"
        for node in sim.nodes.values():
            if node is not old_leader:
                sim.cut_links.add((node.name, "w2"))
                sim.cut_links.add((node.name, "w3"))
        sim.run(14_000)
        assert not sim.find_problems()
        sim.store.modes.clear()
        sim.cut_links.clear()
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 4

    def test_tasks_of_unreachable_worker_wait_for_lease_expiry(
        self, deployment
    ):
        """Guards against a new leader that starts a second run of a task on a
        worker that it cannot reach."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(3, cpu=9_000, runs_until_cancelled=True))
        sim.run(1_000)
        old_leader = sim.leader()
        for node in sim.nodes.values():
            if node is not old_leader:
                sim.cut_links.add((node.name, "w1"))
        sim.kill(old_leader.name)
        sim.run(20_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 2
        sim.workers["w1"].expire()
        sim.cut_links.clear()
        sim.run(3_000)
        assert len(sim.running(1)) == 3

    def test_resumed_leader_steps_down(self, deployment):
        """Guards against a resumed leader that acts on outdated state."""
        sim = deployment()
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        old_leader = sim.leader()
        sim.pause(old_leader)
        sim.run(8_000)
        sim.resume(old_leader)
        sim.run(3_000)
        assert not sim.find_problems()
        assert old_leader.state.leader is None
        assert len(sim.running(1)) == 3


class TestStoreOutage:
    def test_tasks_survive_outage(self, deployment):
        """Guards against tasks that end because the store is unavailable."""
        sim = deployment()
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(1_000)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(9_000)
        assert len(sim.running(1)) == 4
        sim.store.modes.clear()
        sim.run(4_000)
        assert len(sim.starts) == 4
        assert not sim.find_problems()


class TestReadiness:
    @pytest.mark.parametrize("mode", ["refuse", "silent"])
    def test_node_that_the_store_refuses_is_not_ready(self, deployment, mode):
        """Guards against clients that are sent to a node which can accept no
        job, while the store serves the others (inc-3d36)."""
        sim = deployment()
        node = next(n for n in sim.nodes.values() if not n.state.leader)
        sim.store.modes[node.name] = mode
        sim.run(2_600)
        ready = {name for name, other in sim.nodes.items() if other.ready}
        assert ready == set(sim.nodes) - {node.name}
        sim.store.modes.clear()
        sim.run(1_500)
        assert node.ready

    def test_lost_answers_do_not_count(self, deployment):
        """Guards against nodes that leave the rotation although they can accept
        jobs, because some answers of the store are lost."""
        sim = deployment()
        node = next(n for n in sim.nodes.values() if not n.state.leader)
        for number in range(1, 12):
            sim.store.modes[node.name] = "lose" if number % 2 else "ok"
            sim.submit(number, fakes.step(), node=node.name)
            sim.run(500)
            assert node.ready


class TestWorkers:
    def test_tasks_of_silent_worker_restart_after_lease_expiry(
        self, deployment
    ):
        """Guards against a second run while a silent worker may still run the
        task."""
        sim = deployment()
        sim.submit(1, fakes.step(2, cpu=10_000, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first_worker), _ = sim.running(1)
        for node in sim.nodes:
            sim.cut_links.add((node, first_worker))
        sim.run(5_000)
        assert len(sim.starts) == 2
        sim.run(4_000)
        assert len(sim.starts) == 3
        assert not sim.find_problems()

    def test_task_of_silent_worker_does_not_wait_for_the_reserve(
        self, deployment
    ):
        """Guards against a long-running task that, after its lease has ended,
        waits as if it had just arrived (LOST on inyenyeri-panel, hunt of
        leaders-and-lost-answers, seed 449235810405)."""
        sim = deployment()
        step = fakes.step(4, cpu=13_000, runs_until_cancelled=True)
        sim.submit(1, step._replace(count=1))
        sim.run(1_000)
        ((_, first_worker),) = sim.running(1)
        for node in sim.nodes:
            sim.cut_links.add((node, first_worker))
        leader = sim.leader().state.leader
        while not sim.log_of("run-lost") and sim.now < 20_000:
            # Short tasks have asked for a fifth of all CPU until now.
            leader.short_task_demand = 0.2
            leader.demand_updated_at = sim.now
            sim.run(5)
        sim.run(300)
        assert len(sim.running(1)) == 1
        assert not sim.find_problems()

    def test_tasks_of_slow_worker_keep_running(self, deployment):
        """Guards against leases that end, and tasks that start elsewhere,
        because a worker answers slowly but in time for its leases."""
        sim = deployment()
        sim.submit(1, fakes.step(2, cpu=10_000, runs_until_cancelled=True))
        sim.run(1_000)
        for worker in sim.workers.values():
            worker.poll_delay_ms = 1_500
        sim.run(30_000)
        assert len(sim.starts) == 2
        assert len(sim.running(1)) == 2
        assert not sim.find_problems()

    def test_restarted_worker_loses_its_runs_at_once(self, deployment):
        """Guards against waiting for the lease of a worker that restarted."""
        sim = deployment()
        sim.submit(1, fakes.step(2, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first_worker), _ = sim.running(1)
        sim.workers[first_worker].crash(incarnation=2)
        sim.publish_workers()
        sim.run(1_000)
        assert len(sim.running(1)) == 2
        assert not sim.find_problems()

    def test_replaced_worker_loses_its_runs_at_once(self, deployment):
        """Guards against waiting for the lease of a worker whose address
        another worker has already."""
        sim = deployment()
        sim.submit(1, fakes.step(2, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first_worker), _ = sim.running(1)
        sim.crash_worker(sim.workers[first_worker])
        sim.run(fakes.CRASH_DOWN_MS + 1_000)
        assert len(sim.running(1)) == 2
        assert not sim.find_problems()

    def test_replaced_worker_does_not_delay_a_takeover(self, deployment):
        """Guards against waiting for the leases of a worker whose address
        another worker has already."""
        sim = deployment()
        sim.submit(1, fakes.step(2, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first_worker), _ = sim.running(1)
        sim.crash_worker(sim.workers[first_worker])
        sim.kill(sim.leader().name)
        sim.run(5_000)
        assert len(sim.running(1)) == 2
        assert not sim.find_problems()

    def test_roster_has_the_address_of_a_restarted_worker(self, deployment):
        """Guards against a new leader that takes a worker for ended because
        another instance has the address of its earlier incarnation."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.crash(incarnation=2)
        moved = worker.entry()._replace(address="elsewhere:1", incarnation=2)
        leader = sim.leader()
        sim.dispatch(leader, events.WorkersChanged(sim.now, True, (moved,), ()))
        sim.submit(1, fakes.step())
        while not sim.starts:
            sim.run(1)
        row = sim.store.rows["leadership", "roster"]
        assert row.value["w0"][0] == "elsewhere:1"

    def test_late_read_of_former_entry_changes_nothing(self, deployment):
        """Guards against orders to the address that a worker had before it
        restarted."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        former = worker.entry()
        worker.crash(incarnation=2)
        sim.publish_workers()
        sim.run(1_000)
        leader = sim.leader()
        late = former._replace(address="elsewhere:1")
        sim.dispatch(leader, events.WorkersChanged(sim.now, True, (late,), ()))
        entry = leader.state.leader.workers["w0"].entry
        assert entry.address == worker.entry().address

    def test_start_that_reaches_restarted_worker_is_kept(self, deployment):
        """Guards against a second run of a task that a restarted worker has
        accepted."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 2_000
        sim.submit(1, fakes.step())
        while not sim.starts:
            sim.run(1)
        # The restarted worker accepts the repeated order before the leader
        # reads its new entry.
        run = dict(worker.runs)
        worker.crash(incarnation=2)
        worker.fence = 1
        worker.lease_until = sim.now + 5_000
        worker.runs = run
        sim.publish_workers()
        sim.run(6_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"

    def test_run_started_during_the_first_poll_of_a_restart(self, deployment):
        """Guards against a second run of a task that a restarted worker has
        confirmed before the answer to an earlier poll, which shows the restart,
        arrives."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 3_000
        worker.poll_delay_ms = 700
        sim.run(1_000)
        worker.crash(incarnation=2)
        for number in range(1, 11):
            sim.submit(number, fakes.step(cpu=1_500))
            sim.run(100)
        sim.run(10_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 10

    def test_end_after_a_restart_is_not_acknowledged_unseen(self, deployment):
        """Guards against a second run of a task whose end the worker has
        forgotten, because a poll acknowledged an end with the same number from
        before the worker restarted."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 100
        sim.submit(1, fakes.step(3))
        sim.run(2_000)
        worker.poll_delay_ms = 5_000
        sim.run(300)
        worker.crash(incarnation=2)
        sim.submit(2, fakes.step(2))
        sim.run(1_000)
        assert len(worker.ends) == 2
        worker.poll_delay_ms = 0
        sim.run(4_000)
        assert not sim.find_problems()
        assert sim.state_of(2) == "done"
        assert len(sim.starts) == 5

    def test_draining_worker_is_drained(self, deployment):
        """Guards against tasks that are lost when a draining worker leaves."""
        sim = deployment()
        sim.submit(1, fakes.step(4, cpu=5_000, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first_worker), *_ = sim.running(1)
        sim.workers[first_worker].draining = True
        sim.publish_workers()
        sim.run(2_000)
        names = {name for _, name in sim.running(1)}
        assert first_worker not in names
        assert len(sim.running(1)) == 4
        assert not sim.find_problems()


class TestShortTaskReserve:
    def test_long_running_task_starts_despite_reserve(self, deployment):
        """Guards against a task that fits but waits for the reserve of short
        tasks."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step())
        sim.run(1_500)
        sim.submit(2, fakes.step(cpu=15_500, runs_until_cancelled=True))
        sim.run(2_900)
        assert len(sim.running(2)) == 1


class TestRandomFaults:
    @pytest.mark.parametrize("notices_exits", (False, True))
    @pytest.mark.parametrize("seed", range(20))
    def test_no_duplicate_runs_and_all_jobs_finish(self, seed, notices_exits):
        """Guards against combinations of faults that the other tests miss."""
        rng = random.Random(seed)
        sim = fakes.Sim(nodes=4, workers=5)
        sim.notices_exits = notices_exits
        sim.run(2_000)
        accepted = {}
        for number in range(1, 25):
            steps = [fakes.step(rng.randint(1, 4), cpu=3_000)]
            if rng.random() < 0.5:
                steps.append(fakes.step(2, after=(0,)))
            node = rng.choice(sorted(sim.nodes))
            accepted[number] = sim.submit(number, *steps, node=node)
            self.inject_fault(sim, rng)
            sim.run(rng.randint(100, 900))
        sim.store.modes.clear()
        sim.cut_links.clear()
        sim.publish_workers()
        sim.run(30_000)
        assert not sim.find_problems()
        for number, req in accepted.items():
            state = sim.state_of(number)
            if sim.status(req) == 200:
                expected = {"done"}
                if sim.has_crashed_two_workers(number):
                    expected.add("failed")
                assert state in expected, (number, seed)
            elif sim.status(req) == 503:
                assert state == "gone", (number, seed)

    def inject_fault(self, sim, rng):
        names = sorted(sim.nodes)
        workers = sorted(sim.workers)
        fault = rng.randrange(8)
        if fault == 0:
            sim.kill(rng.choice(names))
            sim.add_node(f"m{next(sim.sequence)}")
        elif fault == 1:
            mode = rng.choice(["silent", "refuse", "lose"])
            sim.store.modes[rng.choice(names)] = mode
        elif fault == 2:
            sim.store.modes.clear()
        elif fault == 3:
            sim.cut_links.add((rng.choice(names), rng.choice(workers)))
        elif fault == 4:
            sim.cut_links.clear()
        elif fault == 5:
            worker = sim.workers[rng.choice(workers)]
            worker.crash(worker.incarnation + 1)
            sim.publish_workers()
        elif fault == 6:
            sim.workers[rng.choice(workers)].unanswered_starts = 2
