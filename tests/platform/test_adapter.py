import asyncio
import json
import pathlib
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


class Log:
    def __init__(self):
        self.lines = []

    def __call__(self, level, event, fields):
        self.lines.append((event, fields))


def with_client(call):
    """Runs `call(http, log)` in an event loop."""

    async def run():
        http = client.Client(connections=4, connect_timeout_ms=500)
        try:
            return await call(http, Log())
        finally:
            http.close()

    return asyncio.run(run())


class TestSettings:
    def test_unknown_fields_are_ignored(self):
        """Guards against a start that fails on a new field."""
        text = json.dumps(standin.settings("a:1", "b:2", "c:3", [7_720, 7_735]))
        cfg = settings.parse(text, 5)
        assert cfg.core.max_lease_ms == 6_000
        assert cfg.core.incarnation == 5
        assert cfg.metrics_address == "127.0.0.1:7720"

    def test_each_problem_is_named(self):
        """Guards against settings that are wrong without a clear error."""
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
        """Guards against a field that is dropped on the way in."""
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
    def test_malformed_jobs_are_bad_input(self, body):
        """Guards against a job that is accepted and can never run."""
        with pytest.raises(exceptions.BadInput):
            wire.decode_job(body)


class TestRows:
    def test_unreadable_entry_names_no_worker(self):
        """Guards against one bad entry that hides all the others."""

        async def read(http, log):
            server = standin.Store()
            worker = standin.Worker("w1")
            server.put("servers", "", "w1", worker.entry())
            server.put("servers", "", "w2", {"service": 4})
            server.put("servers", "", "w3", worker.entry(state="odd"))
            server.ver += 1
            server.write("servers", "", "w4", b"\xff")
            rows = store.StoreClient(server.address, http, log)
            _, found = await rows.scan("workers")
            decode = store.rows_decoder(log)
            (event,) = decode(9, "workers", True, found)
            assert [entry.worker for entry in event.entries] == ["w1"]
            assert event.entries[0].rack == "r1-1"
            assert event.removed == ("w2", "w3", "w4")
            assert len(log.lines) == 3

        with_client(read)

    def test_unreadable_configuration_changes_nothing(self):
        """Guards against a configuration row that stops a node."""
        log = Log()
        decode = store.rows_decoder(log)
        bad = {"key": "config", "value": "e30="}
        assert decode(1, "operator", False, [bad]) == []
        assert log.lines[0][0] == "operator-row-unreadable"

    def test_commit_results(self):
        """Guards against a verdict that the store did not give."""

        async def commit(http, log):
            server = standin.Store()
            rows = store.StoreClient(server.address, http, log)
            checks = (fx.Check("t", "k", 0),)
            writes = (fx.Write("t", "k", {"a": 1}),)
            status, version, _ = await rows.commit(checks, writes, 500)
            assert (status, version) == ("ok", 1)
            status, _, found = await rows.commit(checks, writes, 500)
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
                status, _, _ = await rows.commit(checks, writes, 200)
                assert status == expected, fault
            server.close()
            nobody = store.StoreClient("127.0.0.1:1", http, log)
            status, _, _ = await nobody.commit(checks, writes, 200)
            assert status == "refused"

        with_client(commit)

    def test_scan_reads_all_pages_and_feed_goes_on(self):
        """Guards against rows between a scan and the feed that get lost."""

        async def read(http, log):
            server = standin.Store(page=2)
            rows = store.StoreClient(server.address, http, log)
            for number in range(5):
                server.put("jobs", store.PART, f"k{number}", number)
            version, found = await rows.scan("jobs")
            assert [row.value for row in found] == [0, 1, 2, 3, 4]
            server.put("jobs", store.PART, "k9", 9)
            _, changed = await rows.changes("jobs", version, 1_000)
            assert [row.value for row in changed] == [9]
            server.forgotten = 100
            with pytest.raises(feeds.HistoryLost):
                await rows.changes("jobs", version, 1_000)
            server.fault = 503
            with pytest.raises(exceptions.Unavailable):
                await rows.changes("jobs", version, 1_000)

        with_client(read)


class TestWorkerCalls:
    def start_effect(self, worker, name="w1"):
        return fx.StartRun(
            name, worker.address, 7, 3, KEY, 2, "text", "save", "", 9, 300
        )

    def test_start_carries_all_fields(self):
        """Guards against an order that another worker would carry out."""

        async def call(http, log):
            worker = standin.Worker("w1")
            calls = workers.WorkerClient(http, log)
            result = await calls.start(self.start_effect(worker))
            assert result == ("ok", "")
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
            other = await calls.start(self.start_effect(worker, "w2"))
            assert other[0] == "reborn"

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
    def test_refusals(self, answer, expected):
        """Guards against a refusal taken for something that may run."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.answer = answer
            calls = workers.WorkerClient(http, log)
            assert await calls.start(self.start_effect(worker)) == expected

        with_client(call)

    def test_silence_is_unknown_and_no_connection_is_refused(self):
        """Guards against "not run" for an order that may have left."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.fault = "silent"
            calls = workers.WorkerClient(http, log)
            result, _ = await calls.start(self.start_effect(worker))
            assert result == "unknown"
            worker.address = "127.0.0.1:1"
            result, _ = await calls.start(self.start_effect(worker))
            assert result == "refused"

        with_client(call)

    def test_pace_names_run_and_share(self):
        """Guards against a task that is slowed down by a former leader."""

        async def call(http, log):
            worker = standin.Worker("w1")
            worker.runs[wire.task_name(KEY)] = [
                wire.task_name(KEY),
                2,
                "",
                41,
                900,
            ]
            calls = workers.WorkerClient(http, log)
            effect = fx.SetPace("w1", worker.address, 3, KEY, 2, 40, 300)
            assert await calls.pace(effect) == ("ok", "")
            _, path, _, body = worker.requests[0]
            assert path == "/api/pace"
            assert body == {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "attempt": 2,
                "pct": 40,
                "fence": 3,
            }
            assert worker.paces == {wire.task_name(KEY): 40}

        with_client(call)

    def test_look_decodes_runs_and_ends(self):
        """Guards against reports that end at the wrong task."""

        async def call(http, log):
            worker = standin.Worker("w1")
            name = wire.task_name(KEY)
            worker.runs[name] = [name, 2, "save", 41, 150]
            worker.ends = [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]]
            effect = fx.PollWorker("w1", worker.address, 3, 0, 0, 0, 500)
            calls = workers.WorkerClient(http, log)
            result, _, look = await calls.poll(effect)
            incarnation, _, running, ended = look
            assert (result, incarnation) == ("ok", 7)
            assert running == (records.RunReport(KEY, 2, "save", 41, 150),)
            done = records.EndReport(58, KEY._replace(index=9), 1, "done", "")
            assert ended == (done,)

        with_client(call)


class TestMachines:
    def test_upkeep_names_its_holder(self):
        """Guards against orders for a machine without a fencing token."""

        async def call(http, log):
            server = standin.Worker("cloud")
            calls = machines.MachineClient(server.address, "n1", http, log)
            server.answer = (200, {"machines": [], "next_token": None})
            assert await calls.list() == (True, ())
            server.answer = (409, {"reason": "busy"})
            effect = fx.BeginMaintenance("m-1", 2, 12)
            assert await calls.begin_maintenance(effect) == ("rejected", "busy")
            _, path, headers, body = server.requests[-1]
            assert path == "/api/machine-upkeep"
            assert headers["Skylarklug-Lease-Holder"] == "n1"
            assert headers["Skylarklug-Fence-Token"] == "12"
            assert body == {"machine": "m-1", "wave": 2}

        with_client(call)


class TestNames:
    # Words of the platform that mean nothing to the product.
    WORDS = (
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

    def test_only_the_adapter_knows_the_platform_s_names(self):
        """Guards against names of the platform that leak into the product."""
        found = []
        for path in sorted((ROOT / "packages").rglob("*.py")):
            text = path.read_text()
            for word in self.WORDS:
                if re.search(rf"(?<![\w-]){re.escape(word)}(?![\w-])", text):
                    found.append(f"{path.relative_to(ROOT)}: {word}")
        assert found == []

    def test_folder_does_not_hide_the_standard_module(self, monkeypatch):
        """Guards against a package that shadows the module `platform`."""
        assert not (ROOT / "platform" / "__init__.py").exists()
        monkeypatch.syspath_prepend(str(ROOT))
        import platform

        assert platform.python_version().startswith("3.")
