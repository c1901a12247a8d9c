"""The row that tells later leaders when the leases of workers end."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import leases

READING = leases.ClockReading(store_ms=50_000, sent_at=990, answered_at=1_010)
KEY = fakes.first_key(1)


class TestClocks:
    def test_end_of_a_lease_is_never_too_early(self):
        """Guards against a second run of a task, started before the lease of
        the first one has ended, because two nodes read the store's clock."""
        ends_at = 7_000
        store_ms = leases.latest_store_ms(READING, ends_at)
        # This node's clock shows at most this when the store's shows 50,000.
        for offset in (990, 1_010):
            assert store_ms >= 50_000 + ends_at - offset
        later = leases.ClockReading(53_000, 300_000, 300_040)
        remaining = leases.reached_at(later, store_ms) - later.answered_at
        assert remaining >= ends_at - 1_010 - 3_000

    def test_end_that_has_passed_adds_no_wait(self):
        """Guards against another wait for a lease that has ended."""
        assert leases.reached_at(READING, 40_000) == READING.answered_at


class TestRow:
    def encode(self, **fields):
        expiries = {
            "w0": leases.Expiry(7_000, frozenset({KEY})),
            "w1": leases.Expiry(7_000, None),
        }
        return leases.encode(READING, 3, expiries, **fields)

    def test_ends_of_leases_are_read_back(self):
        """Guards against a wait for all tasks instead of those of a worker."""
        expiries, release = leases.decode(READING, self.encode(), 4, 1)
        assert expiries["w0"].tasks == {KEY}
        assert expiries["w1"].tasks is None
        assert expiries["w0"].at >= 7_000
        assert release is None

    def test_row_from_before_an_earlier_build_led_does_not_count(self):
        """Guards against a second run of a task on a worker to which a leader
        of an earlier build, which does not keep the row, has given a lease."""
        assert leases.decode(READING, self.encode(), 6, 4) == ({}, None)
        assert leases.decode(READING, self.encode(), 6, 3)[0]

    def test_release_counts_only_for_the_next_leader(self):
        """Guards against a second run of a task whose lease a leader has
        renewed that came after the release and wrote nothing."""
        release = leases.Release(
            leases.Expiry(7_600, None), frozenset("a"), frozenset({KEY})
        )
        value = self.encode(release=release)
        found = leases.decode(READING, value, 4, 1)[1]
        assert found.expiry.at >= 7_600
        assert found.unsaved_jobs == {"a"}
        assert found.waiting == {KEY}
        assert leases.decode(READING, value, 5, 1)[1] is None

    def test_without_a_clock_nothing_counts(self):
        """Guards against times of a store that does not tell its clock."""
        reading = leases.ClockReading(0, 990, 1_010)
        with pytest.raises(ValueError):
            leases.decode(reading, self.encode(), 4, 1)

    def test_many_tasks_fit_into_a_row(self):
        """Guards against a row that is too large to be stored."""
        tasks = frozenset(
            fakes.first_key(number) for number in range(leases.MAX_TASKS + 1)
        )
        expiries = leases.limit_tasks({"w0": leases.Expiry(7_000, tasks)})
        value = leases.encode(READING, 3, expiries)
        assert value["workers"]["w0"][1] is None

    def test_recorded_end_does_not_move_when_it_is_passed_on(self):
        """Guards against a wait that grows with each leader that records it
        again."""
        value = self.encode()
        for epoch in range(4, 20):
            expiries, _ = leases.decode(READING, value, epoch, 1)
            value = leases.encode(READING, epoch, expiries)
        assert value["workers"] == self.encode()["workers"]


class TestUpdate:
    def test_leader_of_an_earlier_build_breaks_the_chain(self, deployment):
        """Guards against a row of leases that is believed although a leader of
        an earlier build has led meanwhile."""
        sim = deployment(nodes=2)
        sim.run(500)
        row = sim.store.rows[leadership.TABLE, leadership.OWNER]
        assert row.value["leases_since"] == 1
        former = {
            name: value
            for name, value in row.value.items()
            if name != "leases_since"
        }
        former.update(node="old", epoch=2, released=True)
        for name in list(sim.nodes):
            sim.kill(name)
        sim.store.version += 1
        version = sim.store.version
        sim.store.rows[leadership.TABLE, leadership.OWNER] = events.Row(
            leadership.TABLE, leadership.OWNER, version, former
        )
        sim.add_node("new")
        sim.run(1_000)
        row = sim.store.rows[leadership.TABLE, leadership.OWNER]
        assert row.value["epoch"] == 3
        assert row.value["leases_since"] == 3
