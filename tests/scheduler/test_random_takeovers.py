"""Plays random take-overs beside workers that leave, are silent or unlisted.

Of three seeds one plays planned work only, one faults of workers as well, and
one also crashes of leaders and failures of the store. In calm times, of which
planned work is a part, each long-running task has to run again in time. A few
seeds run by default; for others, set the range (without its end):

    RANDOM_FAULT_SEEDS=100-400 .venv/bin/python -m pytest -q -n 2 \
        tests/scheduler/test_random_takeovers.py
"""

import random

import pytest
import scheduler_fakes as fakes
import takeovers

# The last four found tasks that waited for workers of former leaders, one of
# them with planned work only, and one if exits are noticed.
DEFAULT_SEEDS = (1, 2, 3, 4, 5, 15, 22, 52, 7012, 9263)
NODES = 4
WORKERS = 8
LASTING_JOBS = 3
BURSTS = 3
BURST_MS = 15_000
# Time after the last calm time in which all jobs must end.
FINISH_MS = 20_000
# A worker that has crashed stays in the list for up to three of its intervals.
EXPIRY_MS = 3 * fakes.HEARTBEAT_MS
# What a play has: planned work, faults of workers too, or all faults.
PLANNED_WORK, WORKER_FAULTS, ALL_FAULTS = range(3)
# The rules judge a task that has not run for this long, from this long after
# its last run, if this time and the one before it are calm.
JUDGED_MS = 3_000
AFTER_LAST_RUN_MS = 6_000
CALM_BEFORE_MS = 4_000
# Longest delay of a late call.
MAX_DELAY_MS = 8_000
# Crashes of workers in one play, so that no task seems to cause them.
MAX_CRASHES = 4


class Faults:
    """Draws faults that overlap, and ends each of them after a while."""

    def __init__(self, sim, rng, level, notices_exits):
        self.sim = sim
        self.rng = rng
        self.log = []
        # Workers that have left.
        self.gone = set()
        self.crashes = 0
        # When the latest fault began or ended after which a leader may have
        # renewed leases unseen.
        self.lost_leader_at = 0
        # Times without calm, as (begin, end).
        self.disruptions = []
        self.faults = [
            self.stop_leader,
            self.stop_leader,
            self.stop_leader,
            self.drain_worker,
            self.drain_worker,
        ]
        if level >= WORKER_FAULTS:
            self.faults += [
                self.crash_worker,
                self.silence_worker,
                self.silence_worker,
                self.lose_answers_of_worker,
                self.unlist_worker,
                self.unlist_worker,
                self.delay_calls,
                self.stop_leader_as_worker_leaves,
            ]
        if level >= ALL_FAULTS:
            self.faults += [
                self.kill_leader,
                self.kill_leader,
                self.kill_leader_as_worker_leaves,
                self.pause_leader,
                self.fail_store_of_leader,
                self.fail_store_of_leader,
                self.fail_store,
                self.slow_store,
                self.cut_zone,
            ]
        sim.notices_exits = notices_exits
        if notices_exits and level >= ALL_FAULTS:
            self.faults += [self.refuse_connections]

    def begin_one(self):
        fault = self.rng.choice(self.faults)
        self.log.append((self.sim.now, fault.__name__))
        fault()

    def between(self, least, most):
        return self.rng.randint(least, most)

    def leader(self):
        """Returns the leader; None if there is none that can end now."""
        node = self.sim.leader()
        if node is None or node.paused_events is not None:
            return None
        return None if node.state.stopping_at else node

    def disrupt(self, duration_ms=0):
        """Records a time without calm."""
        self.disruptions.append((self.sim.now, self.sim.now + duration_ms))

    def sound_workers(self):
        """Returns workers without a fault, if enough others have none."""
        found = []
        for name, worker in sorted(self.sim.workers.items()):
            troubled = self.sim.silent_workers | self.sim.mute_workers
            troubled |= self.sim.unlisted_workers
            if name not in troubled and not worker.draining:
                found.append(worker)
        return found if len(found) > WORKERS // 2 else []

    def with_worker(self, act):
        workers = self.sound_workers()
        if workers:
            act(self.rng.choice(workers))

    # -------------------------------------------------------------- leaders

    def stop_leader(self):
        node = self.leader()
        if node is not None:
            self.sim.stop(node)
            self.add_node_later()

    def kill_leader(self):
        node = self.leader()
        if node is not None:
            self.sim.kill(node.name)
            self.lost_leader_at = self.sim.now
            self.add_node_later()

    def refuse_connections(self):
        node = self.leader()
        if node is not None:
            self.sim.refuse_connections(node)
            self.lost_leader_at = self.sim.now

    def add_node_later(self):
        self.sim.after(
            self.between(0, 1_000),
            lambda: self.sim.add_node(f"m{next(self.sim.sequence)}"),
        )

    def pause_leader(self):
        node = self.leader()
        if node is None:
            return
        self.sim.pause(node)
        self.lost_leader_at = self.sim.now
        self.sim.after(self.between(300, 9_000), lambda: self.resume(node))

    def resume(self, node):
        if node.alive and node.paused_events is not None:
            self.lost_leader_at = self.sim.now
            self.sim.resume(node)

    def stop_leader_as_worker_leaves(self):
        self.sim.after(self.between(0, 300), self.stop_leader)
        self.rng.choice((self.crash_worker, self.silence_worker))()

    def kill_leader_as_worker_leaves(self):
        self.sim.after(self.between(0, 300), self.kill_leader)
        self.rng.choice((self.crash_worker, self.silence_worker))()

    # ---------------------------------------------------------------- store

    def fail_store_of_leader(self):
        node = self.leader()
        if node is not None:
            self.set_store_mode(node, self.between(300, 8_000))

    def fail_store(self):
        duration_ms = self.between(300, 8_000)
        for node in list(self.sim.nodes.values()):
            if self.rng.random() < 0.6:
                self.set_store_mode(node, duration_ms)

    def set_store_mode(self, node, duration_ms):
        mode = self.rng.choice(
            ("refuse", "silent", "lose", "late", "no heartbeats")
        )
        self.sim.store.modes[node.name] = mode
        self.lost_leader_at = self.sim.now

        def end():
            if self.sim.store.modes.pop(node.name, None):
                self.lost_leader_at = self.sim.now

        self.sim.after(duration_ms, end)

    def slow_store(self):
        self.sim.store.slow_ms = self.between(0, 950)
        self.sim.store.slow_answers_ms = self.between(0, 950)
        self.lost_leader_at = self.sim.now

        def end():
            self.sim.store.slow_ms = 0
            self.sim.store.slow_answers_ms = 0
            self.lost_leader_at = self.sim.now

        self.sim.after(self.between(500, 6_000), end)

    def cut_zone(self):
        """Cuts the leader and a worker off from the others and the store."""
        node = self.leader()
        workers = self.sound_workers()
        if node is None or not workers:
            return
        inside = self.rng.choice(workers).name
        links = set()
        for name in self.sim.nodes:
            for worker in self.sim.workers:
                if (name == node.name) != (worker == inside):
                    links.add((name, worker))
        duration_ms = self.between(2_000, 9_000)
        self.sim.cut_links |= links
        self.sim.store.modes[node.name] = "silent"
        self.lost_leader_at = self.sim.now

        def end():
            self.sim.cut_links -= links
            if self.sim.store.modes.pop(node.name, None):
                self.lost_leader_at = self.sim.now

        self.sim.after(duration_ms, end)

    # -------------------------------------------------------------- workers

    def crash_worker(self):
        if self.crashes == MAX_CRASHES:
            return
        self.crashes += 1
        self.with_worker(self.remove_worker)

    def remove_worker(self, worker):
        """Ends a worker for good; another one joins."""
        self.gone.add(worker.name)
        self.disrupt()
        takeovers.remove_worker(self.sim, worker, listed=True)

        def expire():
            takeovers.list_worker(self.sim, worker.name, listed=False)

        self.sim.after(self.between(0, EXPIRY_MS), expire)
        self.sim.after(self.between(500, 4_000), self.add_worker)

    def add_worker(self):
        takeovers.add_worker(self.sim, f"x{next(self.sim.sequence)}")

    def drain_worker(self):
        def drain(worker):
            worker.draining = True
            self.sim.publish_workers()

            def leave():
                self.gone.add(worker.name)
                takeovers.remove_worker(self.sim, worker, listed=False)

            self.sim.after(self.between(800, 5_000), leave)
            self.sim.after(self.between(500, 6_000), self.add_worker)

        self.with_worker(drain)

    def silence_worker(self):
        self.with_worker(self.silence)

    def silence(self, worker):
        """Cuts a worker off; it is in the list or not."""
        name = worker.name
        duration_ms = self.between(500, 10_000)
        self.disrupt(duration_ms)
        self.sim.silent_workers.add(name)
        if self.rng.random() < 0.5:
            takeovers.list_worker(self.sim, name, listed=False)

        def end():
            self.sim.silent_workers.discard(name)
            takeovers.list_worker(self.sim, name, listed=True)

        self.sim.after(duration_ms, end)

    def lose_answers_of_worker(self):
        def lose(worker):
            name = worker.name
            duration_ms = self.between(500, 9_000)
            self.disrupt(duration_ms)
            self.sim.mute_workers.add(name)
            self.sim.after(
                duration_ms, lambda: self.sim.mute_workers.discard(name)
            )

        self.with_worker(lose)

    def unlist_worker(self):
        def unlist(worker):
            duration_ms = self.between(500, 10_000)
            self.disrupt(duration_ms)
            takeovers.list_worker(self.sim, worker.name, listed=False)

            def end():
                takeovers.list_worker(self.sim, worker.name, listed=True)

            self.sim.after(duration_ms, end)

        self.with_worker(unlist)

    def delay_calls(self):
        def delay(worker):
            self.disrupt(MAX_DELAY_MS)
            worker.late_calls_only_late = self.rng.random() < 0.5
            for kind in ("start", "look", "look", "look", "stop"):
                delay_ms = self.between(500, MAX_DELAY_MS)
                worker.late_calls[kind].append(delay_ms)

        self.with_worker(delay)

    def end_all(self):
        """Ends the faults of the store, of links and of suspended nodes."""
        if self.sim.store.slow_ms or self.sim.store.slow_answers_ms:
            self.lost_leader_at = self.sim.now
        if self.sim.store.modes:
            self.lost_leader_at = self.sim.now
        self.sim.store.modes.clear()
        self.sim.store.slow_ms = 0
        self.sim.store.slow_answers_ms = 0
        self.sim.cut_links.clear()
        self.sim.mute_workers.clear()
        for worker in self.sim.workers.values():
            for delays in worker.late_calls.values():
                delays.clear()
        for node in list(self.sim.nodes.values()):
            self.resume(node)


class Play:
    """One random day: bursts of faults, each with a calm time after it."""

    def __init__(self, seed, notices_exits):
        self.rng = random.Random(seed)
        self.level = seed % 3
        self.sim = fakes.Sim(
            nodes=NODES, workers=WORKERS, clocks_differ=seed % 2 == 0
        )
        self.faults = Faults(self.sim, self.rng, self.level, notices_exits)
        self.lasting = {}
        self.requests = {}
        self.numbers = iter(range(100, 10_000))

    def run(self):
        """Plays the day and returns all violations."""
        self.sim.run(2_000)
        for number in range(1, LASTING_JOBS + 1):
            count = self.rng.randint(1, 4)
            self.lasting[number] = count
            step = takeovers.lasting(count, cpu=self.rng.choice((500, 3_000)))
            self.sim.submit(number, step)
        self.sim.run(takeovers.OLD_RUN_MS)
        problems = []
        for _ in range(BURSTS):
            self.play_burst()
            problems += self.play_calm_time()
        self.sim.run(FINISH_MS)
        problems += self.sim.find_problems()
        problems += self.find_unfinished_jobs()
        if self.level < ALL_FAULTS:
            problems += self.find_gaps()
        return problems

    def play_burst(self):
        end = self.sim.now + BURST_MS
        while self.sim.now < end:
            self.faults.begin_one()
            self.submit()
            self.sim.run(self.rng.randint(100, 2_200))

    def play_calm_time(self):
        """Returns the long-running tasks that do not run when they must."""
        calm_at = self.sim.now
        self.faults.end_all()
        for name in sorted(self.sim.workers):
            self.return_worker(name)
        until = calm_at + takeovers.LOST_MS
        if self.level == ALL_FAULTS:
            permission_ms = (
                takeovers.DETECTION_MS + takeovers.FORMER_PERMISSION_MS
            )
            wait_ms = permission_ms + takeovers.LEASE_MS + takeovers.STARTUP_MS
            until = max(until, self.faults.lost_leader_at + wait_ms)
        self.sim.run(until - self.sim.now)
        found = []
        for number, count in self.lasting.items():
            running = len(self.sim.running(number))
            if running != count and not self.may_have_failed(number):
                found.append(
                    f"{running} of {count} tasks of {number} at {self.sim.now}"
                )
        return found

    def return_worker(self, name):
        """Ends the silence of a worker that has not left."""
        if name not in self.faults.gone:
            self.sim.silent_workers.discard(name)
            takeovers.list_worker(self.sim, name, listed=True)

    def submit(self):
        """Submits a job of one or two steps at any node."""
        names = []
        for name, node in self.sim.nodes.items():
            if node.paused_events is None and not node.state.stopping_at:
                names.append(name)
        if not names:
            return
        number = next(self.numbers)
        steps = [fakes.step(self.rng.randint(1, 3), cpu=500)]
        if self.rng.random() < 0.5:
            steps.append(fakes.step(2, cpu=500, after=(0,)))
        node = self.rng.choice(sorted(names))
        self.requests[number] = self.sim.submit(number, *steps, node=node)

    def may_have_failed(self, number):
        return self.sim.has_crashed_two_workers(number)

    def find_unfinished_jobs(self):
        found = []
        for number, req in self.requests.items():
            state = self.sim.state_of(number)
            if state == "gone" and self.sim.status(req) != 200:
                continue
            if state == "failed" and self.may_have_failed(number):
                continue
            if state != "done":
                found.append(f"job {number} is {state}")
        return found

    def find_gaps(self):
        """Returns times in which a long-running task should have run again."""
        ends = {}
        for key, _, _, at, _ in self.sim.history:
            ends.setdefault(key, []).append(at)
        found = []
        for number, count in self.lasting.items():
            if self.may_have_failed(number):
                continue
            for index in range(count):
                key = fakes.first_key(number, index)
                for ended_at in ends.get(key, ()):
                    found += self.find_gap(key, ended_at)
        return found

    def find_gap(self, key, ended_at):
        started_at = takeovers.first_start(self.sim, key, ended_at - 1)
        started_at = started_at or self.sim.now
        # The earliest time since when it may be judged.
        since = ended_at + AFTER_LAST_RUN_MS
        for begin, end in sorted(self.faults.disruptions):
            if begin < since + JUDGED_MS and end > since - CALM_BEFORE_MS:
                since = end + CALM_BEFORE_MS
        if since + JUDGED_MS >= started_at:
            return []
        gap_ms = started_at - ended_at
        return [f"{key} did not run for {gap_ms} ms from {ended_at}"]


@pytest.mark.parametrize("notices_exits", (False, True))
class TestRandomTakeovers:
    @pytest.mark.parametrize("seed", fakes.random_seeds(DEFAULT_SEEDS))
    def test_long_running_tasks_run_once_and_in_time(self, seed, notices_exits):
        """Guards against a long-running task that runs twice, or not for long,
        under a combination of take-overs and faults of workers that no other
        test has."""
        play = Play(seed, notices_exits)
        problems = play.run()
        assert not problems, (problems, play.faults.log)
