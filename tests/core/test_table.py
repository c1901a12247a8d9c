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


class Bench:
    """One node whose table effects are answered by hand."""

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

    def retry(self, until=60_000):
        """Ticks until something is sent again."""
        for at in range(self.state.now + 50, until, 50):
            sent = self.tick(at)
            if sent:
                return sent[0]
        raise AssertionError("nothing was sent again")


class TestLostAnswers:
    def test_own_write_is_recognised(self):
        """Guards against reporting a conflict with one's own lost write."""
        bench = Bench()
        (first,) = bench.commit("a")
        bench.answer(first, "unavailable")
        again = bench.retry()
        assert again.op_id == first.op_id
        assert again.writes == first.writes
        row = events.Row("a", 7, {"n": 1, "op": first.op_id})
        bench.answer(again, "conflict", row)
        assert bench.results == [table.Result("committed", 7, ())]

    def test_overwritten_write_is_a_conflict(self):
        """Guards against taking another writer's row for one's own."""
        bench = Bench()
        (first,) = bench.commit("a")
        bench.answer(first, "unavailable")
        row = events.Row("a", 8, {"n": 2, "op": "op-other"})
        bench.answer(bench.retry(), "conflict", row)
        assert bench.results == [table.Result("conflict", 9, (row,))]

    def test_values_carry_the_operation_id(self):
        """Guards against writes that their own writer cannot recognise."""
        bench = Bench()
        effects = []
        writes = [fx.Write("a", {"n": 1}), fx.Write("b", None)]
        table.commit(
            bench.state, effects, [fx.Check("a", 0)], writes, bench.done
        )
        first, second = effects[0].writes
        assert first.value == {"n": 1, "op": effects[0].op_id}
        assert second.value is None


class TestDeadline:
    @pytest.mark.parametrize("group", ["", "yumbo/0"])
    def test_unavailable_comes_once(self, group):
        """Guards against a caller that waits for ever, or is called twice."""
        bench = Bench()
        sent = bench.commit("a", deadline_ms=500, group=group)
        sent = sent or bench.tick(50)
        bench.tick(500)
        bench.tick(600)
        assert [result.status for result in bench.results] == ["unavailable"]
        bench.answer(sent[0], "committed")
        assert len(bench.results) == 1
        assert bench.state.domains["table"].in_flight == 0

    def test_expired_operation_is_not_sent(self):
        """Guards against writes whose caller has already given up."""
        bench = Bench()
        bench.state.domains["table"].outage = True
        bench.state.domains["table"].probe_at = 10_000
        bench.commit("a", deadline_ms=500)
        bench.tick(500)
        assert bench.tick(10_000) == []


class TestGroupCommit:
    def test_merges_until_the_next_tick(self):
        """Guards against one transaction per row."""
        bench = Bench()
        for key in "abc":
            assert bench.commit(key, group="yumbo/0") == []
        (sent,) = bench.tick(50)
        assert [write.key for write in sent.writes] == ["a", "b", "c"]
        bench.answer(sent, "committed", version=5)
        assert bench.results == [table.Result("committed", 5, ())] * 3

    def test_full_group_is_sent_at_once(self):
        """Guards against groups that grow without bound between ticks."""
        bench = Bench()
        for index in range(table.GROUP_ROWS - 1):
            assert bench.commit(f"k{index}", group="g") == []
        (sent,) = bench.commit("last", group="g")
        assert len(sent.writes) == table.GROUP_ROWS

    def test_conflict_splits_the_group(self):
        """Guards against one stale row that fails the rows beside it."""
        bench = Bench()
        for key in "abc":
            bench.commit(key, group="g")
        (sent,) = bench.tick(50)
        row = events.Row("b", 4, {"op": "op-other"})
        (again,) = bench.answer(sent, "conflict", row)
        assert [write.key for write in again.writes] == ["a", "c"]
        assert again.op_id != sent.op_id
        assert [result.status for result in bench.results] == ["conflict"]
        bench.answer(again, "committed")
        assert len(bench.results) == 3

    def test_rows_of_one_key_stay_apart_and_in_order(self):
        """Guards against a merged transaction that writes a row twice."""
        bench = Bench()
        bench.commit("a", group="g")
        bench.commit("a", version=9, group="g")
        (first,) = bench.tick(50)
        assert len(first.writes) == 1
        assert bench.tick(100) == []
        bench.answer(first, "committed")
        (second,) = bench.tick(150)
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

        def commit(key, taken):
            checks = [fx.Check(key, 0)]
            writes = [fx.Write(key, {"n": 1})]
            if taken:
                # Another writer is first, so this row must be a conflict.
                cluster.table.rows[key] = (1, {"op": "op-other"})
            cluster.call(
                "yumbo-1", table.commit, checks, writes, done, group="g"
            )

        for index in range(100):
            key = f"task/yumbo/0/a/{index}"
            at = rng.randint(0, 5_000)
            cluster.at(at, commit, key, index % 10 == 0)
        begin = rng.randint(0, 5_000)
        cluster.at(begin, setattr, cluster.table, "outage", True)
        end = begin + rng.randint(100, 10_000)
        cluster.at(end, setattr, cluster.table, "outage", False)
        cluster.run(60_000)
        assert sorted(results) == ["committed"] * 90 + ["conflict"] * 10
        written = [
            key for _, _, key, _ in cluster.table.writes if "task/" in key
        ]
        assert len(written) == len(set(written)) == 90


class TestOutage:
    def fail(self, bench, count):
        """Fails operations until the node takes it for an outage."""
        sent = [bench.commit(f"k{index}")[0] for index in range(count)]
        for effect in sent:
            bench.answer(effect, "unavailable")
        assert table.in_outage(bench.state)

    def test_one_probe_at_a_time(self):
        """Guards against load on a table that is already down."""
        bench = Bench()
        self.fail(bench, 20)
        sent = 0
        for at in range(50, 30_000, 50):
            effects = bench.tick(at)
            assert len(effects) <= 1
            sent += len(effects)
            for effect in effects:
                bench.answer(effect, "unavailable", at=at)
        assert 3 <= sent <= 60

    def test_no_burst_when_it_ends(self):
        """Guards against all nodes re-sending everything at once."""
        bench = Bench(nodes=20)
        self.fail(bench, 40)
        probe = bench.retry()
        start = bench.state.now
        bench.answer(probe, "committed")
        per_second = {}
        for at in range(start + 50, start + 20_000, 50):
            for effect in bench.tick(at):
                second = (at - start) // 1000
                per_second[second] = per_second.get(second, 0) + 1
                bench.answer(effect, "committed", at=at)
        assert len(bench.results) == 40
        assert max(per_second.values()) <= 25

    def test_urgent_goes_first(self):
        """Guards against a lease renewal that waits behind held writes."""
        bench = Bench()
        self.fail(bench, 10)
        bench.commit("lease", urgent=True)
        probe = bench.retry()
        assert probe.writes[0].key == "lease"

    def test_at_most_50_in_flight(self):
        """Guards against an unbounded number of open operations."""
        bench = Bench()
        sent = [bench.commit(f"k{index}") for index in range(80)]
        assert sum(len(effects) for effects in sent) == 50
        assert len(bench.answer(sent[0][0], "committed")) == 1
