"""Take-overs from a leader whose process has exited, or seems to have."""

import pytest
import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records

LARGE = 2.15
# Time within which a killed leader has to be followed.
FOLLOWED_MS = 1_000
# Time for the claim of a node that has detected the silence of a leader.
CLAIM_MS = leadership.CLAIM_JITTER_MS + 100


def time_to_next_leader(sim, former):
    since = sim.now
    takeovers.run_until_leader(sim, former)
    return sim.now - since


class TestKilledLeader:
    @pytest.mark.parametrize("after_ms", range(0, 700, 100))
    def test_it_is_followed_within_a_second(self, deployment, after_ms):
        """Guards against long-running tasks that wait for the timeout of
        heartbeats although the host of the leader refuses connections (LOST on
        ileboot-sched)."""
        sim = deployment(nodes=9)
        sim.run(after_ms)
        former = sim.leader()
        sim.kill(former.name)
        assert time_to_next_leader(sim, former) <= FOLLOWED_MS
        sim.run(3_000)
        assert sim.leader().state.leader.epoch == 2
        assert sim.log_of("leader-exited")

    def test_series(self, deployment):
        """Guards against one of several leaders that is followed late."""
        sim = deployment(nodes=4)
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(1_000)
        for number in range(6):
            former = sim.leader()
            sim.kill(former.name)
            sim.add_node(f"m{number}")
            assert time_to_next_leader(sim, former) <= FOLLOWED_MS
            sim.run(3_000)
        assert sim.leader().state.leader.epoch == 7
        assert len(sim.starts) == 4
        assert not sim.find_problems()

    def test_only_small_vms_are_left(self, deployment):
        """Guards against a small VM that waits for a large one for too long."""
        sim = fakes.Sim(nodes=0)
        sim.add_node("large", LARGE)
        sim.run(1_000)
        for number in range(3):
            sim.add_node(f"small{number}", 0.5)
        sim.run(1_000)
        former = sim.leader()
        assert former.name == "large"
        sim.kill("large")
        assert time_to_next_leader(sim, former) <= FOLLOWED_MS

    def test_node_that_was_suspended_claims_nothing_old(self, deployment):
        """Guards against a claim from a leader that another node has already
        followed."""
        sim = deployment(nodes=3)
        former = sim.leader()
        suspended, other = [n for n in sim.nodes.values() if n is not former]
        sim.pause(suspended)
        sim.kill(former.name)
        sim.run(2_000)
        assert sim.leader() is other
        sim.resume(suspended)
        sim.run(5_000)
        assert sim.leader() is other

    def test_store_is_away(self, deployment):
        """Guards against a fleet without a leader if the claims failed."""
        sim = deployment(nodes=3)
        former = sim.leader()
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(500)
        sim.kill(former.name)
        sim.run(6_000)
        assert sim.leader() is None
        sim.store.modes.clear()
        # A node reads the table again within the interval of its watches.
        assert (
            time_to_next_leader(sim, former) <= fakes.WATCH_POLL_MS + CLAIM_MS
        )


class TestRestartedProcess:
    """The killed leader's process restarts after another node took over."""

    def lose_leader_and_worker(self, sim):
        """Ends the leader and a worker at once.

        Returns the leader, the task of the worker, and when they ended.
        """
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        former = sim.leader()
        takeovers.remove_worker(sim, sim.workers[name], listed=True)
        sim.kill(former.name)
        return former, tasks[name], sim.now

    @pytest.mark.parametrize("restart_ms", (600, 2_100))
    def test_worker_that_was_lost_with_it(self, deployment, restart_ms):
        """Guards against a long-running task that waits for more than 9 s: its
        worker and the leader crashed together, and the next leader counts the
        leases of a process that has ended as if it might renew them."""
        sim = deployment(workers=5)
        former, key, lost_at = self.lose_leader_and_worker(sim)
        sim.run(restart_ms)
        assert sim.leader().name != former.name
        sim.add_node(former.name)
        sim.run(20_000)
        until = lost_at + takeovers.LOST_MS
        takeovers.assert_started(sim, key, lost_at, until)
        assert sim.leader().state.leader.epoch == 2
        assert not sim.find_problems()

    def test_store_refuses_the_restarted_process(self, deployment):
        """Guards against the same if the store refuses the commits of the
        restarted process."""
        sim = deployment(workers=5)
        former, key, lost_at = self.lose_leader_and_worker(sim)
        sim.run(600)
        sim.add_node(former.name)
        sim.store.modes[former.name] = "refuse writes"
        sim.run(500)
        sim.store.modes.clear()
        sim.run(20_000)
        until = lost_at + takeovers.LOST_MS
        takeovers.assert_started(sim, key, lost_at, until)

    def test_earlier_leader_runs_on(self, deployment):
        """Guards against a second run of a task that an earlier leader, cut
        off from the store, keeps running: only its successor has ended."""
        sim = deployment(nodes=4, workers=3)
        case = TestLiveLeader()
        case.replace_leader(sim)
        second = sim.leader()
        sim.kill(second.name)
        while sim.leader().state.leader.epoch < 3:
            sim.run(1)
        assert sim.leader().name != second.name
        sim.add_node(second.name)
        sim.cut_links.add((second.name, case.reached))
        case.check(sim)


class TestSilentLeader:
    def check(self, sim, former):
        """Asserts that the timeout of heartbeats is waited for, and no more."""
        waited_ms = time_to_next_leader(sim, former)
        earliest_ms = (
            leadership.TAKEOVER_TIMEOUT_MS - leadership.HEARTBEAT_INTERVAL_MS
        )
        assert earliest_ms - 100 < waited_ms
        assert waited_ms <= leadership.TAKEOVER_TIMEOUT_MS + CLAIM_MS

    def test_host_loses_power(self, deployment):
        """Guards against a fleet that relies on connections that never end."""
        sim = deployment()
        former = sim.leader()
        sim.lose_node_power(former.name)
        self.check(sim, former)

    def test_links_are_cut(self, deployment):
        """Guards against the same if no node can connect to the host."""
        sim = deployment()
        former = sim.leader()
        for name in sim.nodes:
            sim.cut_links.add((name, former.name))
        sim.kill(former.name)
        self.check(sim, former)

    def test_leader_has_no_watch_address(self):
        """Guards against nodes that fail where a process has no second port."""
        sim = fakes.Sim(nodes=0)
        sim.add_node("n0", watch_address="")
        sim.run(1_000)
        sim.add_node("n1")
        sim.add_node("n2")
        sim.run(1_000)
        former = sim.leader()
        assert former.name == "n0"
        sim.kill("n0")
        self.check(sim, former)
        assert not sim.problems

    @pytest.mark.parametrize("fields", ({}, {"address": None}, {"address": 5}))
    def test_row_without_an_address(self, fields):
        """Guards against nodes that fail at a row of an earlier build."""
        sim = fakes.Sim(nodes=0)
        owner = {"node": "old", "incarnation": 1, "epoch": 3, "released": False}
        row = events.Row(
            leadership.TABLE, leadership.OWNER, 1, {**owner, **fields}
        )
        sim.store.version = 1
        sim.store.rows[leadership.TABLE, leadership.OWNER] = row
        sim.add_node("n1")
        sim.add_node("n2")
        sim.run(1_000)
        assert sim.leader() is None
        sim.run(2_000)
        assert sim.leader().state.leader.epoch == 4
        assert not sim.problems


class TestLiveLeader:
    """A leader that works although its host seems to refuse connections."""

    def test_it_is_replaced_once(self, deployment):
        """Guards against take-overs without end, and a second run of a task,
        if a link refuses connections."""
        sim = deployment(nodes=4)
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(1_000)
        former = sim.leader()
        sim.refuse_connections(former)
        sim.run(10_000)
        assert sim.leader() is not former
        assert sim.leader().state.leader.epoch == 2
        assert len(sim.starts) == 4
        assert len(sim.running(1)) == 4
        assert not sim.find_problems()

    def test_report_of_an_earlier_epoch_is_ignored(self, deployment):
        """Guards against a claim from a leader whose predecessor exited."""
        sim = deployment(nodes=3)
        former = sim.leader()
        sim.kill(former.name)
        sim.run(2_000)
        leader = sim.leader()
        for node in sim.nodes.values():
            sim.report_exit(node, 1)
            sim.report_exit(node, 9)
        sim.run(2_000)
        assert sim.leader() is leader

    def cut_off_leader(self, sim):
        """Leaves a leader only the worker that runs a task; returns it."""
        sim.submit(1, fakes.step(cpu=9_000, runs_until_cancelled=True))
        sim.run(1_000)
        former = sim.leader()
        ((_, reached),) = sim.running(1)
        for node in sim.nodes.values():
            for worker in sim.workers:
                if (node is former) != (worker == reached):
                    sim.cut_links.add((node.name, worker))
        self.reached = reached
        return former

    def run_until_heartbeat(self, sim, former):
        before = former.state.leader.heartbeat_at
        while former.state.leader.heartbeat_at == before:
            sim.run(1)

    def check(self, sim):
        sim.run(25_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 2
        assert len(sim.running(1)) == 1

    def replace_leader(self, sim):
        """Cuts the leader off, and lets another one follow it at once."""
        former = self.cut_off_leader(sim)
        self.run_until_heartbeat(sim, former)
        sim.store.modes[former.name] = "silent"
        sim.refuse_connections(former)
        assert time_to_next_leader(sim, former) <= FOLLOWED_MS

    def test_successor_waits_for_its_leases(self, deployment):
        """Guards against a second run of a task that a leader without the
        store keeps running, which was replaced before its heartbeats timed
        out."""
        sim = deployment(workers=3)
        self.replace_leader(sim)
        self.check(sim)

    def test_leader_after_a_release_waits_too(self, deployment):
        """Guards against the same if its successor stops at once."""
        sim = deployment(workers=3)
        self.replace_leader(sim)
        sim.stop(sim.leader())
        self.check(sim)

    def test_restarted_successor_waits_too(self, deployment):
        """Guards against the same if its successor restarts at once."""
        sim = deployment(workers=3)
        self.replace_leader(sim)
        name = sim.leader().name
        sim.lose_node_power(name)
        sim.add_node(name)
        sim.cut_links.add((name, self.reached))
        self.check(sim)

    def test_successor_whose_claim_gets_no_answer_waits_too(self, deployment):
        """Guards against the same if the first claim got no answer."""
        sim = deployment(workers=3)
        former = self.cut_off_leader(sim)
        self.run_until_heartbeat(sim, former)
        sim.store.modes = dict.fromkeys(sim.nodes, "lose")
        sim.store.modes[former.name] = "silent"
        sim.refuse_connections(former)
        while sim.store.rows["leadership", "owner"].value["epoch"] == 1:
            sim.run(5)
        sim.run(10)
        sim.store.modes = {former.name: "silent"}
        self.check(sim)

    def test_leaders_do_not_take_turns_at_the_machine_api(self, deployment):
        """Guards against maintenance orders of two leaders within the time
        for which the first may rely on being alone."""
        sim = deployment(workers=6)
        orders = []
        perform = sim.on_BeginMaintenance

        def record(node, effect):
            orders.append((sim.now, node.name))
            perform(node, effect)

        sim.on_BeginMaintenance = record
        names = tuple(f"m-w{number}" for number in range(6))
        wave = records.Wave(1, names, 20.0, 1)
        first = sim.leader()
        self.run_until_heartbeat(sim, first)
        # Neither the store nor the workers tell it that it was replaced.
        sim.store.modes[first.name] = "silent"
        sim.cut_links.update((first.name, worker) for worker in sim.workers)
        sim.refuse_connections(first)
        takeovers.run_until_leader(sim, first)
        # The first leader still has permission.
        sim.run(1_000)
        for node in sim.nodes.values():
            sim.dispatch(node, events.WaveRequested(sim.now, wave))
        sim.run(15_000)
        assert {name for _, name in orders} > {first.name}
        last = max(at for at, name in orders if name == first.name)
        others = [at for at, name in orders if name != first.name]
        assert min(others) - last > first.state.cfg.machine_lease_ms
        assert sim.max_down == 1
