"""Workers that restart under their name before the leader knows it."""

import pytest
import scheduler_fakes as fakes


class TestRestartedWorker:
    def test_start_confirmed_during_a_poll_is_not_lost(self, deployment):
        """Guards against a second run of a task that the new incarnation of a
        worker runs, when the answer to a poll that it got before the start
        arrives after the answer to the start."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 3_000
        worker.poll_delay_ms = 300
        sim.run(1_000)
        worker.crash(incarnation=2)
        sim.run(400)
        sim.submit(1, fakes.step())
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 1
        assert sim.state_of(1) == "done"

    def test_end_is_not_acknowledged_with_an_old_number(self, deployment):
        """Guards against a second run of a task whose end the worker forgets
        unread, because the leader acknowledges a number of the former
        incarnation."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        sim.submit(1, fakes.step(3))
        sim.run(2_000)
        assert sim.state_of(1) == "done"
        worker.run_ms = 100
        known = sim.leader().state.leader.workers["w0"]
        while not known.poll_pending:
            sim.run(1)
        sim.run(50)
        worker.crash(incarnation=2)
        sim.submit(2, fakes.step())
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 4
        assert sim.state_of(2) == "done"

    def run_until(self, sim, condition):
        """Runs until a condition holds, for ten seconds at most."""
        for _ in range(10_000):
            if condition():
                return
            sim.run(1)
        raise AssertionError("the condition never holds")

    @pytest.mark.parametrize("slow_ms", (40, 80, 160))
    def test_restart_between_two_polls_loses_no_end(self, deployment, slow_ms):
        """Guards against a second run of a task that has ended on a new
        incarnation, which forgets the end unread because the next poll
        acknowledges a number of the former one."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 30
        sim.submit(1, fakes.step(4, cpu=9_000))
        self.run_until(sim, lambda: sim.starts)
        # The row of the job is not saved before the next poll, so no poll is
        # open when the worker restarts.
        sim.store.slow_ms = slow_ms
        self.run_until(sim, lambda: sim.log_of("end"))
        worker.crash(incarnation=2)
        sim.run(8_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"

    @pytest.mark.parametrize("slow_ms", (40, 80, 160))
    @pytest.mark.parametrize("kind", ("kill", "power"))
    def test_restart_after_a_take_over_loses_no_end(
        self, deployment, kind, slow_ms
    ):
        """Guards against the same under a new leader, which acknowledges an
        end of a run that its predecessor has started."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 500
        sim.submit(1, fakes.step(5, cpu=9_000))
        self.run_until(sim, lambda: sim.starts)
        former = sim.leader().name
        if kind == "kill":
            sim.kill(former)
        else:
            sim.lose_node_power(former)
        self.run_until(sim, lambda: sim.leader() is not None)
        worker.run_ms = 30
        sim.store.slow_ms = slow_ms
        self.run_until(sim, lambda: sim.log_of("end"))
        worker.crash(incarnation=2)
        sim.run(15_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"

    def test_waiting_start_is_not_sent_before_a_poll(self, deployment):
        """Guards against a start whose lease is counted on the clock of the
        former incarnation, for a member of a gang that had to wait for the
        answers to other starts."""
        sim = deployment(workers=1, clocks_differ=True)
        worker = sim.workers["w0"]
        worker.cpu = 400_000
        sim.publish_workers()
        sim.run(500)
        worker.lost_starts = 64
        sim.submit(1, fakes.step(80, cpu=1_000, gang=True))
        leader = sim.leader().state.leader
        self.run_until(sim, lambda: leader.unsent_starts)
        timeout_at = sim.now + 400
        known = leader.workers["w0"]
        self.run_until(sim, lambda: not known.poll_pending)
        # Until all ends are saved there is a pause between two polls.
        known.poll_due_at = sim.leader().clock.now() + 1_000
        sim.run(timeout_at - 8 - sim.now)
        worker.crash(incarnation=2)
        worker.publish()
        self.run_until(sim, lambda: not known.fenced)
        order_start = sim.on_StartRun
        unverified = []

        def on_start(node, effect):
            if not known.fenced:
                unverified.append(str(effect.key))
            order_start(node, effect)

        sim.on_StartRun = on_start
        sim.run(15_000)
        assert not unverified
        assert not sim.find_problems()


class TestOtherKind:
    @pytest.mark.parametrize("take_over", (False, True))
    def test_label_of_former_incarnation(self, deployment, take_over):
        """Guards against a start by the label of a worker that has come back as
        one of another kind, before its new entry is read."""
        sim = deployment(workers=3)
        for name in ("w1", "w2"):
            sim.workers[name].labels = ("b", "r1")
        sim.publish_workers()
        sim.run(500)
        worker = sim.workers["w0"]
        worker.labels = ("b", "r1")
        worker.crash(incarnation=2)
        if take_over:
            sim.kill(sim.leader().name)
        sim.submit(1, fakes.step(label="a"), node=sorted(sim.nodes)[-1])
        sim.run(1_500)
        leader = sim.leader().state.leader
        assert leader.workers["w0"].incarnation == 2
        assert leader.workers["w0"].entry.labels == ("a", "r1")
        assert not sim.starts
        worker.labels = ("a", "r1")
        worker.publish()
        sim.run(1_500)
        assert [row[3] for row in sim.starts] == ["w0"]
        assert sim.state_of(1) == "done"


class TestRunOfClosedJob:
    def test_takes_up_capacity_until_it_has_stopped(self, deployment):
        """Guards against a start that exceeds the capacity of a worker which
        still runs a task of a job that its leader does not know."""
        sim = deployment(workers=1)
        sim.submit(1, fakes.step(cpu=15_000, runs_until_cancelled=True))
        sim.run(1_000)
        former = sim.leader()
        sim.cut_links.add((former.name, "w0"))
        other = next(name for name in sim.nodes if name != former.name)
        sim.cancel(1, node=other)
        sim.run(500)
        sim.kill(former.name)
        sim.submit(2, fakes.step(cpu=15_000), node=other)
        sim.run(10_000)
        assert not sim.find_problems()
        assert sim.state_of(2) == "done"


class TestFormerLeader:
    def test_does_not_start_tasks_on_a_restarted_worker(self, deployment):
        """Guards against a second run of a task that a resumed former leader
        starts on a worker which has forgotten the newer epoch."""
        sim = deployment(nodes=2, workers=3)
        sim.submit(
            1,
            fakes.step(cpu=9_000, runs_until_cancelled=True, checkpoints=True),
        )
        sim.run(1_000)
        former = sim.leader()
        ((_, name),) = sim.running(1)
        for worker in sim.workers:
            if worker != name:
                sim.cut_links.add((former.name, worker))
        sim.pause(former)
        sim.store.modes[former.name] = "refuse"
        while sim.leader() is former:
            sim.run(5)
        sim.run(600)
        leader = sim.leader().name
        sim.workers[name].crash(incarnation=2)
        sim.resume(former)
        sim.cut_links.add((leader, name))
        sim.run(600)
        sim.cut_links.discard((leader, name))
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 1


class TestJobThatFailed:
    def test_end_waits_until_the_failure_is_saved(self, deployment):
        """Guards against a second run of a task whose end was acknowledged
        when its job had failed, but no row said so yet."""
        sim = deployment(workers=3)
        key = fakes.records.TaskKey(fakes.job_id(1), 0, 0, 0)
        sim.failing_tasks.add(key)
        for worker in sim.workers.values():
            worker.run_ms = 100
        sim.submit(1, fakes.step(2, cpu=9_000))
        while len([row for row in sim.starts if row[1] == key]) < 2:
            sim.run(1)
        second = sim.starts[-1][3]
        # The failure is read before the end of the other task.
        for worker in sim.workers.values():
            worker.poll_delay_ms = 100 if worker.name == second else 600
        former = sim.leader()
        sim.store.modes[former.name] = "refuse"
        sim.run(2_000)
        sim.kill(former.name)
        sim.workers[second].crash(incarnation=2)
        for worker in sim.workers.values():
            worker.poll_delay_ms = 0
        sim.publish_workers()
        sim.run(20_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "failed"


class TestGangThatEnded:
    def test_no_end_is_acknowledged_before_the_job_is_saved(self, deployment):
        """Guards against a second run of a gang whose first end is not saved,
        because the ends of its other members were acknowledged at once."""
        sim = deployment(nodes=3, workers=2)
        for worker in sim.workers.values():
            worker.run_ms = 1_000
        sim.submit(1, fakes.step(2, cpu=9_000, gang=True))
        while len(sim.starts) < 2:
            sim.run(1)
        sim.lose_node_power(sim.leader().name)
        while not sim.log_of("end"):
            sim.run(1)
        leader = sim.leader().name
        sim.store.modes[leader] = "refuse"
        sim.run(1_500)
        sim.kill(leader)
        for worker in sim.workers.values():
            if worker.ends:
                worker.crash(incarnation=2)
                break
        sim.publish_workers()
        sim.run(20_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"
