"""Change feeds of the store's tables."""

import asyncio
import random

from skylarklug import exceptions
from skylarklugd import clocks

# The delay grows by RETRY_DELAY_MS with each consecutive failure.
RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 600


class HistoryLost(exceptions.SkylarklugError):
    """The store no longer keeps the changes since the requested version."""


class Feed:
    """Watches one table until it is stopped.

    Reads the whole table once, then long-polls for changes. The table is read
    again when the store no longer keeps the changes since the last version.

    Args:
        table: Name of the table.
        store: Has `scan(table)` and `changes(table, after, wait_ms)`; both
            return (version, rows), and raise `Unavailable` or `HistoryLost`.
        on_rows: Called with (table, is_snapshot, rows) for each response.
        on_failure: Called with the table for each failed request.
        log: Called with (level, event, fields).
        rng: Source of jitter for retries.
        wait_ms: Timeout of a long poll.
        on_current: Called with (table, time) after the rows of each response.
            All changes up to this time of the boot-time clock, in ms, have been
            passed to `on_rows`.
    """

    def __init__(
        self,
        table,
        store,
        on_rows,
        on_failure,
        log,
        rng: random.Random,
        wait_ms: int,
        on_current=None,
    ):
        self._table = table
        self._store = store
        self._on_rows = on_rows
        self._on_failure = on_failure
        self._log = log
        self._rng = rng
        self._wait_ms = wait_ms
        self._on_current = on_current
        self._version = None
        self._failures = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self):
        """Stops the feed; `on_rows` is not called again."""
        self._task.cancel()

    async def read_now(self):
        """Reads the latest changes beside the open poll.

        Raises:
            Unavailable: The store did not answer, or refused the request.
            HistoryLost: The store no longer has all of the changes.
        """
        sent_at = clocks.boot_ms()
        is_snapshot, _, rows = await self._read(0)
        self._deliver(is_snapshot, rows, sent_at)

    async def _run(self):
        while True:
            try:
                await self._fetch()
            except HistoryLost:
                self._version = None
                fields = {"table": self._table}
                self._log("warning", "history-lost", fields)
            except exceptions.SkylarklugError as exc:
                await self._back_off(exc)
            except Exception as exc:
                # A malformed response. Without this the feed would end, and
                # the node would act on old rows from then on.
                await self._back_off(
                    exceptions.ProtocolError(
                        repr(exc), step="read feed", peer=self._table
                    )
                )
            else:
                self._on_success()

    async def _fetch(self):
        # The store reads the rows after it has received the request.
        sent_at = clocks.boot_ms()
        is_snapshot, self._version, rows = await self._read(self._wait_ms)
        self._deliver(is_snapshot, rows, sent_at)

    async def _read(self, wait_ms):
        """Returns (is_snapshot, version, rows)."""
        if self._version is None:
            return True, *await self._store.scan(self._table)
        return False, *await self._store.changes(
            self._table, self._version, wait_ms
        )

    def _deliver(self, is_snapshot, rows, current_at):
        self._on_rows(self._table, is_snapshot, rows)
        if self._on_current is not None:
            self._on_current(self._table, current_at)

    async def _back_off(self, exc):
        if not self._failures:
            fields = {
                "table": self._table,
                "step": exc.step,
                "peer": exc.peer,
                "reason": exc.reason,
            }
            self._log("warning", "feed-lost", fields)
        self._failures += 1
        self._on_failure(self._table)
        delay_ms = min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * self._failures)
        await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)

    def _on_success(self):
        if self._failures:
            fields = {"table": self._table, "failures": self._failures}
            self._log("info", "feed-regained", fields)
        self._failures = 0
