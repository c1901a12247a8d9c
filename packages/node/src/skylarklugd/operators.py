"""The operators' HTTP endpoint: commands, readiness and metrics."""

import asyncio
import hmac
import json
import uuid

from tornado import httpserver
from tornado import netutil
from tornado import web

from skylarklug import events

COMMAND_TIMEOUT_S = 10
MAX_COMMAND_BYTES = 1024 * 1024
STATUS_CODES = {
    "done": 200,
    "not-met": 200,
    "bad-input": 400,
    "not-allowed": 403,
    "conflict": 409,
    "unavailable": 503,
}


class OperatorServer:
    """Turns commands into events and waits for their answers."""

    def __init__(self, cfg, tokens, dispatch, clock, metrics):
        self._cfg = cfg
        self._tokens = tokens
        self._dispatch = dispatch
        self._clock = clock
        self._metrics = metrics
        self._waiting = {}
        self._server = None
        self.ready = (False, "starting")
        self.port = 0

    def start(self) -> None:
        """Listens; raises OSError when the address is taken."""
        app = web.Application(
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
            app, max_body_size=MAX_COMMAND_BYTES
        )
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening and closes the connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()

    def answer(self, effect) -> None:
        """Hands a command's answer to the connection that waits for it."""
        fut = self._waiting.pop(effect.op_id, None)
        if fut is not None and not fut.done():
            fut.set_result((effect.status, dict(effect.body)))

    def role_of(self, authorization: str):
        """Returns (actor, role) for a bearer token, or None."""
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        for index, (known, role) in enumerate(self._tokens.items()):
            if hmac.compare_digest(known.encode(), token.strip().encode()):
                return f"operator-{index}", role
        return None

    async def run(self, actor, role, message):
        """Sends one command through the reducer and returns its answer."""
        op_id = uuid.uuid4().hex
        fut = asyncio.get_running_loop().create_future()
        self._waiting[op_id] = fut
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
                "message": "no answer in time; the effect is unknown",
                "step": "run command",
            }
        finally:
            self._waiting.pop(op_id, None)

    def render_metrics(self) -> str:
        """Returns the metrics as JSON."""
        return self._metrics.render()


_FIELDS = {
    "command": str,
    "key": str,
    "if_version": int,
    "dry_run": bool,
    "body": dict,
}


def _check_message(raw: bytes):
    """Returns (message, error); exactly one of them is None."""
    try:
        message = json.loads(raw)
    except ValueError as exc:
        return None, f"the body is not JSON: {exc}"
    if not isinstance(message, dict) or "command" not in message:
        return None, 'the body must be an object with the field "command"'
    for name, value in message.items():
        if name not in _FIELDS:
            return None, f"unknown field {name}"
        if type(value) is not _FIELDS[name]:
            return None, f"{name} must be of type {_FIELDS[name].__name__}"
    return message, None


class _Handler(web.RequestHandler):
    def initialize(self, server):
        self.server = server

    def reply(self, code, body):
        self.set_status(code)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body, default=str))


class _CommandHandler(_Handler):
    async def post(self):
        authorization = self.request.headers.get("Authorization", "")
        known = self.server.role_of(authorization)
        if known is None:
            self.reply(
                401,
                {
                    "status": "not-allowed",
                    "message": "unknown or missing token",
                    "step": "authenticate",
                    "peer": self.request.remote_ip,
                },
            )
            return
        message, error = _check_message(self.request.body)
        if error is not None:
            self.reply(
                400,
                {
                    "status": "bad-input",
                    "message": error,
                    "step": "parse command",
                    "peer": self.request.remote_ip,
                },
            )
            return
        status, body = await self.server.run(*known, message)
        self.reply(STATUS_CODES[status], {"status": status, **body})


class _ReadyHandler(_Handler):
    def get(self):
        ready, reason = self.server.ready
        self.reply(200 if ready else 503, {"ready": ready, "reason": reason})


class _LiveHandler(web.RequestHandler):
    def get(self):
        self.finish({"live": True})


class _MetricsHandler(_Handler):
    def get(self):
        self.set_header("Content-Type", "application/json")
        self.finish(self.server.render_metrics())
