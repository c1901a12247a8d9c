"""HTTP client of the operator endpoint of a node."""

import asyncio
import json
from typing import Any
from typing import NamedTuple

import pydantic
from tornado import httpclient
from tornado import simple_httpclient

from skylarklug import exceptions
from skylarklug import query

# Time limit for one request to one node.
REQUEST_TIMEOUT_S = 15


class _ResponseBody(pydantic.BaseModel):
    """A response body: a status and the fields that depend on the command."""

    model_config = pydantic.ConfigDict(extra="allow")

    status: str


class Answer(NamedTuple):
    """A node's answer: the status and the other fields of its body."""

    status: str
    body: dict[str, Any]


async def _send(address, token, message):
    http = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    request = httpclient.HTTPRequest(
        f"http://{address}/operator/command",
        method="POST",
        body=json.dumps(message),
        headers={
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
        },
        request_timeout=REQUEST_TIMEOUT_S,
    )
    try:
        return await http.fetch(request, raise_error=False)
    finally:
        http.close()


def run(addresses, token: str, message: dict[str, Any]) -> Answer:
    """Sends a command to the first node that can be reached.

    When an answer is lost, the command may have taken effect. A command that
    changes state is then sent to the next node only if it carries an
    idempotency key.

    Args:
        addresses: Nodes as "host:port", tried in order.
        token: The operator's credential.
        message: Fields `command`, `key`, `if_version`, `dry_run`, `body`.

    Raises:
        BadInput: The command is not valid.
        Unavailable: No node answered.
        ProtocolError: The answer of a node is malformed.
    """
    statement = query.parse(message["command"])
    idempotent = message.get("key") or not query.changes_state(statement)
    problems = []
    for address in addresses:
        try:
            response = asyncio.run(_send(address, token, message))
        except (OSError, httpclient.HTTPError) as exc:
            problems.append(f"{address}: {exc}")
            refused = isinstance(exc, ConnectionRefusedError)
            if refused or idempotent:
                continue
            break
        return _decode_response(response, address)
    raise exceptions.Unavailable(
        "; ".join(problems),
        step="send command",
        peer=",".join(addresses),
        request=message["command"],
    )


def _decode_response(response, address) -> Answer:
    if response.code == 599:
        raise exceptions.Unavailable(
            str(response.error), step="send command", peer=address
        )
    try:
        body = dict(_ResponseBody.model_validate_json(response.body))
        status = body.pop("status")
    except pydantic.ValidationError as exc:
        raise exceptions.ProtocolError(
            f"malformed answer with status {response.code}",
            step="read answer",
            peer=address,
        ) from exc
    return Answer(status, body)
