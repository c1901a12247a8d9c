"""Which node owns which partition, by leases in the table.

Every transaction of this module checks and writes this node's own lease row,
and at most one is in flight. A send that was delayed therefore either commits
before the next one, which then sees a conflict, or never.

A node counts its own lease as held from the moment it queued the renewal, and
for a tenth less than the lease lasts. An observer counts from the moment it
saw the row change. The lease thus ends at its holder before anyone may fence
it, as long as clocks run at rates within a tenth of each other.
"""

from collections.abc import Callable

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import membership
from skylarklug import partitions as partitions_lib
from skylarklug import table

RENEWALS_PER_LEASE = 3
RENEWAL_DEADLINE_MS = 4_000
POLL_INTERVAL_MS = 1_000
# Time without successful polls is not observed: an outage of the table must
# not make every lease look expired when it ends.
OBSERVED_GAP_MS = 2_000
# Wait after the start before partitions are claimed, so that nodes that start
# together know each other.
SETTLE_MS = 3_000
BALANCE_INTERVAL_MS = 10_000
RETRY_MS = 200
RELEASE_ATTEMPTS = 3

OwnershipState = partitions_lib.OwnershipState
epoch_of = partitions_lib.epoch_of
list_partitions = partitions_lib.list_partitions
mode = partitions_lib.mode
names = partitions_lib.names
owner_of = partitions_lib.owner_of
score = partitions_lib.score
table_version = partitions_lib.table_version


def new_state() -> OwnershipState:
    """Returns the state of a node without a lease."""
    return OwnershipState()


# -------------------------------------------------------------------- lease


def _transact(state, effects, checks=(), writes=(), *, lease_state="held"):
    """Renews the lease together with other changes of ownership."""
    own = state.domains["ownership"]
    sent_at = state.now
    own.busy = True
    interval_ms = partitions_lib.lease_ms(state) // RENEWALS_PER_LEASE
    jitter_ms = state.rng.randint(0, interval_ms // 10)
    own.renew_at = state.now + interval_ms - jitter_ms
    checks = (effects_lib.Check(f"node/{state.node}", own.version), *checks)
    writes = (partitions_lib.lease_row(state, lease_state), *writes)

    def done(state, effects, result):
        own.busy = False
        own.answered_at = state.now
        if result.status == "committed":
            _on_committed(state, effects, result, sent_at, writes)
        elif result.status == "conflict":
            _on_conflict(state, effects, result, sent_at)
        else:
            _on_unavailable(state, effects, sent_at)
        if own.release is not None:
            _release(state, effects)

    table.commit(
        state,
        effects,
        checks,
        writes,
        done,
        deadline_ms=RENEWAL_DEADLINE_MS,
        urgent=True,
    )


def _resume(own, sent_at):
    """Ends a suspension when an exchange sent after it was answered."""
    if own.suspended and sent_at >= own.resumed_at:
        own.suspended = False


def _on_committed(state, effects, result, sent_at, writes):
    own = state.domains["ownership"]
    own.version = result.version
    own.table_unavailable = False
    _resume(own, sent_at)
    for write in writes:
        if write.key.startswith("partition/"):
            row = events.Row(write.key, result.version, write.value)
            partitions_lib.apply_partition_row(state, row)
    if own.release is not None and writes[0].value["state"] == "released":
        _released(state, effects, result)
        return
    own.has_lease = True
    own.renewed_at = sent_at
    own.held_until = sent_at + partitions_lib.lease_ms(state) * 9 // 10
    if own.settled_at == 0:
        own.settled_at = state.now + SETTLE_MS
    _announce(state)
    state.raise_event(events.LeaseChecked(state.now, own.held_until))
    if state.now >= own.held_until:
        own.renew_at = state.now
    elif own.recheck:
        # A poll that was answered during this transaction decided nothing.
        _decide(state, effects)


def _announce(state):
    """Raises PartitionAcquired for claims that a held lease covers."""
    own = state.domains["ownership"]
    if mode(state) != "held" or own.stopping:
        return
    for name in sorted(own.claimed):
        epoch, taken_over = own.claimed[name]
        if own.owned.get(name) == epoch:
            continue
        own.owned[name] = epoch
        state.raise_event(
            events.PartitionAcquired(state.now, name, epoch, taken_over)
        )


def _on_conflict(state, effects, result, sent_at):
    own = state.domains["ownership"]
    own.conflicts += 1
    _resume(own, sent_at)
    own.poll_at = state.now
    own.renew_at = state.now + state.rng.randint(0, RETRY_MS)
    for row in result.rows:
        if row.key.startswith("partition/"):
            partitions_lib.apply_partition_row(state, row)
    mine = [row for row in result.rows if row.key == f"node/{state.node}"]
    if not mine:
        return
    value = mine[0].value or {}
    ours = value.get("incarnation") == own.incarnation
    if ours and value.get("state") == "held":
        # An earlier transaction took effect although it was not answered.
        own.version = mine[0].version
        partitions_lib.drop_unannounced_claims(state)
        return
    _lose_lease(state, effects, mine[0])


def _lose_lease(state, effects, row):
    own = state.domains["ownership"]
    value = row.value or {}
    fenced_by = value.get("fenced_by", "")
    if own.has_lease:
        fields = {"step": "lease", "peer": fenced_by, "version": row.version}
        effects.append(effects_lib.Log("warning", "lease-lost", fields))
    own.has_lease = False
    own.held_until = 0
    own.version = row.version
    # Partition rows that name the old incarnation no longer name this node.
    seen = value.get("incarnation", 0)
    own.incarnation = max(own.incarnation, seen) + 1
    own.claimed.clear()
    for name in list(own.owned):
        partitions_lib.drop_partition(state, name, "fenced")
    state.raise_event(events.LeaseChecked(state.now, 0))


def _on_unavailable(state, effects, sent_at):
    own = state.domains["ownership"]
    own.table_unavailable = True
    _resume(own, sent_at)
    own.renew_at = state.now + state.rng.randint(0, RETRY_MS)
    state.raise_event(events.LeaseChecked(state.now, own.held_until))


def _poll(state, effects):
    own = state.domains["ownership"]
    nodes = set(membership.known_nodes(state, state.data_centre))
    for name in names(state):
        nodes.add(owner_of(state, name))
    nodes.discard("")
    keys = tuple(f"node/{node}" for node in sorted(nodes))
    if keys != own.poll_keys:
        own.poll_keys = keys
        own.poll_version = 0

    def done(state, effects, result):
        own.polling = False
        if result.status != "read":
            return
        _on_polled(state, effects, result, sent_at)

    sent_at = state.now
    own.polling = True
    table.read(
        state,
        effects,
        keys,
        ("partition/",),
        done,
        after_version=own.poll_version,
        deadline_ms=RENEWAL_DEADLINE_MS,
        urgent=True,
    )


def _on_polled(state, effects, result, sent_at):
    own = state.domains["ownership"]
    gap_ms = state.now - own.polled_at if own.polled_at >= 0 else 0
    first = own.polled_at < 0
    own.polled_at = state.now
    own.poll_version = result.version
    for lease in own.leases.values():
        lease.unchanged_ms += min(gap_ms, OBSERVED_GAP_MS)
    for row in result.rows:
        if row.key.startswith("node/"):
            partitions_lib.apply_lease_row(state, row)
        if row.key == f"node/{state.node}" and _is_fenced(own, row):
            _lose_lease(state, effects, row)
    for row in result.rows:
        if row.key.startswith("partition/"):
            partitions_lib.apply_partition_row(state, row)
    if first:
        _start_lease(state)
    if not own.busy and sent_at >= own.answered_at:
        partitions_lib.restore_claims(state)
    if own.claimed.keys() - own.owned.keys():
        # The answer to a claim was lost; a held lease must cover it.
        own.renew_at = state.now
    _decide(state, effects)


def _is_fenced(own, row):
    value = row.value or {}
    ours = value.get("incarnation") == own.incarnation
    is_held = ours and value.get("state") == "held"
    return own.has_lease and row.version > own.version and not is_held


def _start_lease(state):
    """Takes the lease row over from an earlier start of this node."""
    own = state.domains["ownership"]
    former = own.leases.get(state.node)
    if former is not None:
        own.version = former.version
        own.incarnation = max(own.incarnation, former.incarnation + 1)
    own.renew_at = state.now


# ---------------------------------------------------------------- decisions


def _decide(state, effects):
    own = state.domains["ownership"]
    own.recheck = own.busy
    if own.busy or own.stopping or mode(state) != "held":
        return
    everyone = membership.known_nodes(state, state.data_centre)
    present = membership.live_nodes(state, state.data_centre)
    if state.now < own.settled_at and len(present) < len(everyone):
        return
    nodes = partitions_lib.candidates(state)
    partitions = names(state)
    limit = -(-len(partitions) // len(nodes))
    loads = dict.fromkeys(nodes, 0)
    vacant = []
    for name in partitions:
        row = own.partitions.setdefault(name, partitions_lib.PartitionView())
        if partitions_lib.has_valid_owner(state, row):
            row.vacant_at = -1
            loads[row.owner] = loads.get(row.owner, 0) + 1
            continue
        if row.vacant_at < 0:
            row.vacant_at = state.now
        vacant.append(name)
    claims = partitions_lib.choose_claims(state, nodes, loads, limit, vacant)
    if claims:
        _claim(state, effects, claims)
    elif not vacant and state.now >= own.balance_at:
        _balance(state, effects, nodes, loads, limit)


def _claim(state, effects, claims):
    own = state.domains["ownership"]
    checks = []
    writes = []
    fenced = set()
    for name in claims:
        row = own.partitions[name]
        key = f"partition/{name}"
        checks.append(effects_lib.Check(key, row.version))
        write = partitions_lib.partition_row(
            name, state.node, own.incarnation, row.epoch + 1
        )
        write.value["taken_over"] = bool(row.owner)
        writes.append(write)
        lease = own.leases.get(row.owner)
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
    _transact(state, effects, checks, writes)


def _balance(state, effects, nodes, loads, limit):
    """Hands one partition over when this node owns more than its share."""
    own = state.domains["ownership"]
    mine = sorted(own.owned, key=lambda name: score(name, state.node))
    least = min(loads[node] for node in nodes)
    if len(mine) <= limit or least > len(mine) - 2:
        return
    own.balance_at = state.now + BALANCE_INTERVAL_MS
    name = mine[0]
    row = own.partitions[name]
    partitions_lib.drop_partition(state, name, "balance")
    _transact(
        state,
        effects,
        (effects_lib.Check(f"partition/{name}", row.version),),
        (partitions_lib.partition_row(name, "", 0, row.epoch),),
    )


# ------------------------------------------------------------------ release


def release_all(state, effects: list, done: Callable):
    """Releases all partitions and the lease, and tells the peers.

    `done(state, effects, result)` gets a `table.Result`. From the call on
    this node acts for no partition, whatever the result.
    """
    own = state.domains["ownership"]
    own.stopping = True
    own.release = done
    own.release_attempts = 0
    own.released = sorted(own.owned)
    for name in list(own.owned):
        partitions_lib.drop_partition(state, name, "stop")
    if not own.busy:
        _release(state, effects)


def _release(state, effects):
    own = state.domains["ownership"]
    own.release_attempts += 1
    if not own.has_lease or own.release_attempts > RELEASE_ATTEMPTS:
        _released(state, effects, table.Result("unavailable", 0, ()))
        return
    checks = []
    writes = []
    for name in sorted(own.partitions):
        row = own.partitions[name]
        if (row.owner, row.incarnation) != (state.node, own.incarnation):
            continue
        checks.append(effects_lib.Check(f"partition/{name}", row.version))
        writes.append(partitions_lib.partition_row(name, "", 0, row.epoch))
    _transact(state, effects, checks, writes, lease_state="released")


def _released(state, effects, result):
    own = state.domains["ownership"]
    done = own.release
    own.release = None
    own.has_lease = False
    own.held_until = 0
    membership.announce_leave(state, effects, own.released)
    done(state, effects, result)


# ----------------------------------------------------------------- handlers


def _on_started(state, event, effects):
    state.domains["ownership"] = own = OwnershipState()
    own.incarnation = state.incarnation
    own.last_tick = state.now
    own.poll_at = state.now


def _on_tick(state, event, effects):
    own = state.domains["ownership"]
    gap_ms = state.now - own.last_tick
    if (
        gap_ms > partitions_lib.MAX_TICK_GAP_MS
        and own.has_lease
        and state.now >= own.held_until
    ):
        own.suspended = True
        own.resumed_at = state.now
        own.renew_at = state.now
    own.last_tick = state.now
    if state.now >= own.poll_at and not own.polling:
        own.poll_at = state.now + POLL_INTERVAL_MS
        _poll(state, effects)
    due = state.now >= own.renew_at and own.polled_at >= 0
    if due and not own.busy and not own.stopping:
        _transact(state, effects)


def _on_message(state, event, effects):
    if event.body.get("kind") == "leave":
        state.domains["ownership"].poll_at = state.now


HANDLERS = {
    events.NodeStarted: _on_started,
    events.Tick: _on_tick,
    events.PeerMessage: _on_message,
}
