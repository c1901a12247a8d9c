"""Tests of the platform client against the platform stand-ins."""

import asyncio
import random

from skylarklug import effects
from skylarklug import events
from skylarklug_standins import objects
from skylarklug_standins import table
from skylarklug_standins import vmlist
from skylarklugd import platform
from skylarklugd import runtime


class ClientHarness:
    """Runs a platform client against stand-ins and collects its events."""

    def __init__(self):
        self.table = table.Table()
        self.objects = objects.ObjectStore()
        self.vm_list = vmlist.VmList()
        self.received = asyncio.Queue()
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
            self.received.put_nowait,
            runtime.monotonic_ms,
            random.Random(1),
        )
        self.client.start()
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        for standin in (self.table, self.objects, self.vm_list):
            await standin.stop()

    async def wait_for_event(self, event_type):
        while True:
            event = await asyncio.wait_for(self.received.get(), 30)
            if isinstance(event, event_type):
                return event

    async def perform(self, effect, event_type):
        self.client.perform(effect)
        return await self.wait_for_event(event_type)


def commit_effect(op_id, version, value, timeout_ms=20_000):
    return effects.CommitTable(
        op_id,
        (effects.Check("task/a", version),),
        (effects.Write("task/a", value),),
        timeout_ms,
    )


def run_with_harness(scenario):
    async def main():
        async with ClientHarness() as harness:
            await scenario(harness)

    asyncio.run(main())


class TestTable:
    def test_commit_conflict_and_read(self):
        """Guards against a conflict that is reported as an outage."""

        async def scenario(harness):
            first = await harness.perform(
                commit_effect("op-1", 0, {"n": 1}), events.TableAnswered
            )
            assert first.status == "committed"
            second = await harness.perform(
                commit_effect("op-2", 0, {"n": 2}), events.TableAnswered
            )
            assert second.status == "conflict"
            assert second.rows[0].value == {"n": 1}
            read = effects.ReadTable("op-3", (), ("task/",), 0, 20_000)
            third = await harness.perform(read, events.TableAnswered)
            assert third.status == "read"
            assert [row.key for row in third.rows] == ["task/a"]

        run_with_harness(scenario)

    def test_outage_and_lost_answer_are_unavailable(self):
        """Guards against treating a write with a lost response as failed."""

        async def scenario(harness):
            harness.table.faults.set(outage=True)
            answer = await harness.perform(
                commit_effect("op-1", 0, {"n": 1}), events.TableAnswered
            )
            assert answer.status == "unavailable"
            assert harness.table.get("task/a")[0] == 0
            harness.table.faults.set(lose_answers=1.0)
            answer = await harness.perform(
                commit_effect("op-2", 0, {"n": 2}), events.TableAnswered
            )
            assert answer.status == "unavailable"
            assert harness.table.get("task/a")[1] == {"n": 2}

        run_with_harness(scenario)


class TestObjects:
    def test_missing_object_is_not_reported_as_unavailable(self):
        """Guards against an outage that is reported as a missing snapshot."""

        async def scenario(harness):
            get = effects.GetObject("op-1", "snapshots/yumbo-0")
            absent = await harness.perform(get, events.ObjectAnswered)
            assert absent.status == "absent"
            put = effects.PutObject("op-2", "snapshots/yumbo-0", b"\x00\xff")
            assert (
                await harness.perform(put, events.ObjectAnswered)
            ).status == ("ok")
            found = await harness.perform(get, events.ObjectAnswered)
            assert (found.status, found.body) == ("ok", b"\x00\xff")
            harness.objects.faults.set(outage=True)
            answer = await harness.perform(get, events.ObjectAnswered)
            assert answer.status == "unavailable"

        run_with_harness(scenario)


class TestVmList:
    def test_a_new_version_is_dispatched_once(self):
        """Guards against an event for every poll instead of every change."""

        async def scenario(harness):
            first = await harness.wait_for_event(events.VmListRead)
            assert first.vms == ()
            harness.vm_list.put(
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
            second = await harness.wait_for_event(events.VmListRead)
            assert second.version > first.version
            assert second.vms[0].services == ("certvault",)

        run_with_harness(scenario)


class TestUnchangedList:
    def test_an_unchanged_list_is_not_resent(self):
        """Guards against downloading 400 KB a second at 1,600 workers."""

        async def scenario(harness):
            vm_list, etag = await harness.client._read_vm_list("")
            assert vm_list is not None and etag
            assert await harness.client._read_vm_list(etag) == (None, etag)

        run_with_harness(scenario)


class TestSync:
    def test_an_expired_message_is_dropped(self):
        """Guards against a paused owner that sends an expired message."""

        async def scenario(harness):
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
            failed = await harness.perform(sync, events.WorkerSyncFailed)
            assert (failed.seq, failed.step) == (7, "deadline")

        run_with_harness(scenario)
