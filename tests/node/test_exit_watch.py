import asyncio
import contextlib
import socket
import struct
import subprocess
import sys
import textwrap

import pytest

from skylarklugd import exit_watch

HOST = "127.0.0.1"
# Limit of each wait, generous for a busy machine. A wait ends as soon as its
# condition holds.
TIMEOUT_S = 20
# A process that listens at a port of its own and prints it, and a line when
# another process has connected.
LISTENING_PROCESS = textwrap.dedent(
    """
    import asyncio
    from skylarklugd import exit_watch

    async def listen():
        listener = exit_watch.Listener()
        await listener.start("127.0.0.1:0")
        print(listener.port, flush=True)
        while not listener.connection_count:
            await asyncio.sleep(0.01)
        print("connected", flush=True)
        await asyncio.sleep(60)

    asyncio.run(listen())
    """
)


async def wait_until(condition):
    async def loop():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(loop(), TIMEOUT_S)


def is_closed(sock):
    """Returns whether the other end has closed a connection."""
    try:
        return sock.recv(1, socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def free_port():
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        return bound.getsockname()[1]


class Case:
    """A watcher, and the listeners and events of a test."""

    def __init__(self):
        self.exits = []
        self.logs = []
        self.listeners = []
        self.watcher = exit_watch.Watcher(
            self.exits.append, lambda *line: self.logs.append(line)
        )

    async def listen(self, port=0):
        listener = exit_watch.Listener()
        await listener.start(f"{HOST}:{port}")
        self.listeners.append(listener)
        return listener

    def close(self):
        self.watcher.close()
        for listener in self.listeners:
            listener.close()


def run_case(scenario):
    """Runs `await scenario(case)`; no task may end with an exception."""
    problems = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context))
        case = Case()
        try:
            await scenario(case)
        finally:
            case.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())
    assert problems == []


@contextlib.contextmanager
def listening_process():
    """Runs a process that listens; yields it and its port."""
    process = subprocess.Popen(
        [sys.executable, "-c", LISTENING_PROCESS],
        stdout=subprocess.PIPE,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    try:
        yield process, int(process.stdout.readline())
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


class TestExit:
    def test_killed_process_is_reported(self):
        """Guards against a fleet that waits for the timeout of heartbeats
        although the host of the leader refuses connections."""

        async def scenario(case):
            with listening_process() as (process, port):
                case.watcher.watch(f"{HOST}:{port}", 7)
                await asyncio.to_thread(process.stdout.readline)
                await asyncio.sleep(exit_watch.CONNECT_INTERVAL_S)
                assert case.exits == []
                process.kill()
                await wait_until(lambda: case.exits)
                assert case.exits == [7]

        run_case(scenario)

    def test_exit_soon_after_the_connection_is_reported(self):
        """Guards against a leader killed at its start that is not noticed."""

        async def scenario(case):
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            await wait_until(lambda: listener.connection_count)
            listener.close()
            await wait_until(lambda: case.exits)

        run_case(scenario)

    def test_exit_is_reported_once(self):
        """Guards against an event for each attempt to connect."""

        async def scenario(case):
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            await wait_until(lambda: listener.connection_count)
            listener.close()
            await wait_until(lambda: case.exits)
            await asyncio.sleep(2 * exit_watch.CONNECT_INTERVAL_S)
            assert case.exits == [7]

        run_case(scenario)


class TestNoExit:
    def test_reset_of_a_connection_is_not_an_exit(self):
        """Guards against a take-over from a leader whose connections were
        reset, and against one that is not watched any more after that."""

        async def scenario(case):
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            for _ in range(3):
                await wait_until(lambda: listener.connection_count)
                await asyncio.sleep(0.1)
                (connection,) = listener._connections
                connection.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                connection.transport.abort()
                await wait_until(lambda: not listener.connection_count)
            await wait_until(lambda: listener.connection_count)
            assert case.exits == []
            listener.close()
            await wait_until(lambda: case.exits)

        run_case(scenario)

    def test_first_connection_is_refused(self):
        """Guards against a take-over from a leader behind a link that refuses
        connections, or whose listener starts late."""

        async def scenario(case):
            port = free_port()
            case.watcher.watch(f"{HOST}:{port}", 7)
            await asyncio.sleep(2.5 * exit_watch.CONNECT_INTERVAL_S)
            assert case.exits == []
            listener = await case.listen(port)
            await wait_until(lambda: listener.connection_count)
            listener.close()
            await wait_until(lambda: case.exits)

        run_case(scenario)

    def test_process_restarts_at_once(self):
        """Guards against a report of an exit when the address answers."""

        async def scenario(case):
            first = await case.listen()
            port = first.port
            case.watcher.watch(f"{HOST}:{port}", 7)
            await wait_until(lambda: first.connection_count)
            first.close()
            second = await case.listen(port)
            await wait_until(lambda: second.connection_count)
            assert case.exits == []

        run_case(scenario)

    @pytest.mark.parametrize(
        "address",
        ("nowhere", ":1", "host:1", "127.0.0.1:", "127.0.0.1:70000", "[::1]"),
    )
    def test_malformed_address(self, address):
        """Guards against a process or a watch that ends by an odd row."""

        async def scenario(case):
            case.watcher.watch(address, 6)
            assert [line[1] for line in case.logs] == ["leader-unwatched"]
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            await wait_until(lambda: listener.connection_count)
            listener.close()
            await wait_until(lambda: case.exits)
            assert case.exits == [7]

        run_case(scenario)

    def test_port_zero(self):
        """Guards against a watch that fails at an address no socket takes."""

        async def scenario(case):
            case.watcher.watch(f"{HOST}:0", 6)
            await asyncio.sleep(2 * exit_watch.CONNECT_INTERVAL_S)
            assert case.exits == []

        run_case(scenario)


class TestPace:
    def test_attempts_are_paced(self):
        """Guards against a tight loop of attempts at an address that accepts
        connections and ends them."""

        async def scenario(case):
            loop = asyncio.get_running_loop()
            accepted_at = []

            def accept(reader, writer):
                del reader
                accepted_at.append(loop.time())
                writer.transport.abort()

            server = await asyncio.start_server(accept, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            started_at = loop.time()
            case.watcher.watch(f"{HOST}:{port}", 7)
            await wait_until(lambda: len(accepted_at) >= 4)
            server.close()
            assert case.exits == []
            assert (
                accepted_at[3] - started_at
                >= 3 * exit_watch.CONNECT_INTERVAL_S - 0.01
            )

        run_case(scenario)


class TestListener:
    def test_connections_are_limited(self, monkeypatch):
        """Guards against a process without descriptors, and against watchers
        without power that keep others out."""
        monkeypatch.setattr(exit_watch, "MAX_CONNECTIONS", 3)

        async def scenario(case):
            listener = await case.listen()
            with contextlib.ExitStack() as stack:
                sockets = []
                for _ in range(6):
                    sock = socket.create_connection((HOST, listener.port))
                    sockets.append(stack.enter_context(sock))
                await wait_until(lambda: is_closed(sockets[2]))
                assert not is_closed(sockets[3])
                case.watcher.watch(f"{HOST}:{listener.port}", 7)
                await wait_until(lambda: is_closed(sockets[3]))
                assert not is_closed(sockets[4])
                assert listener.connection_count == 3
                listener.close()
                await wait_until(lambda: case.exits)

        run_case(scenario)

    def test_connection_that_sends_is_closed(self):
        """Guards against bytes from others that take processor time."""

        async def scenario(case):
            listener = await case.listen()
            with socket.create_connection((HOST, listener.port)) as sock:
                await wait_until(lambda: listener.connection_count)
                sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
                await wait_until(lambda: not listener.connection_count)

        run_case(scenario)

    def test_address_in_use(self):
        """Guards against a process that does not start without its port."""

        async def scenario(case):
            first = await case.listen()
            with pytest.raises(OSError, match="in use"):
                await case.listen(first.port)

        run_case(scenario)


class TestStop:
    def test_watcher_that_is_closed_reports_nothing(self):
        """Guards against events and connections of a node that stops."""

        async def scenario(case):
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            await wait_until(lambda: listener.connection_count)
            case.watcher.close()
            await wait_until(lambda: not listener.connection_count)
            listener.close()
            await asyncio.sleep(0.3)
            assert case.exits == []

        run_case(scenario)

    def test_watch_of_nobody_closes_the_connection(self):
        """Guards against the exit of a former leader that is reported."""

        async def scenario(case):
            listener = await case.listen()
            case.watcher.watch(f"{HOST}:{listener.port}", 7)
            await wait_until(lambda: listener.connection_count)
            case.watcher.watch("", 0)
            await wait_until(lambda: not listener.connection_count)
            listener.close()
            await asyncio.sleep(0.3)
            assert case.exits == []

        run_case(scenario)

    def test_close_without_a_start(self):
        """Guards against a stop that fails if no address was bound."""
        exit_watch.Listener().close()
