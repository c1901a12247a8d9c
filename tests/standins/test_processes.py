"""Tests of a deployment whose nodes run as separate processes."""

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
# Time limit of a test, from the start of the deployment.
TEST_TIMEOUT_S = 60
# Time limit of a single condition that a test waits for.
CONDITION_TIMEOUT_S = 40
# Concurrent callers of each node under load.
CALLERS_PER_NODE = 4
# Result of a request whose connection was refused.
REFUSED = "refused"
# Settings with short leases, so that a take-over happens within a test.
SHORT_LEASES = {"node_lease_ms": 3_000, "lease_ms": 20_000, "renewal_ms": 1_000}


def one_data_centre():
    cfg = settings.load(EXAMPLE)
    racks = [{"name": "yumbo-r1", "workers": 4}]
    cfg["data_centres"] = [{"name": "yumbo", "racks": racks}]
    return cfg | {"stop": {"notice_ms": 1_500, "drain_ms": 20_000}}


class Sync(NamedTuple):
    """Sync message that a worker answered, and the returned status."""

    worker: str
    message: dict
    status: str


async def wait_until(condition, description):
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, (
            f"timed out waiting for: {description}"
        )
        await asyncio.sleep(0.05)


class KeepAliveConnection:
    """Connection of a caller that is reused for several requests."""

    def __init__(self, port):
        self._port = port
        self._streams = None

    async def get(self, token, ms):
        """Sends a request; returns the head and the body of the response."""
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
    """Deployment with node processes, callers and an operator."""

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
        await wait_until(self.owner, "a node owns the partition")

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

    def other_nodes(self, node):
        return [name for name in self.deployment.ports if name != node]

    async def request(self, node, token, method="GET", ms=100, size=2000):
        """Sends a request; records and returns its result."""
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

    async def run_caller(self, node, name, stopped):
        """Sends requests sequentially until `stopped` is set."""
        method = "POST" if name % 2 else "GET"
        number = 0
        while not stopped.is_set():
            token = f"{node}.{name}.{number}"
            if await self.request(node, token, method) == REFUSED:
                return
            number += 1

    def start_callers(self, node, stopped):
        """Starts the callers of a node and returns their asyncio tasks."""
        return [
            asyncio.create_task(self.run_caller(node, name, stopped))
            for name in range(CALLERS_PER_NODE)
        ]

    def in_flight(self, node):
        """Returns the tokens of a node's requests that workers execute now."""
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
        """Submits a batch job and returns the names of its tasks."""
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

    def running_count(self, tasks):
        """Returns the number of tasks that execute now."""
        return sum(
            self.ledger.record(task).open_interval() is not None
            for task in tasks
        )

    async def wait_finished(self, tasks):
        """Waits until all tasks are finished; checks that each did so once."""
        records = [self.ledger.record(task) for task in tasks]
        await wait_until(
            lambda: all(r.accepted for r in records), "tasks finish"
        )
        counts = self.ledger.count(tasks)
        assert counts.finished_once == len(tasks), counts
        assert (counts.duplicated, counts.repeated) == (0, 0), counts

    def check_invariants(self):
        """Checks the invariants that hold during any failure."""
        assert self.deployment.violations() == []
        assert self.ledger.overlaps == []
        for token, result in self.results.items():
            ran = len(self.ledger.requests.get(token, ()))
            assert result != outcomes.MISMATCHED, token
            if result in (outcomes.NOT_RUN, REFUSED):
                assert ran == 0, f"{token}: {result}, but it ran"
            # Callers 1 and 3 send POST requests, which must not run twice.
            if token.split(".")[1] in "13":
                assert ran <= 1, f"{token} ran {ran} times"


def with_processes(**overrides):
    """Runs an async test with a deployment of three node processes."""

    def start(self, test):
        async def scenario():
            system = System(overrides)
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
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
    @with_processes()
    async def test_node_process_serves_request_and_job(self, system):
        """Guards against a node that works only within the test process."""
        node = system.owner()
        for number, method in enumerate(("GET", "POST")):
            token = f"{node}.{number}.0"
            result = await system.request(node, token, method, size=300_000)
            assert result == outcomes.OK
            assert len(system.ledger.requests[token]) == 1
        other = system.other_nodes(node)[0]
        await system.wait_finished(await system.submit(other, "one", 3, 300))


class TestKill:
    @with_processes(**SHORT_LEASES)
    async def test_kill_ends_only_requests_in_flight(self, system):
        """Guards against false "not run" results and orphaned partitions.

        A node is killed under load; another one has to take over its
        partition.
        """
        target_node = system.owner()
        epoch = system.epoch()
        stopped = asyncio.Event()
        target_callers = system.start_callers(target_node, stopped)
        other_callers = [
            caller
            for node in system.other_nodes(target_node)
            for caller in system.start_callers(node, stopped)
        ]
        await wait_until(
            lambda: (
                len(system.results_of(target_node)) >= 3 * CALLERS_PER_NODE
                and len(system.in_flight(target_node)) >= 2
            ),
            "requests are in flight",
        )
        await system.deployment.kill_node(target_node)
        await asyncio.gather(*target_callers)
        await wait_until(lambda: system.epoch() > epoch, "take-over")
        stopped.set()
        await asyncio.gather(*other_callers)
        assert system.owner() in system.other_nodes(target_node)
        failed = {
            token: result
            for token, result in system.results_of(target_node).items()
            if result not in (outcomes.OK, REFUSED)
        }
        assert set(failed.values()) == {outcomes.NO_ANSWER}
        # When a process is killed, its connections are reset before its
        # listening sockets are closed. A new connection may still enter the
        # backlog and is reset too; its request must not have been executed.
        first = {}
        for token in failed:
            first.setdefault(token.split(".")[1], token)
        assert 2 <= len(first) <= CALLERS_PER_NODE
        for token in failed.keys() - set(first.values()):
            assert token not in system.ledger.requests, token
        for node in system.other_nodes(target_node):
            assert set(system.results_of(node).values()) == {outcomes.OK}
        tasks = await system.submit(system.owner(), "after", 3, 300)
        await system.wait_finished(tasks)


class TestTerminate:
    @with_processes()
    async def test_planned_stop_interrupts_no_request(self, system):
        """Guards against interrupted requests and an unreleased lease."""
        target_node = system.owner()
        stopped = asyncio.Event()
        callers = system.start_callers(target_node, stopped)
        # They take longer than the notice time, so they end during the drain.
        slow = [
            asyncio.create_task(
                system.request(target_node, f"{target_node}.slow.{n}", ms=4_000)
            )
            for n in range(2)
        ]
        await wait_until(
            lambda: (
                len(system.results_of(target_node)) >= CALLERS_PER_NODE
                and sum(".slow." in t for t in system.in_flight(target_node))
                == 2
            ),
            "requests are in flight",
        )
        process = system.deployment.nodes[target_node]
        process.send_signal(signal.SIGTERM)
        # Callers stop once `/ready` fails, as behind a load balancer.
        url = (
            f"http://{system.deployment.ports[target_node].operator.address}"
            "/ready"
        )
        while (await support.fetch(url)).code == 200:
            await asyncio.sleep(0.02)
        stopped.set()
        await asyncio.gather(*callers, *slow)
        results = system.results_of(target_node)
        assert set(results.values()) == {outcomes.OK}, results
        assert await process.wait() == 0
        await wait_until(
            lambda: system.owner() in system.other_nodes(target_node),
            "take-over",
        )
        # If the lease had expired instead, the new owner would have fenced it.
        assert system.row(f"node/{target_node}").get("state") == "released"

    @with_processes()
    async def test_request_during_the_hand_over_is_answered(self, system):
        """Guards against an exit during a request on a kept-alive connection.

        An outage of the table delays the hand-over until the request runs.
        """
        target_node = system.owner()
        token = f"{target_node}.kept.0"
        conn = KeepAliveConnection(system.deployment.ports[target_node].caller)
        try:
            await conn.get(f"{target_node}.kept.first", 5)
            table = system.deployment.table
            table.faults.set(outage=True)
            process = system.deployment.nodes[target_node]
            process.send_signal(signal.SIGTERM)
            await wait_until(
                lambda: b"step=hand-over" in process.output.read_bytes(),
                "hand-over",
            )
            answer = asyncio.create_task(conn.get(token, 1_500))
            await wait_until(lambda: token in system.ledger.requests, "it runs")
            table.faults.set()
            head, body = await answer
        finally:
            conn.close()
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in head.lower()
        assert json.loads(body)["token"] == token
        assert await process.wait() == 0


class TestPause:
    @with_processes(**SHORT_LEASES)
    async def test_owner_paused_beyond_its_lease_stops_acting(self, system):
        """Guards against a resumed owner that still acts for a partition."""
        target_node = system.owner()
        epoch = system.epoch()
        # The first 8 tasks fill the 4 workers of 16 cpus; the queued tasks wait
        # until an owner places them.
        other = system.other_nodes(target_node)[0]
        first = await system.submit(other, "first", 8, 8_000, cpus=8.0)
        await wait_until(lambda: system.running_count(first) == 8, "tasks run")
        queued = await system.submit(other, "queued", 4, 500, cpus=8.0)
        system.deployment.send_signal(target_node, signal.SIGSTOP)
        await wait_until(lambda: system.epoch() > epoch, "take-over")
        await wait_until(
            lambda: any(s.message["epoch"] > epoch for s in system.syncs),
            "the new owner syncs with a worker",
        )
        resumed = len(system.syncs)
        system.deployment.send_signal(target_node, signal.SIGCONT)
        await wait_until(
            lambda: system.row(f"node/{target_node}").get("state") == "held",
            "the former owner has a lease again",
        )
        await system.wait_finished(first + queued)
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
    @with_processes(**SHORT_LEASES)
    async def test_tasks_continue_and_finishes_are_deferred(self, system):
        """Guards against lost or prematurely acknowledged work in an outage."""
        node = system.owner()
        tasks = await system.submit(node, "outage", 4, 1_500)
        await wait_until(lambda: system.running_count(tasks) == 4, "tasks run")
        system.deployment.table.faults.set(outage=True)
        stopped = asyncio.Event()
        callers = [
            caller
            for name in system.deployment.ports
            for caller in system.start_callers(name, stopped)
        ]
        records = [system.ledger.record(task) for task in tasks]
        await wait_until(lambda: all(r.finishes for r in records), "tasks end")
        # Waits until the owner has received the finishes and its node lease has
        # expired.
        begin = len(system.syncs)
        await wait_until(
            lambda: (
                {s.worker for s in system.syncs[begin:]}
                == set(system.deployment.workers)
            ),
            "workers are renewed",
        )
        await asyncio.sleep(SHORT_LEASES["node_lease_ms"] / 1000)
        assert not any(r.accepted for r in records)
        system.deployment.table.faults.set()
        await system.wait_finished(tasks)
        stopped.set()
        await asyncio.gather(*callers)
        assert set(system.results.values()) == {outcomes.OK}
        rows = system.deployment.table.scan(f"task/{PARTITION}/sealing.outage")
        states = [value.get("state") for _, _, value in rows]
        assert states == ["finished"] * 4, rows


class TestBadSettings:
    def test_every_problem_is_printed_and_nothing_starts(self, tmp_path):
        """Guards against a node that starts or reports only one problem."""
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
            printed, _ = process.communicate(timeout=CONDITION_TIMEOUT_S)
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
