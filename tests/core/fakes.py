"""Simulation of nodes, workers and their network in virtual time.

Used by tests and benchmarks. Times are milliseconds.
"""

import collections
import heapq
import itertools
import random

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import ownership
from skylarklug import reducer

SERVICE = "certvault"


class Worker:
    """A worker whose guard refuses attempts above its number of slots.

    Attributes:
        vm: Its entry in the VM list.
        running: Running attempts, by (node, (req_id, attempt)).
        slowdown: Factor by which service times grow.
        refusals: Number of attempts that the guard refused.
        paused_until: Time until which attempts that arrive are delayed.
    """

    def __init__(self, vm):
        self.vm = vm
        self.running = {}
        self.alive = True
        self.leaving = False
        self.slowdown = 1.0
        self.refusals = 0
        self.paused_until = 0


class Sim:
    """Nodes of one or more data centres and the workers that they share.

    Args:
        seed: Seed of the simulation.
        data_centres: Names of the data centres.
        nodes: Number of nodes per data centre.
        count: Number of workers per data centre.
        settings: Settings of the nodes that differ from the defaults.

    Attributes:
        queue: Heap of scheduled calls.
        down_nodes: Nodes that have been killed.
        cut_links: Pairs of nodes, or of a node and a worker, that cannot reach
            each other.
        last_delivery: Time of the last message, by (sender, receiver); messages
            of one link keep their order.
        lose_answers: Probability that a worker's response is lost.
        late_answers: Probability that a response is delayed by 2 s.
        cut_answers: Probability that a response breaks off in its body.
        runs: Number of times that a worker ran a request, by request.
        work_ms: Service time by request.
        origins: (node, time) at which a request arrived first, by request.
        outcomes: Outcomes sent to the caller, by request.
        open_attempts: Attempts in flight by node. A key ("from", req_id) holds
            the source of a forwarded request.
        on_effect: Called with the node and each effect, if set.
        on_reduce: Replacement for `reducer.reduce`.
    """

    def __init__(
        self, seed, data_centres=("yumbo",), nodes=3, count=24, settings=None
    ):
        self.rng = random.Random(seed)
        self.now = 0
        self.sequence = itertools.count()
        self.queue = []
        self.down_nodes = set()
        self.cut_links = set()
        self.peer_delay_ms = 1
        self.states, self.workers, self.owners = {}, {}, {}
        self.paused_until, self.last_delivery = {}, {}
        self.exited_nodes = set()
        self.lose_answers = self.late_answers = self.cut_answers = 0.0
        self.runs = collections.Counter()
        self.attempts = 0
        self.work_ms, self.origins, self.idempotent = {}, {}, {}
        self.outcomes = collections.defaultdict(list)
        self.latency, self.open_attempts = {}, {}
        self.on_effect = None
        self.on_reduce = reducer.reduce
        names = [(dc, f"{dc}-{i}") for dc in data_centres for i in range(nodes)]
        self.settings = {
            "nodes": [
                {"node": n, "data_centre": dc, "region": "valle", "forward": n}
                for dc, n in names
            ],
            "nodes_per_data_centre": nodes,
            **(settings or {}),
        }
        for dc in data_centres:
            for i in range(count):
                name = f"{dc[0]}-{i:04d}"
                location = (name, dc, f"rack-{i // 8}", "live", name, name)
                capacity = (16, 60000, 0, (SERVICE,), 8, 64)
                self.workers[name] = Worker(events.Vm(*location, *capacity))
            for index in range(self.settings.get("partitions", 1)):
                owner = f"{dc}-{index % nodes}"
                self.owners[f"{dc}/{index}"] = (owner, 1)
        for number, (dc, node) in enumerate(names):
            self.start(node, dc, number)

    def patch(self, monkeypatch):
        """Makes the ownership module use `owners` instead of leases."""
        monkeypatch.setattr(ownership, "owner_of", self.owner_of)
        monkeypatch.setattr(ownership, "epoch_of", self.epoch_of)
        monkeypatch.setattr(ownership, "mode", lambda state: "held")

    def owner_of(self, state, partition):
        return self.owners.get(partition, ("", 0))[0]

    def epoch_of(self, state, partition):
        owner, epoch = self.owners.get(partition, ("", 0))
        return epoch if owner == state.node else 0

    def start(self, node, dc, seed):
        state = self.states[node] = reducer.new_state()
        self.down_nodes.discard(node)
        self.open_attempts[node] = {}
        vms = tuple(w.vm for w in self.workers.values())
        identity = (node, dc, "valle", self.now, seed, self.settings)
        stream = [
            events.NodeStarted(0, *identity),
            events.VmListRead(0, 1, vms),
        ]
        for partition, (owner, epoch) in self.owners.items():
            if owner == node:
                acquired = (0, partition, epoch, False)
                stream.append(events.PartitionAcquired(*acquired))
        for event in stream:
            self.feed(node, event)
        for other in self.states.values():
            if other.data_centre == dc:
                continue
            for a, b in ((state, other), (other, state)):
                connected = (0, b.node, b.data_centre, 1)
                self.feed(a.node, events.PeerConnected(*connected))
        self.at(self.now + self.rng.randrange(50), self._tick, node, state)

    def at(self, when, call, *args):
        heapq.heappush(self.queue, (when, next(self.sequence), call, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = until

    def feed(self, node, event):
        if node in self.down_nodes or node in self.exited_nodes:
            return
        resumed = self.paused_until.get(node, 0)
        if self.now < resumed:
            self.at(resumed, self.feed, node, event)
            return
        state = self.states[node]
        for effect in self.on_reduce(state, event._replace(at=self.now)):
            self.perform_effect(node, effect)

    def _tick(self, node, state):
        if self.states[node] is not state:
            return
        self.feed(node, events.Tick(self.now))
        resumed = max(self.now + 50, self.paused_until.get(node, 0))
        if node not in self.exited_nodes and node not in self.down_nodes:
            self.at(resumed, self._tick, node, state)

    def request(
        self, node, req_id, work, idempotent=True, deadline_ms=10000, caller="c"
    ):
        self.origins[req_id] = (node, self.now)
        self.work_ms[req_id] = work
        self.idempotent[req_id] = idempotent
        self._arrive(node, req_id, deadline_ms, caller, 0)

    def _arrive(self, node, req_id, deadline_ms, caller, hops):
        idempotent = self.idempotent[req_id]
        head = (
            req_id,
            SERVICE,
            "GET" if idempotent else "POST",
            "/",
            idempotent,
        )
        arrived = events.RequestArrived(0, *head, caller, deadline_ms, hops)
        self.feed(node, arrived)

    def perform_effect(self, node, effect):
        if self.on_effect:
            self.on_effect(node, effect)
        kind = type(effect)
        if kind is fx.SendAttempt:
            self._send(node, effect)
        elif kind is fx.ForwardAttempt:
            self._forward(node, effect)
        elif kind is fx.CancelAttempt:
            self._close_attempt(node, effect.req_id, effect.attempt)
        elif kind is fx.RelayAnswer:
            self._record_outcome(node, effect.req_id, "answered", 200)
        elif kind is fx.AnswerError:
            self._record_outcome(
                node, effect.req_id, effect.outcome, effect.status
            )
            closed = events.RequestClosed(0, effect.req_id, True)
            self.at(self.now, self.feed, node, closed)
        elif kind is fx.SendPeer:
            if not self.is_cut(node, effect.peer):
                message = events.PeerMessage(0, node, effect.body)
                link = (node, effect.peer)
                when = max(
                    self.now + self.peer_delay_ms,
                    self.last_delivery.get(link, 0),
                )
                self.last_delivery[link] = when
                self.at(when, self.feed, effect.peer, message)
        elif kind is fx.Exit:
            self.exited_nodes.add(node)

    def is_cut(self, a, b):
        return (a, b) in self.cut_links or (b, a) in self.cut_links

    def _record_outcome(self, node, req_id, outcome, status):
        forwarded = self.open_attempts[node].pop(("from", req_id), None)
        if forwarded is not None:
            self.at(
                self.now + 4,
                self._finish_forwarded,
                *forwarded,
                outcome,
                status,
            )
            return
        self.outcomes[req_id].append(outcome)
        self.latency[req_id] = self.now - self.origins[req_id][1]

    def _forward(self, node, effect):
        key = (effect.req_id, effect.attempt)
        self.open_attempts[node][key] = None
        if effect.node in self.down_nodes or self.is_cut(node, effect.node):
            self._schedule_failure(
                node, *key, False, False, "connect", False, 3
            )
            return
        self.feed(node, events.AttemptSent(0, *key))
        self._schedule_failure(
            node, *key, True, False, "timeout", False, effect.timeout_ms
        )
        self.at(self.now + 4, self._arrive_forwarded, node, effect)

    def _arrive_forwarded(self, node, effect):
        if effect.node in self.down_nodes or effect.node in self.exited_nodes:
            return
        source = (node, effect.req_id, effect.attempt)
        self.open_attempts[effect.node]["from", effect.req_id] = source
        self._arrive(effect.node, effect.req_id, effect.timeout_ms, node, 1)

    def _finish_forwarded(self, node, req_id, attempt, outcome, status):
        if outcome == "not run":
            self._schedule_failure(
                node, req_id, attempt, True, True, "peer", False, 0
            )
        else:
            self._answer(node, req_id, attempt, status)

    def _send(self, node, effect):
        key = (effect.req_id, effect.attempt)
        self.open_attempts[node][key] = effect.worker
        self.attempts += 1
        worker = self.workers[effect.worker]
        if self.is_cut(node, effect.worker) or not worker.alive:
            self._schedule_failure(
                node, *key, False, False, "connect", False, 250
            )
            return
        self.feed(node, events.AttemptSent(0, *key))
        self.at(self.now + 1, self._reach_worker, node, key, worker)
        self._schedule_failure(
            node, *key, True, False, "timeout", False, effect.timeout_ms
        )

    def _reach_worker(self, node, key, worker):
        if not worker.alive:
            return
        if worker.leaving or len(worker.running) >= worker.vm.slots:
            worker.refusals += 1
            self._schedule_failure(
                node, *key, True, True, "status", worker.leaving, 1
            )
            return
        worker.running[node, key] = True
        self.runs[key[0]] += 1
        duration_ms = max(1, int(self.work_ms[key[0]] * worker.slowdown))
        duration_ms += max(0, worker.paused_until - self.now)
        self.at(self.now + duration_ms, self._finish_run, node, key, worker)

    def kill(self, name, reset):
        """Kills a worker; its connections are reset if `reset` is true."""
        worker = self.workers[name]
        worker.alive = False
        for node, key in worker.running:
            if reset:
                self._schedule_failure(
                    node, *key, True, False, "read", False, 1
                )
        worker.running.clear()

    def _finish_run(self, node, key, worker):
        if not worker.running.pop((node, key), False):
            return
        lost = self.rng.random() < self.lose_answers
        if lost or self.is_cut(node, worker.vm.vm):
            return
        delay = 2000 if self.rng.random() < self.late_answers else 1
        self.at(self.now + delay, self._answer, node, *key, 200)

    def _answer(self, node, req_id, attempt, status):
        if self.open_attempts[node].pop((req_id, attempt), self) is self:
            return
        if node in self.down_nodes:
            return
        complete = self.rng.random() >= self.cut_answers
        head = (0, req_id, attempt)
        self.feed(node, events.AttemptHeaders(*head, status, False))
        if complete:
            self.feed(node, events.AttemptDone(*head, status, 1))
        else:
            cut = (True, False, False, "body", "cut")
            self.feed(node, events.AttemptFailed(*head, *cut))
        self.feed(node, events.RequestClosed(0, req_id, complete))

    def _schedule_failure(
        self, node, req_id, attempt, sent, refused, step, leaving, delay
    ):
        cause = (sent, refused, leaving, step, step)
        failed = events.AttemptFailed(0, req_id, attempt, *cause)
        self.at(self.now + delay, self._deliver_failure, node, failed)

    def _deliver_failure(self, node, failed):
        if self._close_attempt(node, failed.req_id, failed.attempt):
            self.feed(node, failed)

    def _close_attempt(self, node, req_id, attempt):
        return self.open_attempts[node].pop((req_id, attempt), self) is not self
