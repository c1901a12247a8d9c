"""Stand-in of an upstream VM: serving side, control side, test controls.

A request names its simulated work in the query, or in headers of the same
meaning: `ms` (`Skylarklug-Test-Ms`, service time before interference),
`size` (`Skylarklug-Test-Size`, bytes of padding in the answer), `status`
(`Skylarklug-Test-Status`), `token` (`Skylarklug-Test-Token`, the name under
which the ledger records the execution; default the request id).
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

ADVANCE_INTERVAL_MS = 25
STORE_TIMEOUT_S = 1.0
STORE_CLIENTS = 16
LONGEST_SERVICE_MS = 60_000.0
LARGEST_ANSWER = 8 * 1024 * 1024


def worker_clock(offset_ms=0, rate=1.0):
    """Returns a clock in milliseconds with an offset and a drift."""
    return lambda: int(time.monotonic_ns() / 1e6 * rate) + offset_ms


class StoreClient:
    """Client of the object store for checkpoints."""

    def __init__(self, url: str):
        self._url = url
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=STORE_CLIENTS
        )

    async def put(self, key: str, body: bytes):
        """Stores an object, or raises `StoreUnavailable`."""
        await self._fetch(key, method="PUT", body=body)

    async def get(self, key: str) -> bytes | None:
        """Returns an object, None when absent; may raise as `put`."""
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
            raise simulation.StoreUnavailable(f"status {response.code}")
        return response

    def close(self):
        """Closes the client."""
        self._client.close()


class _GuardedServer(httpserver.HTTPServer):
    """Counts open connections and marks those beyond the limit."""

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
    """One worker with a serving and a control listener.

    Args:
        vm: Name of the worker.
        data_centre, rack: Where the worker is.
        capacity: cpus, memory_mb and accelerators.
        services: Names of the services and their default times in ms.
        slots, connections: Limits of the guard.
        store: Store client, see `agent.Agent`.
        ledger: Where executions are recorded.
        clock: The worker's clock, see `worker_clock`.

    Attributes:
        refusals: Requests refused by the guard or while leaving.
        peak_in_flight: Largest number of requests executed at once.
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
        self._awake = asyncio.Event()
        self._awake.set()
        self._advancing = None
        self.agent = self._new_agent()
        owner = {"owner": self}
        self.serving = faults.Listener(
            web.Application(
                [(r"/svc/([^/]+)(?:/.*)?", _ServiceHandler, owner)],
                log_function=_no_log,
            ),
            self._guarded_server,
        )
        self.control = faults.Listener(
            web.Application(
                [
                    (r"/sync", _SyncHandler, owner),
                    (r"/test", _TestHandler, owner),
                ],
                log_function=_no_log,
            )
        )

    def _new_agent(self):
        return agent_lib.Agent(
            self.vm, self.capacity, self._clock, self.ledger, self._store
        )

    def _guarded_server(self, app):
        return _GuardedServer(app, limit=self.connections)

    @property
    def alive(self) -> bool:
        """False after `kill`."""
        return self._advancing is not None

    def vm_entry(self) -> dict[str, Any]:
        """Returns the worker's entry of the VM list."""
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
        """Opens both listeners; after `kill`, a process without memory."""
        if not self.alive:
            former = self.agent
            self.agent = self._new_agent()
            self.agent.violations = former.violations
            self.agent.peak_committed = former.peak_committed
        self.serving.open()
        self.control.open()
        self._advancing = asyncio.create_task(self._advance())

    async def kill(self):
        """Ends the worker abruptly: connections close, memory is lost."""
        if not self.alive:
            return
        self._advancing.cancel()
        self._advancing = None
        self.agent.kill()
        self.in_flight = 0
        # Requests held by a pause end with their closed connections.
        self._awake.set()
        await asyncio.gather(self.serving.close(), self.control.close())

    def leave(self):
        """The worker starts to leave: it refuses new work and says so."""
        self.agent.leaving = True

    def pause(self):
        """Suspends the process; connections stay open without answers."""
        self.agent.pause()
        self._awake.clear()

    def resume(self):
        """Resumes a suspended process."""
        if self._awake.is_set():
            return
        self.agent.resume()
        self._awake.set()

    async def wait_awake(self):
        """Returns when the process is not paused."""
        await self._awake.wait()

    async def _advance(self):
        while True:
            await self._awake.wait()
            self.agent.advance()
            await asyncio.sleep(ADVANCE_INTERVAL_MS / 1000)


def _no_log(handler):
    """Leaves the access log to the nodes."""


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
        await worker.wait_awake()
        if worker.agent.leaving:
            self.set_header("Skylarklug-Leaving", "true")
        reason = self._refusal(service)
        if reason:
            self._refuse(reason)
            return
        request = self.request
        req_id = request.headers.get("Skylarklug-Request-Id", "")
        token = self._parameter("token", req_id)
        agent = worker.agent
        worker.in_flight += 1
        worker.peak_in_flight = max(worker.peak_in_flight, worker.in_flight)
        worker.ledger.run_request(token, worker.vm)
        try:
            took_ms = await self._work(service)
        finally:
            # A killed worker has a new agent and no requests in flight.
            if worker.alive and worker.agent is agent:
                worker.in_flight -= 1
        if not worker.alive or worker.agent is not agent:
            return
        agent.record_latency(service, took_ms)
        worker.ledger.complete_request(token)
        if agent.leaving:
            self.set_header("Skylarklug-Leaving", "true")
        self._answer(service, token, req_id)

    get = head = post = delete = patch = put = options = _serve

    def _refusal(self, service):
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

    async def _work(self, service):
        base_ms = float(self._parameter("ms", self.worker.services[service]))
        base_ms = min(max(base_ms, 0.0), LONGEST_SERVICE_MS)
        took_ms = base_ms * (1.0 + self.worker.agent.interference())
        await asyncio.sleep(took_ms / 1000)
        await self.worker.wait_awake()
        return took_ms

    def _answer(self, service, token, req_id):
        size = min(int(self._parameter("size", "0")), LARGEST_ANSWER)
        self.set_status(int(self._parameter("status", "200")))
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

    def _parameter(self, name, default):
        header = f"Skylarklug-Test-{name.capitalize()}"
        value = self.request.headers.get(header, default)
        return self.get_query_argument(name, value)


class _SyncHandler(web.RequestHandler):
    def initialize(self, owner):
        self.worker = owner

    async def post(self):
        await self.worker.wait_awake()
        try:
            message = messages.SYNC_ADAPTER.validate_python(
                cbor2.loads(self.request.body)
            )
        except (cbor2.CBORError, ValueError, EOFError) as exc:
            raise web.HTTPError(400, reason="malformed sync") from exc
        response = await self.worker.agent.sync(message)
        await self.worker.wait_awake()
        self.set_header("Content-Type", "application/cbor")
        self.finish(cbor2.dumps(response))

    def log_exception(self, typ, value, tb):
        if not isinstance(value, web.HTTPError):
            super().log_exception(typ, value, tb)


class _TestHandler(faults.JsonHandler):
    """`POST /test {"op": "leave"|"kill"|"pause"|"resume"}`."""

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
