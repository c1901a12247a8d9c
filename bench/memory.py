"""Memory of a node's state against what it knows, and of the bare process.

Run with `python -m bench.memory` from the root of the repository.
"""

import gc
import subprocess
import sys
import types

import pytest
import tabulate
from tests.core import batch_fakes

from bench import placement
from skylarklug import events
from skylarklug import reducer

TARGET_MB = 256
LISTED_WORKERS = (100, 400, 1600)
OWNED_WORKERS = (12, 25, 49, 98)
OPEN_REQUESTS = (250, 500, 1000, 2000)
SEED = 1
RSS = (
    "import resource, skylarklugd.main;"
    "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
)
NOT_STATE = (type, types.ModuleType, types.FunctionType, types.MethodType)


def size_of(root) -> int:
    """Returns the bytes of all objects that are reachable from `root`."""
    seen = {id(root)}
    todo = [root]
    total = 0
    while todo:
        item = todo.pop()
        total += sys.getsizeof(item)
        for part in gc.get_referents(item):
            if id(part) in seen or isinstance(part, NOT_STATE):
                continue
            seen.add(id(part))
            todo.append(part)
    return total


def show(title, rows, headers):
    print(f"\n{title}\n")
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".1f"))


def slope(points):
    """Returns (bytes per item, bytes at zero) through the outer points."""
    (first, low), (last, high) = points[0], points[-1]
    per_item = (high - low) / (last - first)
    return per_item, low - per_item * first


def vm(number):
    data_centre = f"dc{number % 11}"
    place = (f"w-{number:04d}", data_centre, f"{data_centre}-r{number // 88}")
    size = (16.0, 60000, 0, ("certvault",), 8, 64)
    return events.Vm(*place, "live", "10.0.0.1:1", "10.0.0.1:2", *size)


def started():
    state = reducer.new_state()
    identity = ("dc0-1", "dc0", "region", 1, SEED, {})
    reducer.reduce(state, events.NodeStarted(0, *identity))
    return state


def listed_workers():
    rows = []
    for count in LISTED_WORKERS:
        state = started()
        vms = tuple(vm(number) for number in range(count))
        reducer.reduce(state, events.VmListRead(50, 1, vms))
        rows.append((count, size_of(state)))
    return rows


def open_requests():
    rows = []
    for count in OPEN_REQUESTS:
        state = started()
        vms = tuple(vm(number) for number in range(1600))
        reducer.reduce(state, events.VmListRead(50, 1, vms))
        for number in range(count):
            head = (f"r{number}", "certvault", "GET", "/svc/certvault/x", True)
            arrived = events.RequestArrived(100, *head, f"c{number}", 30_000, 0)
            reducer.reduce(state, arrived)
        rows.append((count, size_of(state)))
    return rows


def owned_tasks():
    """Sizes of an owner's state, with 14 running tasks for each worker."""
    rows = []
    with pytest.MonkeyPatch.context() as monkeypatch:
        batch_fakes.install(monkeypatch)
        for workers in OWNED_WORKERS:
            fleet = placement.Fleet(SEED, workers)
            fleet.acquire(fleet.node)
            starts = placement.STARTS_AT_FULL_SIZE * workers / 1600
            fleet.fill(starts)
            fleet.run(100_000)
            fleet.node.state.domains.pop("fake")
            residents = sum(
                len(account.residents)
                for account in fleet.node.state.domains[
                    "placement"
                ].accounts.values()
            )
            rows.append((residents, size_of(fleet.node.state)))
    return rows


def main():
    bare_kb = int(
        subprocess.run(
            [sys.executable, "-c", RSS],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
    )
    print(f"bare process: {bare_kb / 1024:.0f} MiB (target {TARGET_MB} MB)")
    headers = ("items", "bytes", "bytes/item", "bytes at zero")
    for title, rows in (
        ("VM list: workers known", listed_workers()),
        ("Requests open at one node, 1,600 workers known", open_requests()),
        ("Owner: running tasks, 14 for each worker", owned_tasks()),
    ):
        per_item, base = slope(rows)
        shown = [(count, size, per_item, base) for count, size in rows]
        show(title, shown, headers)


if __name__ == "__main__":
    main()
