"""Tests of table operations."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest
from tests.core import shared_fakes

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import reducer
from skylarklug import table


class TableHarness:
    """A node state whose table effects are answered by the test."""

    def __init__(self, nodes=1):
        self.state = reducer.new_state()
        settings = {"nodes": [{}] * nodes}
        self.state.settings = settings
        self.state.node = "yumbo-1"
        self.results = []

    def commit(self, *keys, version=0, **kwargs):
        checks = [fx.Check(key, version) for key in keys]
        writes = [fx.Write(key, {"n": 1}) for key in keys]
        effects = []
        table.commit(self.state, effects, checks, writes, self.done, **kwargs)
        return effects

    def done(self, state, effects, result):
        self.results.append(result)

    def feed(self, event):
        self.state.now = event.at
        effects = []
        table.HANDLERS[type(event)](self.state, event, effects)
        return [
            effect
            for effect in effects
            if isinstance(effect, fx.CommitTable | fx.ReadTable)
        ]

    def tick(self, at):
        return self.feed(events.Tick(at))

    def answer(self, effect, status, *rows, version=9, at=None):
        at = self.state.now if at is None else at
        return self.feed(
            events.TableAnswered(at, effect.op_id, status, version, rows)
        )

    def tick_until_sent(self, until=60_000):
        """Ticks until an operation is re-sent and returns it."""
        for at in range(self.state.now + 50, until, 50):
            sent = self.tick(at)
            if sent:
                return sent[0]
        raise AssertionError("no operation was re-sent")


class TestLostAnswers:
    def test_own_write_is_recognised(self):
        """Guards against a conflict reported with the operation's own write."""
        harness = TableHarness()
        (first,) = harness.commit("a")
        harness.answer(first, "unavailable")
        resent = harness.tick_until_sent()
        assert resent.op_id == first.op_id
        assert resent.writes == first.writes
        row = events.Row("a", 7, {"n": 1, "op": first.op_id})
        harness.answer(resent, "conflict", row)
        assert harness.results == [table.Result("committed", 7, ())]

    def test_overwritten_write_is_a_conflict(self):
        """Guards against another writer's row taken for the own write."""
        harness = TableHarness()
        (first,) = harness.commit("a")
        harness.answer(first, "unavailable")
        row = events.Row("a", 8, {"n": 2, "op": "op-other"})
        harness.answer(harness.tick_until_sent(), "conflict", row)
        assert harness.results == [table.Result("conflict", 9, (row,))]

    def test_values_carry_the_operation_id(self):
        """Guards against writes that their writer cannot recognise later."""
        harness = TableHarness()
        effects = []
        writes = [fx.Write("a", {"n": 1}), fx.Write("b", None)]
        table.commit(
            harness.state, effects, [fx.Check("a", 0)], writes, harness.done
        )
        first, second = effects[0].writes
        assert first.value == {"n": 1, "op": effects[0].op_id}
        assert second.value is None


class TestDeadline:
    @pytest.mark.parametrize("group", ["", "yumbo/0"])
    def test_unavailable_is_reported_once(self, group):
        """Guards against a callback that is never called, or called twice."""
        harness = TableHarness()
        sent = harness.commit("a", deadline_ms=500, group=group)
        sent = sent or harness.tick(50)
        harness.tick(500)
        harness.tick(600)
        assert [result.status for result in harness.results] == ["unavailable"]
        harness.answer(sent[0], "committed")
        assert len(harness.results) == 1
        assert harness.state.domains["table"].in_flight == 0

    def test_expired_operation_is_not_sent(self):
        """Guards against a write whose caller already got "unavailable"."""
        harness = TableHarness()
        harness.state.domains["table"].outage = True
        harness.state.domains["table"].probe_at = 10_000
        harness.commit("a", deadline_ms=500)
        harness.tick(500)
        assert harness.tick(10_000) == []


class TestGroupCommit:
    def test_transactions_are_merged_until_the_next_tick(self):
        """Guards against one transaction per row."""
        harness = TableHarness()
        for key in "abc":
            assert harness.commit(key, group="yumbo/0") == []
        (sent,) = harness.tick(50)
        assert [write.key for write in sent.writes] == ["a", "b", "c"]
        harness.answer(sent, "committed", version=5)
        assert harness.results == [table.Result("committed", 5, ())] * 3

    def test_full_group_is_sent_at_once(self):
        """Guards against groups that grow without bound between ticks."""
        harness = TableHarness()
        for index in range(table.GROUP_ROWS - 1):
            assert harness.commit(f"k{index}", group="g") == []
        (sent,) = harness.commit("last", group="g")
        assert len(sent.writes) == table.GROUP_ROWS

    def test_conflict_splits_the_group(self):
        """Guards against a conflict that fails other merged transactions."""
        harness = TableHarness()
        for key in "abc":
            harness.commit(key, group="g")
        (sent,) = harness.tick(50)
        row = events.Row("b", 4, {"op": "op-other"})
        (resent,) = harness.answer(sent, "conflict", row)
        assert [write.key for write in resent.writes] == ["a", "c"]
        assert resent.op_id != sent.op_id
        assert [result.status for result in harness.results] == ["conflict"]
        harness.answer(resent, "committed")
        assert len(harness.results) == 3

    def test_writes_of_one_row_are_not_merged_and_stay_in_order(self):
        """Guards against a merged transaction that writes a row twice."""
        harness = TableHarness()
        harness.commit("a", group="g")
        harness.commit("a", version=9, group="g")
        (first,) = harness.tick(50)
        assert len(first.writes) == 1
        assert harness.tick(100) == []
        harness.answer(first, "committed")
        (second,) = harness.tick(150)
        assert second.checks == (fx.Check("a", 9),)


class TestExactlyOnce:
    @hypothesis.given(st.integers(0, 1 << 32))
    @hypothesis.settings(max_examples=40, derandomize=True, deadline=None)
    def test_each_row_is_written_once(self, seed):
        """Guards against lost or repeated rows of merged transactions."""
        cluster = shared_fakes.Cluster(seed, {"yumbo": 1})
        cluster.start()
        cluster.table.lose_answers = 0.4
        rng = random.Random(seed)
        results = []

        def done(state, effects, result):
            results.append(result.status)

        def commit(key, already_written):
            checks = [fx.Check(key, 0)]
            writes = [fx.Write(key, {"n": 1})]
            if already_written:
                # Another writer has written the row, so expect a conflict.
                cluster.table.rows[key] = (1, {"op": "op-other"})
            cluster.call(
                "yumbo-1", table.commit, checks, writes, done, group="g"
            )

        for index in range(100):
            key = f"task/yumbo/0/a/{index}"
            at = rng.randint(0, 5_000)
            cluster.at(at, commit, key, index % 10 == 0)
        outage_start = rng.randint(0, 5_000)
        cluster.at(outage_start, setattr, cluster.table, "outage", True)
        outage_end = outage_start + rng.randint(100, 10_000)
        cluster.at(outage_end, setattr, cluster.table, "outage", False)
        cluster.run(60_000)
        assert sorted(results) == ["committed"] * 90 + ["conflict"] * 10
        written = [
            key for _, _, key, _ in cluster.table.writes if "task/" in key
        ]
        assert len(written) == len(set(written)) == 90


class TestOutage:
    def fail_operations(self, harness, count):
        """Fails operations until the node detects an outage."""
        sent = [harness.commit(f"k{index}")[0] for index in range(count)]
        for effect in sent:
            harness.answer(effect, "unavailable")
        assert table.in_outage(harness.state)

    def test_one_probe_at_a_time(self):
        """Guards against load on a table that does not answer."""
        harness = TableHarness()
        self.fail_operations(harness, 20)
        sent = 0
        for at in range(50, 30_000, 50):
            effects = harness.tick(at)
            assert len(effects) <= 1
            sent += len(effects)
            for effect in effects:
                harness.answer(effect, "unavailable", at=at)
        assert 3 <= sent <= 60

    def test_no_burst_after_an_outage(self):
        """Guards against all nodes re-sending all operations at once."""
        harness = TableHarness(nodes=20)
        self.fail_operations(harness, 40)
        probe = harness.tick_until_sent()
        start = harness.state.now
        harness.answer(probe, "committed")
        per_second = {}
        for at in range(start + 50, start + 20_000, 50):
            for effect in harness.tick(at):
                second = (at - start) // 1000
                per_second[second] = per_second.get(second, 0) + 1
                harness.answer(effect, "committed", at=at)
        assert len(harness.results) == 40
        assert max(per_second.values()) <= 25

    def test_urgent_operation_is_sent_first(self):
        """Guards against a lease renewal that waits behind other writes."""
        harness = TableHarness()
        self.fail_operations(harness, 10)
        harness.commit("lease", urgent=True)
        probe = harness.tick_until_sent()
        assert probe.writes[0].key == "lease"

    def test_at_most_50_in_flight(self):
        """Guards against an unbounded number of open operations."""
        harness = TableHarness()
        sent = [harness.commit(f"k{index}") for index in range(80)]
        assert sum(len(effects) for effects in sent) == 50
        assert len(harness.answer(sent[0][0], "committed")) == 1
