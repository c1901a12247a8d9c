import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys

import odd_entries
import platform_standin as standin

from skylarklugd import client

ROOT = pathlib.Path(__file__).resolve().parents[2]
JOB = "5c0e7a21d94b36f8"
HOST_HEADER = {"Host": "hub.example:80"}
# Capacity of a pipe: bytes that fit before a writer blocks.
PIPE_BYTES = 65_536
# Limit of each wait, generous for a busy machine. A wait ends as soon as its
# condition holds.
TIMEOUT_S = 20


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def free_port_range(count):
    """Returns the first and the last of free ports that follow each other."""
    while True:
        (first,) = free_ports(1)
        try:
            for port in range(first, first + count):
                with socket.socket() as bound:
                    bound.bind(("127.0.0.1", port))
        except (OSError, OverflowError):
            continue
        return [first, first + count - 1]


async def wait_until(condition):
    """Waits until `await condition()` is true."""

    async def loop():
        while not await condition():
            await asyncio.sleep(0.05)

    await asyncio.wait_for(loop(), TIMEOUT_S)


class SchedulerProcess:
    """The scheduler in a process of its own, with stand-ins for its peers."""

    def __init__(self, tmp_path):
        self.store = standin.Store()
        self.worker = standin.Worker("w1")
        self.store.put("servers", "", "w1", self.worker.entry())
        front, ready, metrics = free_ports(3)
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.metrics = f"127.0.0.1:{metrics}"
        fields = standin.settings(
            self.store.address, self.front, self.ready, [metrics, metrics]
        )
        self.path = tmp_path / "settings.json"
        self.path.write_text(json.dumps(fields))
        self.http = client.Client(connections=8, connect_timeout_ms=1_000)
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "node.py"),
            env={**os.environ, "SKYLARKLUG_BOOT": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    async def request(self, address, method="GET", path="/", body=None):
        try:
            return await self.http.call(
                address, method, path, body, 5_000, HOST_HEADER
            )
        except client.upstream.ExchangeFailed:
            return client.Response(0, None, b"")

    async def is_ready(self):
        answer = await self.request(self.ready, path="/api/readyz")
        return answer.status == 200

    async def job_state(self, job=JOB):
        answer = await self.request(self.front, path=f"/batch/{job}")
        if answer.status != 200:
            return answer.status
        return json.loads(answer.body)["state"]

    async def stop(self):
        self.process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.wait_for(
            self.process.communicate(), TIMEOUT_S
        )
        return self.process.returncode, output.decode()


def run_scenario(tmp_path, scenario):
    async def run():
        scheduler = SchedulerProcess(tmp_path)
        await scheduler.start()
        try:
            await scenario(scheduler)
        finally:
            scheduler.http.close()
            if scheduler.process.returncode is None:
                scheduler.process.kill()
                await scheduler.process.wait()

    asyncio.run(run())


class TestProcess:
    def test_job_runs_from_submission_to_completion(self, tmp_path):
        """Guards against modules that pass their own tests but fail as a
        program."""

        async def scenario(scheduler):
            body = json.dumps(
                {
                    "spec": "text",
                    "steps": [
                        {"count": 2, "cpu": 500, "mem_mb": 10, "est_ms": 100},
                        {"count": 1, "cpu": 500, "after": [0]},
                    ],
                }
            ).encode()
            await asyncio.sleep(0.5)
            assert not await scheduler.is_ready()
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await wait_until(scheduler.is_ready)
            path = f"/batch/{JOB}"
            answer = await scheduler.request(
                scheduler.front, "POST", path, body
            )
            assert answer.status == 200

            async def done():
                return await scheduler.job_state() == "done"

            await wait_until(done)
            names = [body["task"] for body in scheduler.worker.started]
            # Orders of one step are sent concurrently, each on a connection of
            # its own, so they may arrive in any order.
            assert sorted(names[:2]) == [f"{JOB}.0.0.0", f"{JOB}.0.0.1"]
            assert names[2:] == [f"{JOB}.0.1.0"]
            repeated = await scheduler.request(
                scheduler.front, "POST", path, body
            )
            assert repeated.status == 200
            unmatched = await scheduler.request(
                scheduler.front, path="/other/x"
            )
            assert unmatched.status == 404
            assert await scheduler.job_state("0" * 16) == 410
            malformed = await scheduler.request(
                scheduler.front, "POST", path, b"{"
            )
            assert malformed.status == 400
            text = await scheduler.request(scheduler.metrics, path="/metrics")
            assert b"skylarklug_answer_duration" in text.body
            assert b"skylarklug_configuration_age" in text.body
            code, output = await scheduler.stop()
            assert code == 0, output
            assert "event=exit" in output
            assert f"job={JOB}" in output

        run_scenario(tmp_path, scenario)

    def test_odd_entries_end_neither_the_process_nor_its_feed(self, tmp_path):
        """Guards against a process that ends, or uses no worker any more,
        because another writer left odd entries among those of the workers."""

        async def scenario(scheduler):
            def put_odd_entries(prefix):
                for number, value in enumerate(odd_entries.ODD_VALUES):
                    name = f"{prefix}{number}"
                    scheduler.store.ver += 1
                    scheduler.store.write("servers", "", name, value)

            async def run_job(job, step):
                body = json.dumps({"spec": "", "steps": [step]}).encode()
                path = f"/batch/{job}"
                answer = await scheduler.request(
                    scheduler.front, "POST", path, body
                )
                assert answer.status == 200

                async def done():
                    return await scheduler.job_state(job) == "done"

                await wait_until(done)

            put_odd_entries("a-")
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await wait_until(scheduler.is_ready)
            await run_job("1" * 16, {"count": 1, "cpu": 500})
            put_odd_entries("z-")
            # One odd entry over that of a good worker, and a new worker.
            scheduler.store.put("servers", "", "w1", {"service": 5})
            other = standin.Worker("w2")
            scheduler.store.put("servers", "", "w2", other.entry(labels=["b"]))
            step = {"count": 1, "cpu": 500, "required_label": "b"}
            await run_job("2" * 16, step)
            assert [run["task"][:16] for run in other.started] == ["2" * 16]
            scheduler.store.put("servers", "", "w1", scheduler.worker.entry())
            step = {"count": 1, "cpu": 500, "required_label": "a"}
            await run_job("3" * 16, step)
            assert scheduler.process.returncode is None
            for row in scheduler.store.rows.values():
                if row["key"] == "roster":
                    roster = json.loads(base64.b64decode(row["value"]))
            assert sorted(roster) == ["w1", "w2"]
            code, output = await scheduler.stop()
            assert code == 0, output
            assert "event=entry-unreadable" in output
            assert "event=defect" not in output
            assert "event=feed-lost" not in output

        run_scenario(tmp_path, scenario)

    def test_long_running_job_runs_until_cancelled(self, tmp_path):
        """Guards against a cancellation that is accepted but not executed."""

        async def scenario(scheduler):
            scheduler.worker.run_ms = 60_000
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await wait_until(scheduler.is_ready)
            step = {"count": 1, "cpu": 500, "long_running": True}
            body = json.dumps({"spec": "", "steps": [step]}).encode()
            path = f"/batch/{JOB}"
            await scheduler.request(scheduler.front, "POST", path, body)

            async def running():
                return bool(scheduler.worker.runs)

            await wait_until(running)
            answer = await scheduler.request(scheduler.front, "DELETE", path)
            assert answer.status == 200

            async def ended():
                return not scheduler.worker.runs

            await wait_until(ended)

            async def cancelled():
                return await scheduler.job_state() == "canceled"

            await wait_until(cancelled)

        run_scenario(tmp_path, scenario)

    def test_changed_settings_are_applied(self, tmp_path):
        """Guards against a node that ignores changed settings, or exits when
        the file is not valid."""

        async def scenario(scheduler):
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await wait_until(scheduler.is_ready)
            fields = json.loads(scheduler.path.read_text())
            scheduler.path.write_text("{")
            scheduler.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            new_store = standin.Store()
            new_store.put("op", "", "config", standin.CONFIGURATION)
            new_store.put("servers", "", "w1", scheduler.worker.entry())
            fields["platform"]["addr"] = new_store.address
            scheduler.path.write_text(json.dumps(fields))
            scheduler.process.send_signal(signal.SIGHUP)

            async def new_store_is_used():
                return bool(new_store.requests)

            await wait_until(new_store_is_used)
            assert await scheduler.is_ready()
            _, output = await scheduler.stop()
            assert "event=settings-unread" in output
            assert "event=reload" in output

        run_scenario(tmp_path, scenario)

    def test_unread_log_does_not_block_the_node(self, tmp_path):
        """Guards against a log reader that stops reading and so blocks
        requests."""

        async def scenario(scheduler):
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await wait_until(scheduler.is_ready)
            # Each request is logged and nothing reads the log, so the pipe
            # fills up.
            for number in range(600):
                path = f"/batch/{number:016x}"
                answer = await scheduler.request(
                    scheduler.front, "POST", path, b"{"
                )
                assert answer.status == 400

        run_scenario(tmp_path, scenario)

    def test_invalid_settings_exit_with_a_reason(self, tmp_path):
        """Guards against a process that starts with invalid settings."""

        async def scenario(scheduler):
            scheduler.process.kill()
            await scheduler.process.wait()
            scheduler.path.write_text("{}")
            await scheduler.start()
            output, _ = await scheduler.process.communicate()
            assert scheduler.process.returncode == 2
            assert b"bounds" in output

        run_scenario(tmp_path, scenario)
