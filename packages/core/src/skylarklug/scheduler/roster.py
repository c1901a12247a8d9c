"""The workers that may hold runs, in a row for later leaders.

A worker is in the roster before its first order. It leaves the roster when it
cannot run anything: it is unlisted or drains, and runs nothing, or its last
lease has ended. A new leader asks each worker of the roster what it runs.
Until a worker has answered, or its last lease has ended, the tasks that may
still run there are not started elsewhere.
"""

from typing import NamedTuple

from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import ends
from skylarklug.scheduler import horizon
from skylarklug.scheduler import idle_records
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import leases
from skylarklug.scheduler import records
from skylarklug.scheduler import run_locations
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store

# Interval at which the roster is saved if workers only leave it.
ROSTER_SHRINK_INTERVAL_MS = 1_000
# Delay of the first poll that renews the leases of a worker again, unless the
# roster has been saved before.
UNEXPIRED_POLL_DELAY_MS = 200
# Delay before a failed commit of the roster is repeated.
ROSTER_RETRY_MS = 200
# Interval at which the roster is compared with the workers.
ROSTER_CHECK_INTERVAL_MS = 100
# A new leader waits this long for workers to answer before its first commit,
# which records the ends of the leases of those that have not.
FIRST_COMMIT_MS = 100
# The same while most of them have not answered.
MAJORITY_WAIT_MS = 400
# Minimum time between two commits that a start or a lease waits for.
URGENT_INTERVAL_MS = 50
# The times above are longer by this for each worker of a large fleet: its
# workers answer one after another, and each commit names all of them.
FIRST_COMMIT_PER_WORKER_MS = 5
URGENT_PER_WORKER_MS = 1
# Minimum time before a commit that records the end of a lease.
RECORD_INTERVAL_MS = 200
# The end of the last lease of a worker that has not answered for this long is
# recorded while the store may be away. A worker whose last lease is recorded
# gets the next one only after a commit.
SILENT_WORKER_MS = 2_500
# The workers that have not answered a new leader are logged after this time.
UNREACHED_LOG_MS = 1_000


def add_former_workers(state):
    """Adds workers that former leaders used but that are no longer listed."""
    leader = state.leader
    for name, former in leader.former_workers.items():
        if name in leader.workers:
            continue
        entry = records.WorkerEntry(
            worker=name,
            service=former.service,
            address=former.address,
            zone=former.zone,
            draining=True,
            remaining_ms=-1,
            capacity=records.Resources(0, 0, 0),
            labels=(),
            rack="",
            incarnation=0,
        )
        worker = state_lib.Worker(entry)
        worker.listed = False
        leader.workers[name] = worker


# ---------------------------------------------------------------- settling


def log_unreached(state, effects):
    """Logs, once, which workers of former leaders have not answered so far."""
    leader = state.leader
    if leader.unreached_logged or state.now < leader.since + UNREACHED_LOG_MS:
        return
    leader.unreached_logged = True
    for name, former in leader.former_workers.items():
        expiry = former.expiry
        tasks = expiry.tasks
        fields = {
            "worker": name,
            "epoch": leader.epoch,
            "expires_in_ms": expiry.at - state.now,
            "known_by": expiry.source,
            "may_run": "any" if tasks is None else len(tasks),
            "listed": leader.workers[name].listed,
        }
        effects.append(fx.Log("warning", "worker-unreached", fields))


def _may_run(leader, former, key):
    """Returns whether a worker that has not answered may run a task."""
    tasks = former.expiry.tasks
    if tasks is None:
        return key not in leader.waiting_tasks
    return key in tasks


def _possible_workers(leader, key):
    """Yields the workers without an answer that may run a task."""
    located = leader.former_locations.get(key)
    if located is not None:
        former = leader.former_workers.get(located)
        if former is not None and _may_run(leader, former, key):
            yield located
        return
    for name, former in leader.former_workers.items():
        if _may_run(leader, former, key):
            yield name


def workers_that_may_run(leader, key) -> list[str]:
    """Returns the workers without an answer that may run a task."""
    return list(_possible_workers(leader, key))


def may_run_unseen(leader, key) -> bool:
    """Returns whether a worker that has not answered may run a task."""
    # Mostly any of them may, so that the first one decides.
    return next(_possible_workers(leader, key), None) is not None


def _note_majority(state):
    """Bounds the former leaders' leases once they have no witnesses left."""
    leader = state.leader
    former_horizon = leader.former_horizon
    if former_horizon is None or leader.horizon_applied:
        return
    if not leader.majority_at:
        if 2 * len(leader.reached_names) < len(leader.former_names):
            return
        leader.majority_at = state.now
    leader.horizon_applied = True
    reading = state.store_clock
    witnessed_at = leader.majority_at + former_horizon.witnessed_ms
    store_ms = max(
        former_horizon.until, leases.latest_store_ms(reading, witnessed_at)
    )
    store_ms = min(store_ms, former_horizon.latest)
    at = leases.reached_at(reading, store_ms)
    expiry = leases.Expiry(at, None, store_ms, leases.HORIZON)
    for name, former in leader.former_workers.items():
        if former.expiry.source == leases.HORIZON:
            leader.former_workers[name] = former._replace(expiry=expiry)
            leader.expiries_changed = True


def settle(state, effects):
    """Ends the wait for workers that have answered or hold no lease.

    The leader has settled when no worker is left.
    """
    leader = state.leader
    _note_majority(state)
    for name, former in list(leader.former_workers.items()):
        worker = leader.workers[name]
        # Former leaders sent no order to another address than that in the
        # roster. The list of workers may be older.
        is_gone = worker.replaced and worker.entry.address == former.address
        if worker.fenced and _may_list_more(state, worker):
            continue
        if not worker.fenced and not is_gone:
            # A commit sent after the lease had ended proves that no other
            # leader has renewed it.
            if leader.confirmed_at < former.expiry.at:
                if state.now < former.expiry.at:
                    leader.heartbeat_due_at = min(
                        leader.heartbeat_due_at, former.expiry.at
                    )
                continue
            leader.unreached.append(name)
        del leader.former_workers[name]
        leader.placement_requested = True
        # Overdue tasks that were held must not lose their room to others.
        leader.overdue_due_at = state.now
    if leader.former_workers:
        return
    leader.settled = True
    exhausted = []
    released = 0
    for job in leader.jobs.values():
        for task in job.tasks.values():
            if task.held and not task.worker:
                released += 1
                task.wait_reason = ""
            task.held = False
            if not task.worker and crashes.is_exhausted(task):
                exhausted.append(task)
    for task in exhausted:
        jobs.fail_job(state, effects, task.job, crashes.describe(task))
    leader.placement_requested = True
    fields = {
        "epoch": leader.epoch,
        "unreached": leader.unreached,
        "after_ms": state.now - leader.since,
        "released_tasks": released,
    }
    effects.append(fx.Log("info", "settled", fields))


def _may_list_more(state, worker):
    """Returns whether a worker has ends that it has not listed yet.

    The tasks of former leaders whose ends are missing seem not to have begun.
    """
    if not worker.has_more_ends:
        return False
    # It lists no more if it has crashed.
    return state.leader.confirmed_at < lease_ends_at(state, worker)


# ----------------------------------------------------------------- contents


def lease_ends_at(state, worker) -> int:
    """Returns when the last lease of a worker that has answered has ended."""
    granted_at = max(worker.lease_granted_at, worker.answered_at)
    return granted_at + leadership.lease_ms(state.cfg)


def _has_unknown_work(worker):
    """Returns whether a worker has more than the leader's tasks.

    A task whose end is not saved counts: a new leader would start it again
    unless the worker reports the end.
    """
    if worker.unwanted_runs or worker.has_unknown_run or worker.has_more_ends:
        return True
    return ends.must_keep_ends(worker)


def _is_kept(state, worker):
    """Returns whether a worker may run something, so that it stays listed."""
    leader = state.leader
    if worker.name in leader.former_workers:
        return True
    if worker.runs or _has_unknown_work(worker):
        return True
    if not worker.answered_at:
        # It has had no order.
        return False
    if not worker.listed or worker.entry.draining:
        return False
    return leader.confirmed_at < lease_ends_at(state, worker)


def _should_record(state, worker, stopping):
    """Returns whether to record when the leases of a worker end.

    A leader that is stopping renews no more leases, so that each failed poll
    counts. The record of a worker that answers is of use if the next leader
    does not reach it; a leader that has not settled cannot tell the end of all
    leases otherwise.
    """
    leader = state.leader
    if stopping and (not worker.listed or not leader.settled):
        return True
    if worker.fenced and not worker.failed_polls:
        return _is_late(state, worker)
    if stopping or not worker.listed:
        return True
    if worker.name in leader.former_workers:
        return True
    if horizon.is_overdue(state):
        return state.now >= worker.answered_at + SILENT_WORKER_MS
    return True


def _is_late(state, worker):
    """Returns whether the answer to the poll in flight is late."""
    if not worker.poll_pending or horizon.is_overdue(state):
        return False
    return state.now >= worker.answer_due_at


def _expiry(state, worker):
    """Returns when the last lease of a worker ends, and what may run there."""
    former = state.leader.former_workers.get(worker.name)
    if former is not None:
        return former.expiry
    tasks = None if _has_unknown_work(worker) else frozenset(worker.runs)
    return leases.Expiry(
        lease_ends_at(state, worker), tasks, source=leases.GRANTED
    )


def _kept_workers(state, stopping=False):
    """Returns the workers of the roster, and the expiries to record."""
    kept = []
    expiries = {}
    for worker in state.leader.workers.values():
        if not _is_kept(state, worker):
            continue
        kept.append(worker)
        if _should_record(state, worker, stopping):
            expiries[worker.name] = _expiry(state, worker)
    return kept, leases.limit_tasks(expiries)


def _encode_expiries(state, expiries, idle, release=None):
    reading = state.store_clock
    if not reading.store_ms:
        expiries, release = {}, None
    value = leases.encode(reading, state.leader.epoch, expiries, release)
    value["horizon"] = horizon.encode(
        horizon.of_leader(reading, state.now, state.leader.lease_extra_ms)
    )
    value["idle"] = idle_records.encode(
        reading, idle if reading.store_ms else {}
    )
    return value


# ------------------------------------------------------------------- saving


def save(state, effects):
    """Saves the roster, so that a worker is in it before its first order.

    A worker that has restarted at another address gets no order there before.
    """
    leader = state.leader
    if leader.roster_saving or state.now < leader.roster_due_at:
        return
    if not leader.leases_from and _awaits_first_answers(state):
        return
    if not leader.roster_changed and state.now < leader.roster_check_at:
        return
    if _is_soon_after_commit(state):
        return
    leader.roster_changed = False
    leader.roster_check_at = state.now + ROSTER_CHECK_INTERVAL_MS
    kept, expiries = _kept_workers(state)
    addresses = {worker.name: worker.entry.address for worker in kept}
    expiring = frozenset(expiries)
    idle = idle_records.tasks_to_record(state, may_run_unseen)
    locations = run_locations.to_record(leader)
    if (
        addresses == leader.roster_saved
        and expiring == leader.expiries_saved
        and leader.leases_from
        and not leader.expiries_changed
        and idle_records.keys_that_run_nowhere(idle) == leader.idle_saved
        and idle.keys() == leader.idle_known
        and locations == leader.locations_saved
    ):
        return
    interval_ms = _save_interval_ms(leader, addresses, expiring, idle)
    if leader.leases_from and state.now < leader.roster_saved_at + interval_ms:
        # It is compared again soon.
        return
    _commit(state, effects, kept, addresses, expiries, idle, locations)


def _awaits_first_answers(state):
    """Returns whether workers may still answer before the first commit."""
    leader = state.leader
    if not leader.former_workers:
        return False
    wait_ms = FIRST_COMMIT_MS
    if not leader.majority_at and leader.former_horizon is not None:
        # Until then the longest leases would be recorded.
        wait_ms = MAJORITY_WAIT_MS
    beyond = _workers_beyond(len(leader.former_names))
    wait_ms += beyond * FIRST_COMMIT_PER_WORKER_MS
    return state.now < leader.loaded_at + wait_ms


def _is_soon_after_commit(state):
    """Returns whether to put off the comparison, which costs much in a fleet.

    It is not put off while a task waits for a commit to start.
    """
    leader = state.leader
    if not leader.leases_from or not _workers_beyond(len(leader.workers)):
        return False
    if leader.idle_released or leader.location_awaited:
        return False
    return state.now < leader.roster_saved_at + _urgent_interval_ms(leader)


def _workers_beyond(count):
    return max(0, count - horizon.SMALL_FLEET)


def _urgent_interval_ms(leader):
    beyond = _workers_beyond(len(leader.workers))
    return URGENT_INTERVAL_MS + beyond * URGENT_PER_WORKER_MS


def _save_interval_ms(leader, addresses, expiring, idle):
    """Returns how soon after the last commit the next one may be sent."""
    if leader.expiries_saved is None or leader.expiries_saved - expiring:
        # A worker waits for it to get a lease.
        return _urgent_interval_ms(leader)
    if not addresses.items() <= leader.roster_saved.items():
        # A worker waits for it to get a start.
        return _urgent_interval_ms(leader)
    if leader.location_awaited:
        return 0
    if not leader.idle_released.keys().isdisjoint(leader.idle_saved):
        # A task waits for it to start.
        return 0
    if expiring != leader.expiries_saved or leader.expiries_changed:
        return RECORD_INTERVAL_MS
    if idle.keys() - leader.idle_known:
        return RECORD_INTERVAL_MS
    return min(ROSTER_SHRINK_INTERVAL_MS, run_locations.INTERVAL_MS)


class Saved(NamedTuple):
    """What a commit of the roster and of the row of leases says.

    Attributes:
        number: Number of the commit, which the row names.
        roster: Address, service and zone by worker.
        addresses: Address by worker.
        expiring: Workers whose last lease's end it records.
        idle: Records of tasks without a run, by task.
        locations: Worker of each long-running task that has one.
        leases_from: When it was made; longer leases than before may be granted
            from then on.
    """

    number: int
    roster: dict[str, list[str]]
    addresses: dict[str, str]
    expiring: frozenset[str]
    idle: dict[records.TaskKey, idle_records.IdleRecord]
    locations: dict[records.TaskKey, str]
    leases_from: int


def _commit(state, effects, kept, addresses, expiries, idle, locations):
    leader = state.leader
    leader.roster_saving = True
    leader.roster_number += 1
    if leader.roster_number == 1:
        # It stays the same, as stored horizons count on it.
        leader.lease_extra_ms = horizon.extra_ms(len(leader.workers))
    roster = {}
    for worker in kept:
        entry = worker.entry
        roster[worker.name] = [entry.address, entry.service, entry.zone]
    saved = Saved(
        leader.roster_number,
        roster,
        addresses,
        frozenset(expiries),
        idle,
        locations,
        state.now,
    )
    # The commit may take effect although its answer is lost.
    leader.expiring |= saved.expiring
    leader.expiries_saved = None
    leader.expiries_changed = False
    idle_records.note_commit(leader, idle)
    leader.roster_saved = dict(addresses.items() & leader.roster_saved.items())
    value = _encode_expiries(state, expiries, idle)
    value["number"] = saved.number
    writes = [fx.Write(leases.TABLE, leases.KEY, value)]
    if roster != leader.roster_written:
        # Each node reads it, so it is only written when it has changed.
        writes.append(fx.Write(leadership.TABLE, leadership.ROSTER, roster))
        leader.roster_written = None
        names = frozenset(addresses)
        if names not in leader.stored_rosters:
            leader.stored_rosters.append(names)
    if locations != leader.locations_saved:
        run_locations.note_commit(leader, locations)
        runs = run_locations.encode(leader.epoch, locations)
        writes.append(fx.Write(leases.TABLE, run_locations.KEY, runs))

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status == "unknown":
            _read_back(state, effects, answer, saved)
            return
        leader.roster_saving = False
        if answer.status == "ok":
            leadership.record_commit(state, answer)
            _on_committed(state, saved, answer.version)
            return
        _repeat_later(state)
        if answer.status != "conflict":
            return
        if not leadership.check_conflict(state, effects, answer):
            return
        for row in answer.rows:
            if row.key == leases.KEY:
                leader.leases_version = row.version

    store.commit(
        state,
        effects,
        [
            leadership.owner_check(leader),
            fx.Check(leases.TABLE, leases.KEY, leader.leases_version),
        ],
        writes,
        done,
    )


def _read_back(state, effects, unknown, saved):
    """Finds out whether a commit without an answer has taken effect."""
    leader = state.leader

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        leader.roster_saving = False
        for row in answer.rows:
            value = row.value or {}
            written = value.get("epoch"), value.get("number")
            if written == (leader.epoch, saved.number):
                leadership.record_commit(state, unknown)
                _on_committed(state, saved, row.version)
                return
        _repeat_later(state)

    store.read(state, effects, leases.TABLE, leases.KEY, done)


def _repeat_later(state):
    leader = state.leader
    leader.roster_changed = True
    leader.roster_due_at = state.now + ROSTER_RETRY_MS


def _on_committed(state, saved, version):
    leader = state.leader
    leader.leases_version = version
    leader.roster_written = saved.roster
    leader.roster_saved = saved.addresses
    leader.roster_saved_at = state.now
    leader.stored_rosters = [frozenset(saved.addresses)]
    idle_records.note_committed(state, saved.idle)
    run_locations.note_committed(leader, saved.locations)
    waiting = leader.expiring - saved.expiring
    if not leader.leases_from:
        waiting = leader.workers.keys() - saved.expiring
    leader.leases_from = max(leader.leases_from, saved.leases_from)
    for name in waiting:
        # It has waited for this commit to get a lease.
        if name in leader.workers:
            leader.workers[name].poll_due_at = state.now
    leader.expiries_saved = saved.expiring
    leader.expiring = saved.expiring
    leader.placement_requested = True


def release(state, effects, done, successor=""):
    """Releases the leadership, with the ends of all leases it has granted."""
    leader = state.leader
    writes = []
    if leadership.is_loaded(leader):
        kept, expiries = _kept_workers(state, stopping=True)
        for name in leader.roster_saved.keys() - {w.name for w in kept}:
            # It cannot run anything, but is still in the stored roster.
            expiries[name] = leases.Expiry(state.now, frozenset())
        record = _release_record(state, expiries)
        idle = idle_records.tasks_to_record(state, may_run_unseen)
        value = _encode_expiries(state, expiries, idle, record)
        writes.append(fx.Write(leases.TABLE, leases.KEY, value))
    leadership.release(state, effects, done, successor, writes)


def _release_record(state, expiries):
    leader = state.leader
    until = state.now + leadership.lease_ms(state.cfg)
    if not leader.settled:
        # There may be runs that this leader does not know.
        return leases.Release(leases.Expiry(until, None), None, frozenset())
    unsaved = frozenset(leader.dirty) | leader.saving
    waiting = _waiting_tasks(leader)
    for expiry in expiries.values():
        waiting.extend(expiry.tasks or ())
    return leases.Release(
        leases.Expiry(until, None),
        unsaved,
        frozenset(waiting[: leases.MAX_TASKS]),
    )


def _waiting_tasks(leader):
    """Returns the tasks without a run, those that run until cancelled first."""
    until_cancelled = []
    others = []
    for group in leader.ready.values():
        for task in group.values():
            if task.step.runs_until_cancelled:
                until_cancelled.append(task.key)
            else:
                others.append(task.key)
    return until_cancelled + others
