"""Records the traces in tests/features/traces, with fixed seeds.

Run `python -m tests.features.record` from the repository root after changes to
the events, or to decisions that affect later events. It writes only the traces;
the expected outcomes in the same directory are edited by hand.
"""

import functools
import pathlib

from tests.core import batch_fakes
from tests.core import fakes
from tests.core import shared_fakes

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import ownership
from skylarklug import reducer
from skylarklug import trace

DIRECTORY = pathlib.Path(__file__).parent / "traces"
JOB = {
    "team": "sealing",
    "kind": "batch",
    "tasks": 12,
    "size": {"cpus": 5.0, "memory_mb": 2000},
    "run_time_ms": 4000,
    "checkpoint_ms": 1000,
}


class Recorder:
    """Records the trace of one node."""

    def __init__(self, node):
        self.node = node
        self._items = [trace.encode_header()]

    def add(self, node, event):
        """Adds an event if it belongs to the recorded node."""
        if node == self.node:
            self._items.append(trace.encode_event(event))

    def data(self):
        """Returns the encoded trace."""
        return b"".join(self._items)


class RequestSim(fakes.Sim):
    """Simulates requests to three nodes, of which one is recorded."""

    def __init__(self, seed, **options):
        self.recorder = Recorder("yumbo-0")
        super().__init__(seed, **options)

    def feed(self, node, event):
        self.on_reduce = functools.partial(self._reduce, node)
        super().feed(node, event)

    def _reduce(self, node, state, event):
        self.recorder.add(node, event)
        return reducer.reduce(state, event)

    def send_all(self, count, every_ms, node=None):
        """Schedules requests, a quarter of which are not idempotent."""
        for number in range(count):
            entry_node = node or f"yumbo-{number % 3}"
            work_ms, idempotent = self.rng.randrange(20, 200), number % 4 > 0
            self.at(
                100 + number * every_ms,
                self.request, entry_node, f"r{number}", work_ms, idempotent,
            )  # fmt: skip

    def publish_vm_list(self):
        """Sends the current VM list to every node."""
        vms = tuple(
            w.vm._replace(state="leaving" if w.leaving else "live")
            for w in self.workers.values()
            if w.alive
        )
        for node in list(self.states):
            self.feed(node, events.VmListRead(0, 2 + self.now, vms))

    def leave(self, name):
        """Marks a worker as leaving, in the VM list 2 s later."""
        self.workers[name].leaving = True
        self.at(self.now + 2000, self.publish_vm_list)


def record_lost_answers():
    """Records lost and truncated answers and the loss of two workers.

    The connections of one worker are reset; the other stops responding.
    """
    sim = RequestSim(21, count=6)
    sim.lose_answers, sim.cut_answers, sim.late_answers = 0.1, 0.03, 0.05
    sim.send_all(600, 10)
    sim.at(2000, sim.kill, "y-0001", True)
    sim.at(3500, sim.kill, "y-0002", False)
    sim.at(4000, sim.publish_vm_list)
    sim.run(18_000)
    return sim.recorder


def record_leaving_workers():
    """Records two workers that leave under load.

    The load lasts longer than invariant I7 allows requests to leaving workers.
    """
    sim = RequestSim(22, count=6)
    sim.send_all(600, 20)
    sim.at(1500, sim.leave, "y-0000")
    sim.at(3000, sim.leave, "y-0003")
    sim.run(16_000)
    return sim.recorder


def record_planned_stop():
    """Records a node that stops while requests are in flight."""
    stop = {"stop": {"notice_ms": 1000, "drain_ms": 4000}}
    sim = RequestSim(23, count=6, settings=stop)
    sim.send_all(250, 8, node="yumbo-0")
    sim.at(1500, sim.feed, "yumbo-0", events.StopRequested(0))
    sim.run(12_000)
    return sim.recorder


class TaskCluster(shared_fakes.Cluster):
    """Simulates nodes with table and peer links, and workers that run tasks."""

    def __init__(self, seed, sizes, workers=0, **settings):
        super().__init__(seed, sizes, **settings)
        self.recorders = {name: Recorder(name) for name in self.nodes}
        self.observers.append(
            lambda cluster, node, event, effects: self.recorders[node.name].add(
                node.name, event
            )
        )
        self.fail = self.refuse = 0.0
        self.workers = {}
        for index in range(workers):
            vm = events.Vm(
                f"w-{index}", "yumbo", "r0", "live", "control", "control", 16.0,
                60_000, 0,
                (), 8, 64,
            )  # fmt: skip
            self.workers[vm.vm] = batch_fakes.Worker(self, vm)
        self.effect_handlers[fx.SyncWorker] = self._sync
        self.answers = {}
        self.effect_handlers[fx.AnswerCommand] = self._answered

    def check_start(self, worker, command):
        """Skips the check; the observer of the replay checks starts."""

    def _answered(self, node, effect):
        self.answers[effect.op_id] = effect.status

    def feed_to(self, name, event):
        """Feeds an event to a node; a stopped node ignores it."""
        node = self.nodes[name]
        self.feed(node, node.starts, event)

    def publish_vm_list(self):
        """Sends the current VM list to every node."""
        vms = tuple(w.vm for w in self.workers.values() if not w.dead)
        for name in self.nodes:
            self.feed_to(name, events.VmListRead(0, 1 + self.now, vms))

    def kill_worker(self, name):
        """Kills a worker; the VM list removes it 1 s later."""
        self.workers[name].dead = True
        self.at(self.now + 1000, self.publish_vm_list)

    def command(self, name, text, if_version=0, body=None):
        """Sends an operator command to a node."""
        op_id = f"command-{len(self.answers)}"
        self.answers[op_id] = None
        event = events.CommandArrived(
            0, op_id, "ana", "write", text, op_id, if_version, False,
            body or {},
        )  # fmt: skip
        self.feed_to(name, event)

    def _sync(self, node, effect):
        self.at(self.now + 2, self._at_worker, node, node.starts, effect)

    def _at_worker(self, node, start, effect):
        worker = self.workers[effect.worker]
        common_fields = (0, effect.worker, effect.seq)
        if worker.dead:
            failed = events.WorkerSyncFailed(
                *common_fields, "timeout", "timeout"
            )
            at = self.now + effect.timeout_ms
            self.at(at, self.feed, node, start, failed)
            return
        status, items = worker.handle(effect)
        event = events.WorkerSynced(
            0, self.now, effect.worker, effect.seq, status, worker.epoch,
            worker.clock(), worker.revision, False,
            not effect.known_revision, items, None,
        )  # fmt: skip
        self.at(self.now + 3, self.feed, node, start, event)


def record_lost_worker():
    """Records a job of 12 tasks during which one of three workers is lost."""
    cluster = TaskCluster(31, {"yumbo": 1}, workers=3)
    cluster.start()
    cluster.at(10, cluster.publish_vm_list)
    cluster.at(6000, cluster.command, "yumbo-1", "submit -", 0, JOB)
    cluster.at(8500, cluster.kill_worker, "w-1")
    cluster.run(60_000)
    return cluster.recorders["yumbo-1"]


def record_configuration():
    """Records conflicting configuration changes, a rollback and a restart."""
    cluster = TaskCluster(32, {"yumbo": 3})
    cluster.start()
    for at, node, text, version in (
        (6000, "yumbo-1", "set services.certvault.queue 50", 0),
        (8000, "yumbo-1", "set services.certvault.queue 60", 2),
        (8000, "yumbo-2", "set services.certvault.queue 70", 2),
        (10_000, "yumbo-3", "rollback 1", 0),
        (14_000, "yumbo-2", 'set drained ["w-1"]', 0),
    ):
        cluster.at(at, cluster.command, node, text, version)
    cluster.at(12_000, cluster.kill, "yumbo-1")
    cluster.at(16_000, cluster.start, "yumbo-1")
    cluster.run(25_000)
    return cluster.recorders["yumbo-2"]


def record_lost_node():
    """Records the node that takes over after the partition owner is killed."""
    cluster = TaskCluster(33, {"yumbo": 2}, workers=2)

    def owner():
        for name in cluster.nodes:
            state = cluster.nodes[name].state
            if state is not None and ownership.epoch_of(state, "yumbo/0"):
                return name
        return ""

    cluster.start()
    cluster.at(10, cluster.publish_vm_list)
    cluster.at(8000, lambda: cluster.command(owner(), "submit -", 0, JOB))
    cluster.at(9500, lambda: cluster.kill(owner()))
    cluster.run(90_000)
    return cluster.recorders[owner()]


TRACES = {
    "configuration": record_configuration,
    "leaving-workers": record_leaving_workers,
    "lost-answers": record_lost_answers,
    "lost-node": record_lost_node,
    "lost-worker": record_lost_worker,
    "planned-stop": record_planned_stop,
}


def main():
    """Writes every trace."""
    DIRECTORY.mkdir(exist_ok=True)
    for name, record in TRACES.items():
        data = record().data()
        (DIRECTORY / f"{name}.trace").write_bytes(data)
        print(f"{name}: {len(data)} bytes")


if __name__ == "__main__":
    main()
