"""Processes of the scheduler that watch the exit of their leader."""

import asyncio
import base64
import json
import pathlib
import signal
import socket

import platform_standin as standin
import test_process


def prepare(tmp_path, name, store):
    """Returns a process that has not been started, and its watch port."""
    folder = tmp_path / name
    folder.mkdir()
    scheduler = test_process.SchedulerProcess(folder)
    scheduler.store = store
    ports = test_process.free_port_range(2)
    fields = standin.settings(
        store.address, scheduler.front, scheduler.ready, ports
    )
    scheduler.path.write_text(json.dumps({**fields, "node": name}))
    return scheduler, ports[1]


def owner(store):
    """Returns the name of the node that leads, or None."""
    for (table, _, key), row in store.rows.items():
        if (table, key) == ("leadership", "owner"):
            value = json.loads(base64.b64decode(row["value"]))
            return None if value["released"] else value["node"]
    return None


def is_watched(port):
    """Returns whether a connection to a local port is established."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        local, _, state = line.split()[1:4]
        if local.endswith(f":{port:04X}") and state == "01":
            return True
    return False


def run_pair(tmp_path, scenario):
    """Runs `await scenario(store, leader, follower)`, by (process, port)."""

    async def run():
        store = standin.Store()
        store.put("op", "", "config", standin.CONFIGURATION)
        pairs = [prepare(tmp_path, name, store) for name in ("n1", "n2")]
        try:
            for scheduler, _ in pairs:
                await scheduler.start()
                await wait_until(lambda: owner(store) == "n1")
            await wait_until(lambda: is_watched(pairs[0][1]))
            await scenario(store, *pairs)
        finally:
            for scheduler, _ in pairs:
                scheduler.http.close()
                if scheduler.process and scheduler.process.returncode is None:
                    scheduler.process.kill()
                    await scheduler.process.wait()

    asyncio.run(run())


async def wait_until(condition):
    async def check():
        return condition()

    await test_process.wait_until(check)


class TestPair:
    def test_killed_leader(self, tmp_path):
        """Guards against a listener, a watch or an event that are not wired up
        in the program."""

        async def scenario(store, leader, follower):
            leader[0].process.kill()
            await wait_until(lambda: owner(store) == "n2")
            code, output = await follower[0].stop()
            assert code == 0
            assert "event=leader-exited node=n2 epoch=1 leader=n1" in output
            assert "defect" not in output

        run_pair(tmp_path, scenario)

    def test_leader_that_is_stopped(self, tmp_path):
        """Guards against a stop that waits for the nodes that watch, and a
        planned stop that is taken for the exit of a leader."""

        async def scenario(store, leader, follower):
            code, output = await leader[0].stop()
            assert code == 0
            assert "defect" not in output
            await wait_until(lambda: owner(store) == "n2")
            code, output = await follower[0].stop()
            assert code == 0
            assert "leader-exited" not in output
            assert "defect" not in output

        run_pair(tmp_path, scenario)


class TestWithoutAWatchAddress:
    def check(self, tmp_path, ports):
        async def scenario(scheduler):
            scheduler.store.put("op", "", "config", standin.CONFIGURATION)
            await test_process.wait_until(scheduler.is_ready)
            await wait_until(lambda: owner(scheduler.store) is not None)
            scheduler.process.send_signal(signal.SIGHUP)
            code, output = await scheduler.stop()
            assert code == 0
            assert "event=process-unwatched" in output
            assert "event=reload" in output
            assert "event=settings " not in output
            assert "defect" not in output

        async def run():
            store = standin.Store()
            scheduler, _ = prepare(tmp_path, "n1", store)
            fields = json.loads(scheduler.path.read_text())
            scheduler.path.write_text(
                json.dumps({**fields, "port_range": ports})
            )
            await scheduler.start()
            try:
                await scenario(scheduler)
            finally:
                scheduler.http.close()
                if scheduler.process.returncode is None:
                    scheduler.process.kill()
                    await scheduler.process.wait()

        asyncio.run(run())

    def test_single_port(self, tmp_path):
        """Guards against a process that needs a second port."""
        (port,) = test_process.free_ports(1)
        self.check(tmp_path, [port, port])

    def test_port_in_use(self, tmp_path):
        """Guards against a process that does not start because another one
        has its second port, or tells others to watch there."""
        first, second = test_process.free_port_range(2)
        with socket.socket() as other:
            other.bind(("127.0.0.1", second))
            other.listen()
            self.check(tmp_path, [first, second])
