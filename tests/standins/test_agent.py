"""Tests of the worker agent in virtual time."""

import asyncio

from tests.standins import support
from tests.standins.support import command
from tests.standins.support import start
from tests.standins.support import states


class TestEpochAndLease:
    @support.with_agent
    async def test_lower_epoch_is_refused(self, harness, agent):
        """Guards against a fenced owner that still starts tasks."""
        await harness.sync(agent, epoch=4)
        old = await harness.sync(agent, start("t"), epoch=3)
        assert (old["status"], old["epoch"]) == ("stale-epoch", 4)
        assert old["tasks"] == []
        assert agent.runs == {}
        await harness.sync(agent, epoch=4, node="node-2")
        assert "used by both" in agent.violations[0]

    @support.with_agent
    async def test_start_requires_an_unexpired_lease(self, harness, agent):
        """Guards against a delayed start that the owner has given up."""
        unknown = await harness.sync(agent, start("a"), lease=None)
        late = await harness.sync(agent, start("b"), lease=-1)
        assert states(unknown) == {("a", 1): "refused"}
        assert states(late)["b", 1] == "refused"
        assert late["tasks"][1]["reason"] == "lease has expired"

    @support.with_agent
    async def test_expiry_stops_every_task_exactly_at_the_deadline(
        self, harness, agent
    ):
        """Guards against work after the owner regards the lease as expired."""
        await harness.sync(agent, start("a"), start("b"), lease=450)
        harness.clock.now += 900
        response = await harness.sync(agent, lease=30_000)
        assert set(states(response).values()) == {"stopped"}
        assert response["tasks"][0]["reason"] == "lease expired"
        assert response["tasks"][0]["checkpoint"] == "checkpoint/a/1/4"
        assert sorted(harness.ledger.record("a").units) == [0, 1, 2, 3]

    @support.with_agent
    async def test_delayed_message_does_not_shorten_a_lease(
        self, harness, agent
    ):
        """Guards against stops that are caused by reordered messages."""
        await harness.sync(agent, start("a", run_time_ms=50_000))
        await harness.sync(agent, lease=100)
        harness.clock.now += 1_000
        assert states(await harness.sync(agent)) == {("a", 1): "running"}
        await harness.sync(agent, lease=40_000)
        assert agent.violations == [
            "lease of 40000 ms exceeds the limit of 31000 ms"
        ]

    @support.with_agent
    async def test_paused_past_the_lease_does_no_work_on_resuming(
        self, harness, agent
    ):
        """Guards against a resumed process that skips the lease check."""
        first, second = harness.agent("w-1"), harness.agent("w-2")
        await harness.sync(first, start("a"))
        harness.clock.now += 250
        first.pause()
        harness.clock.now += 34_000
        await harness.sync(second, start("a", attempt=2))
        first.resume()
        first.advance()
        assert harness.ledger.overlaps == []
        assert harness.ledger.record("a").units == {0: [1], 1: [1]}

    @support.with_agent
    async def test_paused_within_the_lease_continues_without_the_pause(
        self, harness, agent
    ):
        """Guards against simulated work during a pause."""
        await harness.sync(agent, start("a"))
        agent.pause()
        harness.clock.now += 900
        agent.resume()
        harness.clock.now += 200
        agent.advance()
        assert sorted(harness.ledger.record("a").units) == [0, 1]
        assert harness.ledger.record("a").open_interval()


class TestStart:
    @support.with_agent
    async def test_repeated_start_runs_once(self, harness, agent):
        """Guards against a second execution after a repeated message."""
        await harness.sync(agent, start("a"))
        again = await harness.sync(agent, start("a"))
        assert states(again) == {("a", 1): "running"}
        harness.clock.now += 1_000
        done = await harness.sync(agent, start("a"))
        assert states(done) == {("a", 1): "finished"}
        await harness.sync(agent, command("ack", "a"))
        late = await harness.sync(agent, start("a"))
        assert states(late) == {("a", 1): "refused"}
        assert harness.ledger.count(["a"]).finished_once == 1

    @support.with_agent
    async def test_second_concurrent_attempt_is_a_violation(
        self, harness, agent
    ):
        """Guards against an owner that starts a task twice."""
        agent, other = harness.agent(), harness.agent("w-2")
        await harness.sync(agent, start("a"))
        response = await harness.sync(agent, start("a", attempt=2))
        assert states(response) == {
            ("a", 1): "running",
            ("a", 2): "refused",
        }
        assert agent.violations == ["start of a/2 while attempt 1 runs"]
        await harness.sync(other, start("a", attempt=2))
        assert harness.ledger.overlaps[0][1:] == (2, "w-2", 1, "w-1")
        assert harness.ledger.count(["a"]).duplicated == 1

    @support.with_agent
    async def test_start_that_arrives_after_its_stop_is_refused(
        self, harness, agent
    ):
        """Guards against reordered messages that restart a stopped task."""
        response = await harness.sync(agent, command("stop", "a"))
        assert states(response) == {("a", 1): "stopped"}
        await harness.sync(agent, command("ack", "a"))
        response = await harness.sync(agent, start("a"))
        assert states(response) == {("a", 1): "refused"}

    @support.with_agent
    async def test_overcommitment_is_recorded(self, harness, agent):
        """Guards against overcommitment that only the owner could detect."""
        await harness.sync(agent, start("a", cpus=10), start("b", cpus=6))
        assert agent.violations == []
        await harness.sync(agent, start("c", cpus=0.5))
        assert agent.violations == ["committed 16.5 of 16 cpus"]
        assert agent.peak_committed["cpus"] == 16.5

    @support.with_agent
    async def test_leaving_worker_refuses_starts(self, harness, agent):
        """Guards against new work on a worker that will be terminated."""
        agent.leaving = True
        response = await harness.sync(agent, start("a"))
        assert response["leaving"]
        assert states(response) == {("a", 1): "refused"}


class TestProgress:
    @support.with_agent
    async def test_stop_checkpoints_and_the_next_attempt_resumes(
        self, harness, agent
    ):
        """Guards against evicted work that is lost or repeated."""
        first, second = harness.agent("w-1"), harness.agent("w-2")
        await harness.sync(first, start("a"))
        harness.clock.now += 350
        response = await harness.sync(first, command("stop", "a"))
        (report,) = response["tasks"]
        assert (report["state"], report["progress"]) == ("stopped", 0.3)
        resumed = start("a", attempt=2, checkpoint=report["checkpoint"])
        await harness.sync(second, resumed)
        await asyncio.sleep(0.01)
        harness.clock.now += 700
        response = await harness.sync(second)
        assert states(response) == {("a", 2): "finished"}
        assert harness.ledger.record("a").redone() == 0
        counts = harness.ledger.count(["a"])
        assert (counts.finished_once, counts.evicted) == (1, 1)

    @support.with_agent
    async def test_killed_worker_loses_output_that_was_not_acknowledged(
        self, harness, agent
    ):
        """Guards against a lost output that is counted as a duplicate."""
        first, second = harness.agent("w-1"), harness.agent("w-2")
        await harness.sync(first, start("a"))
        harness.clock.now += 1_000
        first.advance()
        first.kill()
        assert harness.ledger.count(["a"]).lost == 1
        await harness.sync(second, start("a", attempt=2))
        harness.clock.now += 1_000
        await harness.sync(second)
        counts = harness.ledger.count(["a"])
        assert (counts.finished_once, counts.redone_units) == (1, 10)

    @support.with_agent
    async def test_two_accepted_finishes_are_a_duplicate(self, harness, agent):
        """Guards against duplicate outputs that are not detected."""
        agents = [harness.agent("w-1"), harness.agent("w-2")]
        for attempt, agent in enumerate(agents, 1):
            await harness.sync(agent, start("a", attempt=attempt))
            harness.clock.now += 1_000
            await harness.sync(agent)
        assert not harness.ledger.record("a").acknowledged()
        await harness.sync(agents[0], command("ack", "a", 1))
        assert harness.ledger.record("a").acknowledged()
        ack = command("ack", "a", 2, accepted=False)
        await harness.sync(agents[1], ack)
        assert harness.ledger.count(["a"]).duplicated == 0
        harness.ledger.accept("a", 2)
        assert harness.ledger.count(["a"]).duplicated == 1

    @support.with_agent
    async def test_payload_fails_throttles_and_runs_without_end(
        self, harness, agent
    ):
        """Guards against payload fields that have no effect."""
        await harness.sync(
            agent,
            start("fails", payload={"fail_after_units": 2}),
            start("slow", payload={"noise": 2.0}),
            start("watch", kind="watcher"),
            command("throttle", "slow", share=0.5),
        )
        assert agent.interference() == 1.0
        harness.clock.now += 1_000
        response = await harness.sync(agent)
        assert states(response) == {
            ("fails", 1): "failed",
            ("slow", 1): "running",
            ("watch", 1): "running",
        }
        assert len(harness.ledger.record("slow").units) == 5

    @support.with_agent
    async def test_object_store_outage(self, harness, agent):
        """Guards against reports of a checkpoint that was not stored."""
        await harness.sync(agent, start("a"))
        harness.clock.now += 300
        harness.store.outage = True
        response = await harness.sync(agent, command("checkpoint", "a"))
        assert response["tasks"][0]["checkpoint"] is None
        harness.store.outage = False
        response = await harness.sync(agent, command("checkpoint", "a"))
        assert response["tasks"][0]["checkpoint"] in harness.store.objects
        missing = start("b", checkpoint="checkpoint/none")
        response = await harness.sync(agent, missing)
        await asyncio.sleep(0.01)
        assert states(await harness.sync(agent))["b", 1] == "failed"


class TestReports:
    @support.with_agent
    async def test_reports_changes_after_the_known_revision_until_the_ack(
        self, harness, agent
    ):
        """Guards against final reports that are dropped before the ack."""
        first = await harness.sync(agent, start("a"), start("b"))
        harness.clock.now += 1_000
        known = first["revision"]
        change = await harness.sync(agent, known_revision=known)
        assert len(change["tasks"]) == 2
        known = change["revision"]
        same = await harness.sync(agent, known_revision=known)
        assert same["tasks"] == []
        assert len((await harness.sync(agent))["tasks"]) == 2
        await harness.sync(agent, command("ack", "a"))
        assert states(await harness.sync(agent)) == {("b", 1): "finished"}
        restarted = harness.agent()
        await harness.sync(restarted, start("c"))
        late = await harness.sync(restarted, known_revision=1_000)
        assert states(late) == {("c", 1): "running"}

    @support.with_agent
    async def test_usage_is_delayed(self, harness, agent):
        """Guards against measurements that are more recent than real ones."""
        payload = {"use_cpus": 3.0, "units": 1000}
        await harness.sync(
            agent, start("a", run_time_ms=60_000, payload=payload)
        )
        agent.record_latency("certvault", 7.0)
        harness.clock.now += 1_000
        begun = harness.clock.now - 1_000
        assert (await harness.sync(agent))["usage"] is None
        harness.clock.now += 2_000
        usage = (await harness.sync(agent))["usage"]
        assert (usage["from"], usage["to"]) == (begun, begun + 1_000)
        assert usage["tasks"]["a"] == {"cpus": 3.0, "memory_mb": 100}
        assert usage["latency_ms"] == {"certvault": 7.0}
