"""Stand-in of the platform's store: rows, transactions and change feeds."""

import asyncio
import base64
import bisect
import json
import time

from standins import http

# Settings under `platform` that the stand-in keeps to.
TX_MS = 4.0
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_PAGE_ROWS = 500
# Tables that the system may not write to.
READ_ONLY_TABLES = frozenset({"op", "servers"})


def now_ms() -> int:
    """Returns a steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Table:
    """The rows of one part of a table, by key."""

    def __init__(self):
        self.rows = {}
        self.keys = []

    def put(self, row):
        """Adds or replaces a row."""
        if row["key"] not in self.rows:
            bisect.insort(self.keys, row["key"])
        self.rows[row["key"]] = row

    def remove(self, key):
        """Removes a row; returns whether there was one."""
        if self.rows.pop(key, None) is None:
            return False
        del self.keys[bisect.bisect_left(self.keys, key)]
        return True

    def page(self, first, last, limit):
        """Returns (rows of a range of keys, whether there are more)."""
        start = bisect.bisect_left(self.keys, first)
        end = bisect.bisect_left(self.keys, last) if last else len(self.keys)
        found = self.keys[start : min(end, start + limit)]
        return [self.rows[key] for key in found], start + limit < end


class Store(http.Server):
    """Serves the calls about rows.

    A transaction that breaks a limit of the pages is refused as a whole with
    400.

    Attributes:
        is_down: Answers every call with 503 and does nothing.
        refused: Transactions that broke a limit.
        largest: Bytes of the largest value of the latest refused transaction.
    """

    def __init__(self, record):
        super().__init__()
        self.tables = {}
        self.ver = 0
        self.is_down = False
        self.refused = 0
        self.largest = 0
        self._record = record
        self._changes = {}
        self._changed = asyncio.Event()

    def table(self, name, part) -> Table:
        """Returns the rows of one part of a table."""
        return self.tables.setdefault((name, part), Table())

    def put(self, table, part, key, value):
        """Writes a row as the operator or a worker does."""
        self.ver += 1
        raw = json.dumps(value).encode()
        self._write(table, part, key, base64.b64encode(raw).decode())
        self._notify()

    def remove(self, table, part, key):
        """Removes a row as the platform does."""
        self.ver += 1
        self._drop(table, part, key)
        self._notify()

    def value(self, table, part, key):
        """Returns the decoded value of a row, or None."""
        row = self.table(table, part).rows.get(key)
        if row is None:
            return None
        return json.loads(base64.b64decode(row["value"]))

    def _write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value}
        row["ver"] = self.ver
        self.table(table, part).put(row)
        self._changes.setdefault(table, []).append(row)

    def _drop(self, table, part, key):
        if self.table(table, part).remove(key):
            row = {"table": table, "part": part, "key": key, "ver": self.ver}
            row["tombstone"] = True
            self._changes.setdefault(table, []).append(row)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req):
        """Answers a call."""
        await asyncio.sleep(TX_MS / 1_000)
        if self.is_down:
            return 503, {}
        if req.path == "/api/rows-tx":
            return self._transact(req.body)
        if req.path == "/api/rows-get":
            return self._get(req.query)
        if req.path == "/api/rows-feed":
            return await self._feed(req.query)
        return 400, {"reason": "no such call"}

    def _problem(self, body):
        """Returns why a transaction breaks a limit, or ""."""
        entries = 0
        for name in ("precondition", "put", "remove"):
            entries += len(body.get(name, ()))
        if entries > MAX_ENTRIES:
            return f"{entries} entries"
        largest = 0
        for row in body.get("put", ()):
            size = len(base64.b64decode(row["value"]))
            if size > max(largest, ROW_BYTES):
                largest = size
        if not largest:
            return ""
        self.largest = largest
        return f"a value of {largest} bytes"

    def _transact(self, body):
        problem = self._problem(body)
        if problem:
            self.refused += 1
            if self.refused <= 3 or not self.refused % 50:
                keys = [row["key"] for row in body["put"]]
                self._record.line(
                    "store", f"refused: {problem}; keys {','.join(keys)}"
                )
            return 400, {"reason": problem}
        changed = [*body.get("put", ()), *body.get("remove", ())]
        if any(row["table"] in READ_ONLY_TABLES for row in changed):
            return 403, {"reason": "read-only table"}
        failed = []
        for check in body.get("precondition", ()):
            rows = self.table(check["table"], check["part"]).rows
            row = rows.get(check["key"])
            if (row["ver"] if row else 0) == check["ver"]:
                continue
            missing = {name: check[name] for name in ("table", "part", "key")}
            failed.append(row or {**missing, "ver": 0, "tombstone": True})
        if failed:
            return 412, {"ver": self.ver, "rows": failed, "now_ms": now_ms()}
        self.ver += 1
        for row in body.get("put", ()):
            self._write(row["table"], row["part"], row["key"], row["value"])
        for row in body.get("remove", ()):
            self._drop(row["table"], row["part"], row["key"])
        self._notify()
        return 200, {"ver": self.ver, "now_ms": now_ms()}

    def _get(self, query):
        table = self.table(query["table"], query.get("part", ""))
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        rows, more = table.page(
            query.get("from", ""), query.get("to", ""), limit
        )
        fields = {"rows": rows, "has_more": more, "ver": self.ver}
        return 200, {**fields, "now_ms": now_ms()}

    async def _feed(self, query):
        changes = self._changes.setdefault(query["table"], [])
        after = int(query["after"])
        end = now_ms() + int(query.get("wait_ms", 0))
        while True:
            start = bisect.bisect_right(changes, after, key=_version)
            left_ms = end - now_ms()
            if start < len(changes) or left_ms <= 0:
                fields = {"rows": changes[start:], "ver": self.ver}
                return 200, {**fields, "now_ms": now_ms()}
            try:
                async with asyncio.timeout(left_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                continue


def _version(row):
    return row["ver"]
