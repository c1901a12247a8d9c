"""Accounting of the slots that a partition owner lends to other nodes.

Times are monotonic milliseconds. Counts are lists with one entry per worker of
the partition, in the order of the sorted names, because every message covers
the whole partition.
"""

import itertools
import operator

# Lifetime of a grant. The holder counts it from the time of its request, the
# lender from the time of the grant.
GRANT_LIFETIME_MS = 2_000
# The holder stops using a grant this long before it expires, and the lender
# treats its slots as lent for this long after.
EXPIRY_MARGIN_MS = 200
# A new lender waits until every grant of its predecessor has expired:
# GRANT_LIFETIME_MS + EXPIRY_MARGIN_MS.
LENDER_WAIT_MS = 2_200
# Minimum time between two requests to one holder to give up slots.
SHRINK_INTERVAL_MS = 40

# Spreads the rounding of shares evenly over the workers of a partition.
_GOLDEN_RATIO = 0.6180339887498949


class Report:
    """What a node reports about its grants.

    Attributes:
        ack: Sequence number of the newest grant message received; 0 if that
            message belonged to another epoch.
        busy: Slots in use beyond the base share, per worker.
        demand: Requests that hold or wait for a slot, by service.
        final: Whether the node stops and returns all slots.
    """

    __slots__ = ("ack", "busy", "demand", "final")

    def __init__(self, ack, busy, demand, final):
        self.ack = ack
        self.busy = busy
        self.demand = demand
        self.final = final


class Holder:
    """Slots that one node may be using beyond its base share.

    Attributes:
        grants: (sequence number, expiry, counts) of the grants that no
            acknowledgement has superseded.
        busy: Slots in use at the node's last report, per worker.
        last_report_at: Time of that report.
        demand: Demand by service, or None if the node has requested nothing.
        list_checksum: Checksum of the node's list of workers.
        last_shrink_at: Time of the last request to give up slots.
    """

    def __init__(self, size: int):
        self.grants: list[tuple[int, int, list[int]]] = []
        self.busy = [0] * size
        self.last_report_at = 0
        self.demand = None
        self.list_checksum = 0
        self.last_shrink_at = 0

    def committed(self, now: int) -> list[int]:
        """Returns the slots that must not be lent to another node."""
        cutoff = now - EXPIRY_MARGIN_MS
        # A holder that stops reporting must not block its slots forever. If it
        # still uses them, the worker's guard refuses the excess attempts.
        silent = self.last_report_at + GRANT_LIFETIME_MS <= cutoff
        counts = [0] * len(self.busy) if silent else self.busy
        for _, expiry, granted in self.grants:
            if expiry > cutoff:
                counts = list(map(max, counts, granted))
        return counts


class Lender:
    """Grants made by the owner of one partition.

    Attributes:
        partition: Name of the partition.
        epoch: Epoch of the ownership under which the grants are made.
        lends_from: Time before which nothing is lent.
        seq: Sequence number of the newest grant message.
        names: Workers, sorted.
        slots: Slots that may be lent, per worker.
        service_set_indexes: Index into `service_sets`, per worker.
        service_sets: Distinct sets of services of the workers.
        holders: Grants and demand by node.
    """

    def __init__(self, partition: str, epoch: int):
        self.partition = partition
        self.epoch = epoch
        self.lends_from = 0
        self.seq = 0
        self.names: list[str] = []
        self.slots: list[int] = []
        self.service_set_indexes: list[int] = []
        self.service_sets: list[tuple[str, ...]] = []
        self.holders: dict[str, Holder] = {}


def set_workers(lender: Lender, entries: list):
    """Replaces the workers of a lender and reorders the counts of holders.

    Args:
        lender: The lender to change.
        entries: (worker, slots that may be lent, services), sorted by worker.
    """
    old_index = {name: i for i, name in enumerate(lender.names)}
    old_positions = [old_index.get(name, -1) for name, _, _ in entries]
    lender.names = [name for name, _, _ in entries]
    lender.slots = [slots for _, slots, _ in entries]
    lender.service_sets = sorted({services for _, _, services in entries})
    index = {services: i for i, services in enumerate(lender.service_sets)}
    lender.service_set_indexes = [index[services] for _, _, services in entries]

    def reorder(counts):
        return [counts[i] if i >= 0 else 0 for i in old_positions]

    for holder in lender.holders.values():
        holder.busy = reorder(holder.busy)
        holder.grants = [
            (seq, expiry, reorder(counts))
            for seq, expiry, counts in holder.grants
        ]


def record_report(
    lender: Lender, now: int, node: str, report: Report
) -> Holder:
    """Updates a holder from a node's report and removes superseded grants."""
    holder = lender.holders.get(node)
    if holder is None:
        holder = lender.holders[node] = Holder(len(lender.names))
    holder.busy = report.busy
    holder.last_report_at = now
    if report.final:
        holder.grants.clear()
        holder.demand = None
    holder.grants = [g for g in holder.grants if g[0] >= report.ack]
    return holder


def grant(lender: Lender, now: int, node: str, report: Report):
    """Renews the grants of one node in proportion to demand.

    Returns:
        The sequence number of the grant, its counts, the slots in use by
        other nodes, and a list of (node, sequence number, counts) of the
        nodes that are asked to give up slots.
    """
    record_report(lender, now, node, report).demand = report.demand
    _expire_silent_holders(lender, now)
    nodes = sorted(n for n, h in lender.holders.items() if h.demand is not None)
    bounds = _share_bounds(lender, nodes)
    free = lender.slots
    used_by_others = [0] * len(free)
    for other, holder in lender.holders.items():
        if other == node:
            continue
        free = list(map(operator.sub, free, holder.committed(now)))
        used_by_others = list(map(operator.add, used_by_others, holder.busy))
    target = _target_counts(lender, bounds, nodes.index(node))
    counts = [max(0, min(pair)) for pair in zip(target, free, strict=True)]
    seq = _record_grant(lender, node, now + GRANT_LIFETIME_MS, counts)
    reductions = []
    if sum(counts) < sum(target):
        for position, other in enumerate(nodes):
            if other == node:
                continue
            reduced = _reduce_grant(
                lender, now, other, _target_counts(lender, bounds, position)
            )
            if reduced:
                reductions.append((other, lender.seq, reduced))
    return seq, counts, used_by_others, reductions


def _record_grant(lender, node, expiry, counts):
    lender.seq += 1
    lender.holders[node].grants.append((lender.seq, expiry, counts))
    return lender.seq


def _expire_silent_holders(lender, now):
    cutoff = now - GRANT_LIFETIME_MS - EXPIRY_MARGIN_MS
    for node, holder in list(lender.holders.items()):
        if holder.last_report_at >= cutoff:
            continue
        holder.demand = None
        # Nothing that this node was granted is still in force.
        if all(expiry < cutoff for _, expiry, _ in holder.grants):
            del lender.holders[node]


def _share_bounds(lender, nodes):
    """Returns the cumulative shares of the nodes for each set of services."""
    bounds = []
    for services in lender.service_sets:
        demands = [
            sum(lender.holders[n].demand.get(s, 0) for s in services)
            for n in nodes
        ]
        total = sum(demands)
        if not total:
            demands = [1] * len(nodes)
            total = len(nodes)
        sums = itertools.accumulate(demands, initial=0)
        bounds.append([value / total for value in sums])
    return bounds


def _target_counts(lender, bounds, position):
    """Returns one node's share of the slots of every worker."""
    lows = [b[position] for b in bounds]
    highs = [b[position + 1] for b in bounds]
    target = []
    offset = 0.0
    for slots, index in zip(
        lender.slots, lender.service_set_indexes, strict=True
    ):
        low = int(slots * lows[index] + offset)
        target.append(int(slots * highs[index] + offset) - low)
        offset = (offset + _GOLDEN_RATIO) % 1.0
    return target


def _reduce_grant(lender, now, node, target):
    """Reduces the grant of a node above its target.

    Returns:
        The reduced counts, or None if the node has nothing to give up or was
        asked less than `SHRINK_INTERVAL_MS` ago.
    """
    holder = lender.holders[node]
    if not holder.grants:
        return None
    if now - holder.last_shrink_at < SHRINK_INTERVAL_MS:
        return None
    _, expiry, counts = holder.grants[-1]
    reduced = list(map(min, counts, target))
    if reduced == counts or expiry <= now:
        return None
    holder.last_shrink_at = now
    _record_grant(lender, node, expiry, reduced)
    return reduced
