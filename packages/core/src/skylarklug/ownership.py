"""Ownership of partitions by nodes, based on leases in the table.

Every transaction of this module checks and writes this node's own lease row,
and at most one transaction is in flight. A delayed send therefore either
commits before the next one, which then gets a conflict, or never commits.

The holder of a lease measures its duration from the time at which it queued
the renewal, and shortens it by a tenth. Other nodes measure it from the time
at which they saw the row change. The lease therefore expires at its holder
before another node may fence it, as long as the rates of their clocks differ
by less than a tenth.
"""

from collections.abc import Callable

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import membership
from skylarklug import partitions as partitions_lib
from skylarklug import table

# Renewals during the time of one lease.
RENEWALS_PER_LEASE = 3
# Time limit of a renewal or poll, including its retries.
RENEWAL_DEADLINE_MS = 4_000
# Interval between polls of the lease rows and partition rows.
POLL_INTERVAL_MS = 1_000
# Limit of the time between two successful polls that counts towards the expiry
# of another node's lease. Without it, all leases would appear expired at the
# end of a table outage.
MAX_OBSERVED_GAP_MS = 2_000
# Time after the first renewal during which partitions are claimed only if all
# known nodes are live, so that nodes that start together discover each other
# first.
STARTUP_WAIT_MS = 3_000
# Minimum time between two partitions that a node hands over for balance.
BALANCE_INTERVAL_MS = 10_000
# Upper limit of the random delay before a failed renewal is repeated.
RETRY_JITTER_MS = 200
# Attempts to release the lease before the node stops without a release.
RELEASE_ATTEMPTS = 3

OwnershipState = partitions_lib.OwnershipState
epoch_of = partitions_lib.epoch_of
list_partitions = partitions_lib.list_partitions
mode = partitions_lib.mode
local_partitions = partitions_lib.local_partitions
owner_of = partitions_lib.owner_of
score = partitions_lib.score
table_version = partitions_lib.table_version


def new_state() -> OwnershipState:
    """Returns the initial state, without a lease."""
    return OwnershipState()


# -------------------------------------------------------------------- lease


def _renew_lease(state, effects, checks=(), writes=(), *, lease_state="held"):
    """Renews the lease, together with other ownership changes if given."""
    domain = state.domains["ownership"]
    sent_at = state.now
    domain.commit_pending = True
    interval_ms = partitions_lib.lease_ms(state) // RENEWALS_PER_LEASE
    jitter_ms = state.rng.randint(0, interval_ms // 10)
    domain.renew_at = state.now + interval_ms - jitter_ms
    checks = (effects_lib.Check(f"node/{state.node}", domain.version), *checks)
    writes = (partitions_lib.lease_row(state, lease_state), *writes)

    def on_result(state, effects, result):
        domain.commit_pending = False
        domain.answered_at = state.now
        if result.status == "committed":
            _on_committed(state, effects, result, sent_at, writes)
        elif result.status == "conflict":
            _on_conflict(state, effects, result, sent_at)
        else:
            _on_unavailable(state, effects, sent_at)
        if domain.on_released is not None:
            _release(state, effects)

    table.commit(
        state,
        effects,
        checks,
        writes,
        on_result,
        deadline_ms=RENEWAL_DEADLINE_MS,
        urgent=True,
    )


def _end_suspension(domain, sent_at):
    """Ends a suspension if the answered operation was sent after the pause."""
    if domain.suspended and sent_at >= domain.resumed_at:
        domain.suspended = False


def _on_committed(state, effects, result, sent_at, writes):
    domain = state.domains["ownership"]
    domain.version = result.version
    domain.table_unavailable = False
    _end_suspension(domain, sent_at)
    for write in writes:
        if write.key.startswith("partition/"):
            row = events.Row(write.key, result.version, write.value)
            partitions_lib.apply_partition_row(state, row)
    if (
        domain.on_released is not None
        and writes[0].value["state"] == "released"
    ):
        _finish_release(state, effects, result)
        return
    domain.has_lease = True
    domain.renewed_at = sent_at
    domain.held_until = sent_at + partitions_lib.lease_ms(state) * 9 // 10
    if domain.startup_wait_until == 0:
        domain.startup_wait_until = state.now + STARTUP_WAIT_MS
    _raise_acquired(state)
    state.raise_event(events.LeaseChecked(state.now, domain.held_until))
    if state.now >= domain.held_until:
        domain.renew_at = state.now
    elif domain.claims_deferred:
        # A poll was answered during this transaction, when no claim could be
        # made.
        _claim_or_balance(state, effects)


def _raise_acquired(state):
    """Raises PartitionAcquired for new claims while the lease is held."""
    domain = state.domains["ownership"]
    if mode(state) != "held" or domain.stopping:
        return
    for name in sorted(domain.claimed):
        epoch, taken_over = domain.claimed[name]
        if domain.owned.get(name) == epoch:
            continue
        domain.owned[name] = epoch
        state.raise_event(
            events.PartitionAcquired(state.now, name, epoch, taken_over)
        )


def _on_conflict(state, effects, result, sent_at):
    domain = state.domains["ownership"]
    domain.conflicts += 1
    _end_suspension(domain, sent_at)
    domain.poll_at = state.now
    domain.renew_at = state.now + state.rng.randint(0, RETRY_JITTER_MS)
    for row in result.rows:
        if row.key.startswith("partition/"):
            partitions_lib.apply_partition_row(state, row)
    own_rows = [row for row in result.rows if row.key == f"node/{state.node}"]
    if not own_rows:
        return
    value = own_rows[0].value or {}
    is_own_incarnation = value.get("incarnation") == domain.incarnation
    if is_own_incarnation and value.get("state") == "held":
        # An earlier transaction was committed, but its answer was lost.
        domain.version = own_rows[0].version
        partitions_lib.discard_unannounced_claims(state)
        return
    _mark_lease_lost(state, effects, own_rows[0])


def _mark_lease_lost(state, effects, row):
    domain = state.domains["ownership"]
    value = row.value or {}
    fenced_by = value.get("fenced_by", "")
    if domain.has_lease:
        fields = {"step": "lease", "peer": fenced_by, "version": row.version}
        effects.append(effects_lib.Log("warning", "lease-lost", fields))
    domain.has_lease = False
    domain.held_until = 0
    domain.version = row.version
    # With a new incarnation, partition rows that contain the old one no longer
    # make this node their owner.
    row_incarnation = value.get("incarnation", 0)
    domain.incarnation = max(domain.incarnation, row_incarnation) + 1
    domain.claimed.clear()
    for name in list(domain.owned):
        partitions_lib.relinquish_partition(state, name, "fenced")
    state.raise_event(events.LeaseChecked(state.now, 0))


def _on_unavailable(state, effects, sent_at):
    domain = state.domains["ownership"]
    domain.table_unavailable = True
    _end_suspension(domain, sent_at)
    domain.renew_at = state.now + state.rng.randint(0, RETRY_JITTER_MS)
    state.raise_event(events.LeaseChecked(state.now, domain.held_until))


def _poll(state, effects):
    domain = state.domains["ownership"]
    nodes = set(membership.known_nodes(state, state.data_centre))
    for name in local_partitions(state):
        nodes.add(owner_of(state, name))
    nodes.discard("")
    keys = tuple(f"node/{node}" for node in sorted(nodes))
    if keys != domain.poll_keys:
        domain.poll_keys = keys
        domain.poll_version = 0

    def on_result(state, effects, result):
        domain.polling = False
        if result.status != "read":
            return
        _on_polled(state, effects, result, sent_at)

    sent_at = state.now
    domain.polling = True
    table.read(
        state,
        effects,
        keys,
        ("partition/",),
        on_result,
        after_version=domain.poll_version,
        deadline_ms=RENEWAL_DEADLINE_MS,
        urgent=True,
    )


def _on_polled(state, effects, result, sent_at):
    domain = state.domains["ownership"]
    gap_ms = state.now - domain.polled_at if domain.polled_at >= 0 else 0
    is_first_poll = domain.polled_at < 0
    domain.polled_at = state.now
    domain.poll_version = result.version
    for lease in domain.leases.values():
        lease.unchanged_ms += min(gap_ms, MAX_OBSERVED_GAP_MS)
    for row in result.rows:
        if row.key.startswith("node/"):
            partitions_lib.apply_lease_row(state, row)
        if row.key == f"node/{state.node}" and _is_fenced(domain, row):
            _mark_lease_lost(state, effects, row)
    for row in result.rows:
        if row.key.startswith("partition/"):
            partitions_lib.apply_partition_row(state, row)
    if is_first_poll:
        _adopt_former_lease(state)
    if not domain.commit_pending and sent_at >= domain.answered_at:
        partitions_lib.restore_claims(state)
    if domain.claimed.keys() - domain.owned.keys():
        # The answer to a claim was lost. The partition is acquired only after
        # the next successful renewal.
        domain.renew_at = state.now
    _claim_or_balance(state, effects)


def _is_fenced(domain, row):
    value = row.value or {}
    is_own_incarnation = value.get("incarnation") == domain.incarnation
    is_held = is_own_incarnation and value.get("state") == "held"
    return domain.has_lease and row.version > domain.version and not is_held


def _adopt_former_lease(state):
    """Continues from the lease row of an earlier start of this node."""
    domain = state.domains["ownership"]
    former = domain.leases.get(state.node)
    if former is not None:
        domain.version = former.version
        domain.incarnation = max(domain.incarnation, former.incarnation + 1)
    domain.renew_at = state.now


# ------------------------------------------------------- claims and balance


def _claim_or_balance(state, effects):
    domain = state.domains["ownership"]
    domain.claims_deferred = domain.commit_pending
    if domain.commit_pending or domain.stopping or mode(state) != "held":
        return
    known_nodes = membership.known_nodes(state, state.data_centre)
    live_nodes = membership.live_nodes(state, state.data_centre)
    if state.now < domain.startup_wait_until and len(live_nodes) < len(
        known_nodes
    ):
        return
    nodes = partitions_lib.candidates(state)
    partitions = local_partitions(state)
    max_owned = -(-len(partitions) // len(nodes))
    owned_counts = dict.fromkeys(nodes, 0)
    vacant = []
    for name in partitions:
        row = domain.partitions.setdefault(name, partitions_lib.PartitionView())
        if partitions_lib.has_valid_owner(state, row):
            row.vacant_at = -1
            owned_counts[row.owner] = owned_counts.get(row.owner, 0) + 1
            continue
        if row.vacant_at < 0:
            row.vacant_at = state.now
        vacant.append(name)
    claims = partitions_lib.choose_claims(
        state, nodes, owned_counts, max_owned, vacant
    )
    if claims:
        _claim(state, effects, claims)
    elif not vacant and state.now >= domain.balance_at:
        _balance(state, effects, nodes, owned_counts, max_owned)


def _claim(state, effects, claims):
    domain = state.domains["ownership"]
    checks = []
    writes = []
    fenced = set()
    for name in claims:
        row = domain.partitions[name]
        key = f"partition/{name}"
        checks.append(effects_lib.Check(key, row.version))
        write = partitions_lib.partition_row(
            name, state.node, domain.incarnation, row.epoch + 1
        )
        write.value["taken_over"] = bool(row.owner)
        writes.append(write)
        lease = domain.leases.get(row.owner)
        must_fence = (
            row.owner not in ("", state.node)
            and row.owner not in fenced
            and lease is not None
            and lease.state == "held"
            and lease.incarnation == row.incarnation
        )
        if not must_fence:
            continue
        fenced.add(row.owner)
        key = f"node/{row.owner}"
        checks.append(effects_lib.Check(key, lease.version))
        value = {
            "node": row.owner,
            "incarnation": lease.incarnation,
            "state": "fenced",
            "data_centre": state.data_centre,
            "region": state.region,
            "fenced_by": state.node,
        }
        writes.append(effects_lib.Write(key, value))
    fields = {"step": "claim", "partitions": claims, "fenced": sorted(fenced)}
    effects.append(effects_lib.Log("info", "claim", fields))
    _renew_lease(state, effects, checks, writes)


def _balance(state, effects, nodes, owned_counts, max_owned):
    """Releases one partition if this node owns more than its share.

    It does so only if another node owns at least two partitions fewer.
    """
    domain = state.domains["ownership"]
    own_partitions = sorted(
        domain.owned, key=lambda name: score(name, state.node)
    )
    lowest_load = min(owned_counts[node] for node in nodes)
    if (
        len(own_partitions) <= max_owned
        or lowest_load > len(own_partitions) - 2
    ):
        return
    domain.balance_at = state.now + BALANCE_INTERVAL_MS
    name = own_partitions[0]
    row = domain.partitions[name]
    partitions_lib.relinquish_partition(state, name, "balance")
    _renew_lease(
        state,
        effects,
        (effects_lib.Check(f"partition/{name}", row.version),),
        (partitions_lib.partition_row(name, "", 0, row.epoch),),
    )


# ------------------------------------------------------------------ release


def release_all(state, effects: list, on_done: Callable):
    """Releases all partitions and the lease, and informs the peers.

    `on_done(state, effects, result)` is called with a `table.Result`. This node
    stops acting for its partitions immediately, whatever the result.
    """
    domain = state.domains["ownership"]
    domain.stopping = True
    domain.on_released = on_done
    domain.release_attempts = 0
    domain.released = sorted(domain.owned)
    for name in list(domain.owned):
        partitions_lib.relinquish_partition(state, name, "stop")
    if not domain.commit_pending:
        _release(state, effects)


def _release(state, effects):
    domain = state.domains["ownership"]
    domain.release_attempts += 1
    if not domain.has_lease or domain.release_attempts > RELEASE_ATTEMPTS:
        _finish_release(state, effects, table.Result("unavailable", 0, ()))
        return
    checks = []
    writes = []
    for name in sorted(domain.partitions):
        row = domain.partitions[name]
        if (row.owner, row.incarnation) != (state.node, domain.incarnation):
            continue
        checks.append(effects_lib.Check(f"partition/{name}", row.version))
        writes.append(partitions_lib.partition_row(name, "", 0, row.epoch))
    _renew_lease(state, effects, checks, writes, lease_state="released")


def _finish_release(state, effects, result):
    domain = state.domains["ownership"]
    on_done = domain.on_released
    domain.on_released = None
    domain.has_lease = False
    domain.held_until = 0
    membership.announce_leave(state, effects, domain.released)
    on_done(state, effects, result)


# ----------------------------------------------------------------- handlers


def _on_started(state, event, effects):
    state.domains["ownership"] = domain = OwnershipState()
    domain.incarnation = state.incarnation
    domain.last_tick = state.now
    domain.poll_at = state.now


def _on_tick(state, event, effects):
    domain = state.domains["ownership"]
    gap_ms = state.now - domain.last_tick
    if (
        gap_ms > partitions_lib.MAX_TICK_GAP_MS
        and domain.has_lease
        and state.now >= domain.held_until
    ):
        domain.suspended = True
        domain.resumed_at = state.now
        domain.renew_at = state.now
    domain.last_tick = state.now
    if state.now >= domain.poll_at and not domain.polling:
        domain.poll_at = state.now + POLL_INTERVAL_MS
        _poll(state, effects)
    is_renewal_due = state.now >= domain.renew_at and domain.polled_at >= 0
    if is_renewal_due and not domain.commit_pending and not domain.stopping:
        _renew_lease(state, effects)


def _on_message(state, event, effects):
    if event.body.get("kind") == "leave":
        state.domains["ownership"].poll_at = state.now


HANDLERS = {
    events.NodeStarted: _on_started,
    events.Tick: _on_tick,
    events.PeerMessage: _on_message,
}
