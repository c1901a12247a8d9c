"""Workers from the VM list, and which of them are leaving."""

import re
import zlib

from skylarklug import effects as fx
from skylarklug import events

# A leaving signal of the worker itself is discarded if the VM list does not
# confirm it within this time. Otherwise a worker that restarts under the same
# name would stay excluded.
LEAVING_CONFIRM_MS = 120_000

_TRAILING_NUMBER = re.compile(r"(\d+)$")


class WorkersState:
    """The VM list and its indexes.

    Attributes:
        version: Version of the list in use, -1 before the first.
        vms: Entries by worker.
        leaving: Source and time of the first leaving signal, by worker.
        by_service: Sorted workers by service.
        by_partition: Sorted workers by partition.
    """

    def __init__(self):
        self.version = -1
        self.vms: dict[str, events.Vm] = {}
        self.leaving: dict[str, tuple[str, int]] = {}
        self.by_service: dict[str, list[str]] = {}
        self.by_partition: dict[str, list[str]] = {}


def new_state() -> WorkersState:
    """Returns the initial state, before the first VM list."""
    return WorkersState()


def _domain(state) -> WorkersState:
    return state.domains["workers"]


def has_vm_list(state) -> bool:
    """Returns whether a VM list has been read."""
    return _domain(state).version >= 0


def get(state, worker: str) -> events.Vm | None:
    """Returns the VM list entry of a worker, or None."""
    return _domain(state).vms.get(worker)


def of_service(state, service: str) -> list[str]:
    """Returns the workers of a service in all data centres, sorted."""
    return _domain(state).by_service.get(service, [])


def of_partition(state, partition: str) -> list[str]:
    """Returns the workers of a partition, sorted."""
    return _domain(state).by_partition.get(partition, [])


def partition_of(state, worker: str) -> str:
    """Returns the partition of a worker, or "" if it is not listed."""
    vm = get(state, worker)
    return "" if vm is None else _partition_name(state, vm)


def is_leaving(state, worker: str) -> bool:
    """Returns whether the worker is known to be leaving."""
    return worker in _domain(state).leaving


def list_workers(state) -> list[dict]:
    """Returns one row per worker for the query language."""
    rows = []
    for name in sorted(_domain(state).vms):
        vm = get(state, name)
        source, _ = _domain(state).leaving.get(name, ("", 0))
        rows.append(
            {
                "worker": name,
                "data_centre": vm.data_centre,
                "rack": vm.rack,
                "partition": _partition_name(state, vm),
                "state": "leaving" if source else vm.state,
                "leaving_source": source,
                "cpus": vm.cpus,
                "memory_mb": vm.memory_mb,
                "accelerators": vm.accelerators,
                "services": list(vm.services),
                "slots": vm.slots,
            }
        )
    return rows


def mark_leaving(state, effects, worker: str, source: str):
    """Records a leaving signal; only the first per worker raises an event."""
    domain = _domain(state)
    if worker in domain.leaving or worker not in domain.vms:
        return
    domain.leaving[worker] = (source, state.now)
    fields = {"worker": worker, "reason": source}
    effects.append(fx.Log("info", "worker-leaving", fields))
    state.raise_event(events.WorkerLeaving(state.now, worker, source))


def _partition_name(state, vm):
    # Uses the number in the rack's name, so that a rack stays in its partition
    # when other racks are added or removed. The position in a sorted list would
    # change.
    match = _TRAILING_NUMBER.search(vm.rack)
    index = int(match[1]) if match else zlib.crc32(vm.rack.encode())
    count = max(1, int(state.settings.get("partitions", 1)))
    return f"{vm.data_centre}/{index % count}"


def _on_vm_list(state, event, effects):
    domain = _domain(state)
    if event.version <= domain.version:
        return
    domain.version = event.version
    new = {vm.vm: vm for vm in event.vms}
    added = tuple(vm for vm in event.vms if vm.vm not in domain.vms)
    changed = tuple(vm for vm in event.vms if domain.vms.get(vm.vm, vm) != vm)
    removed = tuple(name for name in domain.vms if name not in new)
    old = domain.vms
    domain.vms = new
    if not added and not changed and not removed:
        return
    _rebuild_indexes(state)
    for name in removed:
        domain.leaving.pop(name, None)
    for vm in changed:
        _clear_if_returned(domain, old[vm.vm], vm)
    state.raise_event(events.WorkersChanged(state.now, added, changed, removed))
    for vm in (*added, *changed):
        if vm.state == "leaving":
            mark_leaving(state, effects, vm.vm, "vm-list")


def _clear_if_returned(domain, before, after):
    returned = before.state == "leaving" and after.state == "live"
    if returned or before.address != after.address:
        domain.leaving.pop(after.vm, None)


def _rebuild_indexes(state):
    domain = _domain(state)
    domain.by_service = {}
    domain.by_partition = {}
    for name in sorted(domain.vms):
        vm = domain.vms[name]
        for service in vm.services:
            domain.by_service.setdefault(service, []).append(name)
        partition = _partition_name(state, vm)
        domain.by_partition.setdefault(partition, []).append(name)


def _on_worker_synced(state, event, effects):
    if event.leaving:
        mark_leaving(state, effects, event.worker, "sync")


def _on_tick(state, event, effects):
    domain = _domain(state)
    if not domain.leaving:
        return
    for worker, (source, marked_at) in list(domain.leaving.items()):
        if state.now - marked_at < LEAVING_CONFIRM_MS:
            continue
        vm = domain.vms[worker]
        if vm.state == "leaving":
            continue
        del domain.leaving[worker]
        fields = {"worker": worker, "reason": f"{source}-not-confirmed"}
        effects.append(fx.Log("info", "leaving-dropped", fields))
        state.raise_event(events.WorkersChanged(state.now, (), (vm,), ()))


HANDLERS = {
    events.VmListRead: _on_vm_list,
    events.WorkerSynced: _on_worker_synced,
    events.Tick: _on_tick,
}
