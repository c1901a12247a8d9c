"""Reads what former leaders have left in the store when a node takes over."""

import collections

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import horizon
from skylarklug.scheduler import idle_records
from skylarklug.scheduler import leases
from skylarklug.scheduler import run_locations
from skylarklug.scheduler import state as state_lib
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
            leader.roster_written = row.value
        leader.former_names = frozenset(leader.former_workers)
        leader.stored_rosters = [leader.former_names]
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
            leader.leases_version = row.version
            _shorten_waits(
                state, effects, leader, store.clock_reading(answer), row
            )
        store.read(
            state, effects, leases.TABLE, run_locations.KEY, on_locations
        )

    def on_locations(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status != "ok":
            store.read(
                state, effects, leases.TABLE, run_locations.KEY, on_locations
            )
            return
        for row in answer.rows:
            _restore_locations(state, effects, leader, row)
        leader.loaded.add("leases")
        leader.loaded_at = state.now
        _log_read(state, effects, leader)

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


def _restore_locations(state, effects, leader, row):
    since_epoch = state.owner.get("horizons_since", leader.epoch)
    try:
        found = run_locations.decode(row.value, leader.epoch, since_epoch)
    except (AttributeError, KeyError, TypeError) as exc:
        fields = {"key": row.key, "reason": repr(exc)}
        effects.append(fx.Log("error", "row-unreadable", fields))
        leader.locations_saved = None
        return
    leader.former_locations = found
    run_locations.note_committed(leader, found)


def _known_horizon(state, leader, value):
    """Returns until when the leases of all former leaders last, or None.

    A leader grants leases only after it has changed the row of leases, and
    moves its horizon there and with its heartbeats.
    """
    since_epoch = state.owner.get("horizons_since", leader.epoch)
    written_in = value["epoch"]
    if not since_epoch <= written_in < leader.epoch:
        return None
    stored = horizon.decode(value.get("horizon"))
    if stored is None or leader.inherited_horizon is None:
        return None
    if leader.planned and written_in == leader.epoch - 1:
        # The process that granted them has ended.
        leader.majority_at = leader.since - horizon.WITNESS_AGE_MS
    return horizon.later(stored, leader.inherited_horizon)


def _log_read(state, effects, leader):
    """Logs how the ends of the former leaders' leases are known."""
    counts = collections.Counter()
    latest = leader.since
    for former in leader.former_workers.values():
        counts[former.expiry.source] += 1
        latest = max(latest, former.expiry.at)
    fields = {
        "epoch": leader.epoch,
        "workers": len(leader.former_workers),
        "waiting_tasks": len(leader.waiting_tasks),
        "located_tasks": len(leader.former_locations),
        "latest_expiry_ms": latest - state.now,
    }
    for source in leases.SOURCES:
        fields[f"{source}_expiries"] = counts[source]
    effects.append(fx.Log("info", "takeover-read", fields))


def _idle_on_silent_workers(expiries):
    """Returns since when tasks of silent workers may be without a run."""
    found = {}
    for expiry in expiries.values():
        granted_at = expiry.at - horizon.LIMIT_MS
        for key in expiry.tasks or ():
            found[key] = idle_records.IdleRecord(
                granted_at, granted_at, state_lib.UNKNOWN_END, False
            )
    return found


def _shorten_waits(state, effects, leader, reading, row):
    """Applies what the former leaders have recorded on the ends of leases."""
    since_epoch = state.owner.get("leases_since", leader.epoch)
    try:
        expiries, former_release = leases.decode(
            reading, row.value, leader.epoch, since_epoch
        )
        idle = {}
        if since_epoch <= row.value["epoch"] < leader.epoch:
            idle = idle_records.decode(reading, row.value.get("idle", ()))
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        # A later leader may be able to read it, so it holds for any worker
        # until this leader has written another one.
        leader.expiring = frozenset(leader.former_workers)
        leader.expiries_saved = None
        fields = {"key": row.key, "reason": repr(exc)}
        effects.append(fx.Log("error", "row-unreadable", fields))
        return
    leader.former_horizon = _known_horizon(state, leader, row.value)
    if leader.former_horizon is not None:
        latest_at = leases.reached_at(reading, leader.former_horizon.latest)
        leader.former_run_at = min(state.now, horizon.granted_from(latest_at))
    for name, former in leader.former_workers.items():
        expiry = expiries.get(name)
        if expiry is None and former_release is not None:
            expiry = former_release.expiry
        if expiry is None and leader.former_horizon is not None:
            store_ms = leader.former_horizon.latest
            at = leases.reached_at(reading, store_ms)
            expiry = leases.Expiry(at, None, store_ms, leases.HORIZON)
        if expiry is not None:
            # Each reading of a clock adds its possible drift.
            at = min(expiry.at, former.expiry.at)
            expiry = expiry._replace(at=at)
            leader.former_workers[name] = former._replace(expiry=expiry)
    if former_release is not None:
        leader.unsaved_jobs = former_release.unsaved_jobs
        leader.waiting_tasks = former_release.waiting
    leader.idle_inherited = {**_idle_on_silent_workers(expiries), **idle}
    leader.idle_saved = idle_records.keys_that_run_nowhere(idle)
    leader.idle_recorded = set(leader.idle_saved)
    leader.waiting_tasks |= leader.idle_saved
    leader.expiring = frozenset(expiries)
    leader.expiries_saved = leader.expiring
