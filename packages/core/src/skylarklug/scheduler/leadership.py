"""Leader election: claims, heartbeats and release of the leadership."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import horizon
from skylarklug.scheduler import leases
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store
from skylarklug.scheduler import takeover

TABLE = "leadership"
# Keys of the rows in this table.
OWNER = "owner"
HEARTBEAT = "beat"
ROSTER = "roster"
CANDIDATE = "candidate"

# Each heartbeat costs one write, and one answer to every node that watches
# the table.
HEARTBEAT_INTERVAL_MS = 700
# Three heartbeat intervals plus the time of one slow store call.
TAKEOVER_TIMEOUT_MS = 2_400
# A leader whose heartbeats get no answer keeps sending orders for this long.
# Other commits do not count: only heartbeats delay the claims of other nodes.
# `horizon` tells for how long it renews leases.
MAX_UNCONFIRMED_MS = 6_000
# Random delay of a claim, so that nodes which detect the same silence do not
# claim at the same time.
CLAIM_JITTER_MS = 300
# A VM with this many times the capacity of another one is much larger.
MUCH_LARGER = 1.5
# Additional delay of the claims of a VM that is much smaller than the leader's,
# so that the leadership goes to a large VM if one can reach the store.
SMALL_VM_DELAY_MS = 350
# Capacity that stands for the leader's before there was one, in cores.
DEFAULT_LEADER_CAPACITY = 2.0
# For this time after a release only the successor named in it claims.
SUCCESSOR_HEAD_START_MS = 1_000
# Delay before the next claim after a claim was answered.
CLAIM_RETRY_MS = 400
# Delay of the heartbeat that confirms this leader after a worker has first
# answered.
REACHED_DELAY_MS = 30
# Delay before the next heartbeat after a failed one.
HEARTBEAT_RETRY_MS = 250
# Margin that is added to the expiry time of a lease.
LEASE_MARGIN_MS = 500
# Interval at which worker entries are read again, although nothing changed, so
# that a leader knows how old they are.
ENTRY_READ_INTERVAL_MS = 1_000
# Tables that a leader reads before its state is complete.
REQUIRED_TABLES = frozenset({"jobs", "work", "roster", "leases"})


def is_loaded(leader) -> bool:
    """Returns whether all state of former leaders has been read."""
    return leader.loaded >= REQUIRED_TABLES


def may_send_orders(state) -> bool:
    """Returns whether this node leads and may still send orders."""
    leader = state.leader
    if leader is None:
        return False
    return state.now - leader.heartbeat_at < MAX_UNCONFIRMED_MS


def orders_valid_until(state) -> int:
    """Returns until when the orders that this leader sends now are allowed."""
    return state.leader.heartbeat_at + MAX_UNCONFIRMED_MS


def machine_orders_valid_until(state) -> int:
    """Returns until when no other leader sends orders to the machine API.

    Unlike workers, that API may accept the orders of two leaders in turn. A
    leader stops sending them at the timeout of its heartbeats, and the next
    one waits for `machine_lease_ms` from then on. Returns 0 while this node
    must wait.
    """
    leader = state.leader
    if leader.epoch > 1:
        wait_ms = state.cfg.machine_lease_ms + leader.claimed_early_ms
        if state.now < leader.since + wait_ms:
            return 0
    return leader.heartbeat_at + TAKEOVER_TIMEOUT_MS


def owner_check(leader) -> fx.Check:
    """Returns the check that every commit of a leader includes."""
    return fx.Check(TABLE, OWNER, leader.owner_version)


def lease_ms(cfg) -> int:
    """Returns how long, on our clock, a lease may last after it was sent."""
    return int(cfg.max_lease_ms * (1 + leases.CLOCK_DRIFT)) + LEASE_MARGIN_MS


def record_commit(state, answer) -> None:
    """Records that a commit has confirmed this leadership."""
    leader = state.leader
    leader.confirmed_at = max(leader.confirmed_at, answer.sent_at)


def check_conflict(state, effects, answer) -> bool:
    """Steps down if a failed check shows another owner.

    Returns whether this node still leads.
    """
    leader = state.leader
    for row in answer.rows:
        if row.table != TABLE or row.key != OWNER:
            continue
        if row.version != leader.owner_version:
            if _is_mine(state, row.value):
                leader.owner_version = row.version
                continue
            step_down(state, effects, "another node took over")
            return False
    return True


def step_down(state, effects, reason):
    """Gives up the leadership and drops the leader's state."""
    leader = state.leader
    if leader is None:
        return
    state.leader = None
    for table in ("jobs", "workers"):
        effects.append(fx.UnwatchTable(table))
    fields = {"epoch": leader.epoch, "reason": reason}
    effects.append(fx.Log("warning", "leadership-lost", fields))


def _largest_capacity(state):
    """Returns the capacity of the largest VM known to have led, in cores."""
    return (state.owner or {}).get("largest", 0.0)


def _is_small(state):
    """Returns whether a much larger VM has led, or asked to lead."""
    largest = _largest_capacity(state) or DEFAULT_LEADER_CAPACITY
    return MUCH_LARGER * state.cfg.capacity <= largest


def _owner_value(state, epoch, released, successor=""):
    former = state.owner or {}
    value = {
        "node": state.cfg.node,
        "incarnation": state.cfg.incarnation,
        "epoch": epoch,
        "released": released,
        "address": state.cfg.watch_address,
        "peer_address": state.cfg.peer_address,
        "capacity": state.cfg.capacity,
        "largest": max(state.cfg.capacity, _largest_capacity(state)),
        # Leaders of earlier builds do not keep the row of leases, and do not
        # pass this field on.
        "leases_since": former.get("leases_since", epoch),
        # The same for horizons.
        "horizons_since": former.get("horizons_since", epoch),
    }
    if successor:
        value["successor"] = successor
    return value


def _is_mine(state, owner):
    return (
        owner is not None
        and owner.get("node") == state.cfg.node
        and owner.get("incarnation") == state.cfg.incarnation
        and not owner.get("released")
    )


# ------------------------------------------------------------------- claims


def _on_rows(state, event, effects):
    if event.table != TABLE:
        return
    state.leadership_read_at = state.now
    for row in event.rows:
        if row.key == OWNER and row.version > state.owner_version:
            state.owner = row.value
            state.owner_version = row.version
            state.owner_updated_at = state.now
            state.claim_due_at = 0
            _on_owner(state, effects)
        elif row.key == HEARTBEAT and row.version > state.heartbeat_version:
            _on_heartbeat(state, row)
    if event.whole and state.owner is None:
        state.owner_updated_at = state.now


def _on_heartbeat(state, row):
    state.heartbeat = row.value or {}
    state.heartbeat_version = row.version
    state.owner_updated_at = state.now
    leader = state.leader
    if leader is None or state.heartbeat.get("epoch") != leader.epoch:
        return
    sent = leader.sent_heartbeats.get(state.heartbeat.get("number"))
    if sent is not None:
        # The answer to its commit may get lost.
        _confirm(leader, *sent)


def _confirm(leader, sent_at, leases_from):
    """Notes that the store has a heartbeat that was sent at a time."""
    leader.confirmed_at = max(leader.confirmed_at, sent_at)
    leader.heartbeat_at = max(leader.heartbeat_at, sent_at)
    leader.leases_from = max(leader.leases_from, leases_from)


def _on_owner(state, effects):
    leader = state.leader
    owner = state.owner
    if leader is not None:
        if not _is_mine(state, owner) or owner["epoch"] != leader.epoch:
            step_down(state, effects, "another node took over")


def _is_free(state):
    """Returns whether the former leader is known to have stopped.

    A former process of this node must have ended, because this one runs.
    """
    owner = state.owner
    if owner is None or owner.get("released"):
        return True
    return owner.get("node") == state.cfg.node


def _has_settled(state):
    """Returns whether the former leader has settled.

    If it has not, leaders before it may still send orders.
    """
    owner = state.owner
    if owner is None or owner.get("settled"):
        return True
    if state.heartbeat.get("epoch") != owner.get("epoch"):
        return False
    return bool(state.heartbeat.get("settled"))


def claim_delay_ms(state):
    """Returns a random delay, which is longer for small VMs."""
    jitter_ms = CLAIM_JITTER_MS
    if _is_free(state):
        jitter_ms //= 4
    delay_ms = state.rng.randrange(jitter_ms)
    owner = state.owner or {}
    successor = owner.get("successor")
    if successor == state.cfg.node:
        return 0
    if successor:
        delay_ms += SUCCESSOR_HEAD_START_MS
    if _is_small(state):
        delay_ms += SMALL_VM_DELAY_MS
    return delay_ms


def _should_claim(state):
    if state.stopping_at or state.claiming or state.leader is not None:
        return False
    if state.leadership_read_at < 0 or state.configuration is None:
        return False
    if state.now < state.claim_due_at:
        return False
    if _is_free(state):
        return True
    has_exited = state.owner.get("epoch") == state.exited_epoch
    if _until_timeout_ms(state) and not has_exited:
        return False
    # A node that gets no answers from the store cannot tell whether the leader
    # is silent or the node itself is cut off.
    return state.now - state.leadership_read_at < TAKEOVER_TIMEOUT_MS


def _until_timeout_ms(state):
    """Returns the time left until the timeout of the owner's heartbeats."""
    silence_ms = state.now - state.owner_updated_at
    return max(0, TAKEOVER_TIMEOUT_MS - silence_ms)


def _claimed_early_ms(state):
    """Returns how long before its timeout a leader that may be alive loses.

    One that is free may have replaced such a leader.
    """
    if not _is_free(state):
        return _until_timeout_ms(state)
    return (state.owner or {}).get("claimed_early_ms", 0)


def _claim(state, effects):
    if not state.claim_due_at:
        state.claim_due_at = state.now + claim_delay_ms(state)
        if state.claim_due_at > state.now:
            return
    if _must_release_first(state):
        _release_former(state, effects)
        return
    epoch = (state.owner or {}).get("epoch", 0) + 1
    value = _owner_value(state, epoch, released=False)
    value["claimed_early_ms"] = _claimed_early_ms(state)
    former = state.owner
    planned = _is_free(state) and _has_settled(state)

    def done(state, effects, answer):
        if answer.status != "ok":
            fields = {"epoch": epoch, "status": answer.status}
            effects.append(fx.Log("info", "claim-failed", fields))
            return
        if state.stopping_at or answer.version < state.owner_version:
            return
        _start_leading(
            state, effects, epoch, answer, value, planned, former is None
        )

    _write_owner(state, effects, value, done)


def _write_owner(state, effects, value, done):
    """Replaces the `owner` row that this node has read last."""
    state.claiming = True

    def on_answer(state, effects, answer):
        state.claiming = False
        state.claim_due_at = state.now + CLAIM_RETRY_MS
        for row in answer.rows:
            # The feed may not deliver it.
            if row.key == HEARTBEAT and row.version > state.heartbeat_version:
                _on_heartbeat(state, row)
        if done is not None:
            done(state, effects, answer)

    store.commit(
        state,
        effects,
        [
            fx.Check(TABLE, OWNER, state.owner_version),
            # Fails if the leader has sent a heartbeat that has not arrived
            # here yet.
            fx.Check(TABLE, HEARTBEAT, state.heartbeat_version),
        ],
        [fx.Write(TABLE, OWNER, value)],
        on_answer,
    )


def _must_release_first(state):
    """Returns whether this process restarted on a small VM that led.

    Only this node knows at once that the former leader has ended.
    """
    owner = state.owner
    if owner is None or owner.get("released") or not _is_small(state):
        return False
    return owner.get("node") == state.cfg.node


def _release_former(state, effects):
    """Releases the leadership of a former process of this node."""
    value = {**state.owner, "released": True}
    _write_owner(state, effects, value, None)


def _inherited_horizon(state, first):
    """Returns until when former leaders have granted leases, or None.

    Called while `state.owner` is the row of the former leader. Leaders of
    earlier builds store no horizon.
    """
    if first:
        return horizon.NO_LEASES
    since_epoch = state.owner.get("horizons_since")
    if since_epoch is None or state.heartbeat.get("epoch", 0) < since_epoch:
        return None
    return horizon.decode(state.heartbeat.get("horizon"))


def _start_leading(state, effects, epoch, answer, value, planned, first):
    leader = state_lib.LeaderState(epoch, answer.version, answer.sent_at)
    state.leader = leader
    leader.inherited_horizon = _inherited_horizon(state, first)
    state.owner = value
    state.owner_version = answer.version
    state.owner_updated_at = state.now
    leader.claimed_early_ms = value["claimed_early_ms"]
    wait_ms = lease_ms(state.cfg)
    if not planned:
        wait_ms += max(MAX_UNCONFIRMED_MS, horizon.MAX_RENEWAL_MS)
    leader.planned = planned
    leader.settled_at = state.now + wait_ms
    leader.settled = first
    fields = {
        "epoch": epoch,
        "version": answer.version,
        "planned": planned,
        "settled_in_ms": wait_ms,
    }
    effects.append(fx.Log("info", "leadership-gained", fields))
    effects.append(fx.Measure("skylarklug.takeovers", 1, {}))
    effects.append(fx.WatchTable("jobs"))
    effects.append(fx.WatchTable("workers", ENTRY_READ_INTERVAL_MS))
    takeover.read(state, effects, leader, TABLE, ROSTER)


# --------------------------------------------------------------- heartbeats


def _send_heartbeat(state, effects):
    leader = state.leader
    leader.heartbeat_pending = True
    leases_from = state.now if leader.leases_from else 0
    leader.heartbeat_number += 1
    leader.sent_heartbeats = {leader.heartbeat_number: (state.now, leases_from)}
    stored_horizon = leader.inherited_horizon
    if leases_from:
        stored_horizon = horizon.of_leader(
            state.store_clock, leases_from, leader.lease_extra_ms
        )

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        leader.heartbeat_pending = False
        if answer.status == "ok":
            _confirm(leader, answer.sent_at, leases_from)
            if answer.version > state.heartbeat_version:
                state.heartbeat = value
                state.heartbeat_version = answer.version
            leader.heartbeat_due_at = answer.sent_at + HEARTBEAT_INTERVAL_MS
            if leader.worker_reached_at > answer.sent_at:
                leader.heartbeat_due_at = state.now + REACHED_DELAY_MS
            return
        leader.heartbeat_due_at = state.now + HEARTBEAT_RETRY_MS
        if answer.status != "conflict":
            return
        if not check_conflict(state, effects, answer):
            return
        for row in answer.rows:
            if row.key == HEARTBEAT and row.version > state.heartbeat_version:
                _on_heartbeat(state, row)
        leader.heartbeat_due_at = state.now

    waiting = state.heartbeat.get("waiting", {})
    if is_loaded(leader) and not leader.job_rows:
        waiting = _count_waiting(leader)
    value = {
        "epoch": leader.epoch,
        "waiting": waiting,
        "settled": leader.settled,
        "horizon": horizon.encode(stored_horizon),
        "number": leader.heartbeat_number,
    }
    store.commit(
        state,
        effects,
        [
            owner_check(leader),
            # An earlier heartbeat without an answer may still be applied, and
            # must not set the horizon back.
            fx.Check(TABLE, HEARTBEAT, state.heartbeat_version),
        ],
        [fx.Write(TABLE, HEARTBEAT, value)],
        done,
    )


def _count_waiting(leader):
    counts = {}
    for job in leader.jobs.values():
        if job.started or job.state == "canceled":
            continue
        queue = job.spec.queue
        counts[queue] = counts.get(queue, 0) + 1
    return counts


# ------------------------------------------------------------------ release


def release(state, effects, done, successor="", writes=()):
    """Releases the leadership, so that another node can claim it at once.

    `writes` are rows to store together with the release.
    """
    leader = state.leader
    step_down(state, effects, "released")
    value = _owner_value(state, leader.epoch, True, successor)
    value["largest"] = max(value["largest"], leader.successor_capacity)
    value["settled"] = leader.settled
    led_ms = state.now - leader.since
    value["claimed_early_ms"] = max(0, leader.claimed_early_ms - led_ms)
    store.commit(
        state,
        effects,
        [owner_check(leader)],
        [fx.Write(TABLE, OWNER, value), *writes],
        done,
    )


def is_given_up(state) -> bool:
    """Returns whether this process neither leads nor seems to lead."""
    if state.leader is not None or state.claiming:
        return False
    return not _is_mine(state, state.owner)


def record_release(state, answer) -> None:
    """Records a release, whose row may arrive later."""
    if answer.status != "ok" or state.owner is None:
        return
    if answer.version > state.owner_version:
        state.owner = {**state.owner, "released": True}
        state.owner_version = answer.version


def give_up(state, effects, done) -> None:
    """Repeats a release that has failed, or releases after a late claim."""
    if is_given_up(state) or state.claiming or state.leader is not None:
        return
    if state.now >= state.claim_due_at:
        value = {**state.owner, "released": True}
        _write_owner(state, effects, value, done)


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None:
        if _should_claim(state):
            _claim(state, effects)
        return
    if not leader.heartbeat_pending and state.now >= leader.heartbeat_due_at:
        _send_heartbeat(state, effects)


HANDLERS = {
    events.RowsChanged: _on_rows,
    events.Tick: _on_tick,
}
