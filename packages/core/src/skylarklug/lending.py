"""The books of a lender of worker slots. Times are monotonic milliseconds."""

import itertools

GRANT_MS = 2_000
EXPIRY_MARGIN_MS = 200
# Outlasts every grant of the former lender.
LENDER_WAIT_MS = 2_200
# A holder is asked to give up slots at most this often.
SHRINK_INTERVAL_MS = 100

# Spreads the rounding of shares evenly over the workers of a partition.
_GOLDEN_RATIO = 0.6180339887498949


class Holding:
    """What one node may be using of one worker, beyond its base share.

    Attributes:
        grants: (seq, count, expiry) of grants not yet superseded.
        busy: Slots in use at the node's last report.
        heard: Time of that report.
    """

    __slots__ = ("grants", "busy", "heard")

    def __init__(self):
        self.grants: list[tuple[int, int, int]] = []
        self.busy = 0
        self.heard = 0

    def committed(self, now: int) -> int:
        """Returns the slots that must not be lent to another node."""
        limit = now - EXPIRY_MARGIN_MS
        # A holder that is not heard of does not block its slots for ever;
        # the worker's guard refuses what it may still be running.
        silent = self.heard + GRANT_MS <= limit
        count = 0 if silent else self.busy
        for _, granted, expiry in self.grants:
            if granted > count and expiry > limit:
                count = granted
        return count


class Book:
    """Grants of one partition by its owner."""

    def __init__(self, partition: str, epoch: int):
        self.partition = partition
        self.epoch = epoch
        self.lends_from = 0
        self.seq = 0
        self.capacity = None
        self.wants: dict[str, tuple[int, dict]] = {}
        self.holdings: dict[str, dict[str, Holding]] = {}
        self.checksums: dict[str, int] = {}
        self.shrunk_at: dict[str, int] = {}


def settle(book: Book, now: int, node: str, report: dict):
    """Takes a holder's report of what it has received and uses."""
    current = report["epoch"] == book.epoch
    busy = report["busy"]
    if report.get("final"):
        book.wants.pop(node, None)
    for worker, holdings in book.holdings.items():
        holding = holdings.get(node)
        if holding is None:
            if worker not in busy:
                continue
            holding = holdings[node] = Holding()
        holding.busy = busy.get(worker, 0)
        holding.heard = now
        if report.get("final"):
            holding.grants.clear()
        elif current and holding.grants:
            ack = report["ack"]
            holding.grants = [g for g in holding.grants if g[0] >= ack]
    for worker in busy:
        if worker in book.holdings:
            continue
        holding = Holding()
        holding.busy, holding.heard = busy[worker], now
        book.holdings[worker] = {node: holding}


def grant(book: Book, now: int, node: str, want: dict, capacity: list):
    """Renews the grants of one node in proportion to demand.

    Args:
        book: The lender's book.
        now: Monotonic milliseconds.
        node: The node that asks.
        want: Its message.
        capacity: (worker, lendable slots, services) in a stable order.

    Returns:
        The number of the grant, slots per worker, slots in use by other
        nodes per worker, and a list of (node, number, slots per worker) for
        nodes asked to give up slots.
    """
    settle(book, now, node, want)
    book.wants[node] = (now, want["demand"])
    for other, (heard, _) in list(book.wants.items()):
        if now - heard > GRANT_MS + EXPIRY_MARGIN_MS:
            del book.wants[other]
    book.seq += 1
    seq = book.seq
    nodes = sorted(book.wants)
    place = nodes.index(node)
    bounds = {}
    counts = {}
    others = {}
    over = {}
    for index, (worker, slots, services) in enumerate(capacity):
        limits = bounds.get((slots, services))
        if limits is None:
            limits = _bounds(book, nodes, slots, services)
            bounds[slots, services] = limits
        offset = index * _GOLDEN_RATIO % 1.0
        target = int(limits[place + 1] + offset) - int(limits[place] + offset)
        holdings = book.holdings.setdefault(worker, {})
        free = slots
        used = 0
        for other, holding in holdings.items():
            if other == node:
                continue
            committed = holding.committed(now)
            free -= committed
            used += holding.busy
            if committed and target > 0:
                over.setdefault(other, []).append(worker)
        count = max(0, min(target, free))
        if used:
            others[worker] = used
        holding = holdings.get(node)
        if count:
            counts[worker] = count
            if holding is None:
                holding = holdings[node] = Holding()
                holding.heard = now
        if holding is not None:
            holding.grants.append((seq, count, now + GRANT_MS))
    shrunk = []
    if sum(counts.values()) < _target_sum(bounds, place, capacity):
        shrunk = _shrink(book, now, nodes, over, bounds, capacity)
    return seq, counts, others, shrunk


def _bounds(book, nodes, slots, services):
    """Returns cumulative shares of the slots, one bound more than nodes."""
    demands = [
        sum(book.wants[name][1].get(s, 0) for s in services) for name in nodes
    ]
    total = sum(demands)
    if not total:
        demands = [1] * len(nodes)
        total = len(nodes)
    sums = itertools.accumulate(demands, initial=0)
    limits = [slots * value / total for value in sums]
    limits[-1] = float(slots)
    return limits


def _share(limits, place, index):
    offset = index * _GOLDEN_RATIO % 1.0
    return int(limits[place + 1] + offset) - int(limits[place] + offset)


def _target_sum(bounds, place, capacity):
    return sum(
        _share(bounds[slots, services], place, index)
        for index, (_, slots, services) in enumerate(capacity)
    )


def _shrink(book, now, nodes, over, bounds, capacity):
    """Returns reduced grants for nodes that hold more than their share."""
    shrunk = []
    for node in sorted(over):
        if node not in book.wants:
            continue
        if now - book.shrunk_at.get(node, 0) < SHRINK_INTERVAL_MS:
            continue
        place = nodes.index(node)
        smaller = {}
        reduced = False
        for index, (worker, slots, services) in enumerate(capacity):
            holding = book.holdings[worker].get(node)
            if holding is None or not holding.grants:
                continue
            count = holding.grants[-1][1]
            target = _share(bounds[slots, services], place, index)
            if count > target:
                reduced = True
                count = target
            if count:
                smaller[worker] = count
        if not reduced:
            continue
        book.shrunk_at[node] = now
        book.seq += 1
        for worker, _, _ in capacity:
            holding = book.holdings[worker].get(node)
            if holding is None or not holding.grants:
                continue
            expiry = holding.grants[-1][2]
            grant_now = (book.seq, smaller.get(worker, 0), expiry)
            holding.grants.append(grant_now)
        shrunk.append((node, book.seq, smaller))
    return shrunk
