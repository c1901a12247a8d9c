"""Partitions and node leases as this node sees them, and who claims what.

Nothing here sends anything: `ownership` acts on it.
"""

from collections.abc import Callable
from typing import Any

import xxhash

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import membership

NODE_LEASE_MS = 15_000
DETACH_LIMIT_MS = 900_000
MAX_TICK_GAP_MS = 1_000
# A node waits this long for each live node that precedes it in the choice.
CLAIM_STEP_MS = 2_000


class NodeLease:
    """A lease row of a node as this node has seen it."""

    __slots__ = ("version", "incarnation", "state", "unchanged_ms")

    def __init__(self, version, incarnation, state):
        self.version = version
        self.incarnation = incarnation
        self.state = state
        self.unchanged_ms = 0


class PartitionView:
    """A partition row; `owner` is "" after a release."""

    __slots__ = ("version", "owner", "incarnation", "epoch", "vacant_at")

    def __init__(self):
        self.version = 0
        self.owner = ""
        self.incarnation = 0
        self.epoch = 0
        self.vacant_at = -1


class OwnershipState:
    """This node's lease, its partitions, and the rows of the others."""

    def __init__(self):
        self.version = 0
        self.incarnation = 0
        self.held_until = 0
        self.renewed_at = 0
        self.has_lease = False
        self.table_unavailable = False
        self.suspended = False
        self.resumed_at = 0
        self.busy = False
        self.answered_at = 0
        self.recheck = False
        self.renew_at = 0
        self.settled_at = 0
        self.balance_at = 0
        self.claimed: dict[str, int] = {}
        self.owned: dict[str, int] = {}
        self.leases: dict[str, NodeLease] = {}
        self.partitions: dict[str, PartitionView] = {}
        self.poll_keys: tuple[str, ...] = ()
        self.poll_version = 0
        self.polled_at = -1
        self.poll_at = 0
        self.polling = False
        self.last_tick = 0
        self.stopping = False
        self.release: Callable | None = None
        self.release_attempts = 0
        self.released: list[str] = []
        self.conflicts = 0


def epoch_of(state, partition: str) -> int:
    """Returns the epoch held by this node, 0 when it is not the owner."""
    return state.domains["ownership"].owned.get(partition, 0)


def owner_of(state, partition: str) -> str:
    """Returns the node last known as the owner, or ""."""
    row = state.domains["ownership"].partitions.get(partition)
    return row.owner if row is not None else ""


def mode(state) -> str:
    """Returns what this node may do for the partitions that it owns.

    "held": everything. "detached": the lease has run out because the table
    does not answer; renew and stop running tasks, start none. "suspended":
    nothing, because there is no lease, or a pause outlasted it, or the node
    has been detached for longer than the limit.
    """
    own = state.domains["ownership"]
    if not own.has_lease or own.suspended:
        return "suspended"
    if state.now < own.held_until:
        return "held"
    if state.now - own.last_tick > MAX_TICK_GAP_MS or not own.table_unavailable:
        return "suspended"
    limit_ms = state.settings.get("detach_limit_ms", DETACH_LIMIT_MS)
    if state.now - own.renewed_at < limit_ms:
        return "detached"
    return "suspended"


def table_version(state) -> int:
    """Returns the table version at the last poll."""
    return state.domains["ownership"].poll_version


def list_partitions(state) -> list[dict[str, Any]]:
    """Returns one row per partition for the query language."""
    own = state.domains["ownership"]
    rows = []
    for name in sorted(own.partitions):
        row = own.partitions[name]
        fields = {
            "partition": name,
            "data_centre": name.rpartition("/")[0],
            "owner": row.owner,
            "epoch": row.epoch,
            "version": row.version,
            "mode": mode(state) if name in own.owned else "",
        }
        rows.append(fields)
    return rows


def names(state) -> list[str]:
    """Returns the partitions of this node's data centre."""
    count = state.settings.get("partitions", 1)
    if not isinstance(count, int):
        count = count.get(state.data_centre, 1)
    return [f"{state.data_centre}/{index}" for index in range(count)]


def score(partition: str, node: str) -> int:
    """Returns the rendezvous hash; the node with the highest one is chosen."""
    return xxhash.xxh64_intdigest(f"{partition}|{node}".encode())


def lease_ms(state) -> int:
    """Returns how long a node lease lasts."""
    return state.settings.get("node_lease_ms", NODE_LEASE_MS)


def lease_row(state, lease_state: str) -> effects_lib.Write:
    """Returns the write of this node's lease row."""
    own = state.domains["ownership"]
    value = {
        "node": state.node,
        "incarnation": own.incarnation,
        "state": lease_state,
        "data_centre": state.data_centre,
        "region": state.region,
        **membership.own_addresses(state),
    }
    return effects_lib.Write(f"node/{state.node}", value)


def partition_row(name, owner, incarnation, epoch) -> effects_lib.Write:
    """Returns the write of a partition row."""
    value = {"owner": owner, "incarnation": incarnation, "epoch": epoch}
    return effects_lib.Write(f"partition/{name}", value)


def drop_partition(state, name: str, reason: str):
    """Drops a partition before any further effect for it."""
    own = state.domains["ownership"]
    own.claimed.pop(name, None)
    if own.owned.pop(name, None) is not None:
        state.raise_event(events.PartitionLost(state.now, name, reason))


def apply_partition_row(state, row):
    """Takes a newer partition row into the view."""
    own = state.domains["ownership"]
    name = row.key.removeprefix("partition/")
    view = own.partitions.setdefault(name, PartitionView())
    if row.version <= view.version:
        return
    value = row.value or {}
    former = view.owner
    view.version = row.version
    view.owner = value.get("owner", "")
    view.incarnation = value.get("incarnation", 0)
    view.epoch = value.get("epoch", view.epoch)
    mine = (view.owner, view.incarnation) == (state.node, own.incarnation)
    if mine and not own.stopping:
        taken_over = bool(value.get("taken_over", former))
        own.claimed[name] = (view.epoch, taken_over)
    else:
        drop_partition(state, name, "another owner")


def drop_unannounced_claims(state):
    """Drops claims not yet announced, as a late release may have ended them.

    The next poll restores those that the table still shows.
    """
    own = state.domains["ownership"]
    for name in list(own.claimed):
        if name not in own.owned:
            del own.claimed[name]


def restore_claims(state):
    """Claims partitions whose rows still name this node.

    A hand-over that did not take effect leaves such a row. The caller makes
    sure that no transaction of this node was under way during the poll.
    """
    own = state.domains["ownership"]
    if own.stopping:
        return
    for name, row in own.partitions.items():
        mine = (row.owner, row.incarnation) == (state.node, own.incarnation)
        if mine and name not in own.claimed:
            own.claimed[name] = (row.epoch, True)


def apply_lease_row(state, row):
    """Takes a newer lease row into the view."""
    own = state.domains["ownership"]
    node = row.key.removeprefix("node/")
    value = row.value
    if value is None:
        own.leases.pop(node, None)
        return
    known = own.leases.get(node)
    if known is None or known.version < row.version:
        own.leases[node] = NodeLease(
            row.version, value["incarnation"], value["state"]
        )


def has_valid_owner(state, row):
    """Returns whether the owner of a partition row still holds its lease."""
    own = state.domains["ownership"]
    if not row.owner:
        return False
    if row.owner == state.node:
        return row.incarnation == own.incarnation
    lease = own.leases.get(row.owner)
    if lease is None or lease.state != "held":
        return False
    if lease.incarnation != row.incarnation:
        return False
    return lease.unchanged_ms < lease_ms(state)


def candidates(state):
    """Returns live nodes of the data centre whose lease is not in doubt."""
    own = state.domains["ownership"]
    found = []
    for node in membership.live_nodes(state, state.data_centre):
        lease = own.leases.get(node)
        usable = lease is not None and lease.state == "held"
        if node == state.node or (
            usable and lease.unchanged_ms < lease_ms(state)
        ):
            found.append(node)
    return found


def choose_claims(state, nodes, loads, limit, vacant):
    """Returns the vacant partitions that this node claims now.

    Nodes below the limit come first, then by rendezvous hash. All nodes with
    the same view choose alike; the others stand in after a wait.
    """
    own = state.domains["ownership"]
    claims = []
    for name in vacant:
        order = sorted(
            nodes,
            key=lambda node: (loads[node] >= limit, -score(name, node)),
        )
        loads[order[0]] += 1
        waited_ms = state.now - own.partitions[name].vacant_at
        if waited_ms >= order.index(state.node) * CLAIM_STEP_MS:
            claims.append(name)
    return claims
