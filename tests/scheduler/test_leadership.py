import scheduler_fakes as fakes

from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import records

LARGE = 2.15
SMALL = 0.5


class TestLargestVmLeads:
    def test_leadership_moves_to_a_larger_vm(self, deployment):
        """Guards against a small VM that leads a large fleet, which it cannot
        carry, while a large one is idle."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        sim.add_node("large", LARGE)
        sim.run(6_000)
        assert sim.leader().name == "large"
        assert len(sim.starts) == 3
        assert len(sim.running(1)) == 3
        assert not sim.find_problems()

    def test_leadership_stays_among_similar_vms(self, deployment):
        """Guards against hand-overs without a benefit."""
        sim = deployment(nodes=2)
        sim.add_node("similar", 1.4)
        sim.run(10_000)
        assert sim.leader().state.leader.epoch == 1

    def test_larger_vm_claims_first_after_a_crash(self, deployment):
        """Guards against two take-overs in a row after a crash."""
        sim = deployment(nodes=1)
        for number in range(4):
            sim.add_node(f"small{number}", SMALL)
        sim.add_node("large", 1.4)
        sim.run(500)
        sim.kill("n0")
        sim.run(4_000)
        assert sim.leader().name == "large"
        assert sim.leader().state.leader.epoch == 2

    def test_others_claim_if_the_successor_is_gone(self, deployment):
        """Guards against a fleet without a leader after a hand-over to a node
        that has stopped meanwhile."""
        sim = deployment(nodes=2)
        leader = sim.leader()
        sim.add_node("large", LARGE)
        while leader.state.leader.successor != "large":
            sim.run(5)
        sim.kill("large")
        sim.run(2_500)
        assert sim.leader() is not None

    def test_hand_over_whose_answer_is_lost(self, deployment):
        """Guards against two leaders, or none, after a lost answer."""
        sim = deployment(nodes=2)
        sim.submit(1, fakes.step(4, runs_until_cancelled=True))
        sim.run(500)
        leader = sim.leader()
        sim.add_node("large", LARGE)
        while leader.state.leader.successor != "large":
            sim.run(5)
        sim.store.modes[leader.name] = "lose"
        sim.run(6_000)
        leading = [n for n in sim.nodes.values() if n.state.leader]
        assert [node.name for node in leading] == ["large"]
        assert len(sim.starts) == 4
        assert not sim.find_problems()

    def test_candidate_of_an_earlier_epoch_is_ignored(self, deployment):
        """Guards against a hand-over to a node that asked another leader."""
        sim = deployment(nodes=2)
        leader = sim.leader()
        row = events.Row(
            leadership.TABLE,
            leadership.CANDIDATE,
            99,
            {"node": "x", "epoch": 7},
        )
        event = events.RowsChanged(sim.now, leadership.TABLE, False, (row,))
        sim.dispatch(leader, event)
        sim.run(1_000)
        assert sim.leader() is leader


class TestWaitingCount:
    def test_new_leader_never_reports_an_empty_queue(self, deployment):
        """Guards against "0 jobs wait" while jobs wait, in the first heartbeat
        of a leader that has read the jobs but not processed them (MIXED 2 on
        inyenyeri-panel, mix with seed 855698507817)."""
        sim = deployment(workers=2)
        for number in range(1, 7):
            sim.submit(number, fakes.step(label="none"))
        sim.run(2_000)
        before = len(sim.store.commits)
        for _ in range(2):
            sim.kill(sim.leader().name)
            sim.run(5_000)
            assert sim.leader() is not None
        counts = []
        for _, _, effect in sim.store.commits[before:]:
            for write in effect.writes:
                if write.key == leadership.HEARTBEAT:
                    counts.append(write.value["waiting"])
        assert counts
        assert all(count == {"batch": 6} for count in counts)


class TestRowsOfEarlierBuilds:
    def test_leader_of_an_earlier_build_is_succeeded(self):
        """Guards against a fleet without a leader during an update: earlier
        builds write no capacity, and no candidate asks them."""
        sim = fakes.Sim(nodes=0)
        owner = {"node": "old", "incarnation": 1, "epoch": 3}
        row = events.Row(
            leadership.TABLE,
            leadership.OWNER,
            1,
            {**owner, "released": False},
        )
        sim.store.version = 1
        sim.store.rows[leadership.TABLE, leadership.OWNER] = row
        sim.add_node("small", SMALL)
        sim.add_node("large", LARGE)
        sim.run(2_000)
        assert sim.leader() is None
        assert not sim.store.commits
        sim.run(2_000)
        assert sim.leader().name == "large"
        assert sim.leader().state.leader.epoch == 4


class TestMachineOrders:
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
        for node in sim.nodes.values():
            sim.dispatch(node, events.WaveRequested(sim.now, wave))
        sim.run(1_000)
        first = sim.leader()
        # The first leader loses the store but not the machine API.
        sim.store.modes[first.name] = "silent"
        sim.run(15_000)
        assert {name for _, name in orders} > {first.name}
        last = max(at for at, name in orders if name == first.name)
        others = [at for at, name in orders if name != first.name]
        assert min(others) - last > first.state.cfg.machine_lease_ms
        assert sim.max_down == 1


class TestRestartOfLeader:
    def test_small_vm_does_not_lead_again_after_a_restart(self, deployment):
        """Guards against a small VM that leads after all machines lost power,
        because only it knows at once that the leader has ended."""
        sim = deployment(nodes=1)
        sim.add_node("large", LARGE)
        sim.run(5_000)
        assert sim.leader().name == "large"
        sim.add_node("small", SMALL)
        sim.store.modes["large"] = "silent"
        sim.kill("n0")
        while sim.leader().name != "small":
            sim.run(20)
        for name in list(sim.nodes):
            sim.lose_node_power(name)
        sim.store.modes.clear()
        sim.add_node("small", SMALL)
        sim.add_node("large", LARGE)
        sim.run(1_500)
        assert sim.leader().name == "large"

    def test_worker_that_has_left_does_not_delay_a_takeover(self, deployment):
        """Guards against a new leader that waits for the leases of a worker
        that left long ago, and uses it as if it were there."""
        sim = deployment(workers=4)
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        used = {worker for _, worker in sim.running(1)}
        gone = next(name for name in sim.workers if name not in used)
        del sim.workers[gone]
        sim.publish_workers()
        sim.run(15_000)
        sim.kill(sim.leader().name)
        sim.run(5_000)
        leader = sim.leader().state.leader
        assert leader.settled
        assert gone not in leader.workers
        assert gone not in leader.roster_saved


class TestMassReturn:
    def test_orders_in_flight_are_bounded(self, deployment):
        """Guards against hundreds of starts in one pass, as after an outage,
        whose answers come back later than their timeout."""
        sim = deployment(workers=40)
        for worker in sim.workers.values():
            worker.cpu = 64_000
        sim.publish_workers()
        most = 0
        perform = sim.on_StartRun

        def record(node, effect):
            nonlocal most
            perform(node, effect)
            most = max(most, node.state.leader.starts_in_flight)

        sim.on_StartRun = record
        for number in range(1, 41):
            sim.submit(number, fakes.step(30, cpu=100))
        sim.run(4_000)
        assert len(sim.starts) == 1_200
        assert most == orders.MAX_STARTS_IN_FLIGHT
        assert sim.leader().state.leader.starts_in_flight == 0
        assert not sim.find_problems()

    def test_silent_workers_free_the_window(self, deployment):
        """Guards against a leader that stops starting tasks for good because
        workers never answered."""
        sim = deployment(workers=6)
        for worker in sim.workers.values():
            worker.unanswered_starts = 40
        sim.submit(1, fakes.step(60, cpu=100))
        sim.run(20_000)
        assert sim.state_of(1) == "done"
        assert sim.leader().state.leader.starts_in_flight == 0
        assert not sim.find_problems()


class TestSettling:
    """A leader without the store, and the worker that only it reaches."""

    def cut_off_leader(self, sim):
        """Cuts off the leader with the worker of a task; returns both."""
        sim.submit(1, fakes.step(cpu=9_000, runs_until_cancelled=True))
        sim.run(1_000)
        former = sim.leader()
        ((_, reached),) = sim.running(1)
        sim.store.modes[former.name] = "silent"
        for worker in sim.workers:
            if worker != reached:
                sim.cut_links.add((former.name, worker))
        self.cut_off_worker(sim, former, reached)
        return former, reached

    def cut_off_worker(self, sim, former, worker):
        for name in sim.nodes:
            if name != former.name:
                sim.cut_links.add((name, worker))

    def wait_for_other_leader(self, sim, former):
        while sim.leader() is former:
            sim.run(5)
        return sim.leader()

    def check(self, sim):
        sim.run(20_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 2

    def test_restarted_leader_waits_for_its_predecessor(self, deployment):
        """Guards against a second run of a task that a leader without the
        store keeps running, when the next leader restarts at once."""
        sim = deployment(workers=3)
        former, worker = self.cut_off_leader(sim)
        leader = self.wait_for_other_leader(sim, former)
        # Its new process claims before another node has noticed the exit.
        sim.lose_node_power(leader.name)
        sim.add_node(leader.name)
        self.cut_off_worker(sim, former, worker)
        self.check(sim)

    def test_leader_after_a_release_waits_for_an_earlier_one(self, deployment):
        """Guards against a second run of a task that a leader without the
        store keeps running, when the next leader stops at once."""
        sim = deployment(workers=3)
        former, _ = self.cut_off_leader(sim)
        leader = self.wait_for_other_leader(sim, former)
        sim.dispatch(leader, events.StopRequested(sim.now))
        self.check(sim)

    def test_repeated_claim_waits_for_the_predecessor(self, deployment):
        """Guards against a second run of a task that a leader without the
        store keeps running, when the first claim of the next leader got no
        answer."""
        sim = deployment(workers=3)
        former, _ = self.cut_off_leader(sim)
        for name in sim.nodes:
            if name != former.name:
                sim.store.modes[name] = "lose"
        while sim.store.rows["leadership", "owner"].value["epoch"] == 1:
            sim.run(5)
        sim.run(10)
        for name in sim.nodes:
            if name != former.name:
                del sim.store.modes[name]
        self.check(sim)

    def test_commits_without_heartbeats_do_not_extend_the_permission(
        self, deployment
    ):
        """Guards against a second run of a task that a leader keeps running,
        whose other commits succeed until the others miss its heartbeats."""
        sim = deployment(workers=3)
        former, _ = self.cut_off_leader(sim)
        sim.store.modes[former.name] = "no heartbeats"
        others = [name for name in sim.nodes if name != former.name]
        number = 1
        while not any(sim.nodes[name].state.claiming for name in others):
            if sim.now % 60 == 0:
                number += 1
                sim.submit(number, fakes.step(cpu=10), node=others[0])
            sim.run(1)
        sim.store.modes[former.name] = "silent"
        sim.run(20_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 1

    def test_claim_fails_while_heartbeats_arrive_late(self, deployment):
        """Guards against a second run of a task that a leader keeps running,
        whose latest heartbeats have not reached the node that claims."""
        sim = deployment(nodes=2, workers=3)
        former, _ = self.cut_off_leader(sim)
        del sim.store.modes[former.name]
        (other,) = (n for n in sim.nodes.values() if n is not former)
        while (
            other.state.leadership_read_at < other.state.owner_updated_at + 300
        ):
            sim.run(1)
        other.hung_tables.add("leadership")
        for _ in range(4_000):
            if other.state.claiming:
                break
            sim.run(1)
        sim.store.modes[former.name] = "silent"
        sim.run(1_500)
        other.hung_tables.clear()
        sim.run(20_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 1

    def test_restart_of_a_settled_leader_adds_no_wait(self, deployment):
        """Guards against a longer wait for leases that nobody can have
        renewed since the leader restarted."""
        sim = deployment(workers=2)
        sim.run(2_000)
        leader = sim.leader()
        # Its new process claims before another node has noticed the exit.
        sim.lose_node_power(leader.name)
        sim.add_node(leader.name)
        sim.run(1_500)
        found = sim.leader().state.leader
        assert found.epoch == 2
        lease_ms = leadership.lease_ms(leader.state.cfg)
        assert found.settled_at - found.since < lease_ms + 100

    def test_leader_without_store_does_not_settle(self, deployment):
        """Guards against a second run of a task by a leader that settles when
        another one has already taken over and started it."""
        sim = deployment(workers=3)
        first, worker = self.cut_off_leader(sim)
        second = self.wait_for_other_leader(sim, first)
        sim.run(second.state.leader.settled_at - sim.now - 3_600)
        # The third leader reaches the worker before its lease ends.
        sim.store.modes[second.name] = "silent"
        for name in sim.nodes:
            if name in (first.name, second.name):
                continue
            sim.cut_links = {link for link in sim.cut_links if link[0] != name}
            for other in sim.workers:
                if other != worker:
                    sim.cut_links.add((name, other))
        sim.run(10_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 1
