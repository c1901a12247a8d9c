"""Worker slots: base shares, received grants, and lending by owners.

Every grant message covers all workers of its partition, so acknowledging its
sequence number supersedes all earlier messages.
"""

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import lending
from skylarklug import ownership
from skylarklug import slotlists
from skylarklug import workers

# Grants are renewed this often, well before their lifetime ends.
RENEWAL_INTERVAL_MS = 500
# Minimum time between two requests for grants outside the renewal interval.
MIN_ON_DEMAND_INTERVAL_MS = 20


class WorkerSlots:
    """The slots of one worker that this node may use.

    Attributes:
        partition: The worker's partition.
        slots: Total number of slots of the worker.
        base: Slots that this node may always use.
        cap: Maximum that this node may use, limited by its connections.
        granted: Slots lent to this node in addition to the base.
        granted_until: Time from which the grant is no longer used.
        in_use: Attempts in flight from this node.
        others_in_use: Slots in use by other nodes, as last reported.
        others_reported_at: Time of that report.
    """

    __slots__ = (
        "partition",
        "slots",
        "base",
        "cap",
        "granted",
        "granted_until",
        "in_use",
        "others_in_use",
        "others_reported_at",
    )

    def __init__(self, partition, slots, base, cap):
        self.partition = partition
        self.slots = slots
        self.base = base
        self.cap = cap
        self.granted = 0
        self.granted_until = 0
        self.in_use = 0
        self.others_in_use = 0
        self.others_reported_at = 0

    def usable(self, now: int) -> int:
        """Returns the number of slots that may be in use now."""
        lent = self.granted if now < self.granted_until else 0
        return min(self.cap, self.base + lent)

    def free(self, now: int) -> int:
        """Returns the number of slots available to new attempts now."""
        return self.usable(now) - self.in_use


class Demand:
    """Requests of a service that hold or wait for a slot of this node.

    Attributes:
        current: Their number now.
        peak: Highest number since the last renewal.
        previous_peak: Highest number in the renewal interval before.
    """

    __slots__ = ("current", "peak", "previous_peak")

    def __init__(self):
        self.current = 0
        self.peak = 0
        self.previous_peak = 0


class Partition:
    """The workers of one partition of this data centre.

    Attributes:
        names: Its workers, sorted.
        index: Position of each worker in `names`.
        checksum: Checksum of `names`; equal if a peer has the same list.
        lender_checksum: Checksum in the newest grant message.
        busy: Slots in use beyond the base share, per worker.
    """

    __slots__ = ("names", "index", "checksum", "lender_checksum", "busy")

    def __init__(self, names):
        self.names = names
        self.checksum = slotlists.checksum(names)
        self.lender_checksum = 0
        self.index = {name: i for i, name in enumerate(names)}
        self.busy = [0] * len(names)


class LimitsState:
    """Slots that this node may use, and slots that it lends.

    Attributes:
        slots: Slots by worker, for workers of this data centre.
        newest_grants: Per partition, (epoch, seq) of the newest grant message.
        granted_until: Per partition, the time at which its grants end.
        partitions: Partitions of this data centre.
        demand: Demand by service.
        changed_workers: Workers whose number of free slots may have changed.
        lenders: Lenders of the partitions that this node owns.
        next_renewal: Time of the next renewal of all grants.
        last_request_at: Time of the last request for grants.
        stopped: Whether this node has returned its slots and requests no more.
    """

    def __init__(self):
        self.slots: dict[str, WorkerSlots] = {}
        self.newest_grants: dict[str, tuple[int, int]] = {}
        self.granted_until: dict[str, int] = {}
        self.partitions: dict[str, Partition] = {}
        self.demand: dict[str, Demand] = {}
        self.changed_workers: list[str] = []
        self.lenders: dict[str, lending.Lender] = {}
        self.next_renewal = 0
        self.last_request_at = -MIN_ON_DEMAND_INTERVAL_MS
        self.stopped = False


def new_state() -> LimitsState:
    """Returns the initial state, without workers."""
    return LimitsState()


def _domain(state) -> LimitsState:
    return state.domains["limits"]


def nodes_per_data_centre(state) -> int:
    """Returns the number of nodes that share a worker."""
    count = state.settings.get("nodes_per_data_centre")
    if count is None:
        nodes = state.settings.get("nodes", ())
        count = sum(1 for n in nodes if n["data_centre"] == state.data_centre)
    return max(1, int(count))


def base_share(state, slots: int) -> int:
    """Returns the slots of a worker that each node may use without a grant."""
    nodes = nodes_per_data_centre(state)
    if nodes == 1:
        return slots
    return 1 if 2 * nodes <= slots else 0


def lendable(state, slots: int) -> int:
    """Returns the slots of a worker that its lender may lend."""
    nodes = nodes_per_data_centre(state)
    return max(0, slots - base_share(state, slots) * nodes)


def get(state, worker: str) -> WorkerSlots | None:
    """Returns the slots of a worker of this data centre, or None."""
    return _domain(state).slots.get(worker)


def by_worker(state) -> dict[str, WorkerSlots]:
    """Returns the slots by worker; callers must not modify them."""
    return _domain(state).slots


def acquire(state, worker: str):
    """Marks a slot of the worker as in use by an attempt."""
    slots = _domain(state).slots[worker]
    slots.in_use += 1
    _update_busy(state, worker, slots)


def release(state, worker: str):
    """Frees the slot of an attempt that has ended."""
    slots = _domain(state).slots.get(worker)
    if slots is not None and slots.in_use > 0:
        slots.in_use -= 1
        _update_busy(state, worker, slots)


def _update_busy(state, worker, slots):
    partition = _domain(state).partitions[slots.partition]
    beyond_base = slots.in_use - slots.base
    partition.busy[partition.index[worker]] = max(0, beyond_base)


def add_demand(state, service: str, amount: int):
    """Adds to the requests of a service: 1 on arrival, -1 at the end."""
    demand = _domain(state).demand.get(service)
    if demand is None:
        demand = _domain(state).demand[service] = Demand()
    demand.current += amount
    demand.peak = max(demand.peak, demand.current)


def demand(state, service: str) -> int:
    """Returns how many requests of a service hold or wait for a slot."""
    service_demand = _domain(state).demand.get(service)
    return 0 if service_demand is None else service_demand.current


def pop_changed(state) -> list[str]:
    """Returns and clears the workers whose slots have changed."""
    changed = _domain(state).changed_workers
    _domain(state).changed_workers = []
    return changed


def request_more_slots(state, effects):
    """Requests slots for a waiting request, without awaiting the next renewal.

    Does nothing within `MIN_ON_DEMAND_INTERVAL_MS` of the last request.
    """
    domain = _domain(state)
    if state.now - domain.last_request_at < MIN_ON_DEMAND_INTERVAL_MS:
        return
    _send_slots_want(state, effects)


def return_all_slots(state, effects):
    """Returns all borrowed slots to their lenders when this node stops."""
    domain = _domain(state)
    domain.stopped = True
    for slots in domain.slots.values():
        slots.granted = 0
    for partition in sorted(domain.partitions):
        owner = ownership.owner_of(state, partition)
        if not owner or owner == state.node:
            continue
        body = _build_report(state, partition, "slots-return")
        body["final"] = True
        effects.append(fx.SendPeer(owner, body))


def _send_slots_want(state, effects):
    domain = _domain(state)
    if domain.stopped:
        return
    domain.last_request_at = state.now
    for partition in sorted(domain.partitions):
        owner = ownership.owner_of(state, partition)
        if not owner:
            continue
        body = _build_report(state, partition, "slots-want")
        body["sent"] = state.now
        body["demand"] = {
            service: max(demand.peak, demand.previous_peak)
            for service, demand in domain.demand.items()
            if demand.peak or demand.previous_peak
        }
        if owner == state.node:
            _on_slots_want(state, state.node, body, effects)
        else:
            effects.append(fx.SendPeer(owner, body))


def _build_report(state, name, kind):
    domain = _domain(state)
    partition = domain.partitions[name]
    epoch, seq = domain.newest_grants.get(name, (0, 0))
    return {
        "kind": kind,
        "partition": name,
        "epoch": epoch,
        "ack": seq,
        "list": partition.checksum,
        "busy": slotlists.encode(
            partition.busy,
            partition.names,
            partition.lender_checksum == partition.checksum,
        ),
    }


def _decode_report(state, body, epoch):
    """Returns the report, or None if its counts cannot be decoded.

    A node omits worker names if both lists were equal at its last grant, but
    they may differ by now. The reply tells the node the lender's checksum, so
    that its next report contains names.
    """
    partition = _domain(state).partitions[body["partition"]]
    busy = body["busy"]
    if isinstance(busy, bytes) and body["list"] != partition.checksum:
        return None
    return lending.Report(
        body["ack"] if body["epoch"] == epoch else 0,
        slotlists.decode(busy, partition.names),
        body.get("demand"),
        body.get("final", False),
    )


def _on_slots_want(state, node, body, effects):
    lender = _active_lender(state, body["partition"])
    if lender is None:
        return
    report = _decode_report(state, body, lender.epoch)
    if report is None:
        # Sends the checksum of this node's list without granting slots.
        no_slots = [0] * len(lender.names)
        _send_slots_grant(
            state, effects, lender, node, 0, no_slots, no_slots, -1
        )
        return
    seq, counts, used, reductions = lending.grant(
        lender, state.now, node, report
    )
    lender.holders[node].list_checksum = body["list"]
    _send_slots_grant(
        state, effects, lender, node, seq, counts, used, body["sent"]
    )
    for other, seq, reduced in reductions:
        no_slots = [0] * len(lender.names)
        _send_slots_grant(
            state, effects, lender, other, seq, reduced, no_slots, -1
        )


def _on_slots_return(state, node, body):
    lender = _active_lender(state, body["partition"])
    if lender is None:
        return
    report = _decode_report(state, body, lender.epoch)
    if report is not None:
        lending.record_report(lender, state.now, node, report)


def _active_lender(state, partition):
    """Returns the partition's lender if this node may lend now, else None."""
    epoch = ownership.epoch_of(state, partition)
    lender = _domain(state).lenders.get(partition)
    if partition not in _domain(state).partitions:
        return None
    if not epoch or lender is None or state.now < lender.lends_from:
        return None
    if ownership.mode(state) == "suspended":
        return None
    lender.epoch = epoch
    return lender


def _set_lender_workers(state, lender):
    partition = _domain(state).partitions.get(lender.partition)
    entries = []
    for worker in partition.names if partition else ():
        vm = workers.get(state, worker)
        entries.append((worker, lendable(state, vm.slots), vm.services))
    lending.set_workers(lender, entries)


def _send_slots_grant(state, effects, lender, node, seq, counts, others, sent):
    partition = _domain(state).partitions[lender.partition]
    holder = lender.holders.get(node)
    packed = holder is not None and holder.list_checksum == partition.checksum
    body = {
        "kind": "slots-grant",
        "partition": lender.partition,
        "epoch": lender.epoch,
        "seq": seq,
        "sent": sent,
        "list": partition.checksum,
        "slots": slotlists.encode(counts, partition.names, packed),
        "others": slotlists.encode(others, partition.names, packed),
    }
    if node == state.node:
        _on_slots_grant(state, node, body, effects)
    else:
        effects.append(fx.SendPeer(node, body))


def _on_slots_grant(state, node, body, effects):
    domain = _domain(state)
    name = body["partition"]
    partition = domain.partitions.get(name)
    if partition is None:
        return
    partition.lender_checksum = body["list"]
    if body["list"] != partition.checksum and isinstance(body["slots"], bytes):
        return
    grant_id = (body["epoch"], body["seq"])
    if grant_id <= domain.newest_grants.get(name, (0, 0)):
        return
    domain.newest_grants[name] = grant_id
    counts = slotlists.decode(body["slots"], partition.names)
    others = slotlists.decode(body["others"], partition.names)
    is_renewal = body["sent"] >= 0
    # The lifetime starts at the request, not at the answer. Otherwise a delayed
    # answer would extend the grant beyond the expiry that the lender recorded.
    until = body["sent"] + lending.GRANT_LIFETIME_MS - lending.EXPIRY_MARGIN_MS
    for worker, count, used in zip(
        partition.names, counts, others, strict=True
    ):
        slots = domain.slots[worker]
        before = slots.usable(state.now)
        if is_renewal:
            slots.granted = count
            slots.granted_until = until
            slots.others_in_use = used
            slots.others_reported_at = state.now
        else:
            slots.granted = min(slots.granted, count)
        if slots.usable(state.now) != before:
            domain.changed_workers.append(worker)
    if is_renewal:
        domain.granted_until[name] = until
        return
    body = _build_report(state, name, "slots-return")
    if node == state.node:
        _on_slots_return(state, node, body)
    else:
        effects.append(fx.SendPeer(node, body))


def _on_peer_message(state, event, effects):
    kind = event.body.get("kind")
    if kind == "slots-want":
        _on_slots_want(state, event.peer, event.body, effects)
    elif kind == "slots-return":
        _on_slots_return(state, event.peer, event.body)
    elif kind == "slots-grant":
        _on_slots_grant(state, event.peer, event.body, effects)


def _on_workers_changed(state, event, effects):
    domain = _domain(state)
    for worker in event.removed:
        domain.slots.pop(worker, None)
    for vm in (*event.added, *event.changed):
        if vm.data_centre == state.data_centre and vm.services:
            _set_worker(state, vm)
    _rebuild_partitions(state)
    for lender in domain.lenders.values():
        _set_lender_workers(state, lender)


def _rebuild_partitions(state):
    domain = _domain(state)
    by_partition = {}
    for worker in sorted(domain.slots):
        by_partition.setdefault(domain.slots[worker].partition, []).append(
            worker
        )
    before = domain.partitions
    domain.partitions = {
        name: Partition(names) for name, names in by_partition.items()
    }
    for name, partition in domain.partitions.items():
        if name in before:
            partition.lender_checksum = before[name].lender_checksum
    for worker, slots in domain.slots.items():
        _update_busy(state, worker, slots)


def _set_worker(state, vm):
    nodes = nodes_per_data_centre(state)
    cap = min(vm.slots, vm.connections // nodes)
    base = base_share(state, vm.slots)
    slots = _domain(state).slots.get(vm.vm)
    if slots is None:
        partition = workers.partition_of(state, vm.vm)
        slots = WorkerSlots(partition, vm.slots, base, cap)
        _domain(state).slots[vm.vm] = slots
        return
    slots.slots, slots.base, slots.cap = vm.slots, base, cap


def _on_partition_acquired(state, event, effects):
    lender = lending.Lender(event.partition, event.epoch)
    lender.lends_from = state.now + lending.LENDER_WAIT_MS
    _set_lender_workers(state, lender)
    _domain(state).lenders[event.partition] = lender


def _on_partition_lost(state, event, effects):
    _domain(state).lenders.pop(event.partition, None)


def _on_tick(state, event, effects):
    domain = _domain(state)
    for partition, until in list(domain.granted_until.items()):
        if state.now < until:
            continue
        del domain.granted_until[partition]
        if partition in domain.partitions:
            domain.changed_workers.extend(domain.partitions[partition].names)
    if state.now < domain.next_renewal:
        return
    domain.next_renewal = state.now + RENEWAL_INTERVAL_MS
    _send_slots_want(state, effects)
    for demand in domain.demand.values():
        demand.previous_peak = demand.peak
        demand.peak = demand.current


HANDLERS = {
    events.PeerMessage: _on_peer_message,
    events.WorkersChanged: _on_workers_changed,
    events.PartitionAcquired: _on_partition_acquired,
    events.PartitionLost: _on_partition_lost,
    events.Tick: _on_tick,
}
