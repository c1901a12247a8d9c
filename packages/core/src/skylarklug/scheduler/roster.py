"""The workers that leaders have used, in a row for their successors.

A new leader asks each of them what it runs, and waits for the leases of those
that do not answer before it starts tasks that may still run there.
"""

from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store

# Interval at which workers that have left are removed from the roster. A new
# leader waits for the answers of all workers in it.
ROSTER_SHRINK_INTERVAL_MS = 1_000
# Delay before a failed commit of the roster is repeated.
ROSTER_RETRY_MS = 200


def add_former_workers(state):
    """Adds workers that former leaders used but that are no longer listed."""
    leader = state.leader
    for name, (address, service, zone) in leader.former_workers.items():
        if name in leader.workers:
            continue
        entry = records.WorkerEntry(
            worker=name,
            service=service,
            address=address,
            zone=zone,
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


def end_settling(state, effects):
    """Ends the wait for unreported runs of former leaders."""
    leader = state.leader
    unreached = []
    for name, (address, _, _) in leader.former_workers.items():
        worker = leader.workers.get(name)
        if worker is None or worker.fenced:
            continue
        # Former leaders sent no order to another address than that in the
        # roster. The list of workers may be older.
        if worker.replaced and worker.entry.address == address:
            continue
        unreached.append(name)
    # As for single leases, a commit sent after their end proves that no other
    # leader has renewed them.
    if unreached and leader.confirmed_at < leader.settled_at:
        return
    leader.settled = True
    leader.former_workers = {}
    exhausted = []
    for job in leader.jobs.values():
        for task in job.tasks.values():
            task.held_until = 0
            if not task.worker and crashes.is_exhausted(task):
                exhausted.append(task)
    for task in exhausted:
        jobs.fail_job(state, effects, task.job, crashes.describe(task))
    leader.placement_requested = True
    fields = {"epoch": leader.epoch, "unreached": unreached}
    effects.append(fx.Log("info", "settled", fields))


def save(state, effects):
    """Saves the roster, so that a worker is in it before its first order.

    A worker that has restarted at another address gets no order there before.
    """
    leader = state.leader
    addresses = {w.name: w.entry.address for w in leader.workers.values()}
    if addresses == leader.roster_saved or leader.roster_saving:
        return
    if addresses.items() < leader.roster_saved.items():
        # Not urgent: a successor only asks workers in vain that have left.
        if state.now < leader.roster_saved_at + ROSTER_SHRINK_INTERVAL_MS:
            return
    if state.now < leader.roster_due_at:
        return
    leader.roster_saving = True
    value = {}
    for worker in leader.workers.values():
        entry = worker.entry
        value[worker.name] = [entry.address, entry.service, entry.zone]

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        leader.roster_saving = False
        if answer.status == "ok":
            leadership.record_commit(state, answer)
            leader.roster_version = answer.version
            leader.roster_saved = addresses
            leader.roster_saved_at = state.now
            leader.placement_requested = True
            return
        leader.roster_due_at = state.now + ROSTER_RETRY_MS
        if answer.status != "conflict":
            return
        if not leadership.check_conflict(state, effects, answer):
            return
        for row in answer.rows:
            if row.key == leadership.ROSTER:
                leader.roster_version = row.version

    store.commit(
        state,
        effects,
        [
            leadership.owner_check(leader),
            fx.Check(
                leadership.TABLE, leadership.ROSTER, leader.roster_version
            ),
        ],
        [fx.Write(leadership.TABLE, leadership.ROSTER, value)],
        done,
    )
