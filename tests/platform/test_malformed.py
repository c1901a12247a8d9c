"""Messages of the wrong shape must not end the process or mislead it."""

import asyncio
import base64
import json

import platform_standin as standin
import pytest
from skylarklug_platform import callers
from skylarklug_platform import store
from skylarklug_platform import wire
from skylarklug_platform import workers

from skylarklug import exceptions
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import records
from skylarklugd import client
from skylarklugd import scheduler

POLL = {
    "born": 7,
    "clock_ms": 10,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 3]],
    "ended_runs": [[1, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
MALFORMED_POLLS = [
    {**POLL, "born": None},
    {**POLL, "clock_ms": "soon"},
    {**POLL, "running": [["x", 1]]},
    {**POLL, "running": [["a.b.c.d", 1, "", 0]]},
    {**POLL, "running": 5},
    {**POLL, "ended_runs": [[1, "5c0e7a21d94b36f8.0.1.9"]]},
    {**POLL, "ended_runs": [["n", "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]]},
    {},
    [],
    "text",
    None,
]


class Meters:
    def __init__(self):
        self.recorded = []

    def record(self, name, value, attributes):
        self.recorded.append(name)


class FailingPort:
    """An external service whose every call ends with an unexpected error."""

    def __getattr__(self, name):
        async def call(*args, **fields):
            raise RuntimeError(name)

        return call


def node_with(**ports):
    cfg = records.Settings("n0", "z1", 1, 6_000, 6_000, 120_000)
    node = scheduler.Node(cfg, Meters(), 1)
    failing = dict.fromkeys(scheduler.Ports._fields, FailingPort())
    node._ports = scheduler.Ports(**{**failing, **ports})
    return node


async def poll(answer):
    http = client.Client(connections=4, connect_timeout_ms=500)
    worker = standin.Worker("w1")
    worker.fixed_answer = (200, answer)
    worker_client = workers.WorkerClient(http, lambda *line: None, lambda: 0)
    try:
        return await worker_client.poll(
            fx.PollWorker("w1", worker.address, 3, 0, 0, 0, 500)
        )
    finally:
        http.close()


class TestWorkerAnswers:
    @pytest.mark.parametrize("answer", MALFORMED_POLLS)
    def test_malformed_poll_is_an_unknown_answer(self, answer):
        """Guards against a worker whose answer ends the leader."""
        result, _, report = asyncio.run(poll(answer))
        assert (result, report) == ("unknown", None)


class TestStoreAnswers:
    @pytest.mark.parametrize("answer", [{}, {"ver": 1, "rows": 3}, [], None])
    def test_malformed_commit_answer_is_unknown(self, answer):
        """Guards against a commit whose outcome is not known but reported as
        refused, so that a client is told that its job has not run."""

        async def commit():
            http = client.Client(connections=4, connect_timeout_ms=500)
            server = standin.Worker("store")
            client_of_store = store.StoreClient(
                server.address, http, lambda *line: None
            )
            statuses = []
            for status in (200, 412):
                if status == 412 and answer == {"ver": 1, "rows": 3}:
                    server.fixed_answer = (status, {"ver": 1, "rows": [{}]})
                else:
                    server.fixed_answer = (status, answer)
                found = await client_of_store.commit([], [], 500)
                statuses.append(found[0])
            http.close()
            return statuses

        statuses = asyncio.run(commit())
        assert "refused" not in statuses
        if answer != {"ver": 1, "rows": 3}:
            assert statuses == ["unknown", "unknown"]

    def test_unreadable_rows_are_skipped(self):
        """Guards against one unreadable row that hides all others."""
        good = base64.b64encode(b'{"state":"done"}').decode()
        rows = [
            {"table": "work", "key": "a", "ver": 1, "value": "%%%"},
            {"table": "work", "key": "b", "ver": 2, "value": good},
            {"table": "work", "ver": 3, "value": good},
            None,
            5,
        ]
        lines = []
        found = wire.decode_rows(rows, lambda *line: lines.append(line))
        assert [row.key for row in found] == ["b"]
        assert len(lines) == 4


class TestJobs:
    @pytest.mark.parametrize(
        "fields",
        [
            {"steps": [{"count": 10**9, "cpu": 1}]},
            {"steps": [{"count": 1}], "repeats": 10**9},
            {"steps": [{"count": 1}], "repeats": -1},
            {"steps": [{"count": 1, "cpu": -5}]},
            {"steps": [{"count": 1, "est_ms": -5}]},
            {"steps": [{"count": 1e400}]},
            {"steps": [5]},
            {"steps": {"count": 1}},
            {"steps": [{"count": 1}], "spec": "\ud800"},
            {"steps": [{"count": 1, "after": [[]]}]},
            [],
        ],
    )
    def test_job_that_would_end_its_leaders_is_rejected(self, fields):
        """Guards against a job that each leader in turn dies of, such as one of
        a thousand million tasks."""
        with pytest.raises(exceptions.BadInput):
            wire.decode_job(json.dumps(fields).encode())

    @pytest.mark.parametrize("text", ["", "-1", "1e3", "²", "9" * 5_000])
    def test_deadline_of_a_client_may_be_any_text(self, text):
        """Guards against a header that ends the request without an answer."""
        assert callers._deadline_ms({"Skylarklug-Deadline-Ms": text}) >= 0


class TestNode:
    def test_failing_call_is_an_unknown_result(self):
        """Guards against a process that ends, or waits forever, because a call
        to an external service ended with an unexpected error."""

        async def run():
            node = node_with()
            node._exited = asyncio.get_running_loop().create_future()
            dispatched = []
            node.dispatch = dispatched.append
            key = records.TaskKey("5c0e7a21d94b36f8", 0, 0, 0)
            start = fx.StartRun(
                "w1", "a:1", 7, 3, key, 2, "", "", "", 9, 300, 9_000
            )
            for effect in (
                start,
                fx.PollWorker("w1", "a:1", 3, 0, 0, 0, 500),
                fx.Commit("1", (), (), 500),
                fx.ReadRows("2", "jobs", "", 500),
                fx.RequestAdvice("j", 0, 0, ("w1",), 500),
                fx.ListMachines(),
                fx.BeginMaintenance("m", 1, 1, 9_000),
            ):
                node._effect_handlers[type(effect)](effect)
            await asyncio.sleep(0.05)
            assert not node._exited.done()
            return dispatched

        results = asyncio.run(run())
        assert len(results) == 7
        statuses = {
            getattr(event, "status", getattr(event, "result", None))
            for event in results
        }
        assert statuses == {"unknown", "refused", None}
        commit = next(e for e in results if getattr(e, "op", "") == "1")
        assert commit.status == "unknown"

    def test_feed_survives_a_malformed_response(self):
        """Guards against a node that acts on old rows forever, because its feed
        ended with an unexpected error."""

        class Store:
            scans = 0

            async def scan(self, table):
                self.scans += 1
                if self.scans == 1:
                    raise KeyError("rows")
                return 1, ()

            async def changes(self, table, after, wait_ms):
                await asyncio.sleep(60)

        async def run():
            received = []
            node = node_with(store=Store(), rows=lambda *args: [])
            node._on_rows = lambda *args: received.append(args)
            node._watch_table(fx.WatchTable("jobs"))
            await asyncio.sleep(0.4)
            node._unwatch_table(fx.UnwatchTable("jobs"))
            return received

        assert asyncio.run(run()) == [("jobs", True, ())]

    def test_defect_of_one_handler_is_contained(self):
        """Guards against an unexpected error that ends the process, and then
        each process that leads after it."""
        node = node_with()
        lines = []
        node._logger.log = lambda *line: lines.append(line)
        node._ports.callers.answer = lines.append
        node._state.configuration = object()
        node.dispatch(
            events.StatusRequested(1, "r1", "host", "/batch/x", 1_000)
        )
        assert lines[0][1] == "defect"
        assert lines[-1].status == 504
        node._state.configuration = None
        node.dispatch(
            events.StatusRequested(2, "r2", "host", "/batch/x", 1_000)
        )
        assert lines[-1].status == 503
