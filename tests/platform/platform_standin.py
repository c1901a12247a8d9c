"""Stand-ins of the platform's store, workers and machine API, over HTTP.

They follow the platform's documentation, and implement only what the adapter
calls.
"""

import asyncio
import base64
import bisect
import json
import operator
import time
import weakref

from tornado import httpserver
from tornado import httputil
from tornado import netutil


def now_ms():
    return time.monotonic_ns() // 1_000_000


def respond(req, status, fields):
    if req.connection.stream in severed_streams:
        return
    body = json.dumps(fields).encode()
    headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
    start = httputil.ResponseStartLine("HTTP/1.1", status, "-")
    req.connection.write_headers(start, headers, body)
    req.connection.finish()


# Connections that have gone silent for good.
severed_streams = weakref.WeakSet()


class Server:
    """Listens on a port, records requests and passes them to `handle`."""

    def __init__(self, port=0):
        self.open(port)
        self.streams = weakref.WeakSet()
        self.requests = []
        # Status of all responses, "silent" to send none, or 0 to handle the
        # request.
        self.fault = 0

    def open(self, port=0):
        """Listens on a port; 0 selects a free one."""
        (sock, *_) = netutil.bind_sockets(port, "127.0.0.1")
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.server = httpserver.HTTPServer(self.on_request)
        self.server.add_socket(sock)

    def on_request(self, req):
        self.streams.add(req.connection.stream)
        if req.connection.stream in severed_streams:
            return
        body = json.loads(req.body) if req.body else None
        self.requests.append((req.method, req.path, dict(req.headers), body))
        if self.fault == "silent":
            return
        if self.fault:
            respond(req, self.fault, {"reason": "fault"})
            return
        self.handle(req, body)

    def close(self):
        self.server.stop()

    def sever(self):
        """Lets all open connections go silent for good; new ones work."""
        severed_streams.update(self.streams)

    def disconnect(self):
        """Closes all connections as well."""
        self.close()
        asyncio.ensure_future(self.server.close_all_connections())


class Store(Server):
    """Stores rows; supports transactions, scans by page and change feeds."""

    def __init__(self, page=500):
        super().__init__()
        self.rows = {}
        self.ver = 0
        # Changed rows in the order of their versions, by table.
        self.history = {}
        self.dropped_version = 0
        self.page = page
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        self.ver += 1
        self.write(table, part, key, json.dumps(value).encode())

    def remove(self, table, part, key):
        del self.rows[table, part, key]
        self.ver += 1
        row = {"table": table, "part": part, "key": key, "ver": self.ver}
        self.append_change({**row, "tombstone": True})

    def write(self, table, part, key, raw):
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "ver": self.ver,
        }
        self.rows[table, part, key] = row
        self.append_change(row)

    def append_change(self, row):
        self.history.setdefault(row["table"], []).append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def handle(self, req, body):
        if req.path == "/api/rows-tx":
            self.transact(req, body)
        elif req.path == "/api/rows-get":
            self.get(req)
        elif req.path == "/api/rows-feed":
            asyncio.ensure_future(self.feed(req))
        else:
            respond(req, 400, {"reason": "no such call"})

    def transact(self, req, body):
        failed = []
        for check in body["precondition"]:
            row_key = (check["table"], check["part"], check["key"])
            row = self.rows.get(row_key)
            if (row["ver"] if row else 0) != check["ver"]:
                empty = dict(
                    zip(("table", "part", "key"), row_key, strict=True)
                )
                failed.append(row or {**empty, "ver": 0, "tombstone": True})
        if failed:
            respond(req, 412, {"ver": self.ver, "rows": failed})
            return
        self.ver += 1
        for row in body["put"]:
            raw = base64.b64decode(row["value"])
            self.write(row["table"], row["part"], row["key"], raw)
        for row in body["remove"]:
            row_key = (row["table"], row["part"], row["key"])
            if self.rows.pop(row_key, None):
                self.append_change({**row, "ver": self.ver, "tombstone": True})
        respond(req, 200, {"ver": self.ver, "now_ms": now_ms()})

    def get(self, req):
        table = req.arguments["table"][0].decode()
        part = req.arguments.get("part", [b""])[0].decode()
        first = req.arguments.get("from", [b""])[0].decode()
        last = req.arguments.get("to", [b""])[0].decode()
        limit = int(req.arguments.get("limit", [b"500"])[0])
        found = []
        for (row_table, row_part, key), row in sorted(self.rows.items()):
            if (row_table, row_part) == (table, part) and key >= first:
                if not last or key < last:
                    found.append(row)
        size = min(limit, self.page)
        more = len(found) > size
        fields = {"rows": found[:size], "has_more": more, "ver": self.ver}
        respond(req, 200, {**fields, "now_ms": now_ms()})

    async def feed(self, req):
        table = req.arguments["table"][0].decode()
        after = int(req.arguments["after"][0])
        end = now_ms() + int(req.arguments["wait_ms"][0])
        if after < self.dropped_version:
            respond(req, 410, {})
            return
        while True:
            changes = self.history.get(table, [])
            start = bisect.bisect_right(
                changes, after, key=operator.itemgetter("ver")
            )
            left = (end - now_ms()) / 1000
            if start < len(changes) or left <= 0:
                fields = {"rows": changes[start:], "ver": self.ver}
                respond(req, 200, {**fields, "now_ms": now_ms()})
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue


class Door(Server):
    """An address of the store, with faults of its own."""

    def __init__(self, store):
        super().__init__()
        self.handle = store.handle


class Worker(Server):
    """A worker whose runs end with "done" after `run_ms`."""

    def __init__(self, name, run_ms=150):
        super().__init__()
        self.name = name
        self.run_ms = run_ms
        self.runs = {}
        self.ends = []
        self.last_number = 0
        self.started = []
        self.paces_by_task = {}
        self.fixed_answer = None

    def entry(self, **fields):
        return {
            "service": "hub",
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "room": {"cpu": 16_000, "mem_mb": 32_768, "gpus": 0},
            "labels": ["a", "r1-1"],
            "born": 7,
            "seq": 1,
            **fields,
        }

    def handle(self, req, body):
        expected = req.headers.get("Skylarklug-Expect-Instance")
        if expected not in (None, self.name):
            respond(req, 421, {})
        elif self.fixed_answer:
            status, fields = self.fixed_answer
            respond(req, status, {"clock_ms": now_ms(), **fields})
        elif req.path == "/api/hold":
            asyncio.ensure_future(self.poll(req, body))
        else:
            if req.path == "/api/run-start":
                self.start(body)
            elif req.path == "/api/run-stop":
                self.end(body["task"], "stopped")
            elif req.path == "/api/pace":
                self.paces_by_task[body["task"]] = body["pct"]
            respond(req, 200, {"clock_ms": now_ms()})

    def start(self, body):
        name = body["task"]
        if name in self.runs:
            return
        self.runs[name] = [name, body["attempt"], "", 0, 900]
        self.started.append(body)
        loop = asyncio.get_running_loop()
        loop.call_later(self.run_ms / 1000, self.end, name, "done")

    def end(self, name, outcome):
        run = self.runs.pop(name, None)
        if run is not None:
            self.last_number += 1
            self.ends.append([self.last_number, name, run[1], outcome, ""])

    async def poll(self, req, body):
        end = now_ms() + body["wait_ms"]
        last_seen = body["last_seen"]
        while now_ms() < end:
            if any(row[0] > last_seen for row in self.ends):
                break
            await asyncio.sleep(0.01)
        self.ends = [row for row in self.ends if row[0] > last_seen]
        fields = {
            "clock_ms": now_ms(),
            "born": 7,
            "running": list(self.runs.values()),
            "ended_runs": self.ends,
        }
        respond(req, 200, fields)


CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "batch",
            "host": "hub.example",
            "prefix": "/batch/",
            "kind": "mutating",
            "timeout_ms": 3_000,
            "slo_ms": 300,
            "priority": 0,
            "service": "hub",
            "max_attempts": 2,
            "stretch": 1.5,
        }
    ],
    "services": [{"name": "hub", "enforces_capacity": True}],
    "limits": {"max_body_bytes": 262_144},
}


def settings(store, front, ready, ports):
    """Returns the content of the settings file of a process."""
    return {
        "node": "frontend-1",
        "role": "scheduler",
        "ip": "127.0.0.1",
        "zone": "z1",
        "listen": {"front": front, "ready": ready},
        "port_range": ports,
        "bounds": {
            "max_hold_ms": 6_000,
            "grace_s": 6,
            "gang_timeout_ms": 3_000,
            "finish_s": 14,
            "contact_ms": 3_500,
            "status_s": 120,
            "far_factor": 2,
            "harm_ms": 4_000,
        },
        "platform": {"addr": store},
        "cloud": {"addr": "127.0.0.1:1"},
        "advice": "127.0.0.1:1",
        "something_new": {"ignored": True},
    }
