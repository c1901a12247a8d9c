"""Worker slots: base shares, grants held, and lending by partition owners.

Every message of a lender covers all workers of its partition, so that an
acknowledged sequence number supersedes everything that was sent before it.
"""

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import lending
from skylarklug import ownership
from skylarklug import slotlists
from skylarklug import workers

RENEWAL_INTERVAL_MS = 500
# Grants asked for outside the renewal interval are at least this far apart.
MIN_ON_DEMAND_INTERVAL_MS = 20


class WorkerSlots:
    """The slots of one worker that this node may use.

    Attributes:
        partition: The worker's partition.
        slots: Slots of the worker.
        base: Slots that are always this node's.
        cap: Most slots that this node may use, from its connections.
        granted: Slots lent on top of the base.
        until: Time at which the grant is no longer used.
        in_use: Attempts in flight from this node.
        others: Slots in use by other nodes, as last reported.
        others_at: Time of that report.
    """

    __slots__ = (
        "partition",
        "slots",
        "base",
        "cap",
        "granted",
        "until",
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
        self.until = 0
        self.in_use = 0
        self.others_in_use = 0
        self.others_reported_at = 0

    def usable(self, now: int) -> int:
        """Returns the slots that may be in use now."""
        lent = self.granted if now < self.until else 0
        return min(self.cap, self.base + lent)

    def free(self, now: int) -> int:
        """Returns the slots that a new attempt may take now."""
        return self.usable(now) - self.in_use


class Demand:
    """Requests of a service that hold or wait for a slot of this node."""

    __slots__ = ("current", "peak", "peak_before")

    def __init__(self):
        self.current = 0
        self.peak = 0
        self.peak_before = 0


class Partition:
    """The workers of one partition of this data centre.

    Attributes:
        names: Its workers, sorted.
        index: Position of each worker in `names`.
        checksum: Tells whether a peer has the same list.
        agreed: Checksum in the newest grant message.
        busy: Slots in use beyond the base share, per worker.
    """

    __slots__ = ("names", "index", "checksum", "agreed", "busy")

    def __init__(self, names):
        self.names = names
        self.checksum = slotlists.checksum(names)
        self.agreed = 0
        self.index = {name: i for i, name in enumerate(names)}
        self.busy = [0] * len(names)


class LimitsState:
    """Slots held and lent.

    Attributes:
        slots: Slots by worker, for workers of this data centre.
        held: Per partition, the newest (epoch, seq) of a grant message.
        until: Per partition, the time at which its grants end.
        partitions: Partitions of this data centre.
        demand: Demand by service.
        changed: Workers whose free slots may have grown or shrunk.
        lenders: Books of the partitions that this node lends.
    """

    def __init__(self):
        self.slots: dict[str, WorkerSlots] = {}
        self.held: dict[str, tuple[int, int]] = {}
        self.until: dict[str, int] = {}
        self.partitions: dict[str, Partition] = {}
        self.demand: dict[str, Demand] = {}
        self.changed: list[str] = []
        self.lenders: dict[str, lending.Lender] = {}
        self.next_renewal = 0
        self.last_want = -MIN_ON_DEMAND_INTERVAL_MS
        self.stopped = False


def new_state() -> LimitsState:
    """Returns the state without workers."""
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
    """Returns the slots of a worker that each node has without a grant."""
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


def table(state) -> dict[str, WorkerSlots]:
    """Returns the slots of every worker of this data centre, to read."""
    return _domain(state).slots


def acquire(state, worker: str):
    """Counts an attempt sent to the worker."""
    slots = _domain(state).slots[worker]
    slots.in_use += 1
    _note_busy(state, worker, slots)


def release(state, worker: str):
    """Counts the end of an attempt."""
    slots = _domain(state).slots.get(worker)
    if slots is not None and slots.in_use > 0:
        slots.in_use -= 1
        _note_busy(state, worker, slots)


def _note_busy(state, worker, slots):
    partition = _domain(state).partitions[slots.partition]
    beyond = slots.in_use - slots.base
    partition.busy[partition.index[worker]] = max(0, beyond)


def add_demand(state, service: str, amount: int):
    """Counts requests of a service that arrive (1) or end (-1)."""
    demand = _domain(state).demand.get(service)
    if demand is None:
        demand = _domain(state).demand[service] = Demand()
    demand.current += amount
    demand.peak = max(demand.peak, demand.current)


def demand(state, service: str) -> int:
    """Returns the requests of a service that hold or wait for a slot."""
    found = _domain(state).demand.get(service)
    return 0 if found is None else found.current


def take_changed(state) -> list[str]:
    """Returns the workers whose slots changed since the last call."""
    changed = _domain(state).changed
    _domain(state).changed = []
    return changed


def request_more_slots(state, effects):
    """Asks the lenders for slots at once, because a request waits."""
    domain = _domain(state)
    if state.now - domain.last_want < MIN_ON_DEMAND_INTERVAL_MS:
        return
    _send_wants(state, effects)


def return_all_slots(state, effects):
    """Returns all lent slots at the stop of this node."""
    domain = _domain(state)
    domain.stopped = True
    for slots in domain.slots.values():
        slots.granted = 0
    for partition in sorted(domain.partitions):
        owner = ownership.owner_of(state, partition)
        if not owner or owner == state.node:
            continue
        body = _report(state, partition, "slots-return")
        body["final"] = True
        effects.append(fx.SendPeer(owner, body))


def _send_wants(state, effects):
    domain = _domain(state)
    if domain.stopped:
        return
    domain.last_want = state.now
    for partition in sorted(domain.partitions):
        owner = ownership.owner_of(state, partition)
        if not owner:
            continue
        body = _report(state, partition, "slots-want")
        body["sent"] = state.now
        body["demand"] = {
            service: max(demand.peak, demand.peak_before)
            for service, demand in domain.demand.items()
            if demand.peak or demand.peak_before
        }
        if owner == state.node:
            _on_want(state, state.node, body, effects)
        else:
            effects.append(fx.SendPeer(owner, body))


def _report(state, name, kind):
    domain = _domain(state)
    partition = domain.partitions[name]
    epoch, seq = domain.held.get(name, (0, 0))
    return {
        "kind": kind,
        "partition": name,
        "epoch": epoch,
        "ack": seq,
        "list": partition.checksum,
        "busy": slotlists.encode(
            partition.busy,
            partition.names,
            partition.agreed == partition.checksum,
        ),
    }


def _read_report(state, body, epoch):
    """Returns the report, or None if its counts cannot be read.

    A node packs counts when the lists agreed at its last grant; they may
    differ since. Its next report follows a grant with names.
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


def _on_want(state, node, body, effects):
    book = _book(state, body["partition"])
    if book is None:
        return
    report = _read_report(state, body, book.epoch)
    if report is None:
        # Tells the node this list's checksum without giving it slots.
        none = [0] * len(book.names)
        _send_grant(state, effects, book, node, 0, none, none, -1)
        return
    seq, counts, used, shrunk = lending.grant(book, state.now, node, report)
    book.holders[node].checksum = body["list"]
    _send_grant(state, effects, book, node, seq, counts, used, body["sent"])
    for other, seq, smaller in shrunk:
        none = [0] * len(book.names)
        _send_grant(state, effects, book, other, seq, smaller, none, -1)


def _on_return(state, node, body):
    book = _book(state, body["partition"])
    if book is None:
        return
    report = _read_report(state, body, book.epoch)
    if report is not None:
        lending.record_report(book, state.now, node, report)


def _book(state, partition):
    """Returns the book when this node may lend now, else None."""
    epoch = ownership.epoch_of(state, partition)
    book = _domain(state).lenders.get(partition)
    if partition not in _domain(state).partitions:
        return None
    if not epoch or book is None or state.now < book.lends_from:
        return None
    if ownership.mode(state) == "suspended":
        return None
    book.epoch = epoch
    return book


def _set_book(state, book):
    partition = _domain(state).partitions.get(book.partition)
    entries = []
    for worker in partition.names if partition else ():
        vm = workers.get(state, worker)
        entries.append((worker, lendable(state, vm.slots), vm.services))
    lending.set_workers(book, entries)


def _send_grant(state, effects, book, node, seq, counts, others, sent):
    partition = _domain(state).partitions[book.partition]
    holder = book.holders.get(node)
    packed = holder is not None and holder.checksum == partition.checksum
    body = {
        "kind": "slots-grant",
        "partition": book.partition,
        "epoch": book.epoch,
        "seq": seq,
        "sent": sent,
        "list": partition.checksum,
        "slots": slotlists.encode(counts, partition.names, packed),
        "others": slotlists.encode(others, partition.names, packed),
    }
    if node == state.node:
        _on_grant(state, node, body, effects)
    else:
        effects.append(fx.SendPeer(node, body))


def _on_grant(state, node, body, effects):
    domain = _domain(state)
    name = body["partition"]
    partition = domain.partitions.get(name)
    if partition is None:
        return
    partition.agreed = body["list"]
    if body["list"] != partition.checksum and isinstance(body["slots"], bytes):
        return
    stamp = (body["epoch"], body["seq"])
    if stamp <= domain.held.get(name, (0, 0)):
        return
    domain.held[name] = stamp
    counts = slotlists.decode(body["slots"], partition.names)
    others = slotlists.decode(body["others"], partition.names)
    renews = body["sent"] >= 0
    # The time counts from the request, not from the answer, so that a
    # delayed answer cannot extend the grant beyond the lender's record.
    until = body["sent"] + lending.GRANT_LIFETIME_MS - lending.EXPIRY_MARGIN_MS
    for worker, count, used in zip(
        partition.names, counts, others, strict=True
    ):
        slots = domain.slots[worker]
        before = slots.usable(state.now)
        if renews:
            slots.granted = count
            slots.until = until
            slots.others_in_use = used
            slots.others_reported_at = state.now
        else:
            slots.granted = min(slots.granted, count)
        if slots.usable(state.now) != before:
            domain.changed.append(worker)
    if renews:
        domain.until[name] = until
        return
    body = _report(state, name, "slots-return")
    if node == state.node:
        _on_return(state, node, body)
    else:
        effects.append(fx.SendPeer(node, body))


def _on_message(state, event, effects):
    kind = event.body.get("kind")
    if kind == "slots-want":
        _on_want(state, event.peer, event.body, effects)
    elif kind == "slots-return":
        _on_return(state, event.peer, event.body)
    elif kind == "slots-grant":
        _on_grant(state, event.peer, event.body, effects)


def _on_workers_changed(state, event, effects):
    domain = _domain(state)
    for worker in event.removed:
        domain.slots.pop(worker, None)
    for vm in (*event.added, *event.changed):
        if vm.data_centre == state.data_centre and vm.services:
            _set_worker(state, vm)
    _index(state)
    for book in domain.lenders.values():
        _set_book(state, book)


def _index(state):
    domain = _domain(state)
    names = {}
    for worker in sorted(domain.slots):
        names.setdefault(domain.slots[worker].partition, []).append(worker)
    before = domain.partitions
    domain.partitions = {
        name: Partition(found) for name, found in names.items()
    }
    for name, partition in domain.partitions.items():
        if name in before:
            partition.agreed = before[name].agreed
    for worker, slots in domain.slots.items():
        _note_busy(state, worker, slots)


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


def _on_acquired(state, event, effects):
    book = lending.Lender(event.partition, event.epoch)
    book.lends_from = state.now + lending.LENDER_WAIT_MS
    _set_book(state, book)
    _domain(state).lenders[event.partition] = book


def _on_lost(state, event, effects):
    _domain(state).lenders.pop(event.partition, None)


def _on_tick(state, event, effects):
    domain = _domain(state)
    for partition, until in list(domain.until.items()):
        if state.now < until:
            continue
        del domain.until[partition]
        if partition in domain.partitions:
            domain.changed.extend(domain.partitions[partition].names)
    if state.now < domain.next_renewal:
        return
    domain.next_renewal = state.now + RENEWAL_INTERVAL_MS
    _send_wants(state, effects)
    for demand in domain.demand.values():
        demand.peak_before = demand.peak
        demand.peak = demand.current


HANDLERS = {
    events.PeerMessage: _on_message,
    events.WorkersChanged: _on_workers_changed,
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.Tick: _on_tick,
}
