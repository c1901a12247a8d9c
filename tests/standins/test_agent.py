"""Tests of the worker's control side, in virtual time."""

import asyncio

from tests.standins import support
from tests.standins.support import command
from tests.standins.support import start
from tests.standins.support import states


class TestEpochAndLease:
    @support.with_agent
    async def test_lower_epoch_is_refused(self, bench, agent):
        """Guards against a fenced owner that still starts tasks."""
        await bench.sync(agent, epoch=4)
        old = await bench.sync(agent, start("t"), epoch=3)
        assert (old["status"], old["epoch"]) == ("stale-epoch", 4)
        assert old["tasks"] == []
        assert agent.runs == {}
        await bench.sync(agent, epoch=4, node="node-2")
        assert "used by both" in agent.violations[0]

    @support.with_agent
    async def test_start_needs_a_lease_that_has_not_passed(self, bench, agent):
        """Guards against a delayed start after the owner gave it up."""
        unknown = await bench.sync(agent, start("a"), lease=None)
        late = await bench.sync(agent, start("b"), lease=-1)
        assert states(unknown) == {("a", 1): "refused"}
        assert states(late)["b", 1] == "refused"
        assert late["tasks"][1]["reason"] == "lease has expired"

    @support.with_agent
    async def test_expiry_stops_every_task_exactly_at_the_deadline(
        self, bench, agent
    ):
        """Guards against work after the owner's proof of expiry."""
        await bench.sync(agent, start("a"), start("b"), lease=450)
        bench.clock.now += 900
        response = await bench.sync(agent, lease=30_000)
        assert set(states(response).values()) == {"stopped"}
        assert response["tasks"][0]["reason"] == "lease expired"
        assert response["tasks"][0]["checkpoint"] == "checkpoint/a/1/4"
        assert sorted(bench.ledger.record("a").units) == [0, 1, 2, 3]

    @support.with_agent
    async def test_delayed_message_does_not_shorten_a_lease(self, bench, agent):
        """Guards against a stop caused by messages out of order."""
        await bench.sync(agent, start("a", run_time_ms=50_000))
        await bench.sync(agent, lease=100)
        bench.clock.now += 1_000
        assert states(await bench.sync(agent)) == {("a", 1): "running"}
        await bench.sync(agent, lease=40_000)
        assert agent.violations == ["lease of 40000 ms granted"]

    @support.with_agent
    async def test_paused_past_the_lease_does_no_work_on_resuming(
        self, bench, agent
    ):
        """Guards against a resumed process that runs before it checks."""
        first, second = bench.agent("w-1"), bench.agent("w-2")
        await bench.sync(first, start("a"))
        bench.clock.now += 250
        first.pause()
        bench.clock.now += 34_000
        await bench.sync(second, start("a", attempt=2))
        first.resume()
        first.advance()
        assert bench.ledger.overlaps == []
        assert bench.ledger.record("a").units == {0: [1], 1: [1]}

    @support.with_agent
    async def test_paused_within_the_lease_goes_on_without_the_pause(
        self, bench, agent
    ):
        """Guards against simulated work during a pause."""
        await bench.sync(agent, start("a"))
        agent.pause()
        bench.clock.now += 900
        agent.resume()
        bench.clock.now += 200
        agent.advance()
        assert sorted(bench.ledger.record("a").units) == [0, 1]
        assert bench.ledger.record("a").open_interval()


class TestStart:
    @support.with_agent
    async def test_repeated_start_runs_once(self, bench, agent):
        """Guards against a task that a repeated message starts twice."""
        await bench.sync(agent, start("a"))
        again = await bench.sync(agent, start("a"))
        assert states(again) == {("a", 1): "running"}
        bench.clock.now += 1_000
        done = await bench.sync(agent, start("a"))
        assert states(done) == {("a", 1): "finished"}
        await bench.sync(agent, command("ack", "a"))
        late = await bench.sync(agent, start("a"))
        assert states(late) == {("a", 1): "refused"}
        assert bench.ledger.count(["a"]).finished_once == 1

    @support.with_agent
    async def test_second_attempt_beside_a_running_one_is_a_violation(
        self, bench, agent
    ):
        """Guards against an owner that starts a task twice."""
        agent, other = bench.agent(), bench.agent("w-2")
        await bench.sync(agent, start("a"))
        response = await bench.sync(agent, start("a", attempt=2))
        assert states(response) == {
            ("a", 1): "running",
            ("a", 2): "refused",
        }
        assert agent.violations == ["start of a/2 while 1 runs"]
        await bench.sync(other, start("a", attempt=2))
        assert bench.ledger.overlaps[0][1:] == (2, "w-2", 1, "w-1")
        assert bench.ledger.count(["a"]).duplicated == 1

    @support.with_agent
    async def test_start_that_arrives_after_its_stop_is_refused(
        self, bench, agent
    ):
        """Guards against messages out of order that revive a task."""
        response = await bench.sync(agent, command("stop", "a"))
        assert states(response) == {("a", 1): "stopped"}
        await bench.sync(agent, command("ack", "a"))
        response = await bench.sync(agent, start("a"))
        assert states(response) == {("a", 1): "refused"}

    @support.with_agent
    async def test_overcommitment_is_recorded(self, bench, agent):
        """Guards against capacity that only the owner accounts for."""
        await bench.sync(agent, start("a", cpus=10), start("b", cpus=6))
        assert agent.violations == []
        await bench.sync(agent, start("c", cpus=0.5))
        assert agent.violations == ["committed 16.5 of 16 cpus"]
        assert agent.peak_committed["cpus"] == 16.5

    @support.with_agent
    async def test_leaving_worker_refuses_starts(self, bench, agent):
        """Guards against new work on a worker that is about to end."""
        agent.leaving = True
        response = await bench.sync(agent, start("a"))
        assert response["leaving"]
        assert states(response) == {("a", 1): "refused"}


class TestProgress:
    @support.with_agent
    async def test_stop_checkpoints_and_the_next_attempt_resumes(
        self, bench, agent
    ):
        """Guards against evicted work that is lost or done twice."""
        first, second = bench.agent("w-1"), bench.agent("w-2")
        await bench.sync(first, start("a"))
        bench.clock.now += 350
        response = await bench.sync(first, command("stop", "a"))
        (report,) = response["tasks"]
        assert (report["state"], report["progress"]) == ("stopped", 0.3)
        resumed = start("a", attempt=2, checkpoint=report["checkpoint"])
        await bench.sync(second, resumed)
        await asyncio.sleep(0.01)
        bench.clock.now += 700
        response = await bench.sync(second)
        assert states(response) == {("a", 2): "finished"}
        assert bench.ledger.record("a").redone() == 0
        counts = bench.ledger.count(["a"])
        assert (counts.finished_once, counts.evicted) == (1, 1)

    @support.with_agent
    async def test_killed_worker_loses_output_that_was_not_acknowledged(
        self, bench, agent
    ):
        """Guards against counting a lost output as a duplicate."""
        first, second = bench.agent("w-1"), bench.agent("w-2")
        await bench.sync(first, start("a"))
        bench.clock.now += 1_000
        first.advance()
        first.kill()
        assert bench.ledger.count(["a"]).lost == 1
        await bench.sync(second, start("a", attempt=2))
        bench.clock.now += 1_000
        await bench.sync(second)
        counts = bench.ledger.count(["a"])
        assert (counts.finished_once, counts.redone_units) == (1, 10)

    @support.with_agent
    async def test_two_accepted_finishes_are_a_duplicate(self, bench, agent):
        """Guards against two sealed copies that go unnoticed."""
        agents = [bench.agent("w-1"), bench.agent("w-2")]
        for attempt, agent in enumerate(agents, 1):
            await bench.sync(agent, start("a", attempt=attempt))
            bench.clock.now += 1_000
            await bench.sync(agent)
        assert not bench.ledger.record("a").acknowledged()
        await bench.sync(agents[0], command("ack", "a", 1))
        assert bench.ledger.record("a").acknowledged()
        ack = command("ack", "a", 2, accepted=False)
        await bench.sync(agents[1], ack)
        assert bench.ledger.count(["a"]).duplicated == 0
        bench.ledger.accept("a", 2)
        assert bench.ledger.count(["a"]).duplicated == 1

    @support.with_agent
    async def test_payload_fails_throttles_and_runs_without_end(
        self, bench, agent
    ):
        """Guards against simulated tasks that ignore their payload."""
        await bench.sync(
            agent,
            start("fails", payload={"fail_after_units": 2}),
            start("slow", payload={"noise": 2.0}),
            start("watch", kind="watcher"),
            command("throttle", "slow", share=0.5),
        )
        assert agent.interference() == 1.0
        bench.clock.now += 1_000
        response = await bench.sync(agent)
        assert states(response) == {
            ("fails", 1): "failed",
            ("slow", 1): "running",
            ("watch", 1): "running",
        }
        assert len(bench.ledger.record("slow").units) == 5

    @support.with_agent
    async def test_object_store_outage(self, bench, agent):
        """Guards against a checkpoint that is reported but not stored."""
        await bench.sync(agent, start("a"))
        bench.clock.now += 300
        bench.store.outage = True
        response = await bench.sync(agent, command("checkpoint", "a"))
        assert response["tasks"][0]["checkpoint"] is None
        bench.store.outage = False
        response = await bench.sync(agent, command("checkpoint", "a"))
        assert response["tasks"][0]["checkpoint"] in bench.store.objects
        missing = start("b", checkpoint="checkpoint/none")
        response = await bench.sync(agent, missing)
        await asyncio.sleep(0.01)
        assert states(await bench.sync(agent))["b", 1] == "failed"


class TestReports:
    @support.with_agent
    async def test_only_changes_after_the_known_revision_until_the_ack(
        self, bench, agent
    ):
        """Guards against terminal results that are dropped too early."""
        first = await bench.sync(agent, start("a"), start("b"))
        bench.clock.now += 1_000
        known = first["revision"]
        change = await bench.sync(agent, known_revision=known)
        assert len(change["tasks"]) == 2
        known = change["revision"]
        same = await bench.sync(agent, known_revision=known)
        assert same["tasks"] == []
        assert len((await bench.sync(agent))["tasks"]) == 2
        await bench.sync(agent, command("ack", "a"))
        assert states(await bench.sync(agent)) == {("b", 1): "finished"}
        restarted = bench.agent()
        await bench.sync(restarted, start("c"))
        late = await bench.sync(restarted, known_revision=1_000)
        assert states(late) == {("c", 1): "running"}

    @support.with_agent
    async def test_usage_arrives_late(self, bench, agent):
        """Guards against measurements fresher than the real ones."""
        payload = {"use_cpus": 3.0, "units": 1000}
        await bench.sync(agent, start("a", run_time_ms=60_000, payload=payload))
        agent.record_latency("certvault", 7.0)
        bench.clock.now += 1_000
        begun = bench.clock.now - 1_000
        assert (await bench.sync(agent))["usage"] is None
        bench.clock.now += 2_000
        usage = (await bench.sync(agent))["usage"]
        assert (usage["from"], usage["to"]) == (begun, begun + 1_000)
        assert usage["tasks"]["a"] == {"cpus": 3.0, "memory_mb": 100}
        assert usage["latency_ms"] == {"certvault": 7.0}
