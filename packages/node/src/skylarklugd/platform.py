"""Clients of the platform: table, object store, VM list and workers."""

import asyncio
import json
import random

import cbor2
from tornado import httpclient
from tornado import simple_httpclient

from skylarklug import effects
from skylarklug import events
from skylarklug import exceptions

DEFAULT_VM_LIST_INTERVAL_MS = 1000
VM_LIST_TIMEOUT_MS = 2000
OBJECT_TIMEOUT_MS = 10_000
MAX_CLIENTS = 256
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class PlatformClient:
    """Performs platform effects and dispatches their results as events.

    Args:
        urls: Base URLs of `table`, `objects` and `vm_list`.
        node: Name of this node.
        dispatch: Takes an event.
        clock: Returns monotonic milliseconds.
        rng: Source of jitter for polling.
    """

    def __init__(self, urls, node, dispatch, clock, rng: random.Random):
        self._urls = urls
        self._node = node
        self._dispatch = dispatch
        self._clock = clock
        self._rng = rng
        self._tasks = set()
        self._http = None
        self.bytes_sent = 0
        self.bytes_received = 0

    def start(self) -> None:
        """Starts polling the VM list."""
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_ANSWER_BYTES,
        )
        self._spawn(self._poll_vm_list())

    async def close(self) -> None:
        """Cancels what is in flight and closes the connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._http is not None:
            self._http.close()

    def perform(self, effect) -> None:
        """Starts a platform effect; its result arrives as an event."""
        self._spawn(PERFORMERS[type(effect)](self, effect))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(
        self, method, url, body, timeout_ms, content_type, etag=""
    ):
        """Sends one request and returns the response with any status.

        With an `etag` the response is 304 when the resource is unchanged.

        Raises:
            Unavailable: There was no complete response in time.
        """
        timeout_s = timeout_ms / 1000
        headers = {}
        if body is not None:
            headers["Content-Type"] = content_type
        if etag:
            headers["If-None-Match"] = etag
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError, ValueError) as exc:
            raise exceptions.Unavailable(
                str(exc) or type(exc).__name__, step=method, peer=url
            ) from exc
        self.bytes_sent += len(body or b"") + len(url)
        self.bytes_received += len(response.body or b"")
        if response.code == 599:
            raise exceptions.Unavailable(
                str(response.error), step=method, peer=url
            )
        return response

    async def _post_json(self, url, message, timeout_ms):
        body = json.dumps(message, separators=(",", ":")).encode()
        response = await self._fetch(
            "POST", url, body, timeout_ms, "application/json"
        )
        if response.code not in (200, 409):
            raise exceptions.Unavailable(
                f"status {response.code}", step="POST", peer=url
            )
        try:
            return json.loads(response.body)
        except ValueError as exc:
            raise exceptions.Unavailable(
                f"malformed response: {exc}", step="POST", peer=url
            ) from exc

    # ------------------------------------------------------------ the table

    async def _commit_table(self, effect: effects.CommitTable) -> None:
        message = {
            "op_id": effect.op_id,
            "checks": [check._asdict() for check in effect.checks],
            "writes": [write._asdict() for write in effect.writes],
        }
        await self._call_table(
            effect, "/transaction", message, ("committed", "conflict")
        )

    async def _read_table(self, effect: effects.ReadTable) -> None:
        message = {
            "keys": effect.keys,
            "prefixes": effect.prefixes,
            "after_version": effect.after_version,
        }
        await self._call_table(effect, "/read", message, ("read",))

    async def _call_table(self, effect, path, message, statuses):
        status, version, rows = "unavailable", 0, ()
        try:
            answer = await self._post_json(
                self._urls["table"] + path, message, effect.timeout_ms
            )
            status = answer.get("status", "read")
            version = int(answer.get("version", 0))
            rows = tuple(events.Row(**row) for row in answer.get("rows", ()))
        except (exceptions.Unavailable, TypeError, ValueError, AttributeError):
            status, rows = "unavailable", ()
        if status not in statuses:
            status = "unavailable"
        self._dispatch(
            events.TableAnswered(
                self._clock(), effect.op_id, status, version, rows
            )
        )

    # ----------------------------------------------------- the object store

    async def _put_object(self, effect: effects.PutObject) -> None:
        await self._call_objects(effect, "PUT", effect.body)

    async def _get_object(self, effect: effects.GetObject) -> None:
        await self._call_objects(effect, "GET", None)

    async def _call_objects(self, effect, method, body):
        status, answer = "unavailable", b""
        url = f"{self._urls['objects']}/objects/{effect.key}"
        try:
            response = await self._fetch(
                method,
                url,
                body,
                OBJECT_TIMEOUT_MS,
                "application/octet-stream",
            )
            if response.code in (200, 201, 204):
                status, answer = "ok", response.body or b""
            elif response.code == 404:
                status = "absent"
        except exceptions.Unavailable:
            pass
        self._dispatch(
            events.ObjectAnswered(self._clock(), effect.op_id, status, answer)
        )

    # ---------------------------------------------------------- the VM list

    async def _poll_vm_list(self) -> None:
        interval_ms = self._urls.get(
            "vm_list_interval_ms", DEFAULT_VM_LIST_INTERVAL_MS
        )
        last_version = None
        etag = ""
        while True:
            listed, etag = await self._read_vm_list(etag)
            if listed is not None and listed.version != last_version:
                last_version = listed.version
                self._dispatch(listed)
            # Jitter keeps the nodes from polling at the same instant.
            await asyncio.sleep(
                interval_ms / 1000 * self._rng.uniform(0.8, 1.2)
            )

    async def _read_vm_list(self, etag):
        """Returns (event or None, ETag of the list that the node holds).

        At 1,600 workers the list has about 400 KB, so an unchanged list must
        not be sent again.
        """
        try:
            response = await self._fetch(
                "GET",
                self._urls["vm_list"] + "/vms",
                None,
                VM_LIST_TIMEOUT_MS,
                "application/json",
                etag,
            )
            if response.code != 200:
                return None, etag
            answer = json.loads(response.body)
            vms = tuple(_vm_of(entry) for entry in answer["vms"])
            version = int(answer["version"])
            listed = events.VmListRead(self._clock(), version, vms)
            return listed, response.headers.get("Etag", "")
        except (exceptions.Unavailable, KeyError, TypeError, ValueError):
            return None, ""

    # ---------------------------------------------------------- the workers

    async def _sync_worker(self, effect: effects.SyncWorker) -> None:
        sent_at = self._clock()
        # A node that was paused between the decision and this point may no
        # longer be the owner, so a late message is dropped here.
        if sent_at > effect.valid_until:
            self._sync_failed(effect, "deadline", "paused before sending")
            return
        body = cbor2.dumps(_sync_message(self._node, effect))
        try:
            response = await self._fetch(
                "POST",
                f"http://{effect.control}/sync",
                body,
                effect.timeout_ms,
                "application/cbor",
            )
            if response.code != 200:
                reason = f"status {response.code}"
                self._sync_failed(effect, "sync", reason)
                return
            answer = cbor2.loads(response.body)
            event = _worker_synced(effect, answer, sent_at, self._clock())
        except exceptions.Unavailable as exc:
            self._sync_failed(effect, "sync", exc.reason)
            return
        except (cbor2.CBORError, KeyError, TypeError, ValueError) as exc:
            self._sync_failed(effect, "decode sync", repr(exc))
            return
        self._dispatch(event)

    def _sync_failed(self, effect, step, reason):
        self._dispatch(
            events.WorkerSyncFailed(
                self._clock(), effect.worker, effect.seq, step, reason
            )
        )


PERFORMERS = {
    effects.CommitTable: PlatformClient._commit_table,
    effects.ReadTable: PlatformClient._read_table,
    effects.PutObject: PlatformClient._put_object,
    effects.GetObject: PlatformClient._get_object,
    effects.SyncWorker: PlatformClient._sync_worker,
}


def _vm_of(entry) -> events.Vm:
    capacity = entry["capacity"]
    return events.Vm(
        vm=entry["vm"],
        data_centre=entry["data_centre"],
        rack=entry["rack"],
        state=entry["state"],
        address=entry["address"],
        control=entry["control"],
        cpus=float(capacity["cpus"]),
        memory_mb=int(capacity["memory_mb"]),
        accelerators=int(capacity["accelerators"]),
        services=tuple(entry["services"]),
        slots=int(entry["slots"]),
        connections=int(entry["connections"]),
    )


def _sync_message(node, effect: effects.SyncWorker):
    commands = [
        {
            "op": command.op,
            "task": command.task,
            "attempt": command.attempt,
            **command.fields,
        }
        for command in effect.commands
    ]
    return {
        "node": node,
        "partition": effect.partition,
        "epoch": effect.epoch,
        "seq": effect.seq,
        "lease_until": effect.lease_until,
        "known_revision": effect.known_revision,
        "commands": commands,
    }


def _worker_synced(effect, answer, sent_at, now) -> events.WorkerSynced:
    tasks = tuple(
        events.WorkerTask(
            task=entry["task"],
            attempt=int(entry["attempt"]),
            state=entry["state"],
            checkpoint=entry.get("checkpoint"),
            reason=entry.get("reason", ""),
            progress=float(entry.get("progress", 0)),
        )
        for entry in answer.get("tasks", ())
    )
    clock = int(answer["clock"])
    return events.WorkerSynced(
        at=now,
        sent_at=sent_at,
        worker=effect.worker,
        seq=effect.seq,
        status=answer["status"],
        epoch=int(answer["epoch"]),
        clock=clock,
        revision=int(answer["revision"]),
        leaving=bool(answer.get("leaving", False)),
        full=effect.known_revision == 0,
        tasks=tasks,
        usage=_usage_of(answer.get("usage"), now - clock),
    )


def _usage_of(entry, offset_ms):
    """Converts a usage report; `offset_ms` maps worker to node time."""
    if not entry:
        return None
    tasks = {
        task: (float(use.get("cpus", 0)), int(use.get("memory_mb", 0)))
        for task, use in entry.get("tasks", {}).items()
    }
    return events.Usage(
        start=int(entry["from"]) + offset_ms,
        end=int(entry["to"]) + offset_ms,
        cpus=float(entry["cpus"]),
        memory_mb=int(entry["memory_mb"]),
        accelerators=int(entry.get("accelerators", 0)),
        tasks=tasks,
        latency_ms=dict(entry.get("latency_ms", {})),
    )
