"""Drives a deployment with a trace, as callers and operators would."""

import asyncio
import itertools
import json
import time
from typing import Any

from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import outcomes
from skylarklug_standins import trace

READY_POLL_MS = 250
READY_TIMEOUT_S = 30.0
PROBE_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 10.0
CALLER_TIMEOUT_S = 15.0
PROGRESS_INTERVAL_S = 2.0
SETTLE_POLL_S = 0.5
ACKNOWLEDGE_S = 10.0
MAX_CALLERS = 512
CONNECT_ATTEMPTS = 3


class NotReady(Exception):
    """The nodes did not become ready in time."""


class Balancer:
    """Stand-in of the platform's load balancer.

    It polls `/ready` on each node's operator address, or on its caller
    address when the operator address does not know the path, and hands out
    ready nodes in turn.
    """

    def __init__(self, deployment: deployment_lib.Deployment, client):
        self._deployment = deployment
        self._client = client
        self._turn = itertools.count()
        self.ready: list[str] = []

    async def run(self):
        """Polls until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(READY_POLL_MS / 1000)

    async def poll(self):
        """Asks every node once."""
        nodes = list(self._deployment.ports)
        answers = await asyncio.gather(*(self._is_ready(n) for n in nodes))
        self.ready = [
            node
            for node, ready in zip(nodes, answers, strict=True)
            if ready and node in self._deployment.nodes
        ]

    def pick(self) -> str:
        """Returns a ready node, or any running one when none is ready."""
        nodes = self.ready or list(self._deployment.nodes)
        return nodes[next(self._turn) % len(nodes)]

    async def _is_ready(self, node):
        ports = self._deployment.ports[node]
        for port in (ports.operator, ports.caller):
            status = await self._status(f"http://{port.address}/ready")
            if status != 404:
                return status == 200
        return False

    async def _status(self, url):
        try:
            response = await self._client.fetch(
                url, request_timeout=PROBE_TIMEOUT_S, raise_error=False
            )
        except (OSError, httpclient.HTTPError):
            return 0
        return response.code


class Driver:
    """Sends the lines of a trace and collects what comes back.

    Args:
        deployment: A started deployment.
        lines: The trace, see `trace.read`.
        progress: Called with one line of text now and then.
    """

    def __init__(self, deployment, lines, progress=print):
        self.deployment = deployment
        self.lines = lines
        self.seen = outcomes.Observations()
        self._progress = progress
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLERS
        )
        self.balancer = Balancer(deployment, self._client)
        self._begin = 0.0

    async def run(self):
        """Waits for the nodes, drives the trace, waits for recovery."""
        await self._wait_ready()
        self._begin = time.monotonic()
        background = [
            asyncio.create_task(self.balancer.run()),
            asyncio.create_task(self._report_progress()),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for index, line in enumerate(self.lines):
                    if line["kind"] != "outcome":
                        group.create_task(self._line(index, line))
            await self._settle()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)

    def close(self):
        """Closes the callers' client."""
        self._client.close()

    def judge(self) -> list[outcomes.Outcome]:
        """Returns the stated outcomes as they stand now."""
        return outcomes.judge(
            self.lines,
            self.seen,
            self.deployment.ledger,
            self.deployment.violations(),
        )

    async def command(self, text: str, **fields) -> dict[str, Any]:
        """Sends an operator command to a ready node."""
        node = self.balancer.pick()
        address = self.deployment.ports[node].operator.address
        body = {
            "command": text,
            "key": "",
            "if_version": 0,
            "dry_run": False,
            **fields,
        }
        try:
            response = await self._client.fetch(
                f"http://{address}/operator/command",
                method="POST",
                body=json.dumps(body),
                headers={
                    "Authorization": f"Bearer {self.deployment.write_token}",
                    "Content-Type": "application/json",
                },
                request_timeout=COMMAND_TIMEOUT_S,
                raise_error=False,
            )
            answer = json.loads(response.body)
        except (OSError, ValueError, TypeError, httpclient.HTTPError) as exc:
            reason = f"node {node}: {type(exc).__name__}: {exc}"
            return {"status": "no answer", "message": reason}
        if not isinstance(answer, dict) or "status" not in answer:
            return {"status": "no answer", "message": f"{node}: {answer}"}
        return answer

    async def _wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        expected = len(self.deployment.ports)
        while len(self.balancer.ready) < expected:
            if time.monotonic() > deadline:
                missing = set(self.deployment.ports) - set(self.balancer.ready)
                raise NotReady(
                    f"nodes not ready after {READY_TIMEOUT_S:g} s: "
                    f"{', '.join(sorted(missing))}"
                )
            await self.balancer.poll()
            await asyncio.sleep(READY_POLL_MS / 1000)

    async def _sleep_until(self, at_ms):
        left = self._begin + at_ms / 1000 - time.monotonic()
        if left > 0:
            await asyncio.sleep(left)

    def _elapsed_s(self):
        return time.monotonic() - self._begin

    async def _line(self, index, line):
        await self._sleep_until(line["at"])
        kind = line["kind"]
        if kind == "request":
            await self._requests(line)
        elif kind == "submit":
            await self._submit(index, line)
        elif kind == "command":
            answer = await self.command(line["text"], key=f"trace-{index}")
            self.seen.commands[index] = answer["status"]
            self._tell(f"command {line['text']}: {answer['status']}")
        else:
            await self._inject(index, line)

    async def _submit(self, index, line):
        answer = await self.command(
            f"submit {line['key']}", key=line["key"], body=line["spec"]
        )
        self.seen.submits[index] = answer["status"]
        detail = answer.get("message", "")
        if answer["status"] == "done":
            detail = ""
        job = trace.job_id(line)
        self._tell(f"submit {job}: {answer['status']} {detail}".rstrip())

    async def _requests(self, line):
        async with asyncio.TaskGroup() as group:
            for number in range(line["count"]):
                at_ms = line["at"] + number * line["every_ms"]
                await self._sleep_until(at_ms)
                group.create_task(self._request(line, number))

    async def _request(self, line, number):
        token = f"{line['name']}-{number}"
        size = line.get("answer_bytes", 0)
        query = {"token": token, "size": size}
        if "service_ms" in line:
            query["ms"] = line["service_ms"]
        caller = number % line.get("callers", 1)
        headers = {"Skylarklug-Caller": f"caller-{caller}"}
        if "deadline_ms" in line:
            headers["Skylarklug-Deadline-Ms"] = str(line["deadline_ms"])
        body = None
        if line["method"] in ("POST", "PUT", "PATCH"):
            body = b"x" * line.get("body_bytes", 0)
        path = f"/svc/{line['service']}{line['path']}"
        begin = time.monotonic()
        response = await self._balanced(
            httputil.url_concat(path, query),
            method=line["method"],
            headers=headers,
            body=body,
        )
        took_ms = (time.monotonic() - begin) * 1000
        status = 0 if response is None else response.code
        result = classify(response, line["method"], token, size)
        self.seen.responses.append(
            outcomes.Response(
                line["name"], token, line["method"], status, result, took_ms
            )
        )

    async def _balanced(self, path, **options):
        """Sends a request; a refused connection goes to the next node.

        Nothing has been sent when a connection is refused, so this repeats
        no request. Returns None when no node answered.
        """
        for _ in range(CONNECT_ATTEMPTS):
            node = self.balancer.pick()
            address = self.deployment.ports[node].caller.address
            try:
                return await self._client.fetch(
                    f"http://{address}{path}",
                    request_timeout=CALLER_TIMEOUT_S,
                    raise_error=False,
                    **options,
                )
            except ConnectionRefusedError:
                continue
            except (OSError, httpclient.HTTPError):
                return None
        return None

    async def _inject(self, index, line):
        op = line["op"]
        if "node" in line:
            target = line["node"]
        else:
            target = line.get("worker") or self._worker_of(line["job"])
        if target is None:
            self.seen.events[index] = f"no worker runs {line['job']}"
            self._tell(f"event {op}: {self.seen.events[index]}")
            return
        self._tell(f"event {op} {target}")
        deployment = self.deployment
        if op == "kill-worker":
            await deployment.kill_worker(target)
        elif op == "leave-worker":
            deployment.leave_worker(target)
        elif op == "stop-node":
            await deployment.stop_node(target)
        else:
            await deployment.kill_node(target)
        self.seen.events[index] = ""
        self._tell(f"event {op} {target} done")

    def _worker_of(self, job):
        for name, worker in sorted(self.deployment.workers.items()):
            if not worker.alive:
                continue
            if any(task.startswith(f"{job}/") for task in worker.agent.runs):
                return name
        return None

    async def _settle(self):
        """Returns when the jobs' stated outcomes hold, or time is up.

        Everything else that a trace states is settled when its last line is.
        """
        ledger = self.deployment.ledger
        settle_s = self.deployment.cfg["settle_ms"] / 1000
        if not await _until(
            lambda: outcomes.jobs_hold(self.lines, self.seen, ledger), settle_s
        ):
            self._tell("the jobs' stated outcomes did not hold in settle_ms")
            return
        # Owners learn of the last finishes with the next renewals; until then
        # they would list these tasks as running.
        tasks = outcomes.all_tasks(self.lines)
        await _until(
            lambda: all(ledger.record(t).acknowledged() for t in tasks),
            ACKNOWLEDGE_S,
        )

    async def _report_progress(self):
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            responses = self.seen.responses
            good = sum(1 for r in responses if r.result == outcomes.OK)
            tasks = outcomes.all_tasks(self.lines)
            ledger = self.deployment.ledger
            records = [ledger.record(task) for task in tasks]
            running = sum(1 for r in records if r.open_interval())
            finished = sum(1 for r in records if r.finishes)
            self._tell(
                f"responses {good} ok of {len(responses)}, tasks "
                f"{running} running, {finished} finished of {len(tasks)}, "
                f"nodes ready {len(self.balancer.ready)}"
            )

    def _tell(self, text):
        self._progress(f"[{self._elapsed_s():6.1f} s] {text}")


async def _until(holds, timeout_s: float) -> bool:
    """Polls `holds` until it is true; returns False when time is up."""
    deadline = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(SETTLE_POLL_S)
    return True


def classify(response, method: str, token: str, size: int) -> str:
    """Returns the result of a request, one of `outcomes.RESULTS`."""
    if response is None or response.code == 599:
        return outcomes.NO_ANSWER
    if 200 <= response.code < 300:
        if method == "HEAD":
            return outcomes.OK
        return _compare(response.body, token, size)
    if response.headers.get("Skylarklug-Outcome") == "not-run":
        return outcomes.NOT_RUN
    return outcomes.UNKNOWN


def _compare(body, token, size):
    try:
        answer = json.loads(body)
    except ValueError:
        return outcomes.MISMATCHED
    complete = len(answer.get("padding", "")) == size
    if complete and answer.get("token") == token:
        return outcomes.OK
    return outcomes.MISMATCHED
