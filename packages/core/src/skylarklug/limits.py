"""Worker slots: base shares, grants held, and lending by partition owners.

Every message of a lender covers all workers of its partition, so that an
acknowledged sequence number supersedes everything that was sent before it.
"""

from skylarklug import contracts
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import lending
from skylarklug import workers

RENEW_MS = 500
# Grants asked for outside the renewal interval are at least this far apart.
ON_DEMAND_MS = 50


class Slots:
    """The slots of one worker that this node may use.

    Attributes:
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
        "slots",
        "base",
        "cap",
        "granted",
        "until",
        "in_use",
        "others",
        "others_at",
    )

    def __init__(self, slots, base, cap):
        self.slots = slots
        self.base = base
        self.cap = cap
        self.granted = 0
        self.until = 0
        self.in_use = 0
        self.others = 0
        self.others_at = 0

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


class LimitsState:
    """Slots held and lent.

    Attributes:
        slots: Slots by worker, for workers of this data centre.
        held: Per partition, the newest (epoch, seq) of a grant message.
        until: Per partition, the time at which its grants end.
        demand: Demand by service.
        changed: Workers whose free slots may have grown or shrunk.
        lenders: Books of the partitions that this node lends.
    """

    def __init__(self):
        self.slots: dict[str, Slots] = {}
        self.held: dict[str, tuple[int, int]] = {}
        self.until: dict[str, int] = {}
        self.partitions: dict[str, int] = {}
        self.demand: dict[str, Demand] = {}
        self.changed: list[str] = []
        self.lenders: dict[str, lending.Book] = {}
        self.next_renewal = 0
        self.last_want = -ON_DEMAND_MS
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


def get(state, worker: str) -> Slots | None:
    """Returns the slots of a worker of this data centre, or None."""
    return _domain(state).slots.get(worker)


def acquire(state, worker: str):
    """Counts an attempt sent to the worker."""
    _domain(state).slots[worker].in_use += 1


def release(state, worker: str):
    """Counts the end of an attempt."""
    slots = _domain(state).slots.get(worker)
    if slots is not None and slots.in_use > 0:
        slots.in_use -= 1


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


def want_more(state, effects):
    """Asks the lenders for slots at once, because a request waits."""
    domain = _domain(state)
    if state.now - domain.last_want < ON_DEMAND_MS:
        return
    _send_wants(state, effects)


def return_all(state, effects):
    """Returns all lent slots at the stop of this node."""
    domain = _domain(state)
    domain.stopped = True
    for slots in domain.slots.values():
        slots.granted = 0
    for partition in sorted(domain.partitions):
        owner = contracts.owner_of(state, partition)
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
        owner = contracts.owner_of(state, partition)
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


def _report(state, partition, kind):
    domain = _domain(state)
    busy = {}
    for worker in workers.of_partition(state, partition):
        slots = domain.slots.get(worker)
        if slots is not None and slots.in_use > slots.base:
            busy[worker] = slots.in_use - slots.base
    epoch, seq = domain.held.get(partition, (0, 0))
    return {
        "kind": kind,
        "partition": partition,
        "epoch": epoch,
        "ack": seq,
        "busy": busy,
    }


def _on_want(state, node, body, effects):
    book = _book(state, body["partition"])
    if book is None:
        return
    capacity = _capacity(state, book)
    counts, others, shrunk = lending.grant(
        book, state.now, node, body, capacity
    )
    _send_grant(state, effects, book, node, counts, others, body["sent"])
    for other, smaller in shrunk:
        _send_grant(state, effects, book, other, smaller, {}, -1)


def _on_return(state, node, body):
    book = _book(state, body["partition"])
    if book is not None:
        lending.settle(book, state.now, node, body)


def _book(state, partition):
    """Returns the book when this node may lend now, else None."""
    epoch = contracts.epoch_of(state, partition)
    book = _domain(state).lenders.get(partition)
    if not epoch or book is None or state.now < book.lends_from:
        return None
    if contracts.mode(state) == "suspended":
        return None
    book.epoch = epoch
    return book


def _capacity(state, book):
    # The list is kept until the VM list changes; a grant reads every entry.
    if book.capacity is None:
        book.capacity = []
        for worker in workers.of_partition(state, book.partition):
            vm = workers.get(state, worker)
            count = lendable(state, vm.slots)
            book.capacity.append((worker, count, vm.services))
    return book.capacity


def _send_grant(state, effects, book, node, counts, others, sent):
    body = {
        "kind": "slots-grant",
        "partition": book.partition,
        "epoch": book.epoch,
        "seq": book.seq,
        "sent": sent,
        "slots": counts,
        "others": others,
    }
    if node == state.node:
        _on_grant(state, node, body, effects)
    else:
        effects.append(fx.SendPeer(node, body))


def _on_grant(state, node, body, effects):
    domain = _domain(state)
    partition = body["partition"]
    stamp = (body["epoch"], body["seq"])
    if stamp <= domain.held.get(partition, (0, 0)):
        return
    domain.held[partition] = stamp
    renews = body["sent"] >= 0
    # The time counts from the request, not from the answer, so that a
    # delayed answer cannot extend the grant beyond the lender's record.
    until = body["sent"] + lending.GRANT_MS - lending.EXPIRY_MARGIN_MS
    for worker in workers.of_partition(state, partition):
        slots = domain.slots.get(worker)
        if slots is None:
            continue
        count = body["slots"].get(worker, 0)
        if renews:
            slots.granted = count
            slots.until = until
            slots.others = body["others"].get(worker, 0)
            slots.others_at = state.now
        else:
            slots.granted = min(slots.granted, count)
        domain.changed.append(worker)
    if renews:
        domain.until[partition] = until
        return
    body = _report(state, partition, "slots-return")
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
        if vm.data_centre == state.data_centre:
            _set_worker(state, vm)
    domain.partitions = {}
    for worker in domain.slots:
        partition = workers.partition_of(state, worker)
        domain.partitions[partition] = domain.partitions.get(partition, 0) + 1
    for book in domain.lenders.values():
        book.capacity = None
        for worker in event.removed:
            book.holdings.pop(worker, None)


def _set_worker(state, vm):
    nodes = nodes_per_data_centre(state)
    cap = min(vm.slots, vm.connections // nodes)
    base = base_share(state, vm.slots)
    slots = _domain(state).slots.get(vm.vm)
    if slots is None:
        _domain(state).slots[vm.vm] = Slots(vm.slots, base, cap)
        return
    slots.slots, slots.base, slots.cap = vm.slots, base, cap


def _on_acquired(state, event, effects):
    book = lending.Book(event.partition, event.epoch)
    book.lends_from = state.now + lending.LENDER_WAIT_MS
    _domain(state).lenders[event.partition] = book


def _on_lost(state, event, effects):
    _domain(state).lenders.pop(event.partition, None)


def _on_tick(state, event, effects):
    domain = _domain(state)
    for partition, until in list(domain.until.items()):
        if state.now < until:
            continue
        del domain.until[partition]
        domain.changed.extend(workers.of_partition(state, partition))
    if state.now < domain.next_renewal:
        return
    domain.next_renewal = state.now + RENEW_MS
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
