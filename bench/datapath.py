"""One node on the data path against a direct call, on loopback.

The upstream, the node and the load generator run in processes of their own.
Direct and proxied load alternate within each repetition; ratios within one
run are what counts, absolute figures depend on the machine. Bounded to about
30 seconds.
"""

import asyncio
import multiprocessing
import resource
import statistics
import time

import tabulate

from skylarklug import effects
from skylarklug import events
from skylarklugd import server as server_lib

REPETITIONS = 5
SLICE_S = 1.2
CONCURRENCY = 16
OPEN_CALLERS = 2_000
BODY = b"x" * 512
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(BODY),
    BODY,
)
REQUEST = b"GET /svc/s/item HTTP/1.1\r\nHost: n\r\n\r\n"


class _UpstreamProtocol(asyncio.Protocol):
    """Answers every request head at once; requests have no body."""

    def connection_made(self, transport):
        self.transport = transport
        self.pending = b""

    def data_received(self, data):
        self.pending += data
        count = self.pending.count(b"\r\n\r\n")
        if count:
            self.pending = self.pending.rpartition(b"\r\n\r\n")[2]
            self.transport.write(RESPONSE * count)


def _upstream(pipe):
    async def serve():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_UpstreamProtocol, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, pipe.recv)
        server.close()

    asyncio.run(serve())


def _node(pipe, upstream_port):
    """Serves with fixed decisions and reports CPU time and memory."""
    address = f"127.0.0.1:{upstream_port}"

    def dispatch(event):
        if isinstance(event, events.RequestArrived):
            server.perform(
                effects.SendAttempt(event.req_id, 1, "w", address, 10_000)
            )
        elif isinstance(event, events.AttemptHeaders):
            server.perform(effects.RelayAnswer(event.req_id, 1))
        elif isinstance(event, events.AttemptFailed):
            server.perform(
                effects.AnswerError(
                    event.req_id, 502, "unknown", event.step, "w", "-", 0
                )
            )

    def clock():
        return time.monotonic_ns() // 1_000_000

    server = server_lib.CallerServer(
        {"connections": 2 * CONCURRENCY}, dispatch, clock
    )

    async def serve():
        await server.start()
        pipe.send(server.port)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv) == "usage":
            pipe.send((time.process_time(), _resident_kib()))
        await server.close()

    asyncio.run(serve())


def _resident_kib():
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() // 1024


async def _caller(port, until, latencies):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    errors = 0
    while time.monotonic() < until:
        began = time.perf_counter()
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(len(BODY))
        latencies.append(time.perf_counter() - began)
        if not head.startswith(b"HTTP/1.1 200") or body != BODY:
            errors += 1
    writer.close()
    return errors


async def _load(port, concurrency):
    latencies = []
    began = time.monotonic()
    callers = [
        _caller(port, began + SLICE_S, latencies) for _ in range(concurrency)
    ]
    errors = sum(await asyncio.gather(*callers))
    latencies.sort()
    elapsed = time.monotonic() - began
    p50, p99 = (
        latencies[int(len(latencies) * share)] * 1e6 for share in (0.5, 0.99)
    )
    return len(latencies), errors, len(latencies) / elapsed, p50, p99


async def _hold_open(port, pipe):
    """Opens idle callers that have each made one request, until told."""
    connections = []
    for _ in range(OPEN_CALLERS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(BODY))
        connections.append(writer)
    pipe.send("open")
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    for writer in connections:
        writer.close()


def _generator(pipe):
    """Performs loads on request: (port, concurrency) or ("hold", port)."""
    _allow_open_files()
    while (order := pipe.recv()) is not None:
        if order[0] == "hold":
            asyncio.run(_hold_open(order[1], pipe))
            continue
        pipe.send(asyncio.run(_load(*order)))


def _allow_open_files():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _start(context, target, *args):
    own, other = context.Pipe()
    process = context.Process(target=target, args=(other, *args), daemon=True)
    process.start()
    return process, own


def _ask(pipe, order):
    pipe.send(order)
    return pipe.recv()


def _measure(node, generator, ports):
    direct_port, node_port = ports
    rows = []
    for number in range(1, REPETITIONS + 1):
        for concurrency in (1, CONCURRENCY):
            direct = _ask(generator, (direct_port, concurrency))
            cpu_before, _ = _ask(node, "usage")
            proxied = _ask(generator, (node_port, concurrency))
            cpu_after, _ = _ask(node, "usage")
            cpu_us = (cpu_after - cpu_before) / proxied[0] * 1e6
            rows.append(
                (
                    number,
                    concurrency,
                    direct[2],
                    proxied[2],
                    proxied[2] / direct[2],
                    cpu_us,
                    1e6 / cpu_us,
                    proxied[3] - direct[3],
                    proxied[4] - direct[4],
                    direct[1] + proxied[1],
                )
            )
    return rows


def _measure_memory(node, generator, node_port):
    _, before = _ask(node, "usage")
    _ask(generator, ("hold", node_port))
    _, after = _ask(node, "usage")
    generator.send("close")
    return before, after


def _print(rows, memory):
    headers = [
        "run",
        "callers",
        "direct req/s",
        "node req/s",
        "ratio",
        "node CPU us/req",
        "req/s per core",
        "added p50 us",
        "added p99 us",
        "errors",
    ]
    for concurrency in (1, CONCURRENCY):
        chosen = [row for row in rows if row[1] == concurrency]
        columns = list(zip(*chosen, strict=True))
        middle = [statistics.median(column) for column in columns[2:-1]]
        rows.append(("median", concurrency, *middle, sum(columns[-1])))
    formats = ["", "", ".0f", ".0f", ".3f", ".0f", ".0f", ".0f", ".0f", ""]
    print(tabulate.tabulate(rows, headers, floatfmt=formats))
    before, after = memory
    each = (after - before) / OPEN_CALLERS
    print(
        f"memory: {before} KiB before, {after} KiB with {OPEN_CALLERS} open"
        f" callers, {each:.1f} KiB per caller"
    )


def main():
    """Runs the benchmark and prints its table."""
    _allow_open_files()
    context = multiprocessing.get_context("spawn")
    upstream_process, upstream = _start(context, _upstream)
    upstream_port = upstream.recv()
    node_process, node = _start(context, _node, upstream_port)
    node_port = node.recv()
    generator_process, generator = _start(context, _generator)
    try:
        ports = (upstream_port, node_port)
        rows = _measure(node, generator, ports)
        memory = _measure_memory(node, generator, node_port)
        _print(rows, memory)
    finally:
        for pipe in (generator, node, upstream):
            pipe.send(None)
        for process in (generator_process, node_process, upstream_process):
            process.join(5)
            if process.is_alive():
                process.kill()


if __name__ == "__main__":
    main()
