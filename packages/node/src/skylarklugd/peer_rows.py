"""Exchange of the operator's rows between nodes, over HTTP.

A node answers what it knows and how old that is. The rows are those of the
store, unchanged.
"""

import ipaddress
from typing import Any
from typing import NamedTuple
import urllib.parse

import orjson
from tornado import httpserver
from tornado import httputil

from skylarklug import exceptions
from skylarklugd import streams

PATH = "/rows"
# Greatest version and age that a message may name: JSON parsers of all
# languages keep it exactly.
MAX_NUMBER = 9_007_199_254_740_991
# Limits of an answer.
MAX_ROWS = 10_000
MAX_ADDRESSES = 64
# Time limit of a call without the time for its answer to cross the link.
TIMEOUT_MS = 500
# An idle connection of a peer is closed after this time.
IDLE_TIMEOUT_S = 60


class Answer(NamedTuple):
    """What a peer knows.

    Attributes:
        age_ms: For how long changes may be unknown to it; -1 if it has read no
            rows.
        rows: Its rows with larger versions than asked for.
        addresses: Addresses of other peers, "host:port".
    """

    age_ms: int
    rows: list[Any]
    addresses: tuple[str, ...]


class RowCache:
    """The newest known version of each row of a table.

    `identify` returns (key, version) of a row, or None if it has none.
    """

    def __init__(self):
        self._rows: dict[str, tuple[int, Any]] = {}
        # The greatest version of a row.
        self.version = 0

    def add(self, rows, identify) -> list[Any]:
        """Adds rows; returns those that are newer than the known ones.

        Rows without a version are returned too, but not kept.
        """
        newer = []
        for row in rows:
            identity = identify(row)
            if identity is None:
                newer.append(row)
                continue
            key, version = identity
            known = self._rows.get(key)
            if known is not None and version <= known[0]:
                continue
            self._rows[key] = (version, row)
            self.version = max(self.version, version)
            newer.append(row)
        return newer

    def newer_than(self, version: int) -> list[Any]:
        """Returns the rows with larger versions."""
        return [row for known, row in self._rows.values() if known > version]


class Server:
    """Answers the calls of other nodes.

    Attributes:
        respond: Called with (version, address of the caller or ""); returns an
            `Answer`.
    """

    def __init__(self):
        self.respond = None
        self._server = httpserver.HTTPServer(
            self._on_request,
            max_body_size=1,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address: str) -> None:
        """Listens at "host:port".

        Raises:
            OSError: The address cannot be bound.
            ValueError: The address is malformed.
        """
        host, port = streams.split_address(address)
        self._server.listen(port, host)

    def close(self) -> None:
        """Stops listening."""
        self._server.stop()

    def _on_request(self, req):
        status, body = 400, b"{}"
        query = _parse_query(req)
        if query is not None:
            status, body = 200, orjson.dumps(self.respond(*query)._asdict())
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
        )
        line = httputil.ResponseStartLine("HTTP/1.1", status, "-")
        req.connection.write_headers(line, headers, body)
        req.connection.finish()


class PeerClient:
    """Asks other nodes.

    Args:
        client: HTTP client that sends the requests.
        address: Address at which this node answers; empty if it does not.
        transfer_ms: Time for a large answer to cross the link.
    """

    def __init__(self, client, address: str, transfer_ms: float):
        self._client = client
        self._address = address
        self._timeout_ms = TIMEOUT_MS + transfer_ms

    async def ask(self, address: str, version: int) -> Answer:
        """Asks a peer for rows with larger versions than `version`.

        Raises:
            Unavailable: There was no answer.
            ProtocolError: The answer is malformed.
        """
        query = urllib.parse.urlencode(
            {"after": version, "from": self._address}
        )
        response = await self._client.call(
            address, "GET", f"{PATH}?{query}", None, self._timeout_ms
        )
        if response.status != 200:
            raise exceptions.Unavailable(
                f"status {response.status}", step="ask peer", peer=address
            )
        try:
            return _decode_answer(orjson.loads(response.body))
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise exceptions.ProtocolError(
                repr(exc)[:200], step="ask peer", peer=address
            ) from exc


def _parse_query(req):
    """Returns (version, address), or None if the request is malformed."""
    if req.method != "GET" or req.path != PATH:
        return None
    texts = req.arguments.get("after", [b""])
    if not texts[0].isdigit() or len(texts[0]) > len(str(MAX_NUMBER)):
        return None
    caller = req.arguments.get("from", [b""])[0].decode("ascii", "replace")
    return int(texts[0]), caller if is_address(caller) else ""


def _decode_answer(fields) -> Answer:
    age_ms = fields["age_ms"]
    if type(age_ms) is not int or not -1 <= age_ms <= MAX_NUMBER:
        raise ValueError("age_ms is not an age")
    rows = fields["rows"]
    if type(rows) is not list or len(rows) > MAX_ROWS:
        raise ValueError("rows is not a list of rows")
    addresses = fields["addresses"]
    if type(addresses) is not list or len(addresses) > MAX_ADDRESSES:
        raise ValueError("addresses is not a list of addresses")
    return Answer(age_ms, rows, tuple(filter(is_address, addresses)))


def is_address(value) -> bool:
    """Returns whether a value is the "host:port" of a host by its number."""
    if not isinstance(value, str):
        return False
    try:
        host, port = streams.split_address(value)
        parsed = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if value != f"{parsed}:{port}" or not port:
        return False
    return not (parsed.is_unspecified or parsed.is_multicast)
