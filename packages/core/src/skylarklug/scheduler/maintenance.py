"""Maintenance waves: drains machines and takes them down a few at a time."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Time between two listings of the machines while a wave is in progress.
LIST_INTERVAL_MS = 500
# A machine is gone if no list has it that is requested within this time. One
# that has just been added may be missing in the first ones.
MISSING_MS = 2_000
# A machine may have been down and come back with another worker since an older
# list was requested.
MAX_LIST_AGE_MS = 2_000
# A machine whose maintenance was confirmed goes down, unless that had been done
# before. Its worker gets no tasks until it would be known to be silent.
GOING_DOWN_MS = state_lib.WORKER_SILENCE_MS
# Time between two updates of the waves.
ADVANCE_INTERVAL_MS = 200


class WaveProgress:
    """Progress of a maintenance wave.

    Attributes:
        since: When this leader came to know the wave.
        inherited: Whether a former leader may have completed it.
        confirmed_at: When the maintenance of each machine was confirmed, by
            machine.
        missing_since: When the first list was requested that does not have a
            machine, of the latest ones in a row, by machine.
        finished: Machines that are back up or gone, or that the platform
            rejected for this wave.
        draining: Machines whose workers are being drained.
        pending: Machines whose maintenance order is not answered yet.
        reported: The progress last reported to the operator.
    """

    def __init__(self, wave, since, inherited):
        self.wave = wave
        self.since = since
        self.inherited = inherited
        self.confirmed_at: dict[str, int] = {}
        self.missing_since: dict[str, int] = {}
        self.finished: set[str] = set()
        self.draining: set[str] = set()
        self.pending: set[str] = set()
        self.reported = ""


def _on_wave_requested(state, event, effects):
    if event.wave.wave in state.waves:
        return
    state.waves[event.wave.wave] = event.wave
    fields = {
        "wave": event.wave.wave,
        "machines": len(event.wave.machines),
        "at_once": event.wave.max_count,
    }
    effects.append(fx.Log("info", "wave", fields))
    if state.leader is not None:
        _add_wave(state, effects, event.wave, inherited=False)


def _add_wave(state, effects, wave, inherited):
    progress = WaveProgress(wave, state.now, inherited)
    state.leader.waves[wave.wave] = progress
    _report(effects, progress, "running")


def _on_wave_reported(state, event, effects):
    leader = state.leader
    progress = None if leader is None else leader.waves.get(event.wave)
    if progress is None:
        return
    progress.inherited = False
    if event.state == "done":
        progress.reported = "done"


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if not leadership.may_send_orders(state):
        return
    for number, wave in state.waves.items():
        if number not in leader.waves:
            _add_wave(state, effects, wave, inherited=True)
    active_waves = []
    for progress in leader.waves.values():
        if progress.reported != "done" and not progress.inherited:
            active_waves.append(progress)
    if not active_waves:
        return
    if not leader.list_pending and state.now >= leader.list_due_at:
        leader.list_pending = True
        leader.list_requested_at = state.now
        effects.append(fx.ListMachines())
    if state.now < leader.maintenance_due_at or leader.machines is None:
        return
    if state.now > leader.machines_listed_at + MAX_LIST_AGE_MS:
        return
    leader.maintenance_due_at = state.now + ADVANCE_INTERVAL_MS
    for wave in active_waves:
        _advance_wave(state, effects, wave)


def _on_machines(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    if not leader.list_pending:
        # A former leadership of this node has requested it.
        return
    leader.list_pending = False
    leader.list_due_at = state.now + LIST_INTERVAL_MS
    if event.ok:
        leader.machines = {m.machine: m for m in event.machines}
        leader.machines_listed_at = leader.list_requested_at


def _report(effects, wave, progress):
    if wave.reported != progress:
        wave.reported = progress
        effects.append(fx.ReportWave(wave.wave.wave, progress))


def _advance_wave(state, effects, wave):
    """Updates a wave: notes machines that are back up, drains the next ones."""
    leader = state.leader
    if leader.machines_listed_at < wave.since:
        # It may name machines that have been added since the list was made.
        return
    for name in wave.wave.machines:
        if name in wave.finished:
            continue
        if _is_gone(leader, wave, name) or _is_back(leader, wave, name):
            wave.finished.add(name)
            wave.draining.discard(name)
    remaining = [n for n in wave.wave.machines if n not in wave.finished]
    if not remaining:
        wave.draining.clear()
        _report(effects, wave, "done")
        return
    for name in remaining:
        if name in wave.confirmed_at or name in wave.pending:
            continue
        if name not in leader.machines:
            continue
        in_maintenance = set(wave.confirmed_at) - wave.finished
        in_maintenance |= _taken_down(leader, remaining)
        if (
            len(in_maintenance | wave.draining | wave.pending)
            < wave.wave.max_count
        ):
            wave.draining.add(name)
        if name in wave.draining:
            _drain_machine(state, effects, wave, leader.machines[name])


def _is_gone(leader, wave, name):
    """Returns whether a machine has been missing in all lists for a while."""
    if name in leader.machines:
        wave.missing_since.pop(name, None)
        return False
    listed_at = leader.machines_listed_at
    return listed_at - wave.missing_since.setdefault(name, listed_at) >= (
        MISSING_MS
    )


def _taken_down(leader, names):
    """Returns the machines in maintenance, whichever leader has ordered it."""
    found = set()
    for name in names:
        machine = leader.machines.get(name)
        if machine is not None and machine.state == "upkeep":
            found.add(name)
    return found


def _is_back(leader, wave, name):
    """Returns whether a machine is up again after its maintenance."""
    machine = leader.machines.get(name)
    if name not in wave.confirmed_at or machine is None:
        return False
    down_at = wave.confirmed_at[name] + LIST_INTERVAL_MS
    return machine.state == "up" and leader.machines_listed_at > down_at


def _drain_machine(state, effects, wave, machine):
    """Drains the worker of a machine, then orders the maintenance."""
    leader = state.leader
    worker = leader.workers.get(machine.worker)
    if machine.state != "up" or worker is None:
        return
    if worker.name in leader.former_workers:
        # Runs of a former leader may not be known yet.
        return
    worker.cordoned = True
    for task in list(worker.runs.values()):
        if task.status != state_lib.WORKING:
            continue
        if allows_disruption(task) and _can_move(task):
            orders.stop(state, effects, task, f"wave {wave.wave.wave}")
    valid_until = leadership.machine_orders_valid_until(state)
    if worker.runs or state.now >= valid_until:
        return
    wave.draining.discard(machine.machine)
    wave.pending.add(machine.machine)
    effects.append(
        fx.BeginMaintenance(
            machine.machine, wave.wave.wave, leader.epoch, valid_until
        )
    )


def _can_move(task):
    return task.step.runs_until_cancelled or task.step.checkpoints


def allows_disruption(task) -> bool:
    """Returns whether one more task of the step may become unavailable."""
    if task.step.max_unavailable < 0:
        return True
    unavailable = 0
    for other in task.job.tasks.values():
        if other is task or other.key[:3] != task.key[:3]:
            continue
        if other.status != state_lib.WORKING or other.percent < 100:
            unavailable += 1
    return unavailable < task.step.max_unavailable


def _on_maintenance_answer(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    fields = {
        "machine": event.machine,
        "wave": event.wave,
        "result": event.result,
        "reason": event.reason,
    }
    effects.append(fx.Log("info", "upkeep", fields))
    if event.reason == "fence":
        orders.suspend_orders(state, effects, event.machine)
    wave = leader.waves.get(event.wave)
    if wave is None or event.machine not in wave.pending:
        return
    wave.pending.discard(event.machine)
    if event.result == "ok":
        wave.confirmed_at[event.machine] = state.now
        _uncordon_worker(leader, event.machine, state.now + GOING_DOWN_MS)
    elif event.reason == "wave":
        wave.finished.add(event.machine)
        _uncordon_worker(leader, event.machine)
    else:
        # Repeating the order is safe: completed maintenance is not done again.
        wave.draining.add(event.machine)


def _uncordon_worker(leader, name, backoff_until=0):
    machine = leader.machines.get(name)
    worker = None if machine is None else leader.workers.get(machine.worker)
    if worker is not None:
        worker.cordoned = False
        worker.backoff_until = max(worker.backoff_until, backoff_until)


HANDLERS = {
    events.WaveRequested: _on_wave_requested,
    events.WaveReported: _on_wave_reported,
    events.MachinesListed: _on_machines,
    events.MaintenanceAnswered: _on_maintenance_answer,
    events.Tick: _on_tick,
}
