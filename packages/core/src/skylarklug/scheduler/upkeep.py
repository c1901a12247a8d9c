"""Waves of upkeep: machines go down for it a few at a time, emptied first."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Machines are listed this often while a wave is under way.
LIST_INTERVAL_MS = 500
STEP_INTERVAL_MS = 200


class WaveState:
    """How far a wave is.

    Attributes:
        ordered: When the upkeep of a machine was ordered and confirmed.
        finished: Machines that are back.
        emptying: Machines whose workers are emptied now.
        ordering: Machines whose order is not answered yet.
        reported: What the operator was told.
    """

    def __init__(self, wave):
        self.wave = wave
        self.ordered: dict[str, int] = {}
        self.finished: set[str] = set()
        self.emptying: set[str] = set()
        self.ordering: set[str] = set()
        self.reported = ""


def _on_wave(state, event, effects):
    if event.wave.wave in state.waves:
        return
    state.waves[event.wave.wave] = event.wave
    fields = {
        "wave": event.wave.wave,
        "machines": len(event.wave.machines),
        "at_once": event.wave.max_count,
    }
    effects.append(fx.Log("info", "wave", fields))


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if not leadership.may_send_orders(state):
        return
    for number, wave in state.waves.items():
        if number not in leader.waves:
            leader.waves[number] = WaveState(wave)
    active = [w for w in leader.waves.values() if w.reported != "done"]
    if not active:
        return
    if not leader.list_pending and state.now >= leader.list_due_at:
        leader.list_pending = True
        effects.append(fx.ListMachines())
    if state.now < leader.maintenance_due_at or leader.machines is None:
        return
    leader.maintenance_due_at = state.now + STEP_INTERVAL_MS
    for wave in active:
        _advance(state, effects, wave)


def _on_machines(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    leader.list_pending = False
    leader.list_due_at = state.now + LIST_INTERVAL_MS
    if event.ok:
        leader.machines = {m.machine: m for m in event.machines}
        leader.machines_read_at = state.now


def _report(effects, wave, word):
    if wave.reported != word:
        wave.reported = word
        effects.append(fx.ReportWave(wave.wave.wave, word))


def _advance(state, effects, wave):
    """Takes a wave one step further."""
    leader = state.leader
    _report(effects, wave, "running")
    for name, at in wave.ordered.items():
        machine = leader.machines.get(name)
        back = machine is None or machine.state == "up"
        if back and leader.machines_read_at > at + LIST_INTERVAL_MS:
            wave.finished.add(name)
    left = []
    for name in wave.wave.machines:
        if name not in wave.finished and name in leader.machines:
            left.append(name)
    if not left:
        wave.emptying.clear()
        _report(effects, wave, "done")
        return
    for name in left:
        if name in wave.ordered or name in wave.ordering:
            continue
        busy = set(wave.ordered) - wave.finished
        if len(busy | wave.emptying | wave.ordering) < wave.wave.max_count:
            wave.emptying.add(name)
        if name in wave.emptying:
            _empty(state, effects, wave, leader.machines[name])


def _empty(state, effects, wave, machine):
    """Empties the worker of a machine, and then orders its upkeep."""
    leader = state.leader
    worker = leader.workers.get(machine.worker)
    if machine.state != "up" or worker is None:
        return
    worker.cordoned = True
    for task in list(worker.runs.values()):
        if task.status != state_lib.WORKING:
            continue
        if may_take_away(task) and _is_movable(task):
            orders.stop(state, effects, task, f"wave {wave.wave.wave}")
    if worker.runs:
        return
    wave.emptying.discard(machine.machine)
    wave.ordering.add(machine.machine)
    effects.append(
        fx.BeginMaintenance(machine.machine, wave.wave.wave, leader.epoch)
    )


def _is_movable(task):
    return task.step.runs_until_cancelled or task.step.checkpoints


def may_take_away(task) -> bool:
    """Whether the step of a task allows that one more of it is away."""
    if task.step.max_unavailable < 0:
        return True
    away = 0
    for other in task.job.tasks.values():
        if other is task or other.key[:3] != task.key[:3]:
            continue
        if other.status != state_lib.WORKING or other.percent < 100:
            away += 1
    return away < task.step.max_unavailable


def _on_upkeep(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    fields = {
        "machine": event.machine,
        "result": event.result,
        "reason": event.reason,
    }
    effects.append(fx.Log("info", "upkeep", fields))
    if event.reason == "fence":
        orders.suspend_orders(state, effects, event.machine)
    for wave in leader.waves.values():
        if event.machine not in wave.ordering:
            continue
        wave.ordering.discard(event.machine)
        if event.result == "ok":
            wave.ordered[event.machine] = state.now
            _reopen(leader, event.machine)
        elif event.reason == "wave":
            wave.finished.add(event.machine)
            _reopen(leader, event.machine)
        else:
            # Ordering it again is safe: an upkeep that is done stays done.
            wave.emptying.add(event.machine)


def _reopen(leader, name):
    machine = leader.machines.get(name)
    worker = None if machine is None else leader.workers.get(machine.worker)
    if worker is not None:
        worker.cordoned = False


HANDLERS = {
    events.WaveRequested: _on_wave,
    events.MachinesListed: _on_machines,
    events.MaintenanceAnswered: _on_upkeep,
    events.Tick: _on_tick,
}
