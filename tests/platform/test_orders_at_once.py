"""Many orders to one worker at the same time, as for a wide gang."""

import asyncio

from skylarklug_platform import main
from skylarklug_platform import workers

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import records
from skylarklugd import client

BODY = b'{"clock_ms":1}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
# A worker takes this many connections.
WORKER_CONNECTIONS = 64


class Worker:
    """A server that answers each order after some milliseconds."""

    def __init__(self):
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = (
                    head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
                )
                await reader.readexactly(int(size))
                await asyncio.sleep(0.005)
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def start_order(address, index):
    return fx.StartRun(
        worker="w1",
        address=address,
        incarnation=1,
        epoch=1,
        key=records.TaskKey("a", 0, 0, index),
        attempt=1,
        payload="",
        checkpoint="",
        ticket="",
        lease_until=9_000,
        timeout_ms=4_000,
        valid_until=1,
    )


class TestOrdersAtOnce:
    def test_all_members_of_a_wide_gang_are_ordered(self):
        """Guards against a gang that is never complete because it has more
        members on one worker than a node opens connections to it, or than a
        worker takes beside those of the former leader."""

        async def scenario():
            worker = Worker()
            server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            http = client.Client(
                connections=main.CONNECTIONS_PER_WORKER,
                connect_timeout_ms=main.CONNECT_TIMEOUT_MS,
            )
            orders = workers.WorkerClient(http, lambda *args: None, lambda: 0)
            calls = []
            for index in range(200):
                order = start_order(f"{host}:{port}", index)
                calls.append(orders.start(order))
            results = await asyncio.gather(*calls)
            http.close()
            server.close()
            return results, worker.connections

        results, connections = asyncio.run(scenario())
        assert {answer[:2] for answer in results} == {("ok", "")}
        assert 2 * connections <= WORKER_CONNECTIONS
