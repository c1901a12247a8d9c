"""Tests of the system as separate processes on loopback."""

import asyncio
import json
import pathlib
import re
import signal
import subprocess
import time
from typing import NamedTuple

from tests.standins import support
from tornado import httpclient
from tornado import simple_httpclient

from skylarklug_standins import driver
from skylarklug_standins import outcomes
from skylarklug_standins import processes
from skylarklug_standins import settings

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "casva.toml"
PARTITION = "yumbo/0"
LIMIT_S = 60
WAIT_S = 40
CALLERS = 4
REFUSED = "refused"
SHORT_LEASES = {"node_lease_ms": 3_000, "lease_ms": 20_000, "renewal_ms": 1_000}


def one_data_centre():
    cfg = settings.load(EXAMPLE)
    racks = [{"name": "yumbo-r1", "workers": 4}]
    cfg["data_centres"] = [{"name": "yumbo", "racks": racks}]
    return cfg | {"stop": {"notice_ms": 1_500, "drain_ms": 20_000}}


class Sync(NamedTuple):
    """A sync that a worker answered."""

    worker: str
    message: dict
    status: str


async def until(holds, what):
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline, f"did not happen: {what}"
        await asyncio.sleep(0.05)


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, port):
        self._port = port
        self._streams = None

    async def get(self, token, ms):
        """Returns head and body of the response."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                "127.0.0.1", self._port.port
            )
        reader, writer = self._streams
        target = f"/svc/certvault/heats?token={token}&ms={ms}"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        return head, await reader.readexactly(int(length[1]))

    def close(self):
        if self._streams is not None:
            self._streams[1].close()


class System:
    """A deployment of processes with its callers and operator."""

    def __init__(self, overrides):
        self.deployment = processes.ProcessDeployment(
            one_data_centre(), overrides
        )
        self.ledger = self.deployment.ledger
        self.results = {}
        self.syncs = []
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=200
        )

    async def start(self):
        await self.deployment.start()
        for worker in self.deployment.workers.values():
            self._record_syncs(worker)
        await until(self.owner, "a node owns the partition")

    def _record_syncs(self, worker):
        sync = worker.agent.sync

        async def recorded(message):
            response = await sync(message)
            self.syncs.append(Sync(worker.vm, message, response["status"]))
            return response

        worker.agent.sync = recorded

    async def stop(self):
        self._client.close()
        await self.deployment.stop()

    def row(self, key):
        return self.deployment.table.get(key)[1] or {}

    def owner(self):
        return self.row(f"partition/{PARTITION}").get("owner", "")

    def epoch(self):
        return self.row(f"partition/{PARTITION}").get("epoch", 0)

    def others(self, node):
        return [name for name in self.deployment.ports if name != node]

    async def request(self, node, token, method="GET", ms=100, size=2000):
        """Records and returns the result of one request."""
        address = self.deployment.ports[node].caller.address
        query = f"token={token}&ms={ms}&size={size}"
        try:
            response = await self._client.fetch(
                f"http://{address}/svc/certvault/heats?{query}",
                method=method,
                body=b"x" * 4096 if method == "POST" else None,
                headers={"Skylarklug-Deadline-Ms": "20000"},
                request_timeout=30,
                raise_error=False,
            )
        except ConnectionRefusedError:
            self.results[token] = REFUSED
            return REFUSED
        except (OSError, httpclient.HTTPError):
            response = None
        result = driver.classify(response, method, token, size)
        self.results[token] = result
        return result

    async def caller(self, node, name, stopped):
        """Sends requests one after the other until `stopped` is set."""
        method = "POST" if name % 2 else "GET"
        number = 0
        while not stopped.is_set():
            token = f"{node}.{name}.{number}"
            if await self.request(node, token, method) == REFUSED:
                return
            number += 1

    def load(self, node, stopped):
        """Starts the callers of a node."""
        return [
            asyncio.create_task(self.caller(node, name, stopped))
            for name in range(CALLERS)
        ]

    def in_flight(self, node):
        """Tokens of a node that workers execute."""
        return [
            token
            for token in self.ledger.requests
            if token.startswith(f"{node}.")
            and token not in self.ledger.completed
        ]

    def results_of(self, node):
        return {
            token: result
            for token, result in self.results.items()
            if token.startswith(f"{node}.")
        }

    async def submit(self, node, key, tasks, run_time_ms, cpus=1.0):
        """Submits a batch job; returns the names of its tasks."""
        spec = {
            "team": "sealing",
            "kind": "batch",
            "tasks": tasks,
            "size": {"cpus": cpus, "memory_mb": 1000},
            "run_time_ms": run_time_ms,
            "data_centre": "yumbo",
            "payload": {"units": 10},
        }
        response = await self._client.fetch(
            f"http://{self.deployment.ports[node].operator.address}"
            "/operator/command",
            method="POST",
            body=json.dumps(
                {"command": f"submit {key}", "key": key, "body": spec}
            ),
            headers={"Authorization": f"Bearer {self.deployment.write_token}"},
            raise_error=False,
        )
        assert json.loads(response.body)["status"] == "done", response.body
        return [f"sealing.{key}/{index}" for index in range(tasks)]

    def running(self, tasks):
        """Returns how many of the tasks execute now."""
        return sum(
            self.ledger.record(task).open_interval() is not None
            for task in tasks
        )

    async def finished(self, tasks):
        """Waits for durable finishes; checks that each happened once."""
        records = [self.ledger.record(task) for task in tasks]
        await until(lambda: all(r.accepted for r in records), "tasks finish")
        counts = self.ledger.count(tasks)
        assert counts.finished_once == len(tasks), counts
        assert (counts.duplicated, counts.repeated) == (0, 0), counts

    def check_invariants(self):
        """Checks what must hold whatever fails."""
        assert self.deployment.violations() == []
        assert self.ledger.overlaps == []
        for token, result in self.results.items():
            ran = len(self.ledger.requests.get(token, ()))
            assert result != outcomes.MISMATCHED, token
            if result in (outcomes.NOT_RUN, REFUSED):
                assert ran == 0, f"{token}: {result}, but it ran"
            if token.split(".")[1] in "13":
                assert ran <= 1, f"{token} ran {ran} times"


def on_processes(**overrides):
    """Runs an async test with three node processes, and ends them."""

    def start(self, test):
        async def scenario():
            system = System(overrides)
            try:
                async with asyncio.timeout(LIMIT_S):
                    await system.start()
                    await test(self, system)
                    system.check_invariants()
            except BaseException:
                print(system.deployment.outputs()[-20_000:])
                raise
            finally:
                await system.stop()

        return scenario()

    return support.decorator(start)


class TestWork:
    @on_processes()
    async def test_request_and_job_pass_through_a_process(self, system):
        """Guards against a node binary that works only inside a test."""
        node = system.owner()
        for number, method in enumerate(("GET", "POST")):
            token = f"{node}.{number}.0"
            result = await system.request(node, token, method, size=300_000)
            assert result == outcomes.OK
            assert len(system.ledger.requests[token]) == 1
        other = system.others(node)[0]
        await system.finished(await system.submit(other, "one", 3, 300))


class TestKill:
    @on_processes(**SHORT_LEASES)
    async def test_kill_ends_only_requests_in_flight(self, system):
        """Guards against false "not run" and lost partitions in a crash."""
        victim = system.owner()
        epoch = system.epoch()
        stopped = asyncio.Event()
        lost = system.load(victim, stopped)
        kept = [
            caller
            for node in system.others(victim)
            for caller in system.load(node, stopped)
        ]
        await until(
            lambda: (
                len(system.results_of(victim)) >= 3 * CALLERS
                and len(system.in_flight(victim)) >= 2
            ),
            "requests are in flight",
        )
        await system.deployment.kill_node(victim)
        await asyncio.gather(*lost)
        await until(lambda: system.epoch() > epoch, "take-over")
        stopped.set()
        await asyncio.gather(*kept)
        assert system.owner() in system.others(victim)
        failed = {
            token: result
            for token, result in system.results_of(victim).items()
            if result not in (outcomes.OK, REFUSED)
        }
        assert set(failed.values()) == {outcomes.NO_ANSWER}
        # While a killed process is torn down, its connections are reset
        # before its listening sockets close: a new connection may still be
        # queued there and is reset too. Its request must never have run.
        first = {}
        for token in failed:
            first.setdefault(token.split(".")[1], token)
        assert 2 <= len(first) <= CALLERS
        for token in failed.keys() - set(first.values()):
            assert token not in system.ledger.requests, token
        for node in system.others(victim):
            assert set(system.results_of(node).values()) == {outcomes.OK}
        tasks = await system.submit(system.owner(), "after", 3, 300)
        await system.finished(tasks)


class TestTerminate:
    @on_processes()
    async def test_planned_stop_cuts_no_request(self, system):
        """Guards against requests cut by a stop and an unreleased lease."""
        victim = system.owner()
        stopped = asyncio.Event()
        callers = system.load(victim, stopped)
        # These outlast the notice time, so that they end while draining.
        slow = [
            asyncio.create_task(
                system.request(victim, f"{victim}.slow.{n}", ms=4_000)
            )
            for n in range(2)
        ]
        await until(
            lambda: (
                len(system.results_of(victim)) >= CALLERS
                and sum(".slow." in t for t in system.in_flight(victim)) == 2
            ),
            "requests are in flight",
        )
        process = system.deployment.nodes[victim]
        process.send_signal(signal.SIGTERM)
        # Callers leave as those of a load balancer that sees `/ready` do.
        url = f"http://{system.deployment.ports[victim].operator.address}/ready"
        while (await support.fetch(url)).code == 200:
            await asyncio.sleep(0.02)
        stopped.set()
        await asyncio.gather(*callers, *slow)
        results = system.results_of(victim)
        assert set(results.values()) == {outcomes.OK}, results
        assert await process.wait() == 0
        await until(
            lambda: system.owner() in system.others(victim), "take-over"
        )
        # A lease that had expired would have been fenced by the new owner.
        assert system.row(f"node/{victim}").get("state") == "released"

    @on_processes()
    async def test_request_during_the_hand_over_is_answered(self, system):
        """Guards against an exit that cuts a request on a kept connection."""
        victim = system.owner()
        token = f"{victim}.kept.0"
        conn = KeptConnection(system.deployment.ports[victim].caller)
        try:
            await conn.get(f"{victim}.kept.first", 5)
            table = system.deployment.table
            table.faults.set(outage=True)
            process = system.deployment.nodes[victim]
            process.send_signal(signal.SIGTERM)
            await until(
                lambda: b"step=hand-over" in process.output.read_bytes(),
                "hand-over",
            )
            answer = asyncio.create_task(conn.get(token, 1_500))
            await until(lambda: token in system.ledger.requests, "it runs")
            table.faults.set()
            head, body = await answer
        finally:
            conn.close()
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in head.lower()
        assert json.loads(body)["token"] == token
        assert await process.wait() == 0


class TestPause:
    @on_processes(**SHORT_LEASES)
    async def test_owner_paused_beyond_its_lease_acts_no_more(self, system):
        """Guards against a resumed owner that still acts for a partition."""
        victim = system.owner()
        epoch = system.epoch()
        # 4 workers of 16 cpus hold the first 8 tasks; the others wait for an
        # owner that places them.
        other = system.others(victim)[0]
        first = await system.submit(other, "first", 8, 8_000, cpus=8.0)
        await until(lambda: system.running(first) == 8, "tasks run")
        queued = await system.submit(other, "queued", 4, 500, cpus=8.0)
        system.deployment.send_signal(victim, signal.SIGSTOP)
        await until(lambda: system.epoch() > epoch, "take-over")
        await until(
            lambda: any(s.message["epoch"] > epoch for s in system.syncs),
            "the new owner reaches a worker",
        )
        resumed = len(system.syncs)
        system.deployment.send_signal(victim, signal.SIGCONT)
        await until(
            lambda: system.row(f"node/{victim}").get("state") == "held",
            "the former owner has a lease again",
        )
        await system.finished(first + queued)
        newest = {}
        for sync in system.syncs:
            sent = sync.message["epoch"]
            if sync.status == "ok":
                assert sent >= newest.get(sync.worker, 0), sync
                newest[sync.worker] = sent
        assert len(newest) == 4 and min(newest.values()) > epoch, newest
        late_starts = [
            sync
            for sync in system.syncs[resumed:]
            if sync.message["epoch"] <= epoch
            and any(c["op"] == "start" for c in sync.message["commands"])
        ]
        assert late_starts == []


class TestTableOutage:
    @on_processes(**SHORT_LEASES)
    async def test_work_goes_on_and_finishes_wait(self, system):
        """Guards against work lost or acknowledged early in an outage."""
        node = system.owner()
        tasks = await system.submit(node, "outage", 4, 1_500)
        await until(lambda: system.running(tasks) == 4, "tasks run")
        system.deployment.table.faults.set(outage=True)
        stopped = asyncio.Event()
        callers = [
            caller
            for name in system.deployment.ports
            for caller in system.load(name, stopped)
        ]
        records = [system.ledger.record(task) for task in tasks]
        await until(lambda: all(r.finishes for r in records), "tasks end")
        # The owner learns of the finishes and its node lease runs out.
        begin = len(system.syncs)
        await until(
            lambda: (
                {s.worker for s in system.syncs[begin:]}
                == set(system.deployment.workers)
            ),
            "workers are renewed",
        )
        await asyncio.sleep(SHORT_LEASES["node_lease_ms"] / 1000)
        assert not any(r.accepted for r in records)
        system.deployment.table.faults.set()
        await system.finished(tasks)
        stopped.set()
        await asyncio.gather(*callers)
        assert set(system.results.values()) == {outcomes.OK}
        rows = system.deployment.table.scan(f"task/{PARTITION}/sealing.outage")
        states = [value.get("state") for _, _, value in rows]
        assert states == ["finished"] * 4, rows


class TestBadSettings:
    def test_every_problem_is_printed_and_nothing_starts(self, tmp_path):
        """Guards against a node that starts, or names one problem only."""
        path = tmp_path / "bad.toml"
        cfg = {
            "node": "yumbo-1",
            "data_centre": "yumbo",
            "region": "valle",
            "caller": {"host": "127.0.0.1", "port": 70_000},
            "operator": {"host": "localhost", "port": 0},
            "peer": {"host": "127.0.0.1", "port": 0, "secret": "short"},
            "platform": {"table": "ftp://x", "objects": "http://127.0.0.1:1"},
            "partitions": 0,
            "colour": "blue",
        }
        processes.write_settings(path, cfg)
        process = processes.launch_node(path, subprocess.PIPE)
        try:
            printed, _ = process.communicate(timeout=WAIT_S)
        finally:
            process.kill()
            process.wait()
        assert process.returncode == 2
        keys = sorted(
            line.split(": ")[2] for line in printed.decode().splitlines()
        )
        assert keys == [
            "caller.port",
            "colour",
            "operator.host",
            "partitions",
            "peer.secret",
            "platform.table",
            "platform.vm_list",
        ]
