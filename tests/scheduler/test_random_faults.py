"""Plays jobs under random faults that overlap, and checks the invariants.

A few seeds run by default, with those that have found faults. For others, set
the range (without its end):

    RANDOM_FAULT_SEEDS=100-400 .venv/bin/python -m pytest -q -n 2 \
        tests/scheduler/test_random_faults.py
"""

import random

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events

# The last six found a start beyond a worker's capacity, failures that a worker
# forgot unread, twice a leader that settled too early, a job given up because
# of a worker that had never received its task, and ends of a new incarnation
# that it forgot unread.
DEFAULT_SEEDS = (1, 2, 3, 4, 5, 16, 34, 571, 634, 2045, 9405)
# Time during which faults begin.
FAULTS_MS = 40_000
# Time after the last fault has ended in which all jobs must end. It covers two
# take-overs that wait for the leases of unreachable workers.
SETTLE_MS = 45_000
NODES = 4
WORKERS = 6
JOBS = 40


class Faults:
    """Draws faults that overlap, and ends each of them after a while."""

    def __init__(self, sim, rng, enforces_capacity, notices_exits):
        self.sim = sim
        self.rng = rng
        self.enforces_capacity = enforces_capacity
        self.log = []
        self.faults = (
            self.kill_leader,
            self.kill_node,
            self.restart_node,
            self.pause_leader,
            self.pause_leader,
            self.stop_leader,
            self.fail_store,
            self.fail_store,
            self.fail_store_of_leader,
            self.slow_store,
            self.cut_link,
            self.cut_link,
            self.isolate_worker,
            self.cut_zone,
            self.cut_zone,
            self.lose_answers,
            self.slow_polls,
            self.restart_worker,
            self.restart_worker,
            self.kill_worker,
            self.delay_calls,
            self.delay_calls,
        )
        sim.notices_exits = notices_exits
        if notices_exits:
            self.faults += (self.refuse_connections,) * 2

    def begin_one(self):
        if not self.sim.nodes:
            return
        fault = self.rng.choice(self.faults)
        self.log.append((self.sim.now, fault.__name__))
        fault()

    def between(self, least, most):
        return self.rng.randint(least, most)

    def any_node(self):
        return self.sim.nodes[self.rng.choice(sorted(self.sim.nodes))]

    def any_worker(self):
        return self.sim.workers[self.rng.choice(sorted(self.sim.workers))]

    def leader(self):
        """Returns the leader, or any node if there is none."""
        return self.sim.leader() or self.any_node()

    def replace_node(self, node, name):
        """Ends a process; another one starts after a while."""
        if len(self.sim.nodes) > 1:
            self.sim.kill(node.name)
            self.sim.after(
                self.between(200, 3_000), lambda: self.sim.add_node(name)
            )

    def kill_leader(self):
        self.replace_node(self.leader(), f"m{next(self.sim.sequence)}")

    def kill_node(self):
        self.replace_node(self.any_node(), f"m{next(self.sim.sequence)}")

    def restart_node(self):
        if not self.sim.nodes:
            return
        node = self.rng.choice((self.leader(), self.any_node()))
        self.replace_node(node, node.name)

    def pause_leader(self):
        node = self.leader()
        if node.paused_events is None:
            self.sim.pause(node)

            def resume():
                if node.alive and node.paused_events is not None:
                    self.sim.resume(node)

            self.sim.after(self.between(500, 10_000), resume)

    def stop_leader(self):
        if len(self.sim.nodes) < 2:
            return
        node = self.leader()
        if node.paused_events is not None:
            return
        if node.state.stopping_at:
            return
        self.sim.dispatch(node, events.StopRequested(self.sim.now))

        def start_another():
            if self.sim.nodes.get(node.name) is node:
                self.sim.kill(node.name)
            self.sim.add_node(f"m{next(self.sim.sequence)}")

        self.sim.after(6_000, start_another)

    def refuse_connections(self):
        self.sim.refuse_connections(self.leader())

    def set_store_mode(self, node):
        mode = self.rng.choice(
            ("refuse", "silent", "lose", "late", "no heartbeats")
        )
        self.sim.store.modes[node.name] = mode

        def end():
            self.sim.store.modes.pop(node.name, None)

        self.sim.after(self.between(300, 9_000), end)

    def fail_store(self):
        for node in list(self.sim.nodes.values()):
            if self.rng.random() < 0.4:
                self.set_store_mode(node)

    def fail_store_of_leader(self):
        self.set_store_mode(self.leader())

    def slow_store(self):
        self.sim.store.slow_ms = self.between(50, 1_500)

        def end():
            self.sim.store.slow_ms = 0

        self.sim.after(self.between(500, 6_000), end)

    def cut(self, links, least, most):
        self.sim.cut_links |= links

        def end():
            self.sim.cut_links -= links

        self.sim.after(self.between(least, most), end)

    def cut_link(self):
        links = set()
        node = self.rng.choice((self.leader(), self.any_node()))
        for worker in self.sim.workers:
            if self.rng.random() < 0.5:
                links.add((node.name, worker))
        self.cut(links, 1_000, 10_000)

    def isolate_worker(self):
        worker = self.any_worker()
        links = {(name, worker.name) for name in self.sim.nodes}
        # One node may still reach it.
        if self.rng.random() < 0.5:
            links.discard((self.leader().name, worker.name))
        self.cut(links, 1_000, 10_000)

    def cut_zone(self):
        """Cuts the leader and some workers off from the others and the store.

        The node that takes over may be lost as well.
        """
        leader = self.leader()
        inside = set()
        for worker in self.sim.workers:
            if self.rng.random() < 0.4:
                inside.add(worker)
        links = set()
        for name in self.sim.nodes:
            for worker in self.sim.workers:
                if (name == leader.name) != (worker in inside):
                    links.add((name, worker))
        self.cut(links, 3_000, 10_000)
        self.sim.store.modes[leader.name] = "silent"

        def end():
            self.sim.store.modes.pop(leader.name, None)

        self.sim.after(self.between(3_000, 10_000), end)
        if self.rng.random() < 0.5:
            fault = self.rng.choice((self.restart_node, self.stop_leader))
            self.sim.after(self.between(2_400, 3_500), fault)

    def lose_answers(self):
        for worker in self.sim.workers.values():
            if self.rng.random() < 0.5:
                worker.unanswered_starts += self.between(1, 4)

    def slow_polls(self):
        worker = self.any_worker()
        worker.poll_delay_ms = self.between(200, 3_000)

        def end():
            worker.poll_delay_ms = 0

        self.sim.after(self.between(1_000, 8_000), end)

    def restart_worker(self):
        worker = self.any_worker()
        worker.crash(worker.incarnation + 1)
        if self.rng.random() < 0.7:
            delay = self.between(0, 2_000)
            self.sim.after(delay, self.sim.publish_workers)

    def kill_worker(self):
        if len(self.sim.workers) <= WORKERS // 2:
            return
        worker = self.any_worker()
        del self.sim.workers[worker.name]
        worker.crash(worker.incarnation + 1)
        self.sim.after(self.between(0, 4_000), self.sim.publish_workers)

        def replace():
            number = next(self.sim.sequence)
            new = fakes.Worker(self.sim, f"x{number}")
            new.enforces_capacity = self.enforces_capacity
            self.sim.workers[new.name] = new
            self.sim.publish_workers()

        self.sim.after(self.between(2_000, 8_000), replace)

    def delay_calls(self):
        worker = self.any_worker()
        for kind in ("start", "start", "look", "stop"):
            if self.rng.random() < 0.5:
                delay = self.between(2_000, 12_000)
                worker.late_calls[kind].append(delay)

    def end_all(self):
        """Ends what does not end by itself."""
        self.sim.store.modes.clear()
        self.sim.store.slow_ms = 0
        self.sim.cut_links.clear()
        for worker in self.sim.workers.values():
            worker.poll_delay_ms = 0
            worker.unanswered_starts = 0
            for delays in worker.late_calls.values():
                delays.clear()
        for node in list(self.sim.nodes.values()):
            if node.paused_events is not None:
                self.sim.resume(node)
        self.sim.publish_workers()


class Play:
    """One random day: jobs and faults, then a calm time."""

    def __init__(self, seed, notices_exits, max_listed_ends=500):
        self.rng = random.Random(seed)
        self.sim = fakes.Sim(nodes=NODES, workers=WORKERS)
        self.sim.max_listed_ends = max_listed_ends
        # The workers of half of the services guard their capacity.
        self.enforces_capacity = bool(seed % 2)
        for worker in self.sim.workers.values():
            worker.enforces_capacity = self.enforces_capacity
        self.faults = Faults(
            self.sim, self.rng, self.enforces_capacity, notices_exits
        )
        self.requests = {}
        self.lasting = set()
        self.cancelled = set()

    def run(self):
        """Plays the day and returns all violations."""
        self.sim.run(2_000)
        end = self.sim.now + FAULTS_MS
        for number in range(1, JOBS + 1):
            self.sim.after(
                self.rng.randint(0, FAULTS_MS),
                lambda number=number: self.submit(number),
            )
        while self.sim.now < end:
            self.faults.begin_one()
            self.sim.run(self.rng.randint(100, 2_500))
        # Each fault lasts for ten seconds, and a late call for twelve, at most.
        self.sim.run(12_000)
        self.faults.end_all()
        self.sim.run(SETTLE_MS)
        return self.sim.find_problems() + self.find_unfinished_jobs()

    def submit(self, number):
        names = []
        for name, node in self.sim.nodes.items():
            if node.paused_events is None and not node.state.stopping_at:
                names.append(name)
        if not names:
            return
        node = self.rng.choice(sorted(names))
        steps = self.draw_steps(number)
        self.requests[number] = self.sim.submit(number, *steps, node=node)
        if number in self.lasting and self.rng.random() < 0.3:
            self.cancelled.add(number)
            self.sim.after(
                self.rng.randint(2_000, 15_000), lambda: self.cancel(number)
            )

    def cancel(self, number):
        if not self.sim.nodes:
            self.sim.after(500, lambda: self.cancel(number))
            return
        self.sim.cancel(number, node=self.rng.choice(sorted(self.sim.nodes)))

    def draw_steps(self, number):
        kind = self.rng.choice(
            ("short", "short", "steps", "steps", "gang", "lasting", "failing")
        )
        cpu = self.rng.choice((1_000, 3_000, 6_000))
        count = self.rng.randint(1, 5)
        if kind == "lasting":
            self.lasting.add(number)
            return (fakes.step(count, cpu=1_500, runs_until_cancelled=True),)
        if kind == "gang":
            gang = fakes.step(count + 1, cpu=2_000, gang=True)
            return (gang, fakes.step(2, after=(0,)))
        if kind == "steps":
            first = fakes.step(count, cpu=cpu, checkpoints=True)
            return (first, fakes.step(2, after=(0,)))
        if kind == "failing":
            # One task of the job always fails.
            key = fakes.records.TaskKey(fakes.job_id(number), 0, 0, 0)
            self.sim.failing_tasks.add(key)
            return (fakes.step(count + 1, cpu=cpu),)
        return (fakes.step(count, cpu=cpu),)

    def find_unfinished_jobs(self):
        """Returns accepted jobs that have not ended, or ended wrongly."""
        found = []
        for number, req in self.requests.items():
            status = self.sim.status(req)
            state = self.sim.state_of(number)
            if state == "gone" and status != 200:
                continue
            found.extend(self.find_problems_of_job(number, state))
        return found

    def find_problems_of_job(self, number, state):
        job = fakes.job_id(number)
        if state == "failed" and self.sim.has_crashed_two_workers(number):
            return []
        if number in self.cancelled and state == "canceled":
            if self.sim.running(number):
                return [f"{job} is canceled and runs"]
            return []
        if number in self.lasting:
            count = self.sim.specs[job].steps[0].count
            running = len(self.sim.running(number))
            if state == "running" and running == count:
                return []
            return [f"{job} lasts, is {state}, {running} of {count} run"]
        fails = any(key.job == job for key in self.sim.failing_tasks)
        expected = "failed" if fails else "done"
        if state != expected:
            return [f"{job} is {state} instead of {expected}"]
        return []


@pytest.mark.parametrize("notices_exits", (False, True))
class TestRandomFaults:
    @pytest.mark.parametrize("seed", fakes.random_seeds(DEFAULT_SEEDS))
    def test_overlapping_faults_keep_the_invariants(self, seed, notices_exits):
        """Guards against a task that runs twice or a job that never ends under
        a combination of faults that no other test has."""
        play = Play(seed, notices_exits)
        problems = play.run()
        assert not problems, (problems, play.faults.log)

    @pytest.mark.parametrize("seed", fakes.random_seeds((1, 2)))
    def test_short_lists_of_ends_keep_the_invariants(self, seed, notices_exits):
        """Guards against wrong conclusions from answers that list only the
        oldest ends, under a combination of faults."""
        play = Play(seed, notices_exits, max_listed_ends=2)
        problems = play.run()
        assert not problems, (problems, play.faults.log)
