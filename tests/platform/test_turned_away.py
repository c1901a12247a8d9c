"""Processes of which the store turns one away while it serves the other.

Or whose open connections go silent for good, while new ones work.
"""

import asyncio
import json
import time

import platform_standin as standin
import pytest
import test_process

# The bound of the settings.
APPLY_S = 2.0
ROUTE = standin.CONFIGURATION["routes"][0]
ADDED = {**ROUTE, "name": "added", "prefix": "/added/"}
WITH_ADDED = {
    **standin.CONFIGURATION,
    "version": 9,
    "routes": [ROUTE, ADDED],
}
WITHOUT_ADDED = {**standin.CONFIGURATION, "version": 12}


class Pair:
    """Two processes; the first one leads, and each has a door of its own."""

    def __init__(self, tmp_path):
        self.store = standin.Store()
        self.store.put("op", "", "config", standin.CONFIGURATION)
        self.doors = []
        self.schedulers = []
        for name in ("n1", "n2"):
            folder = tmp_path / name
            folder.mkdir()
            scheduler = test_process.SchedulerProcess(folder)
            door = standin.Door(self.store)
            fields = standin.settings(
                door.address,
                scheduler.front,
                scheduler.ready,
                test_process.free_port_range(3),
            )
            scheduler.path.write_text(json.dumps({**fields, "node": name}))
            self.doors.append(door)
            self.schedulers.append(scheduler)

    async def start(self):
        for scheduler in self.schedulers:
            await scheduler.start()
            await test_process.wait_until(scheduler.is_ready)

            async def has_leader():
                return ("leadership", "s0", "beat") in self.store.rows

            await test_process.wait_until(has_leader)

    async def stop(self):
        for scheduler in self.schedulers:
            scheduler.http.close()
            if scheduler.process and scheduler.process.returncode is None:
                scheduler.process.kill()
                await scheduler.process.wait()


def run_pair(tmp_path, scenario):
    """Runs `await scenario(pair)`."""

    async def run():
        pair = Pair(tmp_path)
        try:
            await pair.start()
            await scenario(pair)
        finally:
            await pair.stop()

    asyncio.run(run())


def knows_queue(answer):
    """Returns whether an answer says that there is the queue.

    The node may not know its length while the store turns it away.
    """
    if answer.status != 503:
        return answer.status == 200
    reason = json.loads(answer.body).get("reason")
    return reason == "queue lengths are not known"


async def counts(scheduler, path, status, since, is_away=False):
    """Asks for the length of a queue until the answer has a status.

    A node that is turned away only has to know the queue. Returns the other
    statuses of requests sent after the bound.
    """
    late = set()
    while True:
        sent_at = time.monotonic()
        answer = await scheduler.request(scheduler.front, path=path)
        if is_away and status == 200 and knows_queue(answer):
            return late
        if answer.status == status:
            return late
        if sent_at > since + APPLY_S:
            late.add(answer.status)
        assert sent_at < since + test_process.TIMEOUT_S, late
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("fault", [503, "silent"])
class TestTurnedAwayNode:
    def test_it_follows_the_other_node(self, tmp_path, fault):
        """Guards against a 404 for a queue that was added, and a 200 for one
        that was removed, while the store turns the node away (CONFIG)."""

        async def scenario(pair):
            away = pair.schedulers[1]
            # Both nodes know each other by then.
            await asyncio.sleep(2.0)
            pair.doors[1].fault = fault
            for cfg, status in ((WITH_ADDED, 200), (WITHOUT_ADDED, 404)):
                await asyncio.sleep(APPLY_S)
                pair.store.put("op", "", "config", cfg)
                late = await counts(
                    away, "/added/", status, time.monotonic(), is_away=True
                )
                assert late <= {503}
            code, output = await away.stop()
            assert code == 0
            assert "defect" not in output

        run_pair(tmp_path, scenario)

    def test_alone_it_claims_nothing(self, tmp_path, fault):
        """Guards against a node that tells what it can't know, when neither the
        store nor another node tells it."""

        async def scenario(pair):
            leader, away = pair.schedulers
            await asyncio.sleep(1.0)
            pair.doors[1].fault = fault
            leader.process.kill()
            await leader.process.wait()
            changed_at = time.monotonic()
            pair.store.put("op", "", "config", WITH_ADDED)
            await asyncio.sleep(APPLY_S + 0.1)
            for path in ("/added/", "/unknown/", "/batch/"):
                answer = await away.request(away.front, path=path)
                assert answer.status == 503
                assert int(answer.headers["retry-after"]) > 0
            pair.doors[1].fault = 0
            await counts(away, "/added/", 200, changed_at)

        run_pair(tmp_path, scenario)


@pytest.mark.parametrize("change_s", [0.0, 1.5, 4.5])
class TestSeveredConnections:
    """The day `unanswered` in small."""

    async def follow_change(self, pair, change_s):
        """Changes the configuration, asks each node, and hands a job in."""
        await asyncio.sleep(change_s)
        pair.store.put("op", "", "config", WITH_ADDED)
        changed_at = time.monotonic()
        for scheduler in pair.schedulers:
            late = await counts(scheduler, "/added/", 200, changed_at)
            assert late <= {503}
        path = f"/batch/{test_process.JOB}"
        body = json.dumps({"spec": "text", "steps": [{"count": 3}]}).encode()
        first, second = pair.schedulers

        async def is_accepted():
            answer = await second.request(second.front, "POST", path, body)
            return answer.status == 200

        async def is_done():
            return await first.job_state() == "done"

        await test_process.wait_until(is_accepted)
        await test_process.wait_until(is_done)
        assert len(self.worker.started) == 3

    @pytest.mark.parametrize("share", ["one", "all"])
    def test_connections_to_the_store(self, tmp_path, share, change_s):
        """Guards against a node that waits for answers on connections that have
        gone silent, and decides by an outdated configuration meanwhile."""

        async def scenario(pair):
            self.worker = standin.Worker("w1")
            pair.store.put("servers", "", "w1", self.worker.entry())
            await asyncio.sleep(2.0)
            for door in pair.doors[:1] if share == "one" else pair.doors:
                door.sever()
            await self.follow_change(pair, change_s)

        run_pair(tmp_path, scenario)
