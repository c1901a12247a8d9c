"""Nodes, workers and a network in virtual time, for tests and benchmarks."""

import collections
import heapq
import itertools
import random

from skylarklug import contracts
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import limits
from skylarklug import reducer

SERVICE = "certvault"


class Worker:
    """A worker with a guard; `slow` multiplies its service times."""

    def __init__(self, vm):
        self.vm = vm
        self.running = {}
        self.alive = True
        self.leaving = False
        self.slow = 1.0
        self.refused = 0
        self.paused_until = 0


class Sim:
    """Several nodes of data centres `dcs`, with `count` workers each."""

    def __init__(self, seed, dcs=("yumbo",), nodes=3, count=24, settings=None):
        self.rng = random.Random(seed)
        self.now = 0
        self.order = itertools.count()
        self.queue = []
        self.states = {}
        self.down = set()
        self.paused = {}
        self.cut = set()
        self.delay = 1
        self.last = {}
        self.workers = {}
        self.owners = {}
        self.views = {}
        self.exited = set()
        self.lose_answers = 0.0
        self.late_answers = 0.0
        self.cut_answers = 0.0
        self.runs = collections.Counter()
        self.sent = collections.Counter()
        self.attempts = 0
        self.work = {}
        self.home = {}
        self.idempotent = {}
        self.outcomes = collections.defaultdict(list)
        self.latency = {}
        self.live = {}
        self.peak = collections.Counter()
        self.on_effect = None
        self.on_reduce = reducer.reduce
        self.list_version = 0
        names = [(dc, f"{dc}-{i}") for dc in dcs for i in range(nodes)]
        listed = [
            {"node": n, "data_centre": dc, "region": "valle", "forward": n}
            for dc, n in names
        ]
        self.settings = {
            "nodes": listed,
            "nodes_per_data_centre": nodes,
            **(settings or {}),
        }
        for dc in dcs:
            for i in range(count):
                name = f"{dc[0]}-{i:04d}"
                vm = events.Vm(
                    name, dc, f"rack-{i // 8}", "live", name, name,
                    16, 60000, 0, (SERVICE,), 8, 64,
                )  # fmt: skip
                self.workers[name] = Worker(vm)
            for index in range(self.settings.get("partitions", 1)):
                owner = f"{dc}-{index % nodes}"
                self.owners[f"{dc}/{index}"] = (owner, 1)
        for number, (dc, node) in enumerate(names):
            self.start(node, dc, number)

    def patch(self, monkeypatch):
        """Answers ownership questions from `owners`."""
        monkeypatch.setattr(contracts, "owner_of", self.owner_of)
        monkeypatch.setattr(contracts, "epoch_of", self.epoch_of)
        monkeypatch.setattr(contracts, "mode", lambda state: "held")

    def owner_of(self, state, partition):
        return self.owners.get(partition, ("", 0))[0]

    def epoch_of(self, state, partition):
        owner, epoch = self.owners.get(partition, ("", 0))
        return epoch if owner == state.node else 0

    def start(self, node, dc, seed):
        state = self.states[node] = reducer.new_state()
        self.down.discard(node)
        self.live[node] = {}
        self.feed(
            node,
            events.NodeStarted(
                self.now, node, dc, "valle", self.now, seed, self.settings
            ),
        )
        for partition, (owner, epoch) in self.owners.items():
            if owner == node:
                self.feed(
                    node,
                    events.PartitionAcquired(self.now, partition, epoch, False),
                )
        for other in self.states.values():
            if other.node != node and other.data_centre != dc:
                for a, b in ((state, other), (other, state)):
                    self.feed(
                        a.node,
                        events.PeerConnected(
                            self.now, b.node, b.data_centre, 1
                        ),
                    )
        self.list_vms([node])
        self.at(self.now + self.rng.randrange(50), self._tick, node, state)

    def kill_node(self, node):
        """Kills a node; another one takes over its partitions after 3 s."""
        self.down.add(node)
        self.at(self.now + 3000, self.take_over, node)

    def take_over(self, node):
        for partition, (owner, epoch) in list(self.owners.items()):
            if owner != node:
                continue
            for name in sorted(self.states):
                if name in self.down or name in self.exited or name == node:
                    continue
                if name.split("-")[0] != partition.split("/")[0]:
                    continue
                self.owners[partition] = (name, epoch + 1)
                acquired = events.PartitionAcquired(
                    0, partition, epoch + 1, True
                )
                self.feed(name, acquired)
                break

    def list_vms(self, nodes=None):
        self.list_version += 1
        vms = tuple(w.vm for w in self.workers.values())
        for node in nodes or self.states:
            self.feed(node, events.VmListRead(self.now, self.list_version, vms))

    def at(self, when, call, *args):
        heapq.heappush(self.queue, (when, next(self.order), call, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = until

    def feed(self, node, event):
        if node in self.down or node in self.exited:
            return
        resumed = self.paused.get(node, 0)
        if self.now < resumed:
            self.at(resumed, self.feed, node, event)
            return
        state = self.states[node]
        for effect in self.on_reduce(state, event._replace(at=self.now)):
            self._perform(node, effect)

    def _tick(self, node, state):
        if self.states[node] is not state:
            return
        self.feed(node, events.Tick(self.now))
        resumed = max(self.now + 50, self.paused.get(node, 0))
        if node not in self.exited and node not in self.down:
            self.at(resumed, self._tick, node, state)

    def request(self, node, req_id, work, idempotent=True, deadline=10000,
                caller="c", hops=0):  # fmt: skip
        if not hops:
            self.home[req_id] = (node, self.now)
        self.work[req_id] = work
        self.idempotent[req_id] = idempotent
        self.feed(
            node,
            events.RequestArrived(
                self.now, req_id, SERVICE, "GET" if idempotent else "POST",
                "/", idempotent, caller, deadline, hops,
            ),
        )  # fmt: skip

    def _perform(self, node, effect):
        if self.on_effect:
            self.on_effect(node, effect)
        kind = type(effect)
        if kind is fx.SendAttempt:
            self._send(node, effect)
        elif kind is fx.ForwardAttempt:
            self._forward(node, effect)
        elif kind is fx.CancelAttempt:
            self._end(node, effect.req_id, effect.attempt)
        elif kind is fx.RelayAnswer:
            self._outcome(node, effect.req_id, "answered", 200)
        elif kind is fx.AnswerError:
            self._outcome(node, effect.req_id, effect.outcome, effect.status)
            closed = events.RequestClosed(0, effect.req_id, True)
            self.at(self.now, self.feed, node, closed)
        elif kind is fx.SendPeer:
            if not self.is_cut(node, effect.peer):
                message = events.PeerMessage(0, node, effect.body)
                link = (node, effect.peer)
                when = max(self.now + self.delay, self.last.get(link, 0))
                self.last[link] = when
                self.at(when, self.feed, effect.peer, message)
        elif kind is fx.Exit:
            self.exited.add(node)

    def is_cut(self, a, b):
        return (a, b) in self.cut or (b, a) in self.cut

    def _outcome(self, node, req_id, outcome, status):
        forwarded = self.live[node].pop(("from", req_id), None)
        if forwarded is not None:
            self.at(self.now + 4, self._forwarded, *forwarded, outcome, status)
            return
        self.outcomes[req_id].append(outcome)
        self.latency[req_id] = self.now - self.home[req_id][1]

    def _forward(self, node, effect):
        key = (effect.req_id, effect.attempt)
        self.live[node][key] = None
        if effect.node in self.down or self.is_cut(node, effect.node):
            self._fail(node, *key, False, False, "connect", False, 3)
            return
        self.feed(node, events.AttemptSent(0, *key))
        self._fail(node, *key, True, False, "timeout", False, effect.timeout_ms)
        source = (node, *key)
        self.at(self.now + 4, self._arrive_forwarded, effect, source)

    def _arrive_forwarded(self, effect, source):
        if effect.node in self.down or effect.node in self.exited:
            return
        self.live[effect.node]["from", effect.req_id] = source
        self.request(
            effect.node, effect.req_id, self.work[effect.req_id],
            self.idempotent[effect.req_id], effect.timeout_ms, hops=1,
        )  # fmt: skip

    def _forwarded(self, node, req_id, attempt, outcome, status):
        if outcome == "not run":
            self._fail(node, req_id, attempt, True, True, "peer", False, 0)
        else:
            self._answer(node, req_id, attempt, status)

    def _send(self, node, effect):
        key = (effect.req_id, effect.attempt)
        self.live[node][key] = effect.worker
        self.attempts += 1
        self._check_slots(effect.worker)
        worker = self.workers[effect.worker]
        if self.is_cut(node, effect.worker) or not worker.alive:
            self._fail(node, *key, False, False, "connect", False, 250)
            return
        self.sent[effect.req_id] += 1
        self.feed(node, events.AttemptSent(0, *key))
        self.at(self.now + 1, self._reach, node, key, worker)
        self._fail(node, *key, True, False, "timeout", False, effect.timeout_ms)

    def _check_slots(self, worker):
        total = 0
        for node, state in self.states.items():
            slots = limits.get(state, worker)
            if slots is not None and node not in self.down:
                total += slots.in_use
        self.peak[worker] = max(self.peak[worker], total)

    def _reach(self, node, key, worker):
        if not worker.alive:
            return
        if worker.leaving or len(worker.running) >= worker.vm.slots:
            worker.refused += 1
            self._fail(node, *key, True, True, "status", worker.leaving, 1)
            return
        worker.running[node, key] = True
        self.runs[key[0]] += 1
        took = max(1, int(self.work[key[0]] * worker.slow))
        took += max(0, worker.paused_until - self.now)
        self.at(self.now + took, self._ran, node, key, worker)

    def kill(self, name, reset):
        """Ends a worker, with or without closing its connections."""
        worker = self.workers[name]
        worker.alive = False
        for node, key in worker.running:
            if reset:
                self._fail(node, *key, True, False, "read", False, 1)
        worker.running.clear()

    def _ran(self, node, key, worker):
        if not worker.running.pop((node, key), False):
            return
        if self.is_cut(node, worker.vm.vm):
            return
        if self.rng.random() < self.lose_answers:
            return
        delay = 1
        if self.rng.random() < self.late_answers:
            delay = 2000
        self.at(self.now + delay, self._answer, node, *key, 200)

    def _answer(self, node, req_id, attempt, status):
        if self.live[node].pop((req_id, attempt), self) is self:
            return
        if node in self.down:
            return
        self.feed(
            node, events.AttemptHeaders(0, req_id, attempt, status, False)
        )
        if self.rng.random() < self.cut_answers:
            failed = events.AttemptFailed(
                0, req_id, attempt, True, False, False, "body", "cut"
            )
            self.feed(node, failed)
            self.feed(node, events.RequestClosed(0, req_id, False))
            return
        self.feed(node, events.AttemptDone(0, req_id, attempt, status, 1))
        self.feed(node, events.RequestClosed(0, req_id, True))

    def _fail(self, node, req_id, attempt, sent, refused, step, leaving, delay):
        failed = events.AttemptFailed(
            0, req_id, attempt, sent, refused, leaving, step, step
        )
        self.at(self.now + delay, self._failed, node, failed)

    def _failed(self, node, failed):
        if self._end(node, failed.req_id, failed.attempt):
            self.feed(node, failed)

    def _end(self, node, req_id, attempt):
        return self.live[node].pop((req_id, attempt), self) is not self
