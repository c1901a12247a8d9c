"""HTTP listeners, JSON handlers and fault injection for the stand-ins."""

import asyncio
import json
import random
from typing import Any

import pydantic
from tornado import httpserver
from tornado import netutil
from tornado import web

LOOPBACK = "127.0.0.1"


class Faults:
    """Injected faults of one stand-in.

    Attributes:
        outage: Every request is answered with 503 and has no effect.
        delay_ms: Delay of every request before it takes effect.
        lose_answers: Fraction of requests whose connection is closed without
            an answer after the request has taken effect.
    """

    def __init__(self):
        self.set()

    def set(self, outage=False, delay_ms=0, lose_answers=0.0, seed=0):
        """Replaces all faults; omitted faults are turned off."""
        self.outage = outage
        self.delay_ms = delay_ms
        self.lose_answers = lose_answers
        self._rng = random.Random(seed)

    def should_lose_answer(self) -> bool:
        """Decides at random whether the next answer is lost."""
        return self.lose_answers > 0 and self._rng.random() < self.lose_answers


_FAULT_TYPES = {
    "outage": bool,
    "delay_ms": (int, float),
    "lose_answers": (int, float),
    "seed": int,
}


class JsonHandler(web.RequestHandler):
    """Reads and writes JSON; malformed bodies are answered with 400."""

    def initialize(self, owner):
        """Stores the stand-in that the handler belongs to."""
        self.owner = owner

    def read_json(self) -> dict[str, Any]:
        """Returns the JSON object in the body, or raises a 400 error."""
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as exc:
            raise web.HTTPError(400, reason="body is not JSON") from exc
        if not isinstance(body, dict):
            raise web.HTTPError(400, reason="body is not an object")
        return body

    def read_typed(self, adapter: pydantic.TypeAdapter) -> dict[str, Any]:
        """Returns the body validated by `adapter`, or raises a 400 error."""
        try:
            return adapter.validate_python(self.read_json())
        except pydantic.ValidationError as exc:
            first = exc.errors()[0]
            where = ".".join(str(part) for part in first["loc"])
            reason = f"{where}: {first['msg']}".replace("\n", " ")
            raise web.HTTPError(400, reason=reason) from exc

    def write_json(self, body, status=200):
        """Sends a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def write_error(self, status_code, **kwargs):
        """Sends an error as JSON."""
        self.write_json({"error": self._reason}, status_code)

    def log_exception(self, typ, value, tb):
        """Logs unexpected exceptions only, not HTTP errors."""
        if not isinstance(value, web.HTTPError):
            super().log_exception(typ, value, tb)


class FaultyHandler(JsonHandler):
    """Applies the faults of its stand-in before and after the request."""

    _lose_answer = False

    async def prepare(self):
        """Delays the request, and rejects it during an outage."""
        faults = self.owner.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.outage:
            self.write_json({"error": "outage"}, 503)
            return
        self._lose_answer = faults.should_lose_answer()

    def finish(self, chunk=None):
        """Sends the answer, or closes the connection to lose it."""
        if not self._lose_answer:
            return super().finish(chunk)
        self.detach().close()
        closed = asyncio.get_running_loop().create_future()
        closed.set_result(None)
        return closed


class FaultsHandler(JsonHandler):
    """Handles `POST /faults`, which is exempt from the faults."""

    def post(self):
        """Replaces the faults of the stand-in."""
        body = self.read_json()
        for key, value in body.items():
            expected = _FAULT_TYPES.get(key)
            if expected is None:
                raise web.HTTPError(400, reason=f"unknown fault {key}")
            if not isinstance(value, expected):
                raise web.HTTPError(400, reason=f"wrong type of {key}")
        self.owner.faults.set(**body)
        self.write_json({})


class Listener:
    """An HTTP listener on loopback that can be closed and reopened."""

    def __init__(self, app: web.Application, server_type=None):
        self._app = app
        self._server_type = server_type or httpserver.HTTPServer
        self._server = None
        self.port = 0

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self.address}"

    @property
    def server(self):
        """The Tornado server, or None while it is closed."""
        return self._server

    def open(self, port=0):
        """Listens on `port`, or on a free port if it is 0."""
        port = port or self.port
        sockets = netutil.bind_sockets(port, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self._server = self._server_type(self._app)
        self._server.add_sockets(sockets)

    async def close(self):
        """Stops listening and closes every connection at once."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.stop()
        await server.close_all_connections()


class Standin:
    """Base class of stand-ins: an HTTP listener with injectable faults.

    Subclasses define the routes; `/faults` is added to them.
    """

    def __init__(self):
        self.faults = Faults()
        routes = [*self.routes(), (r"/faults", FaultsHandler)]
        self.listener = Listener(
            web.Application(
                [
                    (path, handler_class, {"owner": self})
                    for path, handler_class in routes
                ],
                compress_response=True,
                log_function=lambda handler: None,
            )
        )

    def routes(self) -> list:
        """Returns pairs of path and handler class."""
        raise NotImplementedError

    @property
    def url(self) -> str:
        """The base URL."""
        return self.listener.url

    async def start(self, port=0):
        """Listens on `port`, or on a free port if it is 0."""
        self.listener.open(port)

    async def stop(self):
        """Closes the listener and its connections."""
        await self.listener.close()
