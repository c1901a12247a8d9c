"""The books of a lender of worker slots. Times are monotonic milliseconds.

Counts are vectors with one entry per worker of the partition, in the order of
the sorted names, because every message covers the whole partition.
"""

import itertools
import operator

GRANT_LIFETIME_MS = 2_000
EXPIRY_MARGIN_MS = 200
# Outlasts every grant of the former lender.
LENDER_WAIT_MS = 2_200
# A holder is asked to give up slots at most this often.
SHRINK_INTERVAL_MS = 40

# Spreads the rounding of shares evenly over the workers of a partition.
_GOLDEN_RATIO = 0.6180339887498949


class Report:
    """What a node says about its grants.

    Attributes:
        ack: Number of the newest grant message received; 0 if that came from
            another epoch.
        busy: Slots in use beyond the base share.
        demand: Requests by service that hold or wait for a slot.
        final: The node stops and returns all slots.
    """

    __slots__ = ("ack", "busy", "demand", "final")

    def __init__(self, ack, busy, demand, final):
        self.ack = ack
        self.busy = busy
        self.demand = demand
        self.final = final


class Holder:
    """What one node may be using beyond its base share.

    Attributes:
        messages: (number, expiry, counts) of grants not yet superseded.
        busy: Slots in use at the node's last report.
        heard: Time of that report.
        demand: Demand by service, None when the node has asked for nothing.
        checksum: The node's list of workers.
    """

    def __init__(self, size: int):
        self.messages: list[tuple[int, int, list[int]]] = []
        self.busy = [0] * size
        self.heard = 0
        self.demand = None
        self.checksum = 0
        self.shrunk_at = 0

    def committed(self, now: int) -> list[int]:
        """Returns the slots that must not be lent to another node."""
        limit = now - EXPIRY_MARGIN_MS
        # A holder that is not heard of does not block its slots for ever;
        # the worker's guard refuses what it may still be running.
        silent = self.heard + GRANT_LIFETIME_MS <= limit
        counts = [0] * len(self.busy) if silent else self.busy
        for _, expiry, granted in self.messages:
            if expiry > limit:
                counts = list(map(max, counts, granted))
        return counts


class Lender:
    """Grants of one partition by its owner.

    Attributes:
        lends_from: Time before which nothing is lent.
        seq: Number of the newest grant message.
        names: Workers, sorted.
        slots: Slots that may be lent, per worker.
        kinds: Index into `services`, per worker.
        services: Distinct sets of services of the workers.
    """

    def __init__(self, partition: str, epoch: int):
        self.partition = partition
        self.epoch = epoch
        self.lends_from = 0
        self.seq = 0
        self.names: list[str] = []
        self.slots: list[int] = []
        self.kinds: list[int] = []
        self.services: list[tuple[str, ...]] = []
        self.holders: dict[str, Holder] = {}


def set_workers(book: Lender, entries: list):
    """Takes (worker, slots that may be lent, services), sorted by worker."""
    old = {name: i for i, name in enumerate(book.names)}
    places = [old.get(name, -1) for name, _, _ in entries]
    book.names = [name for name, _, _ in entries]
    book.slots = [slots for _, slots, _ in entries]
    book.services = sorted({services for _, _, services in entries})
    index = {services: i for i, services in enumerate(book.services)}
    book.kinds = [index[services] for _, _, services in entries]

    def move(counts):
        return [counts[i] if i >= 0 else 0 for i in places]

    for holder in book.holders.values():
        holder.busy = move(holder.busy)
        holder.messages = [
            (seq, expiry, move(counts))
            for seq, expiry, counts in holder.messages
        ]


def record_report(book: Lender, now: int, node: str, report: Report) -> Holder:
    """Takes a node's report of what it has received and uses."""
    holder = book.holders.get(node)
    if holder is None:
        holder = book.holders[node] = Holder(len(book.names))
    holder.busy = report.busy
    holder.heard = now
    if report.final:
        holder.messages.clear()
        holder.demand = None
    holder.messages = [m for m in holder.messages if m[0] >= report.ack]
    return holder


def grant(book: Lender, now: int, node: str, report: Report):
    """Renews the grants of one node in proportion to demand.

    Returns:
        The number of the grant, its counts, slots in use by other nodes, and
        a list of (node, number, counts) for nodes asked to give up slots.
    """
    record_report(book, now, node, report).demand = report.demand
    _expire_silent_holders(book, now)
    nodes = sorted(n for n, h in book.holders.items() if h.demand is not None)
    bounds = _share_bounds(book, nodes)
    free = book.slots
    used = [0] * len(free)
    for other, holder in book.holders.items():
        if other == node:
            continue
        free = list(map(operator.sub, free, holder.committed(now)))
        used = list(map(operator.add, used, holder.busy))
    target = _target_counts(book, bounds, nodes.index(node))
    counts = [max(0, min(pair)) for pair in zip(target, free, strict=True)]
    seq = _record_grant(book, node, now + GRANT_LIFETIME_MS, counts)
    shrunk = []
    if sum(counts) < sum(target):
        for place, other in enumerate(nodes):
            if other == node:
                continue
            smaller = _reduced_grant(
                book, now, other, _target_counts(book, bounds, place)
            )
            if smaller:
                shrunk.append((other, book.seq, smaller))
    return seq, counts, used, shrunk


def _record_grant(book, node, expiry, counts):
    book.seq += 1
    book.holders[node].messages.append((book.seq, expiry, counts))
    return book.seq


def _expire_silent_holders(book, now):
    limit = now - GRANT_LIFETIME_MS - EXPIRY_MARGIN_MS
    for node, holder in list(book.holders.items()):
        if holder.heard >= limit:
            continue
        holder.demand = None
        # Nothing that this node was granted is still in force.
        if all(expiry < limit for _, expiry, _ in holder.messages):
            del book.holders[node]


def _share_bounds(book, nodes):
    """Returns, per set of services, the cumulated shares of the nodes."""
    bounds = []
    for services in book.services:
        demands = [
            sum(book.holders[n].demand.get(s, 0) for s in services)
            for n in nodes
        ]
        total = sum(demands)
        if not total:
            demands = [1] * len(nodes)
            total = len(nodes)
        sums = itertools.accumulate(demands, initial=0)
        bounds.append([value / total for value in sums])
    return bounds


def _target_counts(book, bounds, place):
    """Returns the share of one node of every worker's slots."""
    lows = [b[place] for b in bounds]
    highs = [b[place + 1] for b in bounds]
    target = []
    offset = 0.0
    for slots, kind in zip(book.slots, book.kinds, strict=True):
        low = int(slots * lows[kind] + offset)
        target.append(int(slots * highs[kind] + offset) - low)
        offset = (offset + _GOLDEN_RATIO) % 1.0
    return target


def _reduced_grant(book, now, node, target):
    """Returns reduced counts for a node above its share, else None."""
    holder = book.holders[node]
    if not holder.messages:
        return None
    if now - holder.shrunk_at < SHRINK_INTERVAL_MS:
        return None
    _, expiry, counts = holder.messages[-1]
    smaller = list(map(min, counts, target))
    if smaller == counts or expiry <= now:
        return None
    holder.shrunk_at = now
    _record_grant(book, node, expiry, smaller)
    return smaller
