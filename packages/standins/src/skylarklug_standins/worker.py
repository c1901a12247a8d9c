"""Simulated upstream VM with a serving, a control and a test interface.

Query parameters or the corresponding headers control how a request is served:

- `ms` (`Skylarklug-Test-Ms`): Service time before interference.
- `size` (`Skylarklug-Test-Size`): Bytes of padding in the response.
- `status` (`Skylarklug-Test-Status`): Status code of the response.
- `token` (`Skylarklug-Test-Token`): Name under which the ledger records the
  execution; by default the request id.
"""

import asyncio
from collections.abc import Mapping
import time
from typing import Any

import cbor2
from tornado import httpclient
from tornado import httpserver
from tornado import simple_httpclient
from tornado import web

from skylarklug_standins import agent as agent_lib
from skylarklug_standins import faults
from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import messages
from skylarklug_standins import simulation

# Interval at which simulated tasks are advanced and leases are checked.
ADVANCE_INTERVAL_MS = 25
# Timeout of a request to the object store.
STORE_TIMEOUT_S = 1.0
# Concurrent requests to the object store; further ones are queued.
STORE_MAX_REQUESTS = 16
# Limit of the service time that a request can ask for.
MAX_SERVICE_MS = 60_000.0
# Limit of the padding that a request can ask for.
MAX_PADDING_BYTES = 8 * 1024 * 1024


def worker_clock(offset_ms=0, rate=1.0):
    """Returns a millisecond clock with an offset and a rate of drift."""
    return lambda: int(time.monotonic_ns() / 1e6 * rate) + offset_ms


class StoreClient:
    """Object store client that reads and writes checkpoints."""

    def __init__(self, url: str):
        self._url = url
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=STORE_MAX_REQUESTS
        )

    async def put(self, key: str, body: bytes):
        """Stores an object; raises `StoreUnavailable` on failure."""
        await self._fetch(key, method="PUT", body=body)

    async def get(self, key: str) -> bytes | None:
        """Returns an object, or None if it doesn't exist.

        Raises:
            simulation.StoreUnavailable: The store failed to respond.
        """
        response = await self._fetch(key, method="GET")
        if response.code == 404:
            return None
        return response.body

    async def _fetch(self, key, **options):
        try:
            response = await self._client.fetch(
                f"{self._url}/objects/{key}",
                request_timeout=STORE_TIMEOUT_S,
                raise_error=False,
                **options,
            )
        except (OSError, httpclient.HTTPError) as exc:
            raise simulation.StoreUnavailable(str(exc)) from exc
        if response.code not in (200, 404):
            raise simulation.StoreUnavailable(
                f"unexpected status {response.code}"
            )
        return response

    def close(self):
        """Closes the client and its connections."""
        self._client.close()


class _LimitedServer(httpserver.HTTPServer):
    """HTTP server that marks connections beyond a limit for refusal."""

    def initialize(self, app, limit=0):
        super().initialize(app)
        self.limit = limit
        self.open_connections = 0

    def handle_stream(self, stream, address):
        self.open_connections += 1
        stream.over_limit = self.open_connections > self.limit
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        self.open_connections -= 1
        super().on_close(server_conn)


class Worker:
    """Simulated worker with a serving and a control listener.

    Args:
        vm: Name of the worker.
        data_centre, rack: Location of the worker.
        capacity: Amounts of cpus, memory_mb and accelerators.
        services: Default service time in ms by name of the service.
        slots: Limit of concurrent requests.
        connections: Limit of open connections on the serving side.
        store: Store client, see `agent.Agent`.
        ledger: Ledger that records executions.
        clock: Clock of the worker in ms, see `worker_clock`.

    Attributes:
        refusals: Number of refused requests.
        peak_in_flight: Largest number of concurrently executed requests.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        rack: str,
        capacity: Mapping[str, float],
        services: Mapping[str, float],
        slots: int,
        connections: int,
        store,
        ledger: ledger_lib.Ledger,
        clock=None,
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = dict(capacity)
        self.services = dict(services)
        self.slots = slots
        self.connections = connections
        self.ledger = ledger
        self.refusals = 0
        self.peak_in_flight = 0
        self.in_flight = 0
        self._store = store
        self._clock = clock or worker_clock()
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._advance_task = None
        self.agent = self._new_agent()
        owner = {"owner": self}
        self.serving = faults.Listener(
            web.Application(
                [(r"/svc/([^/]+)(?:/.*)?", _ServiceHandler, owner)],
                log_function=_ignore_request_log,
            ),
            self._new_limited_server,
        )
        self.control = faults.Listener(
            web.Application(
                [
                    (r"/sync", _SyncHandler, owner),
                    (r"/test", _TestHandler, owner),
                ],
                log_function=_ignore_request_log,
            )
        )

    def _new_agent(self):
        return agent_lib.Agent(
            self.vm, self.capacity, self._clock, self.ledger, self._store
        )

    def _new_limited_server(self, app):
        return _LimitedServer(app, limit=self.connections)

    @property
    def alive(self) -> bool:
        """Whether the worker is started and was not killed since."""
        return self._advance_task is not None

    def vm_entry(self) -> dict[str, Any]:
        """Returns the worker's entry in the VM list."""
        return {
            "vm": self.vm,
            "data_centre": self.data_centre,
            "rack": self.rack,
            "state": "leaving" if self.agent.leaving else "live",
            "address": self.serving.address,
            "control": self.control.address,
            "capacity": dict(self.capacity),
            "services": list(self.services),
            "slots": self.slots,
            "connections": self.connections,
        }

    async def start(self):
        """Opens both listeners.

        After `kill`, the worker starts as a new process without any state;
        only the records of the checks are kept.
        """
        if not self.alive:
            previous = self.agent
            self.agent = self._new_agent()
            self.agent.violations = previous.violations
            self.agent.peak_committed = previous.peak_committed
        self.serving.open()
        self.control.open()
        self._advance_task = asyncio.create_task(self._advance())

    async def kill(self):
        """Ends the worker abruptly; closes connections and drops its state."""
        if not self.alive:
            return
        self._advance_task.cancel()
        self._advance_task = None
        self.agent.kill()
        self.in_flight = 0
        # Releases requests that wait for the end of a pause; their
        # connections are closed.
        self._not_paused.set()
        await asyncio.gather(self.serving.close(), self.control.close())

    def leave(self):
        """Marks the worker as leaving; it refuses new work and reports it."""
        self.agent.leaving = True

    def pause(self):
        """Simulates a suspended process; connections stay open, unanswered."""
        self.agent.pause()
        self._not_paused.clear()

    def resume(self):
        """Ends a pause; without one, does nothing."""
        if self._not_paused.is_set():
            return
        self.agent.resume()
        self._not_paused.set()

    async def wait_not_paused(self):
        """Waits for the end of a pause, if there is one."""
        await self._not_paused.wait()

    async def _advance(self):
        while True:
            await self._not_paused.wait()
            self.agent.advance()
            await asyncio.sleep(ADVANCE_INTERVAL_MS / 1000)


def _ignore_request_log(handler):
    """Suppresses the access log; the nodes already write one."""


class _ServiceHandler(web.RequestHandler):
    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, owner):
        self.worker = owner

    async def _serve(self, service):
        worker = self.worker
        await worker.wait_not_paused()
        if worker.agent.leaving:
            self.set_header("Skylarklug-Leaving", "true")
        reason = self._refusal_reason(service)
        if reason:
            self._refuse(reason)
            return
        request = self.request
        req_id = request.headers.get("Skylarklug-Request-Id", "")
        token = self._test_parameter("token", req_id)
        agent = worker.agent
        worker.in_flight += 1
        worker.peak_in_flight = max(worker.peak_in_flight, worker.in_flight)
        worker.ledger.run_request(token, worker.vm)
        try:
            duration_ms = await self._simulate_service(service)
        finally:
            # A killed worker has already reset its count of requests; a
            # restarted one also has a new agent.
            if worker.alive and worker.agent is agent:
                worker.in_flight -= 1
        if not worker.alive or worker.agent is not agent:
            return
        agent.record_latency(service, duration_ms)
        worker.ledger.complete_request(token)
        if agent.leaving:
            self.set_header("Skylarklug-Leaving", "true")
        self._write_response(service, token, req_id)

    get = head = post = delete = patch = put = options = _serve

    def _refusal_reason(self, service):
        worker = self.worker
        if worker.agent.leaving:
            return "worker is leaving"
        if service not in worker.services:
            return f"no service {service}"
        if worker.in_flight >= worker.slots:
            return "all slots are in use"
        if getattr(self.request.connection.stream, "over_limit", False):
            self.set_header("Connection", "close")
            return "too many connections"
        return ""

    def _refuse(self, reason):
        self.worker.refusals += 1
        self.set_status(503)
        self.set_header("Skylarklug-Outcome", "not-run")
        self.finish({"outcome": "not run", "reason": reason})

    async def _simulate_service(self, service):
        nominal_ms = float(
            self._test_parameter("ms", self.worker.services[service])
        )
        nominal_ms = min(max(nominal_ms, 0.0), MAX_SERVICE_MS)
        duration_ms = nominal_ms * (1.0 + self.worker.agent.interference())
        await asyncio.sleep(duration_ms / 1000)
        await self.worker.wait_not_paused()
        return duration_ms

    def _write_response(self, service, token, req_id):
        size = min(int(self._test_parameter("size", "0")), MAX_PADDING_BYTES)
        self.set_status(int(self._test_parameter("status", "200")))
        body = {
            "worker": self.worker.vm,
            "service": service,
            "path": self.request.path,
            "token": token,
            "request_id": req_id,
            "received": len(self.request.body),
            "padding": "x" * size,
        }
        self.finish(body)

    def _test_parameter(self, name, default):
        header = f"Skylarklug-Test-{name.capitalize()}"
        value = self.request.headers.get(header, default)
        return self.get_query_argument(name, value)


class _SyncHandler(web.RequestHandler):
    def initialize(self, owner):
        self.worker = owner

    async def post(self):
        await self.worker.wait_not_paused()
        try:
            message = messages.SYNC_ADAPTER.validate_python(
                cbor2.loads(self.request.body)
            )
        except (cbor2.CBORError, ValueError, EOFError) as exc:
            raise web.HTTPError(400, reason="malformed sync") from exc
        response = await self.worker.agent.sync(message)
        await self.worker.wait_not_paused()
        self.set_header("Content-Type", "application/cbor")
        self.finish(cbor2.dumps(response))

    def log_exception(self, typ, value, tb):
        if not isinstance(value, web.HTTPError):
            super().log_exception(typ, value, tb)


class _TestHandler(faults.JsonHandler):
    """Handles `POST /test {"op": "leave"|"kill"|"pause"|"resume"}`."""

    async def post(self):
        worker = self.owner
        op = self.read_json().get("op")
        if op == "kill":
            self.write_json({})
            asyncio.get_running_loop().create_task(worker.kill())
            return
        actions = {
            "leave": worker.leave,
            "pause": worker.pause,
            "resume": worker.resume,
        }
        if op not in actions:
            raise web.HTTPError(400, reason=f"unknown op {op}")
        actions[op]()
        self.write_json({})
