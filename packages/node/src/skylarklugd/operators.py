"""HTTP server for operators: commands, readiness and metrics."""

import asyncio
import hmac
import json
import uuid

from tornado import httpserver
from tornado import netutil
from tornado import web

from skylarklug import events

# How long a request waits for the reducer to answer its command.
COMMAND_TIMEOUT_S = 10
# Larger request bodies are rejected.
MAX_COMMAND_BYTES = 1024 * 1024
# HTTP status by the status of a command.
STATUS_CODES = {
    "done": 200,
    "not-met": 200,
    "bad-input": 400,
    "not-allowed": 403,
    "conflict": 409,
    "unavailable": 503,
}


class OperatorServer:
    """Dispatches commands as events and responds with their results.

    Args:
        cfg: `host` and `port` to listen on.
        tokens: Role by bearer token.
        dispatch: Called with each event.
        clock: Returns monotonic milliseconds.
        metrics: Rendered at `/metrics.json`.

    Attributes:
        ready: Tuple of the readiness and its reason, served at `/ready`.
        port: The port that the server listens on, or 0 before `start`.
    """

    def __init__(self, cfg, tokens, dispatch, clock, metrics):
        self._cfg = cfg
        self._tokens = tokens
        self._dispatch = dispatch
        self._clock = clock
        self._metrics = metrics
        self._pending = {}
        self._server = None
        self.ready = (False, "starting")
        self.port = 0

    def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address is already in use.
        """
        application = web.Application(
            [
                (r"/operator/command", _CommandHandler, {"server": self}),
                (r"/ready", _ReadyHandler, {"server": self}),
                (r"/live", _LiveHandler),
                (r"/metrics.json", _MetricsHandler, {"server": self}),
            ],
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(self._cfg["port"], self._cfg["host"])
        self.port = sockets[0].getsockname()[1]
        self._server = httpserver.HTTPServer(
            application, max_body_size=MAX_COMMAND_BYTES
        )
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()

    def answer(self, effect) -> None:
        """Completes the pending request of an answered command."""
        fut = self._pending.pop(effect.op_id, None)
        if fut is not None and not fut.done():
            fut.set_result((effect.status, dict(effect.body)))

    def authenticate(self, authorization: str):
        """Returns (actor, role) for an Authorization header, or None."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        for index, (known_token, role) in enumerate(self._tokens.items()):
            if hmac.compare_digest(
                known_token.encode(), token.strip().encode()
            ):
                return f"operator-{index}", role
        return None

    async def run_command(self, actor, role, message):
        """Dispatches a command and returns the (status, body) of its answer."""
        op_id = uuid.uuid4().hex
        fut = asyncio.get_running_loop().create_future()
        self._pending[op_id] = fut
        self._dispatch(
            events.CommandArrived(
                at=self._clock(),
                op_id=op_id,
                actor=actor,
                role=role,
                text=message["command"],
                key=message.get("key", ""),
                if_version=message.get("if_version", 0),
                dry_run=message.get("dry_run", False),
                body=message.get("body", {}),
            )
        )
        try:
            return await asyncio.wait_for(fut, COMMAND_TIMEOUT_S)
        except TimeoutError:
            return "unavailable", {
                "message": "the command timed out; its outcome is unknown",
                "step": "run command",
            }
        finally:
            self._pending.pop(op_id, None)

    def render_metrics(self) -> str:
        """Returns the metrics as JSON."""
        return self._metrics.render()


_FIELD_TYPES = {
    "command": str,
    "key": str,
    "if_version": int,
    "dry_run": bool,
    "body": dict,
}


def _parse_message(raw: bytes):
    """Returns (message, None) if the body is valid, else (None, error)."""
    try:
        message = json.loads(raw)
    except ValueError as exc:
        return None, f"the body is not JSON: {exc}"
    if not isinstance(message, dict) or "command" not in message:
        return None, 'the body must be an object with the field "command"'
    for name, value in message.items():
        if name not in _FIELD_TYPES:
            return None, f"unknown field {name}"
        if type(value) is not _FIELD_TYPES[name]:
            return None, f"{name} must be of type {_FIELD_TYPES[name].__name__}"
    return message, None


class _Handler(web.RequestHandler):
    def initialize(self, server):
        self.server = server

    def send_json(self, code, body):
        self.set_status(code)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body, default=str))


class _CommandHandler(_Handler):
    async def post(self):
        authorization = self.request.headers.get("Authorization", "")
        identity = self.server.authenticate(authorization)
        if identity is None:
            self.send_json(
                401,
                {
                    "status": "not-allowed",
                    "message": "unknown or missing token",
                    "step": "authenticate",
                    "peer": self.request.remote_ip,
                },
            )
            return
        message, error = _parse_message(self.request.body)
        if error is not None:
            self.send_json(
                400,
                {
                    "status": "bad-input",
                    "message": error,
                    "step": "parse command",
                    "peer": self.request.remote_ip,
                },
            )
            return
        status, body = await self.server.run_command(*identity, message)
        self.send_json(STATUS_CODES[status], {"status": status, **body})


class _ReadyHandler(_Handler):
    def get(self):
        ready, reason = self.server.ready
        self.send_json(
            200 if ready else 503, {"ready": ready, "reason": reason}
        )


class _LiveHandler(web.RequestHandler):
    def get(self):
        self.finish({"live": True})


class _MetricsHandler(_Handler):
    def get(self):
        self.set_header("Content-Type", "application/json")
        self.finish(self.server.render_metrics())
