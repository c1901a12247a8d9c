"""Messages of the wrong shape must not end the process or mislead it."""

import asyncio
import base64
import json
import math

import hypothesis
from hypothesis import strategies as st
import platform_standin as standin
import pytest
from skylarklug_platform import callers
from skylarklug_platform import reports
from skylarklug_platform import store
from skylarklug_platform import wire
from skylarklug_platform import workers

from skylarklug import exceptions
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import records
from skylarklugd import client
from skylarklugd import clocks
from skylarklugd import peer_rows
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
    {**POLL, "running": 5},
    {**POLL, "running": {}},
    {**POLL, "ended_runs": None},
    *[{**POLL, "born": born} for born in (1e300, 2**64, 7.0, -1, True, [])],
    *[{**POLL, "clock_ms": at} for at in (-1, 1e300, 2**64, True, [])],
    {},
    [],
    "text",
    None,
]

UNREADABLE_RUNS = [
    None,
    5,
    [],
    {},
    "a.0.0.0",
    ["a.0.0.0"],
    [None, 1, "", 0, 0],
    ["", 1, "", 0, 0],
    ["x", 1, "", 0, 0],
    ["a.b.c.d", 1, "", 0, 0],
    ["a.0.0.-1", 1, "", 0, 0],
    ["a.0.0.²", 1, "", 0, 0],
    ["a.0.0." + "9" * 5_000, 1, "", 0, 0],
    ["a.0.0.0.0", 1, "", 0, 0],
    [".0.0.0", 1, "", 0, 0],
    *[["a.0.0.0", n, "", 0, 0] for n in (0, -1, 1.5, 1e300, 2**64, "1", True)],
]
ODD_RUN_CELLS = [
    [],
    [""],
    ["", 0],
    [None, None, None],
    [5, 101, -1],
    ["x" * 5_000, -1, 1e300],
    [[], 1e300, "5"],
    ["", 2**70, 2**70],
    [True, True, True],
]
UNREADABLE_ENDS = [
    None,
    [],
    [7, "5c0e7a21d94b36f8.0.1.9"],
    [7, "a.0.0.0", 1, "done"],
    *[[n, "a.0.0.0", 1, "done", ""] for n in (0, -1, 6.5, 1e300, 2**64, "n")],
    [7, "x", 1, "done", ""],
    [7, "a.0.0.0", 1.5, "done", ""],
    [7, "a.0.0.0", 1, "finished", ""],
    [7, "a.0.0.0", 1, None, ""],
    [7, "a.0.0.0", 1, ["done"], ""],
]
JSON_CELLS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["a.0.0.0", "done", 1, 2, 2**63, 2**64])
    | st.text(max_size=20),
    lambda cells: st.lists(cells, max_size=6),
    max_leaves=12,
)


# Stands for a list of more levels than can be encoded here.
NESTED = "nested"


def nested(depth):
    """Returns a list of many levels."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


def encode(fields):
    """Returns the JSON text of a message, with NESTED replaced."""
    levels = b"[" * 1_000 + b"]" * 1_000
    return json.dumps(fields).encode().replace(b'"nested"', levels)


def short_id(value):
    return repr(value)[:60]


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


def report_of(answer, last_seen=0):
    """Returns (report, number of problems) of a worker's answer."""
    report, problems = reports.decode(json.loads(json.dumps(answer)), last_seen)
    return report, len(problems)


class TestUnreadableRows:
    @pytest.mark.parametrize("row", UNREADABLE_RUNS, ids=repr)
    def test_unreadable_run_hides_no_other(self, row):
        """Guards against a worker whose runs all end because one of them cannot
        be read, and against a run that seems not to be there."""
        rows = [["a.0.0.0", 1, "", 5, 0], row, ["a.0.0.1", 1, "", 5, 0]]
        report, problems = report_of({**POLL, "running": rows})
        assert [run.key.index for run in report.running] == [0, 1]
        assert (report.has_unreadable_run, problems) == (True, 1)
        assert report.ended[0].outcome == "done"

    @pytest.mark.parametrize("cells", ODD_RUN_CELLS, ids=repr)
    def test_run_with_odd_progress_is_known(self, cells):
        """Guards against a run that seems not to be there because only its
        progress cannot be read."""
        rows = [["a.0.0.0", 1, *cells]]
        report, problems = report_of({**POLL, "running": rows})
        (run,) = report.running
        assert run.key.job == "a"
        assert (run.checkpoint, run.percent, run.measurement) == ("", 0, 0.0)
        assert (report.has_unreadable_run, problems) == (False, 0)

    @pytest.mark.parametrize("row", UNREADABLE_ENDS, ids=repr)
    def test_unreadable_end_is_kept_by_the_worker(self, row):
        """Guards against an end that the worker forgets although it could not
        be read, and against one that hides the others."""
        first = [4, "a.0.0.0", 1, "done", ""]
        last = [9, "a.0.0.1", 1, "failed", ""]
        for rows, unreadable_end in (
            ([first, row, last], 5),
            ([row, last], 3),
            ([first, last, row], 10),
            ([first, row, row, last, row], 5),
            ([first, last], 0),
        ):
            report, problems = report_of({**POLL, "ended_runs": rows}, 2)
            expected = [row[0] for row in rows if row in (first, last)]
            assert [end.number for end in report.ended] == expected
            assert report.unreadable_end == unreadable_end
            assert problems == len(rows) - len(expected)

    @pytest.mark.parametrize(("count", "more"), [(499, False), (500, True)])
    def test_longest_list_of_ends_may_lack_later_ones(self, count, more):
        """Guards against an end that counts as missing because the list, of at
        most 500 ends, had no room for it."""
        rows = []
        for number in range(count):
            rows.append([number + 1, f"a.0.0.{number}", 1, "done", ""])
        report, problems = report_of({**POLL, "ended_runs": rows})
        assert len(report.ended) == count
        assert (report.has_more_ends, problems) == (more, 0)

    def test_number_beyond_the_next_one_is_unreadable(self):
        """Guards against one odd number that hides all later ends."""
        rows = [
            [4, "a.0.0.0", 1, "done", ""],
            [900_000, "a.0.0.1", 1, "done", ""],
            [6, "a.0.0.2", 1, "done", ""],
        ]
        report, problems = report_of({**POLL, "ended_runs": rows})
        assert [end.number for end in report.ended] == [4, 6]
        assert (report.unreadable_end, problems) == (5, 1)

    def test_unreadable_row_is_logged_once(self):
        """Guards against a log line for each poll of a worker that lists an
        unreadable run."""

        async def poll_often():
            http = client.Client(connections=4, connect_timeout_ms=500)
            worker = standin.Worker("w1")
            worker.fixed_answer = (200, {**POLL, "running": [None]})
            lines = []
            worker_client = workers.WorkerClient(
                http, lambda *line: lines.append(line), lambda: 0
            )
            effect = fx.PollWorker("w1", worker.address, 3, 0, 0, 0, 500)
            for _ in range(20):
                await worker_client.poll(effect)
            http.close()
            return lines

        lines = asyncio.run(poll_often())
        assert [line[1] for line in lines] == ["report-unreadable"]

    @hypothesis.given(st.lists(JSON_CELLS), st.lists(JSON_CELLS))
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_any_rows_are_decoded(self, run_rows, end_rows):
        """Guards against a row of a worker that ends the reading of its answer,
        or that no row of the scheduler can hold."""
        run_rows.append(POLL["running"][0])
        answer = {**POLL, "running": run_rows, "ended_runs": end_rows}
        report, _ = report_of(answer)
        assert report.running[-1].attempt == 2
        for run in report.running:
            wire.encode([run.attempt, run.checkpoint, run.percent])
            assert math.isfinite(run.measurement)
        for end in report.ended:
            wire.encode([end.number, end.attempt, end.checkpoint])


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
            {"steps": [{"count": 1, "image": NESTED}]},
            {"steps": [{"count": 1, "est_ms": 1e300}]},
            {"steps": [{"count": 1, "cpu": 2**64 - 1}]},
            {"steps": [{"count": 1, "may_miss": -(10**30)}]},
            {"steps": [{"count": 1}], "first_ms": 1e300},
            [],
        ],
    )
    def test_job_that_would_end_its_leaders_is_rejected(self, fields):
        """Guards against a job that each leader in turn dies of, such as one of
        a thousand million tasks."""
        with pytest.raises(exceptions.BadInput):
            wire.decode_job(encode(fields))

    @pytest.mark.parametrize("text", ["", "-1", "1e3", "²", "9" * 5_000])
    def test_deadline_of_a_client_may_be_any_text(self, text):
        """Guards against a header that ends the request without an answer."""
        assert callers._deadline_ms({"Skylarklug-Deadline-Ms": text}) >= 0


def operator_events(*rows):
    lines = []
    decode = store.rows_decoder(lambda *line: lines.append(line))
    return decode(1, "operator", False, list(rows)), lines


def operator_row(key, fields):
    value = base64.b64encode(encode(fields)).decode()
    return {"key": key, "value": value}


def configuration(**fields):
    route = {**standin.CONFIGURATION["routes"][0], **fields}
    return {**standin.CONFIGURATION, "routes": [route]}


WAVE = {"wave": 1, "machines": ["m-1"], "period_s": 20, "max_count": 1}
ODD_OPERATOR_ROWS = [
    None,
    5,
    [],
    {},
    {"key": 5},
    {"key": [1], "tombstone": True},
    {"key": "config"},
    {"key": "config", "value": "%%%"},
    operator_row("config", []),
    operator_row("config", {"version": 9, "routes": [5]}),
    operator_row("config", configuration(name=[1])),
    operator_row("config", configuration(prefix=5)),
    operator_row("config", configuration(host=NESTED)),
    operator_row("config", configuration(service=None)),
    operator_row("config", configuration(slo_ms=1e300)),
    operator_row("config", configuration(advice={"decide_ms": -1})),
    operator_row("wave/1", {**WAVE, "wave": 2**64 - 1}),
    operator_row("wave/1", {**WAVE, "wave": 1e300}),
    operator_row("wave/1", {**WAVE, "machines": [5]}),
    operator_row("wave/1", {**WAVE, "machines": None}),
    operator_row("wave/1", {**WAVE, "period_s": "soon"}),
    operator_row("wave/1", {**WAVE, "max_count": -1}),
]


class TestOperatorRows:
    @pytest.mark.parametrize("row", ODD_OPERATOR_ROWS, ids=short_id)
    def test_odd_row_hides_no_other(self, row):
        """Guards against one odd row that hides a configuration or a wave, or
        is passed on as one."""
        good = operator_row("config", standin.CONFIGURATION)
        found, lines = operator_events(row, good, operator_row("wave/1", WAVE))
        names = [type(event).__name__ for event in found]
        if isinstance(row, dict) and row.get("key") == "config":
            assert names.pop(0) == "ConfigurationUnreadable"
        assert names == ["ConfigurationRead", "WaveRequested"]
        assert len(lines) == 1


class TestMachineLists:
    @pytest.mark.parametrize(
        "fields",
        [
            {"machine": [1]},
            {"pool": None},
            {"state": 5},
            {"id": {"a": 1}},
        ],
    )
    def test_odd_machine_makes_the_page_unreadable(self, fields):
        """Guards against a wave that ends without a machine, because the
        machine is missing in a list that seems complete."""
        machine = {"machine": "m", "pool": "p", "state": "up", "id": "w1"}
        rows = [machine, {**machine, **fields}]
        with pytest.raises(wire.MALFORMED):
            wire.decode_machines({"machines": rows, "next_token": None})
        for token in (5, [], {}):
            with pytest.raises(wire.MALFORMED):
                wire.decode_machines({"machines": [], "next_token": token})


class TestAdvice:
    def test_odd_row_gives_no_ticket(self):
        """Guards against one odd row that hides all tickets, or is sent as
        one."""
        rows = [
            None,
            5,
            ["w0"],
            ["w0", 5],
            ["w0", nested(5)],
            [[], "t"],
            ["w0\r\n", "t"],
            ["w1", "t1"],
        ]

        async def request():
            http = client.Client(connections=4, connect_timeout_ms=500)
            server = standin.Worker("advice")
            server.fixed_answer = (200, {"good": rows, "valid_ms": 500})
            advice = workers.AdviceClient(
                server.address, http, lambda *line: None
            )
            effect = fx.RequestAdvice("j", 0, 0, ("w0", "w1"), 500)
            found = await advice.request(effect)
            http.close()
            return found

        assert asyncio.run(request()) == (True, {"w1": "t1"}, 500)


class TestRejections:
    @pytest.mark.parametrize("reason", [None, 5, nested(500), {}])
    def test_odd_reason_is_none(self, reason):
        """Guards against a rejection whose odd reason is an unexpected error,
        so that the order is repeated."""

        async def start():
            http = client.Client(connections=4, connect_timeout_ms=500)
            worker = standin.Worker("w1")
            worker.fixed_answer = (409, {"reason": reason})
            worker_client = workers.WorkerClient(
                http, lambda *line: None, lambda: 0
            )
            key = records.TaskKey("a", 0, 0, 0)
            effect = fx.StopRun("w1", worker.address, 3, key, 2, 500, 9_000)
            result = await worker_client.stop(effect)
            http.close()
            return result

        assert asyncio.run(start())[:2] == ("rejected", "")


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

    def test_answer_of_a_suspended_process_is_not_sent(self):
        """Guards against a 404 that was decided before the process was
        suspended, and sent when the queue had long been added."""
        node = node_with()
        sent = []
        node._ports.callers.answer = sent.append
        now = clocks.boot_ms()
        for until in (now - 1, now + 60_000, 0):
            node._answer(fx.Answer("r1", 404, {}, 0, until))
        assert [effect.status for effect in sent] == [503, 404, 404]
        assert sent[0].retry_after_s > 0

    def test_answer_of_a_peer_with_an_odd_row_is_not_used(self):
        """Guards against a configuration that is taken for a known one, or for
        the newest one, because another node has sent a newer one damaged."""
        good = {**operator_row("config", standin.CONFIGURATION), "ver": 7}
        wave = {**operator_row("wave/1", WAVE), "ver": 9}
        answers = []
        for odd in (None, {}, {**good, "value": "%%%"}, {**good, "ver": "7"}):
            answers.append(peer_rows.Answer(5, [odd, wave], ()))
        answers.append(peer_rows.Answer(5, [good, wave], ()))

        class Peers:
            async def ask(self, address, version):
                assert version == 0
                return answers.pop(0)

        node = node_with(
            rows=store.rows_decoder(lambda *line: None), peers=Peers()
        )
        node._ports = node._ports._replace(identify=wire.identify_row)
        node._ports.callers.set_ready = lambda ready: None
        effect = fx.AskPeer("10.0.0.1:5", 0)
        while len(answers) > 1:
            asyncio.run(node._run_peer_call(effect))
            assert node._state.configuration is None
            assert not node._state.newer_unreadable
            assert node._state.operator_current_at == -1
            assert node.answer_peer(0, "").rows == []
        asyncio.run(node._run_peer_call(effect))
        assert node._state.configuration.version == 3
        assert node._state.operator_current_at > 0
        assert node.answer_peer(0, "").rows == [good, wave]

    def test_defect_of_one_handler_is_contained(self):
        """Guards against an unexpected error that ends the process, and then
        each process that leads after it."""
        node = node_with()
        lines = []
        node._logger.log = lambda *line: lines.append(line)
        node._ports.callers.answer = lines.append
        node._state.configuration = object()
        node._state.operator_current_at = 1
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
