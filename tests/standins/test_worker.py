"""Tests of the simulated worker over real sockets."""

import asyncio
import json

import cbor2
from tests.standins import support

from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import objects
from skylarklug_standins import worker as worker_lib


def with_worker(slots=8, connections=64):
    """Runs an async test method with a started worker."""

    async def scenario(self, test):
        store = objects.ObjectStore()
        await store.start()
        worker = worker_lib.Worker(
            "w-1",
            "yumbo",
            "yumbo-r1",
            support.CAPACITY,
            {"certvault": 1.0},
            slots,
            connections,
            worker_lib.StoreClient(store.url),
            ledger_lib.Ledger(),
        )
        await worker.start()
        try:
            await test(self, worker)
        finally:
            await worker.kill()
            await store.stop()

    return support.decorator(scenario)


def service_url(worker, query=""):
    return f"{worker.serving.url}/svc/certvault/heat?{query}"


async def send_sync(worker, *commands, lease=30_000, **fields):
    message = {
        "node": "node-1",
        "partition": "yumbo/0",
        "epoch": 1,
        "seq": 1,
        "lease_until": worker_lib.worker_clock()() + lease,
        "known_revision": 0,
        "commands": list(commands),
        **fields,
    }
    response = await support.fetch(
        f"{worker.control.url}/sync", "POST", cbor2.dumps(message)
    )
    if response.code != 200:
        return response.code
    return cbor2.loads(response.body)


class TestServing:
    @with_worker()
    async def test_response_identifies_the_request(self, worker):
        """Guards against responses that can't be matched to a request."""
        headers = {"Skylarklug-Request-Id": "r-7"}
        response = await support.fetch(
            service_url(worker, "size=100000&status=201"), headers=headers
        )
        body = json.loads(response.body)
        assert response.code == 201
        assert (body["token"], body["request_id"]) == ("r-7", "r-7")
        assert len(body["padding"]) == 100_000
        assert worker.ledger.requests == {"r-7": ["w-1"]}
        assert worker.ledger.completed == {"r-7": 1}

    @with_worker(slots=2)
    async def test_requests_beyond_the_slots_are_refused_unexecuted(
        self, worker
    ):
        """Guards against refused requests that were executed."""
        calls = [
            support.fetch(service_url(worker, f"ms=200&token={n}"))
            for n in range(5)
        ]
        responses = await asyncio.gather(*calls)
        refused = [r for r in responses if r.code == 503]
        assert len(refused) == 3
        for response in refused:
            assert response.headers["Skylarklug-Outcome"] == "not-run"
        assert len(worker.ledger.requests) == 2
        assert worker.peak_in_flight == 2

    @with_worker(connections=3)
    async def test_connections_beyond_the_limit_are_refused(self, worker):
        """Guards against excess connections of a node going unnoticed."""
        calls = [support.fetch(service_url(worker, "ms=200")) for _ in range(4)]
        responses = await asyncio.gather(*calls)
        assert sorted(r.code for r in responses) == [200, 200, 200, 503]
        assert (await support.fetch(service_url(worker))).code == 200

    @with_worker()
    async def test_leaving_worker_refuses_and_sets_the_header(self, worker):
        """Guards against new work on a worker that will be terminated."""
        running = asyncio.create_task(
            support.fetch(service_url(worker, "ms=200&token=a"))
        )
        await asyncio.sleep(0.1)
        await support.fetch_json(
            f"{worker.control.url}/test", "POST", {"op": "leave"}
        )
        refused = await support.fetch(service_url(worker, "token=b"))
        assert refused.code == 503
        assert refused.headers["Skylarklug-Leaving"] == "true"
        finished = await running
        assert finished.code == 200
        assert finished.headers["Skylarklug-Leaving"] == "true"
        assert list(worker.ledger.requests) == ["a"]

    @with_worker()
    async def test_noisy_task_inflates_service_time(self, worker):
        """Guards against interference without effect on requests."""
        noisy = support.start("n", run_time_ms=60_000, payload={"noise": 9.0})
        await send_sync(worker, noisy)
        await support.fetch(service_url(worker, "ms=10"))
        latencies = worker.agent._latencies["certvault"]
        assert latencies == [100.0]


class TestControl:
    @with_worker()
    async def test_sync_over_cbor(self, worker):
        """Guards against deviations from the control protocol (section 4)."""
        response = await send_sync(worker, support.start("a"))
        assert " ".join(response) == (
            "status epoch clock revision leaving tasks usage"
        )
        (task,) = response["tasks"]
        assert (task["state"], task["progress"]) == ("running", 0.0)
        assert " ".join(task) == (
            "task attempt state checkpoint reason progress"
        )
        bad = {"op": "throttle", "task": "a", "attempt": 1}
        assert await send_sync(worker, bad) == 400
        assert await send_sync(worker, epoch="one") == 400

    @with_worker()
    async def test_lease_expires_without_a_message(self, worker):
        """Guards against an expiry that takes effect only at the next sync."""
        await send_sync(worker, support.start("a"), lease=300)
        for _ in range(100):
            await asyncio.sleep(0.05)
            if not worker.agent.runs:
                break
        response = await send_sync(worker, lease=0)
        assert support.states(response) == {("a", 1): "stopped"}
        assert len(worker.ledger.record("a").units) <= 3

    @with_worker()
    async def test_pause_delays_responses_and_kill_closes_connections(
        self, worker
    ):
        """Guards against a paused or killed worker that still responds."""
        worker.pause()
        assert (await _is_unanswered(service_url(worker), 0.2)) is True
        worker.resume()
        assert (await support.fetch(service_url(worker))).code == 200
        running = asyncio.create_task(
            support.fetch(service_url(worker, "ms=500"))
        )
        await asyncio.sleep(0.1)
        await worker.kill()
        response = await running
        assert response is None or response.code == 599
        assert await _is_unanswered(service_url(worker), 0.5)
        await worker.start()
        assert worker.agent.epoch == 0
        assert (await support.fetch(service_url(worker))).code == 200


async def _is_unanswered(address, timeout):
    response = await support.fetch(address, timeout=timeout)
    return response is None or response.code == 599
