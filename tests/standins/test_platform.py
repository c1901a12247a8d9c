"""Tests of the stand-ins for table, object store and VM list."""

from tests.standins import support

from skylarklug_standins import objects
from skylarklug_standins import table as table_lib
from skylarklug_standins import vmlist


def with_standin(factory):
    """Runs an async test method with a started stand-in."""

    async def scenario(self, test):
        standin = factory()
        await standin.start()
        try:
            await test(self, standin)
        finally:
            await standin.stop()

    return support.decorator(scenario)


async def transact(table, checks, writes):
    body = {
        "op_id": "op",
        "checks": [{"key": k, "version": v} for k, v in checks],
        "writes": [{"key": k, "value": v} for k, v in writes],
    }
    return await support.fetch_json(f"{table.url}/transaction", "POST", body)


async def read(table, **body):
    return await support.fetch_json(f"{table.url}/read", "POST", body)


class TestTable:
    @with_standin(table_lib.Table)
    async def test_conflict_shows_failed_rows_and_writes_nothing(self, table):
        """Guards against partial transactions and conflicts without rows."""
        status, body = await transact(table, [("a", 0)], [("a", {"n": 1})])
        assert (status, body) == (
            200,
            {"status": "committed", "version": 1},
        )
        status, body = await transact(
            table, [("a", 0), ("b", 0)], [("b", {"n": 2})]
        )
        assert status == 409
        assert body == {
            "status": "conflict",
            "rows": [{"key": "a", "version": 1, "value": {"n": 1}}],
        }
        assert table.get("b") == (0, None)

    @with_standin(table_lib.Table)
    async def test_version_zero_means_absent_also_after_a_deletion(self, table):
        """Guards against a deleted row that can't be created again."""
        await transact(table, [], [("a", {})])
        status, _ = await transact(table, [("a", 1)], [("a", None)])
        assert status == 200
        status, body = await transact(table, [("a", 2)], [("a", {})])
        assert status == 409
        assert body["rows"][0]["version"] == 0
        status, body = await transact(table, [("a", 0)], [("a", {})])
        assert (status, body["version"]) == (200, 3)

    @with_standin(table_lib.Table)
    async def test_prefix_read_after_version_shows_changes_and_deletions(
        self, table
    ):
        """Guards against deletions that readers can't detect."""
        await transact(table, [], [("j/1", {}), ("j/2", {}), ("k", {})])
        await transact(table, [], [("j/2", None), ("j/3", {})])
        _, full = await read(table, prefixes=["j/"])
        assert [row["key"] for row in full["rows"]] == ["j/1", "j/3"]
        _, changed = await read(table, prefixes=["j/"], after_version=1)
        assert changed["version"] == 2
        assert changed["rows"] == [
            {"key": "j/2", "version": 2, "value": None},
            {"key": "j/3", "version": 2, "value": {}},
        ]
        _, named = await read(table, keys=["none"], prefixes=["k"])
        assert [row["version"] for row in named["rows"]] == [0, 1]

    @with_standin(table_lib.Table)
    async def test_malformed_bodies_are_refused(self, table):
        """Guards against malformed requests that are accepted."""
        url = f"{table.url}/transaction"
        for body in (
            {"op_id": "x", "checks": []},
            {"op_id": "x", "checks": [], "writes": [{"key": "a"}]},
            {"op_id": "x", "checks": [], "writes": [], "more": 1},
        ):
            status, _ = await support.fetch_json(url, "POST", body)
            assert status == 400
        assert table.version == 0


class TestFaults:
    @with_standin(table_lib.Table)
    async def test_outage_has_no_effect(self, table):
        """Guards against a 503 whose write took effect."""
        url = f"{table.url}/faults"
        await support.fetch_json(url, "POST", {"outage": True})
        status, _ = await transact(table, [], [("a", {})])
        assert status == 503
        assert table.version == 0
        await support.fetch_json(url, "POST", {"outage": False})
        status, _ = await transact(table, [], [("a", {})])
        assert status == 200

    @with_standin(table_lib.Table)
    async def test_lost_answers_take_effect_and_depend_on_the_seed(self, table):
        """Guards against faults that can't be reproduced with a seed."""

        async def lost_answers():
            body = {"lose_answers": 0.5, "seed": 11}
            await support.fetch_json(f"{table.url}/faults", "POST", body)
            request = {"op_id": "x", "checks": [], "writes": []}
            url = f"{table.url}/transaction"
            answers = [
                await support.fetch(url, "POST", request) for _ in range(20)
            ]
            return [a is None or a.code == 599 for a in answers]

        first = await lost_answers()
        assert table.version == 20
        assert True in first and False in first
        assert await lost_answers() == first

    @with_standin(table_lib.Table)
    async def test_delay_and_unknown_faults(self, table):
        """Guards against misspelled fault names that are accepted."""
        url = f"{table.url}/faults"
        await support.fetch_json(url, "POST", {"delay_ms": 300})
        body = {"op_id": "x", "checks": [], "writes": []}
        late = await support.fetch(
            f"{table.url}/transaction", "POST", body, timeout=0.1
        )
        assert late is None or late.code == 599
        status, _ = await support.fetch_json(url, "POST", {"delay": 1})
        assert status == 400
        assert table.faults.delay_ms == 300


class TestObjectStore:
    @with_standin(objects.ObjectStore)
    async def test_put_get_delete_and_outage(self, store):
        """Guards against corrupted objects, and responses in an outage."""
        url = f"{store.url}/objects/snapshot/yumbo/0"
        assert (await support.fetch(url)).code == 404
        body = bytes(range(256))
        assert (await support.fetch(url, "PUT", body)).code == 200
        assert (await support.fetch(url)).body == body
        store.faults.set(outage=True)
        assert (await support.fetch(url)).code == 503
        assert (await support.fetch(url, "DELETE")).code == 503
        store.faults.set()
        assert (await support.fetch(url, "DELETE")).code == 200
        assert (await support.fetch(url, "DELETE")).code == 404


def vm_body(name):
    return {
        "vm": name,
        "data_centre": "yumbo",
        "rack": "yumbo-r1",
        "state": "live",
        "address": "127.0.0.1:1",
        "control": "127.0.0.1:2",
        "capacity": dict(support.CAPACITY),
        "services": ["certvault"],
        "slots": 8,
        "connections": 64,
    }


class TestVmList:
    def test_readers_see_changes_after_the_lag(self):
        """Guards against changes that are visible before the lag."""
        clock = support.Clock()
        vms = vmlist.VmList(lag_ms=3_000, clock=clock)
        vms.put_initial(vm_body("w-1"))
        clock.now += 1_000
        vms.set_state("w-1", "leaving")
        clock.now += 1_000
        vms.remove("w-1")
        seen = []
        for _ in range(4):
            listing = vms.visible_list()
            states = " ".join(vm["state"] for vm in listing["vms"])
            seen.append((listing["version"], states))
            clock.now += 1_000
        assert seen == [(1, "live"), (1, "live"), (2, "leaving"), (3, "")]

    @with_standin(vmlist.VmList)
    async def test_change_requests(self, vms):
        """Guards against change requests that have no effect."""
        url = f"{vms.url}/vms"
        vm_url = f"{url}/w-1"
        body = {"state": "leaving"}
        assert (await support.fetch_json(vm_url, "POST", body))[0] == 404
        await support.fetch_json(vm_url, "PUT", vm_body("w-1"))
        await support.fetch_json(vm_url, "POST", body)
        _, listing = await support.fetch_json(url)
        assert listing["vms"] == [vm_body("w-1") | body]
        assert (await support.fetch_json(vm_url, "PUT", body))[0] == 400
        assert (await support.fetch_json(vm_url, "DELETE"))[0] == 200
        assert (await support.fetch_json(url))[1]["vms"] == []
