"""Until when leases last, as the store tells later leaders."""

import pytest
import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import events
from skylarklug.scheduler import horizon
from skylarklug.scheduler import leadership
from skylarklug.scheduler import leases

READING = leases.ClockReading(store_ms=50_000, sent_at=990, answered_at=1_010)


def lease_left_ms(worker):
    return worker.lease_until - worker.clock.now()


class TestStoredHorizon:
    def test_it_is_read_back(self):
        """Guards against a horizon that a successor cannot read."""
        stored = horizon.of_leader(READING, 1_010)
        assert horizon.decode(horizon.encode(stored)) == stored
        assert stored.until - 50_000 >= horizon.LIMIT_MS
        assert stored.latest > stored.until

    @pytest.mark.parametrize(
        "value", (None, "x", [1, 2], [1, 2, None], [1, 2, -3], [1, 2, True])
    )
    def test_malformed_one_is_not_known(self, value):
        """Guards against an exception, or a wait of no length, because of a
        row of another build."""
        assert horizon.decode(value) is None

    def test_without_a_clock_there_is_none(self):
        """Guards against times of a store that does not tell its clock."""
        reading = leases.ClockReading(0, 990, 1_010)
        assert horizon.of_leader(reading, 1_010) is None

    def test_take_overs_do_not_move_it(self, deployment):
        """Guards against a wait that begins anew with a leader that has not
        granted any lease yet."""
        sim = deployment(workers=3)
        sim.submit(1, takeovers.lasting(3))
        sim.run(2_000)
        former = sim.leader()
        stored = sim.store.rows[leadership.TABLE, leadership.HEARTBEAT].value
        for worker in sim.workers:
            sim.silent_workers.add(worker)
        sim.kill(former.name)
        for _ in range(3):
            sim.add_node(f"m{next(sim.sequence)}")
            takeovers.run_until_leader(sim, former)
            sim.run(60)
            former = sim.leader()
            found = former.state.leader.inherited_horizon
            assert horizon.encode(found) == stored["horizon"]
            sim.kill(former.name)


class TestLeaseLength:
    def test_leases_end_before_the_stored_horizon(self, deployment):
        """Guards against a second run of a task whose lease outlasts what the
        store tells of it."""
        sim = deployment(workers=4, clocks_differ=True)
        sim.submit(1, takeovers.lasting(3))
        for _ in range(200):
            sim.run(20)
            beat = sim.store.rows[leadership.TABLE, leadership.HEARTBEAT].value
            row = sim.store.rows[leases.TABLE, leases.KEY].value
            until = max(beat["horizon"][0], row["horizon"][0])
            for worker in sim.workers.values():
                ends_in_ms = lease_left_ms(worker) / worker.clock.rate
                ends_at = sim.now + ends_in_ms + fakes.STORE_CLOCK_OFFSET
                assert ends_at <= until

    def test_new_leader_grants_none_before_its_first_commit(self, deployment):
        """Guards against a lease of a leader that no row tells of."""
        sim = deployment(workers=3)
        takeovers.run_lasting_job(sim, 3)
        former = takeovers.end_leader(sim, "kill")
        takeovers.run_until_leader(sim, former)
        leader = sim.leader()
        until = {w.name: w.lease_until for w in sim.workers.values()}
        while not leader.state.leader.leases_from:
            row = sim.store.rows[leases.TABLE, leases.KEY].value
            if row["epoch"] < leader.state.leader.epoch:
                for worker in sim.workers.values():
                    assert worker.lease_until == until[worker.name]
            sim.run(1)
        sim.run(1_000)
        assert len(sim.starts) == 3
        assert len(sim.running(1)) == 3


class TestWitnesses:
    def cut_from_store(self, sim):
        leader = sim.leader()
        sim.store.modes[leader.name] = "refuse"
        return leader

    def test_leader_without_them_renews_no_lease(self, deployment):
        """Guards against a leader that has lost the store and most workers, and
        renews the leases of the others while its successor waits for them."""
        sim = deployment(workers=5)
        sim.submit(1, takeovers.lasting(4))
        sim.run(2_000)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        leader = sim.leader()
        for name in ("w0", "w1", "w2"):
            sim.cut_links.add((leader.name, name))
        sim.run(horizon.LIMIT_MS + 200)
        for worker in sim.workers.values():
            assert lease_left_ms(worker) <= 0
        assert not sim.find_problems()

    def test_restarted_worker_is_none(self, deployment):
        """Guards against a worker that has forgotten the next leader's epoch
        and seems to confirm the former one."""
        sim = deployment(workers=3)
        sim.submit(1, takeovers.lasting(2))
        sim.run(2_000)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(1_000)
        for name in ("w0", "w1"):
            worker = sim.workers[name]
            worker.crash(worker.incarnation + 1)
        sim.run(2_000)
        state = sim.leader().state
        assert state.leader.workers["w0"].fenced
        assert not horizon.has_witnesses(state)
        assert not horizon.longest_lease_ms(state)

    def test_long_outage_of_the_store_ends_runs(self, deployment):
        """Guards against runs that end in an outage of nine seconds although
        all workers answer their leader."""
        sim = deployment(workers=4)
        sim.submit(1, takeovers.lasting(4))
        sim.run(2_000)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(9_000)
        sim.store.modes.clear()
        sim.run(4_000)
        assert len(sim.starts) == 4
        assert not sim.find_problems()

    @pytest.mark.parametrize("reached", range(4))
    def test_leaders_reach_other_workers(self, deployment, reached):
        """Guards against a second run of a task if the former leader, without
        the store, reaches some workers, and the next one the others."""
        sim = deployment(workers=5, clocks_differ=True)
        sim.submit(1, takeovers.lasting(4))
        sim.run(takeovers.OLD_RUN_MS)
        former = self.cut_from_store(sim)
        names = sorted(sim.workers)
        for name in names[reached:]:
            sim.cut_links.add((former.name, name))
        for node in sim.nodes:
            for name in names[:reached]:
                if node != former.name:
                    sim.cut_links.add((node, name))
        sim.run(30_000)
        assert not sim.find_problems()
        assert sim.leader() is not former


class TestUpdate:
    def test_leader_of_an_earlier_build_breaks_the_chain(self, deployment):
        """Guards against a horizon that is believed although a leader of an
        earlier build, which stores none, has granted leases since."""
        sim = deployment(nodes=2)
        sim.run(500)
        row = sim.store.rows[leadership.TABLE, leadership.OWNER]
        assert row.value["horizons_since"] == 1
        former = dict(row.value, node="old", epoch=2, released=True)
        del former["horizons_since"]
        for name in list(sim.nodes):
            sim.kill(name)
        sim.store.version += 1
        sim.store.rows[leadership.TABLE, leadership.OWNER] = events.Row(
            leadership.TABLE, leadership.OWNER, sim.store.version, former
        )
        node = sim.add_node("new")
        sim.run(200)
        assert node.state.leader.epoch == 3
        assert node.state.leader.inherited_horizon is None
        row = sim.store.rows[leadership.TABLE, leadership.OWNER]
        assert row.value["horizons_since"] == 3
