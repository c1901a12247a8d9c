import random

import pytest
import scheduler_fakes as fakes


class TestLostAnswers:
    def test_start_is_repeated_with_its_attempt(self, deployment):
        """Guards against a second run after a start without an answer."""
        sim = deployment()
        for worker in sim.workers.values():
            worker.unanswered_starts = 1
            worker.run_ms = 3_000
        sim.submit(1, fakes.step(4, cpu=9_000))
        sim.run(10_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 4
        assert sim.state_of(1) == "done"

    def test_run_that_ended_before_its_start_was_confirmed(self, deployment):
        """Guards against a second run when the repeated start is rejected
        because the first one has run and ended."""
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

    def test_commit_that_took_effect_unseen(self, deployment):
        """Guards against progress that stays behind a lost answer."""
        sim = deployment()
        leader = sim.leader().name
        client = next(n for n in sim.nodes if n != leader)
        sim.store.modes[leader] = "lose"
        sim.submit(1, fakes.step(3), node=client)
        sim.run(1_700)
        sim.store.modes.clear()
        sim.run(4_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == 3

    def test_end_is_acknowledged_only_when_saved(self, deployment):
        """Guards against an end that worker and store have both forgotten."""
        sim = deployment(nodes=2)
        leader = sim.leader()
        sim.submit(1, fakes.step(2))
        sim.run(200)
        sim.store.modes[leader.name] = "refuse"
        sim.run(1_500)
        kept = sum(len(w.ends) for w in sim.workers.values())
        assert kept == 2
        sim.store.modes.clear()
        sim.run(1_500)
        assert sim.state_of(1) == "done"
        assert not any(w.ends for w in sim.workers.values())


class TestTakeOver:
    def test_runs_are_adopted(self, deployment):
        """Guards against work that is lost or doubled with its leader."""
        sim = deployment()
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(1_000)
        before = sim.running(1)
        sim.kill(sim.leader().name)
        sim.run(6_000)
        assert sim.running(1) == before
        assert len(sim.starts) == 4
        assert sim.leader().state.leader.epoch == 2

    def test_planned_stop_hands_over_at_once(self, deployment):
        """Guards against seconds without a leader at each planned stop."""
        sim = deployment()
        from skylarklug.scheduler import events

        old = sim.leader()
        sim.dispatch(old, events.StopRequested(sim.now))
        sim.run(300)
        assert sim.leader() is not old
        req = sim.submit(1, fakes.step(), node=old.name)
        sim.run(2_000)
        assert sim.status(req) == 200
        assert len(sim.starts) == 1
        sim.run(5_000)
        assert old.name not in sim.nodes

    def test_cut_off_leader_does_not_end_leases(self, deployment):
        """Guards against a leader without the store that starts again what
        the new leader keeps running."""
        sim = deployment(workers=4)
        sim.submit(1, fakes.step(4, cpu=7_000, runs_until_cancelled=True))
        sim.run(1_000)
        old = sim.leader()
        for name in ("w0", "w1"):
            sim.cut_links.add((old.name, name))
        sim.run(2_000)
        sim.store.modes[old.name] = "silent"
        for node in sim.nodes.values():
            if node is not old:
                sim.cut_links.add((node.name, "w2"))
                sim.cut_links.add((node.name, "w3"))
        sim.run(14_000)
        assert not sim.find_problems()
        sim.store.modes.clear()
        sim.cut_links.clear()
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 4

    def test_unreached_worker_keeps_its_tasks_to_itself(self, deployment):
        """Guards against a new leader that doubles what it cannot see."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(3, cpu=9_000, runs_until_cancelled=True))
        sim.run(1_000)
        old = sim.leader()
        for node in sim.nodes.values():
            if node is not old:
                sim.cut_links.add((node.name, "w1"))
        sim.kill(old.name)
        sim.run(20_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 2
        sim.workers["w1"].expire()
        sim.cut_links.clear()
        sim.run(3_000)
        assert len(sim.running(1)) == 3

    def test_resumed_leader_gives_way(self, deployment):
        """Guards against a paused leader that acts on its old books."""
        sim = deployment()
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        old = sim.leader()
        old.alive = False
        sim.run(8_000)
        old.alive = True
        sim.tick(old)
        sim.run(3_000)
        assert not sim.find_problems()
        assert old.state.leader is None
        assert len(sim.running(1)) == 3


class TestStoreOutage:
    def test_tasks_outlive_an_outage(self, deployment):
        """Guards against services that end because the store is away."""
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


class TestWorkers:
    def test_crashed_worker_is_replaced_when_its_lease_has_ended(
        self, deployment
    ):
        """Guards against a second run beside a worker that only is silent."""
        sim = deployment()
        sim.submit(1, fakes.step(2, cpu=10_000, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first), _ = sim.running(1)
        for node in sim.nodes:
            sim.cut_links.add((node, first))
        sim.run(5_000)
        assert len(sim.starts) == 2
        sim.run(4_000)
        assert len(sim.starts) == 3
        assert not sim.find_problems()

    def test_new_life_of_a_worker_loses_its_runs_at_once(self, deployment):
        """Guards against a wait for the lease of a life that has ended."""
        sim = deployment()
        sim.submit(1, fakes.step(2, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first), _ = sim.running(1)
        sim.workers[first].crash(incarnation=2)
        sim.publish_workers()
        sim.run(1_000)
        assert len(sim.running(1)) == 2
        assert not sim.find_problems()

    def test_start_that_reaches_the_new_life_counts(self, deployment):
        """Guards against a second run of a task that a reborn worker took."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 2_000
        sim.submit(1, fakes.step())
        while not sim.starts:
            sim.run(1)
        # The order is repeated to the new life before its entry is seen.
        run = dict(worker.runs)
        worker.crash(incarnation=2)
        worker.fence = 1
        worker.lease_until = sim.now + 5_000
        worker.runs = run
        sim.publish_workers()
        sim.run(6_000)
        assert not sim.find_problems()
        assert sim.state_of(1) == "done"

    def test_draining_worker_gets_no_new_task_and_is_emptied(self, deployment):
        """Guards against tasks that end with a worker that was leaving."""
        sim = deployment()
        sim.submit(1, fakes.step(4, cpu=5_000, runs_until_cancelled=True))
        sim.run(1_000)
        (_, first), *_ = sim.running(1)
        sim.workers[first].draining = True
        sim.publish_workers()
        sim.run(2_000)
        names = {name for _, name in sim.running(1)}
        assert first not in names
        assert len(sim.running(1)) == 4
        assert not sim.find_problems()


class TestReserve:
    def test_lasting_task_is_not_left_out_while_it_fits_twice(self, deployment):
        """Guards against a lasting task that waits for the reserve."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step())
        sim.run(1_500)
        sim.submit(2, fakes.step(cpu=15_500, runs_until_cancelled=True))
        sim.run(2_900)
        assert len(sim.running(2)) == 1


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(20))
    def test_no_task_runs_twice_and_all_jobs_end(self, seed):
        """Guards against combinations of faults that single tests miss."""
        rng = random.Random(seed)
        sim = fakes.Sim(nodes=4, workers=5)
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
                assert state == "done", (number, seed)
            elif sim.status(req) == 503:
                assert state == "gone", (number, seed)

    def inject_fault(self, sim, rng):
        names = sorted(sim.nodes)
        workers = sorted(sim.workers)
        kind = rng.randrange(8)
        if kind == 0:
            sim.kill(rng.choice(names))
            sim.add_node(f"m{next(sim.sequence)}")
        elif kind == 1:
            mode = rng.choice(["silent", "refuse", "lose"])
            sim.store.modes[rng.choice(names)] = mode
        elif kind == 2:
            sim.store.modes.clear()
        elif kind == 3:
            sim.cut_links.add((rng.choice(names), rng.choice(workers)))
        elif kind == 4:
            sim.cut_links.clear()
        elif kind == 5:
            worker = sim.workers[rng.choice(workers)]
            worker.crash(worker.incarnation + 1)
            sim.publish_workers()
        elif kind == 6:
            sim.workers[rng.choice(workers)].unanswered_starts = 2
