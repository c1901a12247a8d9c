"""Tests of the platform clients against the stand-ins."""

import asyncio
import random

from skylarklug import effects
from skylarklug import events
from skylarklug_standins import objects
from skylarklug_standins import table
from skylarklug_standins import vmlist
from skylarklugd import platform
from skylarklugd import runtime


class Edge:
    """A platform client whose events can be awaited."""

    def __init__(self):
        self.table = table.Table()
        self.objects = objects.ObjectStore()
        self.vm_list = vmlist.VmList()
        self.seen = asyncio.Queue()
        self.now = 0

    async def __aenter__(self):
        for standin in (self.table, self.objects, self.vm_list):
            await standin.start()
        urls = {
            "table": self.table.url,
            "objects": self.objects.url,
            "vm_list": self.vm_list.url,
            "vm_list_interval_ms": 20,
        }
        self.client = platform.PlatformClient(
            urls,
            "yumbo-1",
            self.seen.put_nowait,
            runtime.monotonic_ms,
            random.Random(1),
        )
        self.client.start()
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        for standin in (self.table, self.objects, self.vm_list):
            await standin.stop()

    async def next(self, kind):
        while True:
            event = await asyncio.wait_for(self.seen.get(), 30)
            if isinstance(event, kind):
                return event

    async def perform(self, effect, kind):
        self.client.perform(effect)
        return await self.next(kind)


def commit(op_id, version, value, timeout_ms=20_000):
    return effects.CommitTable(
        op_id,
        (effects.Check("task/a", version),),
        (effects.Write("task/a", value),),
        timeout_ms,
    )


def run(body):
    async def main():
        async with Edge() as edge:
            await body(edge)

    asyncio.run(main())


class TestTable:
    def test_commit_conflict_and_read(self):
        """Guards against a conflict that looks like an outage."""

        async def body(edge):
            first = await edge.perform(
                commit("op-1", 0, {"n": 1}), events.TableAnswered
            )
            assert first.status == "committed"
            second = await edge.perform(
                commit("op-2", 0, {"n": 2}), events.TableAnswered
            )
            assert second.status == "conflict"
            assert second.rows[0].value == {"n": 1}
            read = effects.ReadTable("op-3", (), ("task/",), 0, 20_000)
            third = await edge.perform(read, events.TableAnswered)
            assert third.status == "read"
            assert [row.key for row in third.rows] == ["task/a"]

        run(body)

    def test_outage_and_lost_answer_are_unavailable(self):
        """Guards against a lost answer being taken for a failed write."""

        async def body(edge):
            edge.table.faults.set(outage=True)
            answer = await edge.perform(
                commit("op-1", 0, {"n": 1}), events.TableAnswered
            )
            assert answer.status == "unavailable"
            assert edge.table.get("task/a")[0] == 0
            edge.table.faults.set(lose_answers=1.0)
            answer = await edge.perform(
                commit("op-2", 0, {"n": 2}), events.TableAnswered
            )
            assert answer.status == "unavailable"
            assert edge.table.get("task/a")[1] == {"n": 2}

        run(body)


class TestObjects:
    def test_absent_is_not_unavailable(self):
        """Guards against an outage that looks like a missing snapshot."""

        async def body(edge):
            get = effects.GetObject("op-1", "snapshots/yumbo-0")
            absent = await edge.perform(get, events.ObjectAnswered)
            assert absent.status == "absent"
            put = effects.PutObject("op-2", "snapshots/yumbo-0", b"\x00\xff")
            assert (await edge.perform(put, events.ObjectAnswered)).status == (
                "ok"
            )
            found = await edge.perform(get, events.ObjectAnswered)
            assert (found.status, found.body) == ("ok", b"\x00\xff")
            edge.objects.faults.set(outage=True)
            answer = await edge.perform(get, events.ObjectAnswered)
            assert answer.status == "unavailable"

        run(body)


class TestVmList:
    def test_a_new_version_is_dispatched_once(self):
        """Guards against a reducer event for each poll."""

        async def body(edge):
            first = await edge.next(events.VmListRead)
            assert first.vms == ()
            edge.vm_list.put(
                {
                    "vm": "w-1",
                    "data_centre": "yumbo",
                    "rack": "r-1",
                    "state": "live",
                    "address": "127.0.0.1:1",
                    "control": "127.0.0.1:2",
                    "capacity": {
                        "cpus": 16,
                        "memory_mb": 60000,
                        "accelerators": 0,
                    },
                    "services": ["certvault"],
                    "slots": 8,
                    "connections": 64,
                }
            )
            second = await edge.next(events.VmListRead)
            assert second.version > first.version
            assert second.vms[0].services == ("certvault",)

        run(body)


class TestUnchangedList:
    def test_an_unchanged_list_is_not_sent_again(self):
        """Guards against 400 KB a second at 1,600 workers."""

        async def body(edge):
            listed, etag = await edge.client._read_vm_list("")
            assert listed is not None and etag
            assert await edge.client._read_vm_list(etag) == (None, etag)

        run(body)


class TestSync:
    def test_a_late_message_is_dropped(self):
        """Guards against a paused owner that acts after its deadline."""

        async def body(edge):
            sync = effects.SyncWorker(
                worker="w-1",
                control="127.0.0.1:9",
                partition="yumbo/0",
                epoch=1,
                seq=7,
                lease_until=0,
                known_revision=0,
                commands=(),
                valid_until=runtime.monotonic_ms() - 1,
                timeout_ms=1000,
            )
            failed = await edge.perform(sync, events.WorkerSyncFailed)
            assert (failed.seq, failed.step) == (7, "deadline")

        run(body)
