"""Replays a driver trace against a deployment as callers and operators."""

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

# Interval between the load balancer's readiness checks.
READY_POLL_MS = 250
# Time for all nodes to become ready before the trace starts.
READY_TIMEOUT_S = 30.0
# Timeout of one readiness check.
PROBE_TIMEOUT_S = 1.0
# Timeout of one operator command.
COMMAND_TIMEOUT_S = 10.0
# Timeout of one caller request.
CALLER_TIMEOUT_S = 15.0
# Interval between progress lines.
PROGRESS_INTERVAL_S = 2.0
# Interval between checks of the job outcomes at the end of the trace.
SETTLE_POLL_S = 0.5
# Time for the owners to acknowledge the last finished tasks.
ACKNOWLEDGE_TIMEOUT_S = 10.0
# Requests above this number wait in the HTTP client.
MAX_CONCURRENT_REQUESTS = 512
# Connections that are tried before a request counts as unanswered.
CONNECT_ATTEMPTS = 3


class NotReadyError(Exception):
    """The nodes did not become ready in time."""


class LoadBalancer:
    """Stand-in for the platform's load balancer.

    Polls `/ready` on the operator address of each node, or on its caller
    address if the operator address returns 404, and selects ready nodes in
    round-robin order.
    """

    def __init__(self, deployment: deployment_lib.Deployment, client):
        self._deployment = deployment
        self._client = client
        self._picks = itertools.count()
        self.ready: list[str] = []

    async def run(self):
        """Polls until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(READY_POLL_MS / 1000)

    async def poll(self):
        """Checks the readiness of every node once."""
        nodes = list(self._deployment.ports)
        answers = await asyncio.gather(*(self._is_ready(n) for n in nodes))
        self.ready = [
            node
            for node, ready in zip(nodes, answers, strict=True)
            if ready and node in self._deployment.nodes
        ]

    def pick(self) -> str:
        """Returns a ready node, or any running node if none is ready."""
        nodes = self.ready or list(self._deployment.nodes)
        return nodes[next(self._picks) % len(nodes)]

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
    """Executes the lines of a trace and collects the responses.

    Args:
        deployment: A started deployment.
        lines: The trace, see `trace.read`.
        progress: Called with one line of text for each event and every
            `PROGRESS_INTERVAL_S`.
    """

    def __init__(self, deployment, lines, progress=print):
        self.deployment = deployment
        self.lines = lines
        self.observations = outcomes.Observations()
        self._progress = progress
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )
        self.balancer = LoadBalancer(deployment, self._client)
        self._started_at = 0.0

    async def run(self):
        """Waits for the nodes, runs the trace and waits for the jobs."""
        await self._wait_ready()
        self._started_at = time.monotonic()
        background = [
            asyncio.create_task(self.balancer.run()),
            asyncio.create_task(self._report_progress()),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for index, line in enumerate(self.lines):
                    if line["kind"] != "outcome":
                        group.create_task(self._run_line(index, line))
            await self._wait_settled()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)

    def close(self):
        """Closes the HTTP client."""
        self._client.close()

    def evaluate(self) -> list[outcomes.Outcome]:
        """Compares the expected outcomes with the current observations."""
        return outcomes.evaluate(
            self.lines,
            self.observations,
            self.deployment.ledger,
            self.deployment.violations(),
        )

    async def command(self, text: str, **fields) -> dict[str, Any]:
        """Sends an operator command to a ready node and returns its answer.

        The status is "no answer" if the node returns no valid answer.
        """
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
                raise NotReadyError(
                    f"nodes not ready after {READY_TIMEOUT_S:g} s: "
                    f"{', '.join(sorted(missing))}"
                )
            await self.balancer.poll()
            await asyncio.sleep(READY_POLL_MS / 1000)

    async def _sleep_until(self, at_ms):
        remaining_s = self._started_at + at_ms / 1000 - time.monotonic()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def _elapsed_s(self):
        return time.monotonic() - self._started_at

    async def _run_line(self, index, line):
        await self._sleep_until(line["at"])
        kind = line["kind"]
        if kind == "request":
            await self._send_requests(line)
        elif kind == "submit":
            await self._submit(index, line)
        elif kind == "command":
            answer = await self.command(line["text"], key=f"trace-{index}")
            self.observations.commands[index] = answer["status"]
            self._report(f"command {line['text']}: {answer['status']}")
        else:
            await self._inject_event(index, line)

    async def _submit(self, index, line):
        answer = await self.command(
            f"submit {line['key']}", key=line["key"], body=line["spec"]
        )
        self.observations.submits[index] = answer["status"]
        detail = answer.get("message", "")
        if answer["status"] == "done":
            detail = ""
        job = trace.job_id(line)
        self._report(f"submit {job}: {answer['status']} {detail}".rstrip())

    async def _send_requests(self, line):
        async with asyncio.TaskGroup() as group:
            for number in range(line["count"]):
                at_ms = line["at"] + number * line["every_ms"]
                await self._sleep_until(at_ms)
                group.create_task(self._send_request(line, number))

    async def _send_request(self, line, number):
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
        started_at = time.monotonic()
        response = await self._fetch(
            httputil.url_concat(path, query),
            method=line["method"],
            headers=headers,
            body=body,
        )
        latency_ms = (time.monotonic() - started_at) * 1000
        status = 0 if response is None else response.code
        result = classify(response, line["method"], token, size)
        self.observations.responses.append(
            outcomes.Response(
                line["name"], token, line["method"], status, result, latency_ms
            )
        )

    async def _fetch(self, path, **options):
        """Sends a request, trying another node if a connection is refused.

        A refused connection has carried no data, so no request is sent
        twice. Returns None if no node answered.
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

    async def _inject_event(self, index, line):
        op = line["op"]
        if "node" in line:
            target = line["node"]
        else:
            target = line.get("worker") or self._worker_running(line["job"])
        if target is None:
            self.observations.events[index] = f"no worker runs {line['job']}"
            self._report(f"event {op}: {self.observations.events[index]}")
            return
        self._report(f"event {op} {target}")
        deployment = self.deployment
        if op == "kill-worker":
            await deployment.kill_worker(target)
        elif op == "leave-worker":
            deployment.leave_worker(target)
        elif op == "stop-node":
            await deployment.stop_node(target)
        else:
            await deployment.kill_node(target)
        self.observations.events[index] = ""
        self._report(f"event {op} {target} done")

    def _worker_running(self, job):
        for name, worker in sorted(self.deployment.workers.items()):
            if not worker.alive:
                continue
            if any(task.startswith(f"{job}/") for task in worker.agent.runs):
                return name
        return None

    async def _wait_settled(self):
        """Waits until the expected job outcomes hold, or until a timeout.

        All other outcomes are final once the last line has been executed.
        """
        ledger = self.deployment.ledger
        settle_s = self.deployment.cfg["settle_ms"] / 1000
        if not await _wait_until(
            lambda: outcomes.jobs_as_expected(
                self.lines, self.observations, ledger
            ),
            settle_s,
        ):
            self._report("expected job outcomes not reached within settle_ms")
            return
        # Partition owners learn about the last finished tasks with the next
        # lease renewals and list them as running until then.
        tasks = outcomes.all_tasks(self.lines)
        await _wait_until(
            lambda: all(ledger.record(t).acknowledged() for t in tasks),
            ACKNOWLEDGE_TIMEOUT_S,
        )

    async def _report_progress(self):
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            responses = self.observations.responses
            succeeded = sum(1 for r in responses if r.result == outcomes.OK)
            tasks = outcomes.all_tasks(self.lines)
            ledger = self.deployment.ledger
            records = [ledger.record(task) for task in tasks]
            running = sum(1 for r in records if r.open_interval())
            finished = sum(1 for r in records if r.finishes)
            self._report(
                f"responses {succeeded} ok of {len(responses)}, tasks "
                f"{running} running, {finished} finished of {len(tasks)}, "
                f"nodes ready {len(self.balancer.ready)}"
            )

    def _report(self, text):
        self._progress(f"[{self._elapsed_s():6.1f} s] {text}")


async def _wait_until(condition, timeout_s: float) -> bool:
    """Polls `condition` until it is true; returns False on timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(SETTLE_POLL_S)
    return True


def classify(response, method: str, token: str, size: int) -> str:
    """Maps a response to one of `outcomes.RESULTS`."""
    if response is None or response.code == 599:
        return outcomes.NO_ANSWER
    if 200 <= response.code < 300:
        if method == "HEAD":
            return outcomes.OK
        return _check_answer(response.body, token, size)
    if response.headers.get("Skylarklug-Outcome") == "not-run":
        return outcomes.NOT_RUN
    return outcomes.UNKNOWN


def _check_answer(body, token, size):
    try:
        answer = json.loads(body)
    except ValueError:
        return outcomes.MISMATCHED
    complete = len(answer.get("padding", "")) == size
    if complete and answer.get("token") == token:
        return outcomes.OK
    return outcomes.MISMATCHED
