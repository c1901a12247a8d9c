import asyncio
import base64
import json
import pathlib
import random
import re

import platform_standin as standin
import pytest
from skylarklug_platform import machines
from skylarklug_platform import settings
from skylarklug_platform import store
from skylarklug_platform import wire
from skylarklug_platform import workers

from skylarklug import exceptions
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import records
from skylarklugd import client
from skylarklugd import feeds

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = records.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)


# Time of the clock that the adapters get, and the end of an order's validity.
NOW = 1_000
VALID_UNTIL = 2_000


def clock():
    return NOW


class Log:
    def __init__(self):
        self.lines = []

    def __call__(self, level, event, fields):
        self.lines.append((event, fields))


def with_client(call):
    """Awaits `call(http, log)` with a new client in a new event loop."""

    async def run():
        http = client.Client(connections=4, connect_timeout_ms=500)
        try:
            return await call(http, Log())
        finally:
            http.close()

    return asyncio.run(run())


class TestSettings:
    def test_unknown_fields_are_ignored(self):
        """Guards against a process that fails to start when the platform adds a
        field to the settings file."""
        text = json.dumps(standin.settings("a:1", "b:2", "c:3", [7_720, 7_735]))
        cfg = settings.parse(text, 5)
        assert cfg.core.entry_notice_ms == 3_500
        assert cfg.core.max_lease_ms == 6_000
        assert cfg.core.incarnation == 5
        assert cfg.metrics_address == "127.0.0.1:7720"

    def test_each_problem_is_reported(self):
        """Guards against an error that does not list all invalid settings."""
        fields = standin.settings("a:1", "b:2", "c:3", [1, 2])
        del fields["node"]
        fields["bounds"]["max_hold_ms"] = "soon"
        with pytest.raises(ExceptionGroup) as caught:
            settings.parse(json.dumps(fields), 0)
        reasons = [str(problem) for problem in caught.value.exceptions]
        assert any("node" in reason for reason in reasons)
        assert any("max_hold_ms" in reason for reason in reasons)
        with pytest.raises(ExceptionGroup):
            settings.parse("{", 0)


class TestJobs:
    def test_fields_are_decoded(self):
        """Guards against a field that is lost when a job is decoded."""
        step = {
            "count": 4,
            "cpu": 500,
            "mem_mb": 256,
            "gpus": 1,
            "est_ms": 900,
            "gang": True,
            "same_rack": True,
            "required_label": "a",
            "affinity": "r1-3",
            "max_per_server": 2,
            "speculative": True,
            "long_running": True,
            "image": "img",
            "target_ms": 150,
            "fills": True,
            "may_miss": 1,
            "checkpoint": True,
        }
        body = {"spec": "text", "steps": [step, {"count": 1, "after": [0]}]}
        body.update(repeats=3, first_ms=10, interval_ms=20)
        spec = wire.decode_job(json.dumps(body).encode())
        assert spec.steps[0] == records.Step(
            count=4,
            resources=records.Resources(500, 256, 1),
            estimate_ms=900,
            checkpoints=True,
            gang=True,
            same_rack=True,
            label="a",
            rack="r1-3",
            max_per_worker=2,
            speculative=True,
            runs_until_cancelled=True,
            image="img",
            target_ms=150,
            best_effort=True,
            max_unavailable=1,
        )
        assert spec.steps[1].after == (0,)
        assert (spec.repeats, spec.first_due_ms, spec.interval_ms) == (
            3,
            10,
            20,
        )

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"steps": []}',
            b'{"steps": [{"count": 0}]}',
            b'{"steps": [{"count": "x"}]}',
            b'{"spec": 5, "steps": [{"count": 1}]}',
            b'{"steps": [{"count": 1, "after": [0]}]}',
            b'{"spec": "' + b"x" * 4_001 + b'", "steps": [{"count": 1}]}',
        ],
    )
    def test_malformed_job_raises_bad_input(self, body):
        """Guards against accepting a job that can never run."""
        with pytest.raises(exceptions.BadInput):
            wire.decode_job(body)


class TestRows:
    def test_unreadable_entry_counts_as_removed(self):
        """Guards against one unreadable entry that hides the others."""

        async def read(http, log):
            server = standin.Store()
            worker = standin.Worker("w1")
            server.put("servers", "", "w1", worker.entry())
            server.put("servers", "", "w2", {"service": 4})
            server.put("servers", "", "w3", worker.entry(state="odd"))
            server.ver += 1
            server.write("servers", "", "w4", b"\xff")
            store_client = store.StoreClient(server.address, http, log)
            _, found = await store_client.scan("workers")
            decode = store.rows_decoder(log)
            (event,) = decode(9, "workers", True, found)
            assert [entry.worker for entry in event.entries] == ["w1"]
            assert event.entries[0].rack == "r1-1"
            assert event.removed == ("w2", "w3", "w4")
            assert len(log.lines) == 3

        with_client(read)

    def test_unreadable_configuration_is_skipped(self):
        """Guards against a node that fails on an invalid configuration row."""
        log = Log()
        decode = store.rows_decoder(log)
        unreadable = {"key": "config", "value": "e30="}
        (event,) = decode(1, "operator", False, [unreadable])
        assert type(event).__name__ == "ConfigurationUnreadable"
        assert log.lines[0][0] == "operator-row-unreadable"

    def test_services_without_enforcement_are_unguarded(self):
        """Guards against workers that are taken to reject what does not fit,
        because the field that says otherwise is false or omitted."""
        fields = {
            **standin.CONFIGURATION,
            "services": [
                {"name": "hub", "enforces_capacity": True},
                {"name": "open", "enforces_capacity": False},
                {"name": "plain"},
            ],
        }
        row = {"key": "config", "value": wire.encode_value(fields)}
        (event,) = store.rows_decoder(Log())(1, "operator", False, [row])
        assert event.cfg.unguarded_services == {"open", "plain"}

    def test_answer_without_changes_is_an_event(self):
        """Guards against entries that seem outdated although the feed gets
        answers, and against a feed that waits longer than it should."""
        waits = []
        events = []
        decode = store.rows_decoder(Log())

        class Store:
            async def scan(self, table):
                return 1, ()

            async def changes(self, table, after, wait_ms):
                waits.append(wait_ms)
                if len(waits) == 2:
                    await asyncio.sleep(60)
                return 1, ()

        async def run():
            feed = feeds.Feed(
                "workers",
                Store(),
                lambda *answer: events.extend(decode(NOW, *answer)),
                None,
                Log(),
                random.Random(1),
                700,
            )
            await asyncio.sleep(0.05)
            feed.stop()

        asyncio.run(run())
        assert waits == [700, 700]
        assert [event.whole for event in events] == [True, False]

    def test_commit_results(self):
        """Guards against a result that does not match the store's response."""

        async def commit(http, log):
            server = standin.Store()
            store_client = store.StoreClient(server.address, http, log)
            checks = (fx.Check("t", "k", 0),)
            writes = (fx.Write("t", "k", {"a": 1}),)
            status, version, _ = await store_client.commit(checks, writes, 500)
            assert (status, version) == ("ok", 1)
            status, _, found = await store_client.commit(checks, writes, 500)
            assert status == "conflict"
            assert found[0].value == {"a": 1}
            assert found[0].version == 1
            for fault, expected in (
                (503, "refused"),
                (429, "refused"),
                (400, "unknown"),
                ("silent", "unknown"),
            ):
                server.fault = fault
                status, _, _ = await store_client.commit(checks, writes, 200)
                assert status == expected, fault
            server.close()
            unreachable = store.StoreClient("127.0.0.1:1", http, log)
            status, _, _ = await unreachable.commit(checks, writes, 200)
            assert status == "refused"

        with_client(commit)

    def test_scan_reads_all_pages_and_feed_continues(self):
        """Guards against losing a change made between a scan and the first
        read of the feed."""

        async def read(http, log):
            server = standin.Store(page=2)
            store_client = store.StoreClient(server.address, http, log)
            for number in range(5):
                server.put("jobs", store.PART, f"k{number}", number)
            version, found = await store_client.scan("jobs")
            assert [row.value for row in found] == [0, 1, 2, 3, 4]
            server.put("jobs", store.PART, "k9", 9)
            _, changed = await store_client.changes("jobs", version, 1_000)
            assert [row.value for row in changed] == [9]
            server.dropped_version = 100
            with pytest.raises(feeds.HistoryLost):
                await store_client.changes("jobs", version, 1_000)
            server.fault = 503
            with pytest.raises(exceptions.Unavailable):
                await store_client.changes("jobs", version, 1_000)

        with_client(read)


class TestWaveReports:
    def test_state_never_goes_back(self):
        """Guards against a report of a former leader that arrives late and
        shows a completed wave as running, and against a new leader that does
        not learn that a wave was done."""

        async def report(http, log):
            rows = standin.Store()
            client = store.StoreClient(rows.address, http, log)
            found = []
            for state in ("running", "running", "done", "running", "done"):
                effect = fx.ReportWave(3, state)
                found.append(await client.report_wave(effect, 500))
            stored = rows.rows["status", "", "wave/3"]["value"]
            return found, json.loads(base64.b64decode(stored))

        found, stored = with_client(report)
        assert found == ["running", "running", "done", "done", "done"]
        assert stored == {"state": "done"}

    def test_report_without_an_answer_is_not_known(self):
        """Guards against a wave that counts as reported when it is not."""

        async def report(http, log):
            rows = standin.Store()
            rows.fault = "silent"
            client = store.StoreClient(rows.address, http, log)
            return await client.report_wave(fx.ReportWave(3, "running"), 200)

        assert with_client(report) == ""


class TestSlowLink:
    def test_limit_covers_the_largest_response(self):
        """Guards against a configuration of 1,400 routes that a VM with a slow
        link never reads, because each request times out during the transfer."""

        async def read(http, log):
            timeouts = []

            async def record(address, method, target, body, timeout_ms):
                timeouts.append(timeout_ms)
                raise exceptions.Unavailable("no store", step="", peer="")

            http.call = record
            for mbps in (1_000.0, 5.0):
                client_of_store = store.StoreClient("a:1", http, log, mbps)
                with pytest.raises(exceptions.Unavailable):
                    await client_of_store.scan("operator")
                with pytest.raises(exceptions.Unavailable):
                    await client_of_store.changes("operator", 1, 2_000)
            return timeouts

        fast_scan, fast_feed, slow_scan, slow_feed = with_client(read)
        page_ms = 8 * 1_048_576 / 5_000
        configuration_ms = 8 * 262_144 * 4 / 3 / 5_000
        assert slow_scan > page_ms
        assert slow_feed > 2_000 + configuration_ms
        assert fast_scan < 1_050
        assert fast_feed < 2_750


class TestWorkerCalls:
    def start_effect(self, worker, name="w1", until=VALID_UNTIL):
        return fx.StartRun(
            name,
            worker.address,
            7,
            3,
            KEY,
            2,
            "text",
            "save",
            "",
            9,
            300,
            until,
        )

    def test_start_sends_all_fields(self):
        """Guards against a start that another instance than the intended
        worker executes."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker_client = workers.WorkerClient(http, log, clock)
            result = await worker_client.start(self.start_effect(worker))
            assert result[:2] == ("ok", "")
            assert result.clock_ms > 0
            _, path, headers, body = worker.requests[0]
            assert path == "/api/run-start"
            assert headers["Skylarklug-Expect-Instance"] == "w1"
            assert body == {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "attempt": 2,
                "spec": "text",
                "deadline_ms": 9,
                "fence": 3,
                "last_save": "save",
            }
            wrong_instance = await worker_client.start(
                self.start_effect(worker, "w2")
            )
            assert wrong_instance[0] == "reborn"

        with_client(call)

    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            ((409, {"reason": "fence"}), ("rejected", "fence")),
            ((409, {"reason": "room"}), ("rejected", "room")),
            ((503, {}), ("refused", "status 503")),
            ((429, {}), ("refused", "status 429")),
        ],
    )
    def test_refused_and_rejected_starts(self, answer, expected):
        """Guards against considering a refused run as possibly running."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.fixed_answer = answer
            worker_client = workers.WorkerClient(http, log, clock)
            result = await worker_client.start(self.start_effect(worker))
            assert result[:2] == expected

        with_client(call)

    def test_lost_answer_is_unknown_and_failed_connection_is_refused(self):
        """Guards against reporting an order as not executed although the
        worker may have received it."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.fault = "silent"
            worker_client = workers.WorkerClient(http, log, clock)
            answer = await worker_client.start(self.start_effect(worker))
            assert answer == ("unknown", answer.reason, -1)
            worker.address = "127.0.0.1:1"
            answer = await worker_client.start(self.start_effect(worker))
            assert answer == ("refused", answer.reason, -1)

        with_client(call)

    def test_order_of_a_paused_process_is_not_sent(self):
        """Guards against an order that a process sends after its permission
        has run out, because it was paused between decision and sending."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker_client = workers.WorkerClient(http, log, clock)
            effect = self.start_effect(worker, until=NOW)
            answer = await worker_client.start(effect)
            assert answer.result == "refused"
            assert not worker.requests

        with_client(call)

    @pytest.mark.parametrize(
        ("until", "last_seen"), [(NOW, 0), (VALID_UNTIL, 5)]
    )
    def test_poll_of_a_paused_process(self, until, last_seen):
        """Guards against an acknowledgement that reaches a later incarnation of
        the worker, because the process was paused before it sent the poll."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker_client = workers.WorkerClient(http, log, clock)
            effect = fx.PollWorker("w1", worker.address, 3, 5, 0, 0, 500, until)
            result, _, _ = await worker_client.poll(effect)
            assert result == "ok"
            ((_, _, _, body),) = worker.requests
            assert body["last_seen"] == last_seen

        with_client(call)

    def test_pace_sends_run_and_percentage(self):
        """Guards against a change of pace without the fencing token, with which
        a former leader could slow a task down."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.runs[wire.task_name(KEY)] = [
                wire.task_name(KEY),
                2,
                "",
                41,
                900,
            ]
            worker_client = workers.WorkerClient(http, log, clock)
            effect = fx.SetPace(
                "w1", worker.address, 3, KEY, 2, 40, 300, VALID_UNTIL
            )
            answer = await worker_client.pace(effect)
            assert answer[:2] == ("ok", "")
            _, path, _, body = worker.requests[0]
            assert path == "/api/pace"
            assert body == {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "attempt": 2,
                "pct": 40,
                "fence": 3,
            }
            assert worker.paces_by_task == {wire.task_name(KEY): 40}

        with_client(call)

    def test_poll_decodes_runs_and_ends(self):
        """Guards against reports that are assigned to the wrong task."""

        async def call(http, log):
            worker = standin.Worker("w1")
            name = wire.task_name(KEY)
            worker.runs[name] = [name, 2, "save", 41, 150]
            worker.ends = [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]]
            effect = fx.PollWorker("w1", worker.address, 3, 0, 0, 0, 500)
            worker_client = workers.WorkerClient(http, log, clock)
            result, _, report = await worker_client.poll(effect)
            assert (result, report.incarnation) == ("ok", 7)
            run = records.RunReport(KEY, 2, "save", 41, 150)
            assert report.running == (run,)
            done = records.EndReport(58, KEY._replace(index=9), 1, "done", "")
            assert report.ended == (done,)
            assert not report.has_unreadable_run
            assert report.unreadable_end == 0
            assert log.lines == []

        with_client(call)


class TestMachines:
    def test_maintenance_sends_lease_holder_and_fencing_token(self):
        """Guards against a maintenance request without a fencing token."""

        async def call(http, log):
            server = standin.Worker("cloud")
            machine_client = machines.MachineClient(
                server.address, "n1", http, log, clock
            )
            server.fixed_answer = (200, {"machines": [], "next_token": None})
            assert await machine_client.list() == (True, ())
            server.fixed_answer = (409, {"reason": "busy"})
            effect = fx.BeginMaintenance("m-1", 2, 12, VALID_UNTIL)
            assert await machine_client.begin_maintenance(effect) == (
                "rejected",
                "busy",
            )
            expired = effect._replace(valid_until=NOW)
            result, _ = await machine_client.begin_maintenance(expired)
            assert result == "refused"
            _, path, headers, body = server.requests[-1]
            assert len(server.requests) == 2
            assert path == "/api/machine-upkeep"
            assert headers["Skylarklug-Lease-Holder"] == "n1"
            assert headers["Skylarklug-Fence-Token"] == "12"
            assert body == {"machine": "m-1", "wave": 2}

        with_client(call)


class TestNames:
    # Names that only the platform uses.
    PLATFORM_NAMES = (
        "run-start",
        "run-stop",
        "rows-tx",
        "rows-get",
        "rows-feed",
        "Skylarklug-Expect-Instance",
        "Skylarklug-Fence-Token",
        "SKYLARKLUG_BOOT",
        "ended_runs",
        "last_seen",
        "last_save",
        "long_running",
        "max_per_server",
        "required_label",
        "mem_mb",
        "est_ms",
        "slo_ms",
        "max_hold_ms",
        "tombstone",
        "precondition",
    )

    def test_platform_names_occur_only_in_the_adapter(self):
        """Guards against packages that depend on names of the platform."""
        found = []
        for path in sorted((ROOT / "packages").rglob("*.py")):
            text = path.read_text()
            for name in self.PLATFORM_NAMES:
                if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text):
                    found.append(f"{path.relative_to(ROOT)}: {name}")
        assert found == []

    def test_directory_does_not_shadow_the_standard_module(self, monkeypatch):
        """Guards against a directory `platform` that is imported instead of the
        standard module."""
        assert not (ROOT / "platform" / "__init__.py").exists()
        monkeypatch.syspath_prepend(str(ROOT))
        import platform

        assert platform.python_version().startswith("3.")
