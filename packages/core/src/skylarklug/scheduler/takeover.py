"""Reads what former leaders have left in the store when a node takes over."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import leases
from skylarklug.scheduler import store


def read(state, effects, leader, table, roster_key):
    """Reads the progress of all jobs and the workers of former leaders.

    Failed reads are repeated until the node leads no more.

    Args:
        state: The node's state.
        effects: Receives the reads.
        leader: State of the leadership that has just begun.
        table: Table of the roster.
        roster_key: Key of the roster.
    """

    def on_work(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status != "ok":
            store.read(state, effects, "work", "", on_work)
            return
        for row in answer.rows:
            leader.work_rows[row.key] = row
        leader.loaded.add("work")

    def on_roster(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status != "ok":
            store.read(state, effects, table, roster_key, on_roster)
            return
        for row in answer.rows:
            leader.former_workers = _decode_roster(row.value, leader.settled_at)
            leader.roster_version = row.version
        leader.loaded.add("roster")
        # The ends of leases refer to the workers of the roster.
        store.read(state, effects, leases.TABLE, leases.KEY, on_leases)

    def on_leases(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status != "ok":
            store.read(state, effects, leases.TABLE, leases.KEY, on_leases)
            return
        for row in answer.rows:
            _shorten_waits(
                state, effects, leader, store.clock_reading(answer), row
            )
        leader.loaded.add("leases")

    store.read(state, effects, "work", "", on_work)
    store.read(state, effects, table, roster_key, on_roster)


def _decode_roster(value, settled_at) -> dict[str, leases.FormerWorker]:
    """Returns the roster's workers; skips malformed entries."""
    expiry = leases.Expiry(settled_at, None)
    roster = {}
    for name, entry in value.items():
        if isinstance(entry, list) and len(entry) == 3:
            roster[name] = leases.FormerWorker(*entry, expiry)
    return roster


def _shorten_waits(state, effects, leader, reading, row):
    """Applies what the former leaders have recorded on the ends of leases."""
    since_epoch = state.owner.get("leases_since", leader.epoch)
    try:
        expiries, former_release = leases.decode(
            reading, row.value, leader.epoch, since_epoch
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        # A later leader may be able to read it, so it holds for any worker
        # until this leader has written another one.
        leader.expiring = frozenset(leader.former_workers)
        leader.expiries_saved = None
        fields = {"key": row.key, "reason": repr(exc)}
        effects.append(fx.Log("error", "row-unreadable", fields))
        return
    for name, former in leader.former_workers.items():
        expiry = expiries.get(name)
        if expiry is None and former_release is not None:
            expiry = former_release.expiry
        if expiry is not None:
            # Each reading of a clock adds its possible drift.
            at = min(expiry.at, former.expiry.at)
            expiry = expiry._replace(at=at)
            leader.former_workers[name] = former._replace(expiry=expiry)
    if former_release is not None:
        leader.unsaved_jobs = former_release.unsaved_jobs
        leader.waiting_tasks = former_release.waiting
    leader.expiring = frozenset(expiries)
    leader.expiries_saved = leader.expiring
