"""Partitions and node leases as this node sees them, and the choice of claims.

This module maintains the view and makes the decisions; `ownership` reads and
writes the table.
"""

from collections.abc import Callable
from typing import Any

import xxhash

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import membership

# Default duration of a node lease.
NODE_LEASE_MS = 15_000
# Default time since the last renewal for which a detached node keeps renewing
# the leases of its workers.
DETACH_LIMIT_MS = 900_000
# A longer gap between ticks counts as a pause of the process.
MAX_TICK_GAP_MS = 1_000
# A node delays its claim by this time for each live node that is preferred.
CLAIM_DELAY_MS = 2_000


class NodeLease:
    """The lease row of a node as last read by this node.

    `unchanged_ms` is the time for which its version has not changed.
    """

    __slots__ = ("version", "incarnation", "state", "unchanged_ms")

    def __init__(self, version, incarnation, state):
        self.version = version
        self.incarnation = incarnation
        self.state = state
        self.unchanged_ms = 0


class PartitionView:
    """A partition row as last read by this node.

    `owner` is "" after a release. `vacant_at` is the time at which the
    partition was first observed without a valid owner, or -1.
    """

    __slots__ = ("version", "owner", "incarnation", "epoch", "vacant_at")

    def __init__(self):
        self.version = 0
        self.owner = ""
        self.incarnation = 0
        self.epoch = 0
        self.vacant_at = -1


class OwnershipState:
    """This node's lease and partitions, and the rows of other nodes.

    `commit_pending` is set while a transaction is in flight, and
    `claims_deferred` if a poll was answered during that time.
    """

    def __init__(self):
        self.version = 0
        self.incarnation = 0
        self.held_until = 0
        self.renewed_at = 0
        self.has_lease = False
        self.table_unavailable = False
        self.suspended = False
        self.resumed_at = 0
        self.commit_pending = False
        self.answered_at = 0
        self.claims_deferred = False
        self.renew_at = 0
        self.startup_wait_until = 0
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
        self.on_released: Callable | None = None
        self.release_attempts = 0
        self.released: list[str] = []
        self.conflicts = 0


def epoch_of(state, partition: str) -> int:
    """Returns the epoch held by this node, or 0 if it is not the owner."""
    return state.domains["ownership"].owned.get(partition, 0)


def owner_of(state, partition: str) -> str:
    """Returns the node last known as the owner, or ""."""
    row = state.domains["ownership"].partitions.get(partition)
    return row.owner if row is not None else ""


def mode(state) -> str:
    """Returns what this node may do for the partitions that it owns.

    "held": everything. "detached": the lease has expired because the table
    does not answer; running tasks are renewed and stopped, but none is
    started. "suspended": nothing, because there is no lease, or the lease
    expired during a pause of the process, or the node has been detached for
    longer than the limit.
    """
    domain = state.domains["ownership"]
    if not domain.has_lease or domain.suspended:
        return "suspended"
    if state.now < domain.held_until:
        return "held"
    if (
        state.now - domain.last_tick > MAX_TICK_GAP_MS
        or not domain.table_unavailable
    ):
        return "suspended"
    limit_ms = state.settings.get("detach_limit_ms", DETACH_LIMIT_MS)
    if state.now - domain.renewed_at < limit_ms:
        return "detached"
    return "suspended"


def table_version(state) -> int:
    """Returns the table version at the last poll."""
    return state.domains["ownership"].poll_version


def list_partitions(state) -> list[dict[str, Any]]:
    """Returns one row per partition for the query language."""
    domain = state.domains["ownership"]
    rows = []
    for name in sorted(domain.partitions):
        row = domain.partitions[name]
        fields = {
            "partition": name,
            "data_centre": name.rpartition("/")[0],
            "owner": row.owner,
            "epoch": row.epoch,
            "version": row.version,
            "mode": mode(state) if name in domain.owned else "",
        }
        rows.append(fields)
    return rows


def local_partitions(state) -> list[str]:
    """Returns the partitions of this node's data centre."""
    count = state.settings.get("partitions", 1)
    if not isinstance(count, int):
        count = count.get(state.data_centre, 1)
    return [f"{state.data_centre}/{index}" for index in range(count)]


def score(partition: str, node: str) -> int:
    """Returns the rendezvous hash; the node with the highest one wins."""
    return xxhash.xxh64_intdigest(f"{partition}|{node}".encode())


def lease_ms(state) -> int:
    """Returns how long a node lease lasts."""
    return state.settings.get("node_lease_ms", NODE_LEASE_MS)


def lease_row(state, lease_state: str) -> effects_lib.Write:
    """Returns the write of this node's lease row."""
    domain = state.domains["ownership"]
    value = {
        "node": state.node,
        "incarnation": domain.incarnation,
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


def relinquish_partition(state, name: str, reason: str):
    """Ends the ownership of a partition before any further effect for it."""
    domain = state.domains["ownership"]
    domain.claimed.pop(name, None)
    if domain.owned.pop(name, None) is not None:
        state.raise_event(events.PartitionLost(state.now, name, reason))


def apply_partition_row(state, row):
    """Updates the view with a partition row if it is newer."""
    domain = state.domains["ownership"]
    name = row.key.removeprefix("partition/")
    view = domain.partitions.setdefault(name, PartitionView())
    if row.version <= view.version:
        return
    value = row.value or {}
    previous_owner = view.owner
    view.version = row.version
    view.owner = value.get("owner", "")
    view.incarnation = value.get("incarnation", 0)
    view.epoch = value.get("epoch", view.epoch)
    is_own = (view.owner, view.incarnation) == (state.node, domain.incarnation)
    if is_own and not domain.stopping:
        taken_over = bool(value.get("taken_over", previous_owner))
        domain.claimed[name] = (view.epoch, taken_over)
    else:
        relinquish_partition(state, name, "another owner")


def discard_unannounced_claims(state):
    """Discards unannounced claims, which a late release may have ended.

    The next poll restores the claims that are still in the table.
    """
    domain = state.domains["ownership"]
    for name in list(domain.claimed):
        if name not in domain.owned:
            del domain.claimed[name]


def restore_claims(state):
    """Claims partitions whose rows still name this node.

    A hand-over that did not take effect leaves such a row. The caller ensures
    that no transaction of this node was pending during the poll.
    """
    domain = state.domains["ownership"]
    if domain.stopping:
        return
    for name, row in domain.partitions.items():
        is_own = (row.owner, row.incarnation) == (
            state.node,
            domain.incarnation,
        )
        if is_own and name not in domain.claimed:
            domain.claimed[name] = (row.epoch, True)


def apply_lease_row(state, row):
    """Updates the view with a lease row if it is newer."""
    domain = state.domains["ownership"]
    node = row.key.removeprefix("node/")
    value = row.value
    if value is None:
        domain.leases.pop(node, None)
        return
    known_lease = domain.leases.get(node)
    if known_lease is None or known_lease.version < row.version:
        domain.leases[node] = NodeLease(
            row.version, value["incarnation"], value["state"]
        )


def has_valid_owner(state, row):
    """Returns whether the owner of a partition row still holds its lease."""
    domain = state.domains["ownership"]
    if not row.owner:
        return False
    if row.owner == state.node:
        return row.incarnation == domain.incarnation
    lease = domain.leases.get(row.owner)
    if lease is None or lease.state != "held":
        return False
    if lease.incarnation != row.incarnation:
        return False
    return lease.unchanged_ms < lease_ms(state)


def candidates(state):
    """Returns the live nodes of the data centre that hold a valid lease.

    This node needs none to be counted.
    """
    domain = state.domains["ownership"]
    nodes = []
    for node in membership.live_nodes(state, state.data_centre):
        lease = domain.leases.get(node)
        usable = lease is not None and lease.state == "held"
        if node == state.node or (
            usable and lease.unchanged_ms < lease_ms(state)
        ):
            nodes.append(node)
    return nodes


def choose_claims(state, nodes, loads, limit, vacant):
    """Returns the vacant partitions that this node claims now.

    Nodes are preferred by whether they are below the limit, then by
    rendezvous hash, so nodes with the same view agree. The others claim
    after a delay, in case the preferred node does not.
    """
    domain = state.domains["ownership"]
    claims = []
    for name in vacant:
        preference = sorted(
            nodes,
            key=lambda node: (loads[node] >= limit, -score(name, node)),
        )
        loads[preference[0]] += 1
        waited_ms = state.now - domain.partitions[name].vacant_at
        if waited_ms >= preference.index(state.node) * CLAIM_DELAY_MS:
            claims.append(name)
    return claims
