"""Stand-in for the platform's transactional table service."""

from typing import Annotated
from typing import Any
from typing import NotRequired

import pydantic
import sortedcontainers
from typing_extensions import TypedDict

from skylarklug_standins import faults

_STRICT = pydantic.ConfigDict(extra="forbid")
_Version = Annotated[int, pydantic.Field(ge=0)]


class CheckBody(TypedDict):
    """Precondition on the version of a row; 0 if it must not exist."""

    __pydantic_config__ = _STRICT
    key: str
    version: _Version


class WriteBody(TypedDict):
    """Write of a row, or its deletion if `value` is null."""

    __pydantic_config__ = _STRICT
    key: str
    value: dict[str, Any] | None


class TransactionBody(TypedDict):
    """Body of `POST /transaction`."""

    __pydantic_config__ = _STRICT
    op_id: str
    checks: list[CheckBody]
    writes: list[WriteBody]


class ReadBody(TypedDict):
    """Body of `POST /read`."""

    __pydantic_config__ = _STRICT
    keys: NotRequired[list[str]]
    prefixes: NotRequired[list[str]]
    after_version: NotRequired[_Version]


_TRANSACTION_ADAPTER = pydantic.TypeAdapter(TransactionBody)
_READ_ADAPTER = pydantic.TypeAdapter(ReadBody)


class Table(faults.Standin):
    """Table that keeps its rows in memory, with one global version.

    Attributes:
        version: Number of committed transactions.
        commits, conflicts, reads, rows_written: Operation counters.
    """

    def __init__(self):
        super().__init__()
        self.version = 0
        self.commits = 0
        self.conflicts = 0
        self.reads = 0
        self.rows_written = 0
        # A deleted row is kept as (version, None), so that reads of the changes
        # after a version include the deletion.
        self._rows = sortedcontainers.SortedDict()

    def routes(self):
        """Returns the routes of the table protocol (section 4)."""
        return [
            (r"/transaction", _TransactionHandler),
            (r"/read", _ReadHandler),
        ]

    def get(self, key: str) -> tuple[int, dict[str, Any] | None]:
        """Returns the version and value of a row; (0, None) if absent."""
        version, value = self._rows.get(key, (0, None))
        if value is None:
            return 0, None
        return version, value

    def scan(self, prefix: str) -> list[tuple[str, int, dict[str, Any]]]:
        """Returns key, version and value of the rows under a prefix, by key."""
        return [
            (row["key"], row["version"], row["value"])
            for row in self.read([], [prefix], 0)
        ]

    def commit(self, checks, writes) -> list[dict]:
        """Commits a transaction, or returns the rows whose check failed."""
        failed = []
        for check in checks:
            version, value = self.get(check["key"])
            if version != check["version"]:
                failed.append(_row(check["key"], version, value))
        if failed:
            self.conflicts += 1
            return failed
        self.version += 1
        self.commits += 1
        for write in writes:
            self._rows[write["key"]] = (self.version, write["value"])
            self.rows_written += 1
        return []

    def read(self, keys, prefixes, after_version) -> list[dict]:
        """Returns rows by key and by prefix, without duplicates.

        If `after_version` is 0, an absent row that `keys` contains is returned
        with version 0 and a null value. Otherwise only rows that were changed
        after that version are returned, including deleted ones with a null
        value and the version of their deletion.
        """
        self.reads += 1
        rows_by_key = {}
        for key in keys:
            self._collect(key, after_version, rows_by_key)
            if after_version == 0:
                rows_by_key.setdefault(key, _row(key, 0, None))
        for prefix in prefixes:
            for key in self._rows.irange(minimum=prefix):
                if not key.startswith(prefix):
                    break
                self._collect(key, after_version, rows_by_key)
        return list(rows_by_key.values())

    def _collect(self, key, after_version, rows_by_key):
        version, value = self._rows.get(key, (0, None))
        if version <= after_version:
            return
        if value is None and after_version == 0:
            return
        rows_by_key[key] = _row(key, version, value)


def _row(key, version, value):
    return {"key": key, "version": version, "value": value}


class _TransactionHandler(faults.FaultyHandler):
    def post(self):
        body = self.read_typed(_TRANSACTION_ADAPTER)
        failed = self.owner.commit(body["checks"], body["writes"])
        if failed:
            self.write_json({"status": "conflict", "rows": failed}, 409)
            return
        version = self.owner.version
        self.write_json({"status": "committed", "version": version})


class _ReadHandler(faults.FaultyHandler):
    def post(self):
        body = self.read_typed(_READ_ADAPTER)
        rows = self.owner.read(
            body.get("keys", []),
            body.get("prefixes", []),
            body.get("after_version", 0),
        )
        self.write_json({"version": self.owner.version, "rows": rows})
