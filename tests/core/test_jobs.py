"""Tests of job specifications, operator changes and transitions."""

import batch_fakes
import pytest

from skylarklug import events
from skylarklug import exceptions
from skylarklug import jobs
from skylarklug import submission
from skylarklug import tasks


def call(sim, fn, *args):
    """Calls an operator function on the first node; returns its answers."""
    node, answers, effects = sim.nodes[0], [], []
    node.state.now = sim.now

    def done(state, effects, status, body):
        answers.append((status, body))

    fn(node.state, effects, "op", "key", *args, done)
    node.perform(effects)
    sim.run(500)
    return answers


class TestSpecification:
    def test_all_errors_are_reported_at_once(self):
        """Guards against one round trip per mistake in a job file."""
        spec = {**batch_fakes.SPEC, "tasks": 0, "priority": 11, "colour": 1}
        del spec["run_time_ms"]
        checked, errors = submission.validate("a key", spec)
        assert checked is None
        fields = {error.partition(":")[0] for error in errors}
        assert fields == {"key", "tasks", "priority", "colour", "run_time_ms"}

    def test_defaults_and_class(self):
        """Guards against two spellings of one spec being a conflict."""
        checked, errors = submission.validate("k", batch_fakes.SPEC)
        assert not errors
        assert checked["class"] == "a/batch"
        assert checked["priority"] == 5
        again, _ = submission.validate("k", {**checked, "job": "a.k"})
        assert submission.digest(again) == submission.digest(checked)

    def test_service_is_named(self):
        """Guards against a service job that routing cannot find."""
        spec = {**batch_fakes.SPEC, "kind": "service"}
        assert submission.validate("k", spec)[1][0].startswith("service:")


class TestSubmit:
    def test_repeat_returns_the_same_job(self, sim):
        """Guards against a lost answer that duplicates the work."""
        world = sim()
        node = world.nodes[0]
        first, second = world.submit(node, "k"), world.submit(node, "k")
        other = world.submit(node, "k", tasks=2)
        world.run(300)
        assert [first[0][0], second[0][0]] == ["done", "done"]
        assert sorted((first[0][1]["new"], second[0][1]["new"])) == [
            False,
            True,
        ]
        assert other[0][0] == "conflict"

    def test_bad_input_writes_nothing(self, sim):
        """Guards against rows written before the whole spec is checked."""
        world = sim()
        answers = world.submit(world.nodes[0], "k", tasks=-1)
        assert answers[0][0] == "bad-input"
        assert not world.rows


class TestCancel:
    def test_pending_need_no_write_and_running_stop(self, sim):
        """Guards against a burst of writes for one cancellation."""
        world = sim()
        world.submit(world.nodes[0], "k", tasks=40, run_time_ms=600_000)
        world.run(10_000)
        before = len(world.states())
        assert call(world, jobs.cancel, "a.k", 0)[0][0] == "done"
        world.run(15_000)
        states = world.states()
        assert len(states) == before == 24
        assert set(states.values()) == {"cancelled"}
        assert not any(w.running() for w in world.workers.values())

    def test_other_jobs_start_during_a_burst(self, sim):
        """Guards against cancellations that hold up starts."""
        world = sim()
        for i in range(20):
            world.submit(world.nodes[0], f"k{i}", tasks=2, run_time_ms=600_000)
        world.run(5_000)
        for i in range(20):
            call(world, jobs.cancel, f"a.k{i}", 0)
        world.submit(world.nodes[0], "new", tasks=24)
        world.run(8_000)
        states = world.states()
        assert sum(f"a.new/{i}" in states for i in range(24)) == 24

    def test_version_and_absence(self, sim):
        """Guards against cancelling a version the operator has not seen."""
        world = sim()
        world.submit(world.nodes[0], "k")
        world.run(500)
        assert call(world, jobs.cancel, "a.k", 999)[0][0] == "conflict"
        assert call(world, jobs.cancel, "a.none", 0)[0][0] == "not-met"


class TestMove:
    def test_splits_the_range(self, sim):
        """Guards against a task index in the rows of two partitions."""
        world = sim(partitions=2)
        body = {}
        while "yumbo/0" not in body.get("partitions", ()):
            answers = world.submit(
                world.nodes[0], f"k{len(world.rows)}", tasks=30
            )
            world.run(300)
            body = answers[0][1]
        job = body["job"]
        assert call(world, jobs.move, job, "yumbo/1", 0)[0][0] == "done"
        here = world.row(f"job/yumbo/0/{job}").value
        there = world.row(f"job/yumbo/1/{job}").value
        assert (here["first"], here["end"]) == (0, there["first"])
        assert there["end"] == 30
        started = [t for t in world.states() if t.startswith(job)]
        assert len(started) == here["end"]

    def test_without_owner_only_after_the_wait(self, sim):
        """Guards against moving tasks that an isolated owner still renews."""
        world = sim(partitions=2, ready=False, detach_limit_ms=60_000)
        world.submit(world.nodes[0], "k", data_centre="yumbo")
        world.run(500)
        source = next(k for k in world.rows if k.startswith("job/"))[4:11]
        target = {"yumbo/0": "yumbo/1", "yumbo/1": "yumbo/0"}[source]
        for _ in range(2):
            answers = call(world, jobs.move, "a.k", target, 0)
            assert answers[0][0] == "not-met"
            world.run(30_000)
        world.run(40_000)
        assert call(world, jobs.move, "a.k", target, 0)[0][0] == "done"
        assert world.row(f"job/{source}/a.k").value is None
        assert world.row(f"job/{target}/a.k").value["moved"]


class TestTransitions:
    def test_illegal_transition_is_refused(self, sim):
        """Guards against a task that leaves a final state."""
        world = sim()
        world.submit(world.nodes[0], "k")
        world.run(30_000)
        state = world.nodes[0].state
        task = jobs.find_task(state, "yumbo/0", "a.k/0")
        assert task.state == tasks.FINISHED
        with pytest.raises(exceptions.SkylarklugError, match="illegal"):
            tasks.transition(state, [], task, tasks.RUNNING, "test")

    def test_reasons_are_recorded(self, sim):
        """Guards against `why task` without an explanation."""
        world = sim()
        world.submit(world.nodes[0], "k")
        world.run(30_000)
        state = world.nodes[0].state
        why = jobs.explain(state, "task", "a.k/0")
        path = [(entry["was"], entry["state"]) for entry in why["history"]]
        assert path == [
            ("pending", "starting"),
            ("starting", "running"),
            ("running", "finished"),
        ]
        assert jobs.explain(state, "job", "a.none") is None

    def test_retries_end_in_failed(self, sim):
        """Guards against a failing task that restarts for ever."""
        world = sim(fail=1.0)
        world.submit(world.nodes[0], "k", retries=2)
        world.run(120_000)
        assert world.states() == {"a.k/0": "failed"}
        assert world.row("task/yumbo/0/a.k/0").value["attempt"] == 3


class TestLists:
    def test_rows_cover_pending_tasks(self, sim):
        """Guards against tasks that no list shows."""
        world = sim()
        world.submit(world.nodes[0], "k", tasks=40, run_time_ms=600_000)
        world.run(10_000)
        state = world.nodes[0].state
        [job] = jobs.list_jobs(state)
        assert (job["running"], job["pending"]) == (24, 16)
        rows = jobs.list_tasks(state)
        assert len(rows) == 40
        assert sum(row["state"] == "pending" for row in rows) == 16

    def test_hint_and_poll_find_new_rows(self, sim):
        """Guards against a job that its owner never reads."""
        world = sim(nodes=2)
        world.submit(world.nodes[1], "k")
        world.run(2_500)
        assert "a.k/0" in world.states()
        hint = {"kind": "job-hint", "partition": "yumbo/0"}
        world.submit(world.nodes[1], "k2")
        world.run(100)
        world.nodes[0].feed(events.PeerMessage(world.now, "n1", hint))
        world.run(200)
        assert "a.k2/0" in world.states()
