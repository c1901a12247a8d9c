"""Compares requests through a node with direct requests, on loopback.

The upstream, the node and the load generator run in separate processes. Direct
and proxied load alternate within each repetition. Compare ratios within one run
only: absolute figures depend on the machine. A run takes about 30 seconds.
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
# Duration of each load; 20 of them keep a run within about 30 s.
LOAD_S = 1.2
# Number of connections that send requests at the same time.
CONCURRENCY = 16
# Number of idle connections in the measurement of memory per caller.
IDLE_CALLERS = 2_000
BODY = b"x" * 512
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(BODY),
    BODY,
)
REQUEST = b"GET /svc/s/item HTTP/1.1\r\nHost: n\r\n\r\n"


class _UpstreamProtocol(asyncio.Protocol):
    """Responds to each request head at once; requests have no body."""

    def connection_made(self, transport):
        self.transport = transport
        self.pending = b""

    def data_received(self, data):
        self.pending += data
        count = self.pending.count(b"\r\n\r\n")
        if count:
            self.pending = self.pending.rpartition(b"\r\n\r\n")[2]
            self.transport.write(RESPONSE * count)


def _run_upstream(pipe):
    async def serve():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_UpstreamProtocol, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, pipe.recv)
        server.close()

    asyncio.run(serve())


def _run_node(pipe, upstream_port):
    """Serves with fixed decisions; reports CPU time and memory on demand."""
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


async def _run_caller(port, until, latencies):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    errors = 0
    while time.monotonic() < until:
        started = time.perf_counter()
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(len(BODY))
        latencies.append(time.perf_counter() - started)
        if not head.startswith(b"HTTP/1.1 200") or body != BODY:
            errors += 1
    writer.close()
    return errors


async def _generate_load(port, concurrency):
    latencies = []
    started = time.monotonic()
    callers = [
        _run_caller(port, started + LOAD_S, latencies)
        for _ in range(concurrency)
    ]
    errors = sum(await asyncio.gather(*callers))
    latencies.sort()
    elapsed = time.monotonic() - started
    p50, p99 = (
        latencies[int(len(latencies) * quantile)] * 1e6
        for quantile in (0.5, 0.99)
    )
    return len(latencies), errors, len(latencies) / elapsed, p50, p99


async def _hold_connections(port, pipe):
    """Holds idle connections open until the pipe receives a message.

    Each connection has made one request before.
    """
    connections = []
    for _ in range(IDLE_CALLERS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(BODY))
        connections.append(writer)
    pipe.send("open")
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    for writer in connections:
        writer.close()


def _run_load_generator(pipe):
    """Executes commands: (port, concurrency), ("hold", port), None to stop."""
    _raise_open_file_limit()
    while (command := pipe.recv()) is not None:
        if command[0] == "hold":
            asyncio.run(_hold_connections(command[1], pipe))
            continue
        pipe.send(asyncio.run(_generate_load(*command)))


def _raise_open_file_limit():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _start_process(context, target, *args):
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=target, args=(child_end, *args), daemon=True
    )
    process.start()
    return process, parent_end


def _send_command(pipe, command):
    pipe.send(command)
    return pipe.recv()


def _measure(node, generator, ports):
    direct_port, node_port = ports
    rows = []
    for repetition in range(1, REPETITIONS + 1):
        for concurrency in (1, CONCURRENCY):
            direct = _send_command(generator, (direct_port, concurrency))
            cpu_before, _ = _send_command(node, "usage")
            proxied = _send_command(generator, (node_port, concurrency))
            cpu_after, _ = _send_command(node, "usage")
            cpu_us = (cpu_after - cpu_before) / proxied[0] * 1e6
            rows.append(
                (
                    repetition,
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
    _, before = _send_command(node, "usage")
    _send_command(generator, ("hold", node_port))
    _, after = _send_command(node, "usage")
    generator.send("close")
    return before, after


def _print_results(rows, memory):
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
        matching = [row for row in rows if row[1] == concurrency]
        columns = list(zip(*matching, strict=True))
        medians = [statistics.median(column) for column in columns[2:-1]]
        rows.append(("median", concurrency, *medians, sum(columns[-1])))
    formats = ["", "", ".0f", ".0f", ".3f", ".0f", ".0f", ".0f", ".0f", ""]
    print(tabulate.tabulate(rows, headers, floatfmt=formats))
    before, after = memory
    per_caller_kib = (after - before) / IDLE_CALLERS
    print(
        f"memory: {before} KiB before, {after} KiB with {IDLE_CALLERS} idle"
        f" callers, {per_caller_kib:.1f} KiB per caller"
    )


def main():
    """Runs the benchmark and prints its table."""
    _raise_open_file_limit()
    context = multiprocessing.get_context("spawn")
    upstream_process, upstream = _start_process(context, _run_upstream)
    upstream_port = upstream.recv()
    node_process, node = _start_process(context, _run_node, upstream_port)
    node_port = node.recv()
    generator_process, generator = _start_process(context, _run_load_generator)
    try:
        ports = (upstream_port, node_port)
        rows = _measure(node, generator, ports)
        memory = _measure_memory(node, generator, node_port)
        _print_results(rows, memory)
    finally:
        for pipe in (generator, node, upstream):
            pipe.send(None)
        for process in (generator_process, node_process, upstream_process):
            process.join(5)
            if process.is_alive():
                process.kill()


if __name__ == "__main__":
    main()
