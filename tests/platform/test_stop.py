"""Clients of scheduler processes that are stopped."""

import asyncio
import functools
import json
import random
import signal
import socket
import time

import platform_standin as standin
import pytest
import test_process

JOB = test_process.JOB
# Mean pause of a client between two requests.
MEAN_PAUSE_S = 0.02
# Interval at which the processes are stopped, one after the other.
STOP_INTERVAL_S = 0.4
ANSWER_TIMEOUT_S = 5
# An answered request, one whose connection ended without an answer, and a
# connection that was refused or closed before the request was sent.
ANSWERED, CUT, UNSENT = "answered", "cut", "unsent"


class Connection:
    """A connection of a client, which it uses until the server closes it."""

    def __init__(self, sock):
        self.sock = sock
        self.received = b""

    def is_open(self):
        try:
            return bool(
                self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def read_answer(self):
        """Returns (status, headers) or None if the connection ends before."""
        loop = asyncio.get_running_loop()
        while True:
            head, end, body = self.received.partition(b"\r\n\r\n")
            if end:
                lines = head.decode().lower().split("\r\n")
                headers = dict(line.split(": ") for line in lines[1:])
                length = int(headers["content-length"])
                if len(body) >= length:
                    self.received = body[length:]
                    return int(lines[0].split()[1]), headers
            try:
                data = await loop.sock_recv(self.sock, 65_536)
            except OSError:
                return None
            if not data:
                return None
            self.received += data


async def connect(address):
    """Returns a connection, or None if it is refused."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, (host, int(port)))
    except OSError:
        sock.close()
        return None
    return Connection(sock)


def encode(method, path, body=b""):
    head = f"{method} {path} HTTP/1.1\r\nHost: hub.example\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode(), body


async def send(conn, head, body, pause_s):
    """Sends a request, and pauses before the body; returns how it ended."""
    loop = asyncio.get_running_loop()
    if not conn.is_open():
        return UNSENT, {}
    try:
        conn.sock.send(head)
        if pause_s:
            await asyncio.sleep(pause_s)
        if body:
            await loop.sock_sendall(conn.sock, body)
    except OSError:
        return CUT, {}
    answer = await asyncio.wait_for(conn.read_answer(), ANSWER_TIMEOUT_S)
    if answer is None:
        return CUT, {}
    assert answer[0] in (200, 410), answer
    return ANSWERED, answer[1]


async def run_client(addresses, rng, results):
    """Sends requests to random nodes until none accepts connections."""
    while True:
        conn = None
        for address in rng.sample(addresses, len(addresses)):
            conn = await connect(address)
            if conn is not None:
                break
        if conn is None:
            return
        while True:
            await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
            request = encode("GET", f"/batch/{rng.randrange(1 << 64):016x}")
            sent_at = time.monotonic()
            ending, headers = await send(conn, *request, 0)
            results.append((sent_at, ending))
            if ending != ANSWERED or headers.get("connection") == "close":
                conn.sock.close()
                break


async def listens_or_has_ended(node):
    answer = await node.request(node.ready, path="/api/readyz")
    return answer.status or node.process.returncode is not None


async def start_node(path, number, store):
    """Starts a process; takes other ports if a client has got one of them."""
    while True:
        node = test_process.SchedulerProcess(path)
        node.store = store or node.store
        fields = json.loads(node.path.read_text())
        fields["node"] = f"frontend-{number}"
        fields["platform"]["addr"] = node.store.address
        node.path.write_text(json.dumps(fields))
        await node.start()
        condition = functools.partial(listens_or_has_ended, node)
        await test_process.wait_until(condition)
        if node.process.returncode is None:
            return node
        output, _ = await node.process.communicate()
        assert b"Address already in use" in output, output
        node.http.close()


async def start_nodes(tmp_path, count):
    """Starts processes with one store, and waits until all are ready."""
    nodes = []
    for number in range(count):
        path = tmp_path / str(number)
        path.mkdir()
        store = nodes[0].store if nodes else None
        nodes.append(await start_node(path, number, store))
    nodes[0].store.put("op", "", "config", standin.CONFIGURATION)
    for node in nodes:
        await test_process.wait_until(node.is_ready)
    return nodes


def run_scenario(tmp_path, count, scenario):
    async def run():
        nodes = await start_nodes(tmp_path, count)
        try:
            await scenario(nodes)
        finally:
            for node in nodes:
                node.http.close()
                if node.process.returncode is None:
                    node.process.kill()
                    await node.process.wait()

    asyncio.run(run())


class TestStop:
    @pytest.mark.parametrize("seed", range(2))
    def test_no_request_is_cut_while_nodes_stop_in_turn(self, tmp_path, seed):
        """Guards against a stopping process that reads requests, or leaves
        connections open for them, after it has decided to exit."""

        async def scenario(nodes):
            rng = random.Random(seed)
            addresses = [node.front for node in nodes]
            results = []
            clients = []
            for number in range(12):
                client_rng = random.Random(100 * seed + number)
                clients.append(
                    asyncio.create_task(
                        run_client(addresses, client_rng, results)
                    )
                )
            stops = []
            for node in rng.sample(nodes, len(nodes)):
                await asyncio.sleep(STOP_INTERVAL_S)
                stops.append(asyncio.create_task(node.stop()))
            for code, output in await asyncio.gather(*stops):
                assert code == 0, output
                assert "event=defect" not in output
            await asyncio.gather(*clients)
            cut = [row for row in results if row[1] == CUT]
            assert not cut, f"{len(cut)} of {len(results)}"
            assert len(results) > 500

        run_scenario(tmp_path, 3, scenario)

    def test_requests_at_random_times_after_the_signal_are_answered(
        self, tmp_path
    ):
        """Guards against a process that exits while a request arrives whose
        body is still under way, or one on a connection used long ago."""

        async def scenario(nodes):
            (node,) = nodes
            rng = random.Random(7)
            body = json.dumps(
                {"spec": "", "steps": [{"count": 1, "cpu": 1, "est_ms": 1}]}
            ).encode()

            async def submit(delay_s, pause_s):
                conn = await connect(node.front)
                first = await send(conn, *encode("GET", f"/batch/{JOB}"), 0)
                assert first[0] == ANSWERED
                await asyncio.sleep(delay_s)
                path = f"/batch/{rng.randrange(1 << 64):016x}"
                ending, headers = await send(
                    conn, *encode("POST", path, body), pause_s
                )
                closes = headers.get("connection") == "close"
                conn.sock.close()
                return delay_s, pause_s, ending, closes

            submits = []
            for _ in range(30):
                delay_s = rng.uniform(0.1, 3.0)
                pause_s = rng.choice((0, rng.uniform(0.1, 1.5)))
                submits.append(asyncio.create_task(submit(delay_s, pause_s)))
            await asyncio.sleep(0.05)
            stopped_at = time.monotonic()
            code, output = await node.stop()
            assert code == 0, output
            assert time.monotonic() - stopped_at < 6
            results = await asyncio.gather(*submits)
            assert not [row for row in results if row[2] == CUT]
            answered = [row for row in results if row[2] == ANSWERED]
            assert len(answered) > 15
            assert all(closes for _, _, _, closes in answered)

        run_scenario(tmp_path, 1, scenario)

    def test_second_sigterm_and_sighup_do_not_shorten_the_stop(self, tmp_path):
        """Guards against a repeated signal that cuts open requests."""

        async def scenario(nodes):
            (node,) = nodes
            conn = await connect(node.front)
            stop = asyncio.create_task(node.stop())
            await asyncio.sleep(1)
            node.process.send_signal(signal.SIGHUP)
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            request = encode("GET", f"/batch/{JOB}")
            ending, headers = await send(conn, *request, 0)
            assert (ending, headers["connection"]) == (ANSWERED, "close")
            code, output = await stop
            assert code == 0, output
            assert output.count("event=stop-requested") == 1

        run_scenario(tmp_path, 1, scenario)

    def test_incomplete_request_is_refused_at_the_limit(self, tmp_path):
        """Guards against silence towards a client whose request takes longer
        to arrive than the grace period lasts."""

        async def scenario(nodes):
            (node,) = nodes
            conn = await connect(node.front)
            head, _ = encode("POST", f"/batch/{JOB}", b"a body")
            conn.sock.send(head)
            stopped_at = time.monotonic()
            code, output = await node.stop()
            assert code == 0, output
            assert time.monotonic() - stopped_at < 6
            status, headers = await conn.read_answer()
            assert status == 503
            assert headers["retry-after"] == "1"
            assert not await conn.read_answer()

        run_scenario(tmp_path, 1, scenario)
