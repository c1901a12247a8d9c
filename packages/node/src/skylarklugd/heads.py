"""Validation of request heads, and the headers that a node passes on."""

import re
from typing import NamedTuple

from tornado import httputil

from skylarklug import exceptions

REQUEST_ID = "Skylarklug-Request-Id"
DEADLINE = "Skylarklug-Deadline-Ms"
IDEMPOTENT = "Skylarklug-Idempotent"
CALLER = "Skylarklug-Caller"
HOPS = "Skylarklug-Hops"
OUTCOME = "Skylarklug-Outcome"
LEAVING = "Skylarklug-Leaving"

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
# Tornado's client connection writes chunked request bodies only for these.
CHUNKED_METHODS = frozenset({"POST", "PUT", "PATCH"})
# Milliseconds of 24 hours.
DEADLINE_LIMIT_MS = 86_400_000
# Characters of the caller header.
CALLER_LIMIT = 128

_TARGET = re.compile(r"/svc/([A-Za-z0-9][A-Za-z0-9._-]{0,99})(?:[/?].*)?")
# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)


class BadRequest(exceptions.BadInput):
    """The request is invalid and refused before any of it is sent.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status, reason, *, step="check request"):
        super().__init__(reason, step=step)
        self.status = status


class RequestHead(NamedTuple):
    """The validated head of a caller's request.

    `length` is None when the body is chunked. `deadline_ms` is 0 when the
    request states none.
    """

    method: str
    target: str
    service: str
    headers: httputil.HTTPHeaders
    length: int | None
    idempotent: bool
    caller: str
    deadline_ms: int
    hops: int


def head_size(start_line, headers) -> int:
    """Returns the size of a message head in bytes."""
    total = sum(len(part) for part in start_line) + 6
    for name, value in headers.get_all():
        total += len(name) + len(value) + 4
    return total


def check(
    start_line, headers, remote_ip, *, header_limit, body_limit
) -> RequestHead:
    """Validates the head of a caller's request.

    Raises:
        BadRequest: The head is not valid.
    """
    if head_size(start_line, headers) > header_limit:
        raise BadRequest(431, f"the head is larger than {header_limit} bytes")
    if start_line.version != "HTTP/1.1":
        # HTTP/1.0 delimits a response of unknown length by closing the
        # connection, so the caller could not detect a truncated response.
        raise BadRequest(400, "only HTTP/1.1 is supported")
    length = _parse_length(headers, body_limit)
    if len(headers.get_list("Host")) != 1:
        raise BadRequest(400, "exactly one Host header is required")
    if start_line.method not in METHODS:
        raise BadRequest(400, f"method {start_line.method} is not supported")
    if not start_line.path.startswith("/"):
        raise BadRequest(400, "the request target is not a path")
    match = _TARGET.fullmatch(start_line.path)
    if match is None:
        raise BadRequest(404, "the path is outside /svc/<service>/")
    caller = _get_single(headers, CALLER) or remote_ip
    if len(caller) > CALLER_LIMIT:
        raise BadRequest(400, f"{CALLER} is longer than {CALLER_LIMIT}")
    return RequestHead(
        method=start_line.method,
        target=start_line.path,
        service=match.group(1),
        headers=headers,
        length=length,
        idempotent=_parse_idempotent(start_line.method, headers),
        caller=caller,
        deadline_ms=_parse_number(headers, DEADLINE, 1, DEADLINE_LIMIT_MS),
        hops=_parse_number(headers, HOPS, 0, 1),
    )


def _parse_length(headers, body_limit):
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or "," in "".join(lengths):
        raise BadRequest(400, "repeated Content-Length")
    if lengths and codings:
        raise BadRequest(400, "both Content-Length and Transfer-Encoding")
    if codings:
        if [coding.lower() for coding in codings] != ["chunked"]:
            raise BadRequest(400, "unsupported Transfer-Encoding")
        return None
    if not lengths:
        return 0
    if not re.fullmatch("[0-9]{1,18}", lengths[0]):
        raise BadRequest(400, "Content-Length is not a number")
    if int(lengths[0]) > body_limit:
        raise BadRequest(413, f"the body is larger than {body_limit} bytes")
    return int(lengths[0])


def _get_single(headers, name):
    values = headers.get_list(name)
    if len(values) > 1:
        raise BadRequest(400, f"repeated {name}")
    return values[0] if values else ""


def _parse_number(headers, name, low, high):
    value = _get_single(headers, name)
    if not value and name not in headers:
        return 0
    if not re.fullmatch("[0-9]{1,9}", value) or not low <= int(value) <= high:
        raise BadRequest(400, f"{name} is not a number from {low} to {high}")
    return int(value)


def _parse_idempotent(method, headers):
    value = _get_single(headers, IDEMPOTENT)
    if not value and IDEMPOTENT not in headers:
        return method in IDEMPOTENT_METHODS
    if value not in ("true", "false"):
        raise BadRequest(400, f"{IDEMPOTENT} is neither true nor false")
    return value == "true"


def end_to_end(headers) -> httputil.HTTPHeaders:
    """Returns a copy without the hop-by-hop headers."""
    connection_options = {
        name.strip().title()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    # Content-Length is kept even if Connection names it; otherwise a peer
    # could have the length of a message removed.
    connection_options.discard("Content-Length")
    result = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in _HOP_BY_HOP and name not in connection_options:
            result.add(name, value)
    return result


def to_upstream(
    head: RequestHead, req_id: str, remaining_ms: int, forward: bool
) -> httputil.HTTPHeaders:
    """Returns the headers of a request to an upstream.

    The upstream is another node if `forward` is set, and a worker otherwise.
    """
    headers = end_to_end(head.headers)
    for name in ("Expect", HOPS, OUTCOME, LEAVING):
        headers.pop(name, None)
    headers[REQUEST_ID] = req_id
    headers[DEADLINE] = str(max(1, remaining_ms))
    if forward:
        headers[HOPS] = str(head.hops + 1)
        headers[CALLER] = head.caller
    return headers


def to_caller(headers, req_id: str, forwarded: bool):
    """Returns the headers of an upstream's response for the caller.

    The outcome header is kept if another node has set it; one set by a worker
    is meant for this node only.
    """
    result = end_to_end(headers)
    result.pop(LEAVING, None)
    if not forwarded:
        result.pop(OUTCOME, None)
    result[REQUEST_ID] = req_id
    return result


def is_refusal(status, headers, forwarded: bool) -> bool:
    """Returns whether the response says that the request was not run."""
    if headers.get(OUTCOME, "").lower() != "not-run":
        return False
    return status == 503 or (forwarded and status >= 400)


def is_leaving(headers) -> bool:
    """Returns whether the upstream says that it is leaving."""
    return headers.get(LEAVING, "").lower() == "true"
