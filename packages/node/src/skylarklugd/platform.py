"""HTTP client of the platform: table, object store, VM list and workers."""

import asyncio
import json
import random

import cbor2
from tornado import httpclient
from tornado import simple_httpclient

from skylarklug import effects
from skylarklug import events
from skylarklug import exceptions

# Polling interval of the VM list unless the settings give another.
DEFAULT_VM_LIST_INTERVAL_MS = 1000
# Timeout of one poll of the VM list.
VM_LIST_TIMEOUT_MS = 2000
# Timeout of one request to the object store.
OBJECT_TIMEOUT_MS = 10_000
# Further requests wait in the HTTP client's queue.
MAX_CONCURRENT_REQUESTS = 256
# Larger response bodies are treated as a failed request.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class PlatformClient:
    """Executes platform effects and dispatches their results as events.

    Args:
        urls: Base URLs of `table`, `objects` and `vm_list`; optionally
            `vm_list_interval_ms`.
        node: Name of this node.
        dispatch: Called with each event.
        clock: Returns monotonic milliseconds.
        rng: Source of jitter for the polling interval.
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
            max_clients=MAX_CONCURRENT_REQUESTS,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        self._spawn(self._poll_vm_list())

    async def close(self) -> None:
        """Cancels all requests in flight and closes the connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._http is not None:
            self._http.close()

    def perform(self, effect) -> None:
        """Starts an effect in the background; its result is an event."""
        self._spawn(EFFECT_HANDLERS[type(effect)](self, effect))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(
        self, method, url, body, timeout_ms, content_type, etag=""
    ):
        """Sends one request and returns its response, whatever the status.

        With an `etag`, the status is 304 if the resource is unchanged.

        Raises:
            Unavailable: No complete response arrived within the timeout.
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
            decoded = await self._post_json(
                self._urls["table"] + path, message, effect.timeout_ms
            )
            status = decoded.get("status", "read")
            version = int(decoded.get("version", 0))
            rows = tuple(events.Row(**row) for row in decoded.get("rows", ()))
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
        status, content = "unavailable", b""
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
                status, content = "ok", response.body or b""
            elif response.code == 404:
                status = "absent"
        except exceptions.Unavailable:
            pass
        self._dispatch(
            events.ObjectAnswered(self._clock(), effect.op_id, status, content)
        )

    # ---------------------------------------------------------- the VM list

    async def _poll_vm_list(self) -> None:
        interval_ms = self._urls.get(
            "vm_list_interval_ms", DEFAULT_VM_LIST_INTERVAL_MS
        )
        last_version = None
        etag = ""
        while True:
            vm_list, etag = await self._read_vm_list(etag)
            if vm_list is not None and vm_list.version != last_version:
                last_version = vm_list.version
                self._dispatch(vm_list)
            # Jitter prevents the nodes from polling in lockstep.
            await asyncio.sleep(
                interval_ms / 1000 * self._rng.uniform(0.8, 1.2)
            )

    async def _read_vm_list(self, etag):
        """Returns (event or None, ETag for the next conditional request).

        The list is about 400 KB at 1,600 workers, so the server must not
        resend an unchanged list.
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
            decoded = json.loads(response.body)
            vms = tuple(_parse_vm(entry) for entry in decoded["vms"])
            version = int(decoded["version"])
            vm_list = events.VmListRead(self._clock(), version, vms)
            return vm_list, response.headers.get("Etag", "")
        except (exceptions.Unavailable, KeyError, TypeError, ValueError):
            return None, ""

    # ---------------------------------------------------------- the workers

    async def _sync_worker(self, effect: effects.SyncWorker) -> None:
        sent_at = self._clock()
        # If the process was paused after the decision, this node may no longer
        # own the partition, so the expired message is dropped.
        if sent_at > effect.valid_until:
            self._dispatch_sync_failure(
                effect, "deadline", "paused before sending"
            )
            return
        body = cbor2.dumps(_build_sync_message(self._node, effect))
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
                self._dispatch_sync_failure(effect, "sync", reason)
                return
            decoded = cbor2.loads(response.body)
            event = _parse_sync_response(
                effect, decoded, sent_at, self._clock()
            )
        except exceptions.Unavailable as exc:
            self._dispatch_sync_failure(effect, "sync", exc.reason)
            return
        except (cbor2.CBORError, KeyError, TypeError, ValueError) as exc:
            self._dispatch_sync_failure(effect, "decode sync", repr(exc))
            return
        self._dispatch(event)

    def _dispatch_sync_failure(self, effect, step, reason):
        self._dispatch(
            events.WorkerSyncFailed(
                self._clock(), effect.worker, effect.seq, step, reason
            )
        )


EFFECT_HANDLERS = {
    effects.CommitTable: PlatformClient._commit_table,
    effects.ReadTable: PlatformClient._read_table,
    effects.PutObject: PlatformClient._put_object,
    effects.GetObject: PlatformClient._get_object,
    effects.SyncWorker: PlatformClient._sync_worker,
}


def _parse_vm(entry) -> events.Vm:
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


def _build_sync_message(node, effect: effects.SyncWorker):
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


def _parse_sync_response(effect, response, sent_at, now) -> events.WorkerSynced:
    tasks = tuple(
        events.WorkerTask(
            task=entry["task"],
            attempt=int(entry["attempt"]),
            state=entry["state"],
            checkpoint=entry.get("checkpoint"),
            reason=entry.get("reason", ""),
            progress=float(entry.get("progress", 0)),
        )
        for entry in response.get("tasks", ())
    )
    clock = int(response["clock"])
    return events.WorkerSynced(
        at=now,
        sent_at=sent_at,
        worker=effect.worker,
        seq=effect.seq,
        status=response["status"],
        epoch=int(response["epoch"]),
        clock=clock,
        revision=int(response["revision"]),
        leaving=bool(response.get("leaving", False)),
        full=effect.known_revision == 0,
        tasks=tasks,
        usage=_parse_usage(response.get("usage"), now - clock),
    )


def _parse_usage(entry, offset_ms):
    """Parses a usage report; `offset_ms` is node time minus worker time."""
    if not entry:
        return None
    tasks = {
        task: (
            float(task_usage.get("cpus", 0)),
            int(task_usage.get("memory_mb", 0)),
        )
        for task, task_usage in entry.get("tasks", {}).items()
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
