"""Measures the memory of a node's state, and of the process without state.

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

# Upper limit for a node, in MB.
TARGET_MB = 256
# Measured numbers of workers in the VM list, of workers of one partition owner,
# and of open requests at one node.
LISTED_WORKERS = (100, 400, 1600)
OWNED_WORKERS = (12, 25, 49, 98)
OPEN_REQUESTS = (250, 500, 1000, 2000)
SEED = 1
# Prints the peak resident memory of a process that has only imported the node,
# in KiB.
PEAK_RSS_SCRIPT = (
    "import resource, skylarklugd.main;"
    "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
)
# Code is not part of the state, but reachable from it.
EXCLUDED_TYPES = (type, types.ModuleType, types.FunctionType, types.MethodType)


def reachable_bytes(root) -> int:
    """Returns the bytes of all objects that are reachable from `root`."""
    seen = {id(root)}
    pending = [root]
    total = 0
    while pending:
        item = pending.pop()
        total += sys.getsizeof(item)
        for referent in gc.get_referents(item):
            if id(referent) in seen or isinstance(referent, EXCLUDED_TYPES):
                continue
            seen.add(id(referent))
            pending.append(referent)
    return total


def print_table(title, rows, headers):
    print(f"\n{title}\n")
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".1f"))


def fit_line(points):
    """Fits a line through the first and the last of the points.

    Returns:
        (bytes per item, bytes at zero items)
    """
    (first, low), (last, high) = points[0], points[-1]
    per_item = (high - low) / (last - first)
    return per_item, low - per_item * first


def new_vm(number):
    data_centre = f"dc{number % 11}"
    location = (
        f"w-{number:04d}",
        data_centre,
        f"{data_centre}-r{number // 88}",
    )
    capacity = (16.0, 60000, 0, ("certvault",), 8, 64)
    return events.Vm(*location, "live", "10.0.0.1:1", "10.0.0.1:2", *capacity)


def new_node_state():
    state = reducer.new_state()
    identity = ("dc0-1", "dc0", "region", 1, SEED, {})
    reducer.reduce(state, events.NodeStarted(0, *identity))
    return state


def measure_listed_workers():
    rows = []
    for count in LISTED_WORKERS:
        state = new_node_state()
        vms = tuple(new_vm(number) for number in range(count))
        reducer.reduce(state, events.VmListRead(50, 1, vms))
        rows.append((count, reachable_bytes(state)))
    return rows


def measure_open_requests():
    rows = []
    for count in OPEN_REQUESTS:
        state = new_node_state()
        vms = tuple(new_vm(number) for number in range(1600))
        reducer.reduce(state, events.VmListRead(50, 1, vms))
        for number in range(count):
            head = (f"r{number}", "certvault", "GET", "/svc/certvault/x", True)
            arrived = events.RequestArrived(100, *head, f"c{number}", 30_000, 0)
            reducer.reduce(state, arrived)
        rows.append((count, reachable_bytes(state)))
    return rows


def measure_owned_tasks():
    """Measures an owner's state with 14 running tasks for each worker."""
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
            running_tasks = sum(
                len(account.residents)
                for account in fleet.node.state.domains[
                    "placement"
                ].accounts.values()
            )
            rows.append((running_tasks, reachable_bytes(fleet.node.state)))
    return rows


def main():
    bare_kb = int(
        subprocess.run(
            [sys.executable, "-c", PEAK_RSS_SCRIPT],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
    )
    print(
        f"process without state: {bare_kb / 1024:.0f} MiB "
        f"(target {TARGET_MB} MB)"
    )
    headers = ("items", "bytes", "bytes/item", "bytes at zero")
    for title, rows in (
        ("VM list: workers listed", measure_listed_workers()),
        (
            "Requests open at one node, 1,600 workers listed",
            measure_open_requests(),
        ),
        ("Owner: running tasks, 14 for each worker", measure_owned_tasks()),
    ):
        per_item, base_bytes = fit_line(rows)
        table_rows = [
            (count, size, per_item, base_bytes) for count, size in rows
        ]
        print_table(title, table_rows, headers)


if __name__ == "__main__":
    main()
