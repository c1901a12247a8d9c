"""Measures bytes and CPU time of a node's requests to the platform.

A process of its own responds with bodies of realistic size and counts the
bytes. Run with `python -m bench.control` from the root of the repository.
"""

import asyncio
import json
import multiprocessing
import random
import time

import cbor2
import tabulate

from skylarklug import effects
from skylarklugd import platform

# Number of requests in each repetition, and of those in flight.
EXCHANGES = 400
CONCURRENCY = 4
# Time for the client's own first poll to end.
FIRST_POLL_WAIT_S = 0.2
REPETITIONS = 3
# Number of tasks in the body of a worker's response.
TASKS_PER_WORKER = 14
# Numbers of workers in the VM list.
LISTED_WORKERS = (100, 400, 1600)


def sync_response_body():
    tasks = {f"team-{i}.job-{i}/7": {"cpus": 1.1, "memory_mb": 500}
             for i in range(TASKS_PER_WORKER)}  # fmt: skip
    usage = {
        "from": 1_000_000, "to": 1_002_000, "cpus": 15.4, "memory_mb": 7000,
        "accelerators": 0, "tasks": tasks, "latency_ms": {"certvault": 20.5},
    }  # fmt: skip
    response = {
        "status": "ok", "epoch": 3, "clock": 1_004_000, "revision": 17,
        "leaving": False, "tasks": [], "usage": usage,
    }  # fmt: skip
    return cbor2.dumps(response)


def vm_list_body(workers):
    vms = [
        {
            "vm": f"w-{i:04d}", "data_centre": "yumbo", "rack": f"r-{i // 8}",
            "state": "live", "address": f"10.1.{i // 256}.{i % 256}:8080",
            "control": f"10.1.{i // 256}.{i % 256}:8081",
            "capacity": {"cpus": 16, "memory_mb": 60000, "accelerators": 0},
            "services": ["certvault"], "slots": 8, "connections": 64,
        }
        for i in range(workers)
    ]  # fmt: skip
    return json.dumps({"version": 1, "vms": vms}).encode()


async def _serve_responses(bodies, ports, byte_count):
    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body_size = 0
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    body_size = int(value)
            await reader.readexactly(body_size)
            path = head.split(b" ")[1].decode()
            body = bodies[path]
            status = b"200 OK"
            if b"if-none-match" in head.lower():
                status, body = b"304 Not Modified", b""
            response = (
                b"HTTP/1.1 " + status + b"\r\nServer: platform\r\n"
                b"Content-Type: application/json\r\n"
                b"Date: Fri, 04 Dec 2026 09:00:00 GMT\r\n"
                b'Etag: "0123456789abcdef0123456789abcdef01234567"\r\n'
                b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n"
            ) + body
            writer.write(response)
            await writer.drain()
            with byte_count.get_lock():
                byte_count[0] += len(head) + body_size + len(response)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ports.put(server.sockets[0].getsockname()[1])
    async with server:
        await server.serve_forever()


def run_responder(bodies, ports, byte_count):
    asyncio.run(_serve_responses(bodies, ports, byte_count))


def make_sync(number, port):
    return effects.SyncWorker(
        "w-0001", f"127.0.0.1:{port}", "yumbo/0", 3, number, 1_040_000, 17,
        (), 1 << 60, 5000,
    )  # fmt: skip


def make_commit(number, port):
    value = {
        "job": "team-7.job-7", "state": "starting", "attempt": 1,
        "worker": "w-0001", "epoch": 3, "checkpoint": None, "evictions": 0,
        "failures": 0, "reason": "best fit", "op": f"op-{number}",
    }  # fmt: skip
    key = f"task/yumbo/0/team-7.job-7/{number}"
    checks, writes = effects.Check(key, 0), effects.Write(key, value)
    return effects.CommitTable(f"op-{number}", (checks,), (writes,), 5000)


async def run_exchanges(make_effect, port):
    """Runs the exchanges and returns the mean CPU seconds of one."""
    url = f"http://127.0.0.1:{port}"
    urls = {"table": url, "objects": url, "vm_list": url + "/none"}
    permits = asyncio.Semaphore(CONCURRENCY)
    remaining = [EXCHANGES]
    done = asyncio.Event()

    def dispatch(event):
        permits.release()
        remaining[0] -= 1
        if not remaining[0]:
            done.set()

    client = platform.PlatformClient(
        urls, "yumbo-1", dispatch, lambda: 0, random.Random(1)
    )
    client.start()
    started = time.process_time()
    for number in range(EXCHANGES):
        await permits.acquire()
        client.perform(make_effect(number, port))
    await done.wait()
    cpu_s = time.process_time() - started
    await client.close()
    return cpu_s / EXCHANGES


async def poll_vm_list(path, port, etag, byte_count):
    """Returns the CPU seconds of one poll of the VM list."""
    url = f"http://127.0.0.1:{port}{path}"
    urls = {"table": url, "objects": url, "vm_list": url + "/none"}
    client = platform.PlatformClient(
        urls, "yumbo-1", lambda event: None, lambda: 0, random.Random(1)
    )
    client.start()
    # The client's own first poll goes to another path and is not counted.
    await asyncio.sleep(FIRST_POLL_WAIT_S)
    client._urls = {**urls, "vm_list": url}
    byte_count[0] = 0
    started = time.process_time()
    await client._read_vm_list(etag)
    cpu_s = time.process_time() - started
    await client.close()
    return cpu_s


def measure(byte_count, run):
    """Returns (bytes, CPU ms) of the median repetition."""
    samples = []
    for _ in range(REPETITIONS):
        byte_count[0] = 0
        cpu_s = asyncio.run(run())
        samples.append((byte_count[0], cpu_s * 1000))
    samples.sort()
    return samples[len(samples) // 2]


def main():
    bodies = {
        "/sync": sync_response_body(),
        "/transaction": b'{"status":"committed","version":123456}',
        "/none/vms": b'{"version":1,"vms":[]}',
    }
    for count in LISTED_WORKERS:
        bodies[f"/{count}/vms"] = vm_list_body(count)
    byte_count = multiprocessing.Array("q", 1)
    ports = multiprocessing.Queue()
    responder = multiprocessing.Process(
        target=run_responder, args=(bodies, ports, byte_count), daemon=True
    )
    responder.start()
    port = ports.get(timeout=30)
    rows = []
    for name, make_effect in (
        ("worker sync", make_sync),
        ("table commit", make_commit),
    ):
        total_bytes, cpu_ms = measure(
            byte_count,
            lambda make_effect=make_effect: run_exchanges(make_effect, port),
        )
        rows.append((name, total_bytes / EXCHANGES, cpu_ms))
    for count in LISTED_WORKERS:
        for name, etag in (("changed", ""), ("unchanged", '"x"')):
            path = f"/{count}"
            total_bytes, cpu_ms = measure(
                byte_count,
                lambda path=path, etag=etag: poll_vm_list(
                    path, port, etag, byte_count
                ),
            )
            rows.append(
                (f"VM list, {count} workers, {name}", total_bytes, cpu_ms)
            )
    responder.terminate()
    responder.join()
    print(f"\n{EXCHANGES} exchanges, {REPETITIONS} repetitions, medians\n")
    headers = ("exchange", "bytes", "CPU ms")
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
