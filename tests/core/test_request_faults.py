"""Tests of requests and slot lending under seeded faults, in virtual time."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from tests.core import fakes

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import lending
from skylarklug import limits
from skylarklug import ownership

SCHEDULES = 200
REQUESTS = 150
FAULT_PERIOD_MS = 5_000
RUN_MS = 30_000


class Schedule:
    """A simulation with random requests and random faults."""

    def __init__(self, seed, monkeypatch, fault_names):
        self.rng = random.Random(seed)
        data_centres = ("yumbo", "palmira")[: 1 + seed % 2]
        stop = {"notice_ms": 500, "drain_ms": 15_000}
        self.sim = fakes.Sim(
            seed, data_centres, nodes=3, count=4, settings={"stop": stop}
        )
        self.sim.patch(monkeypatch)
        self.sim.on_effect = self._record_slots_in_use
        self.peak_slots_in_use = 0
        self.stopped_nodes = set()
        self.killed_at = {}
        for _ in range(2 + seed % 5):
            when = self.rng.randrange(FAULT_PERIOD_MS)
            self.sim.at(when, getattr(self, self.rng.choice(fault_names)))
        for number in range(REQUESTS):
            when = self.rng.randrange(FAULT_PERIOD_MS)
            self.sim.at(when, self._send_request, f"r{number}")
        self.sim.run(RUN_MS)

    def _send_request(self, req_id):
        serving = (
            set(self.sim.states) - self.sim.down_nodes - self.stopped_nodes
        )
        if not serving:
            return
        node = self.rng.choice(sorted(serving))
        work = min(1500.0, self.rng.lognormvariate(4.5, 1.0))
        idempotent = self.rng.random() < 0.5
        deadline = self.rng.choice((300, 2000, 5000))
        self.sim.request(
            node, req_id, work, idempotent, deadline, f"c{len(req_id) % 3}"
        )

    def _node(self):
        return self.rng.choice(sorted(self.sim.states))

    def _worker(self):
        return self.rng.choice(sorted(self.sim.workers))

    def kill_worker(self):
        self.sim.kill(self._worker(), self.rng.random() < 0.5)

    def pause_worker(self):
        worker = self.sim.workers[self._worker()]
        worker.paused_until = self.sim.now + self.rng.choice((500, 3000))

    def slow_worker(self):
        self.sim.workers[self._worker()].slowdown = 5.0

    def leave_worker(self):
        self.sim.workers[self._worker()].leaving = True

    def kill_node(self):
        node = self._node()
        if (
            node not in self.sim.down_nodes
            and node not in self.sim.exited_nodes
        ):
            self.killed_at[node] = self.sim.now
            self.sim.down_nodes.add(node)
            self.sim.at(self.sim.now + 3000, self._take_over, node)

    def _take_over(self, node):
        sim = self.sim
        for partition, (owner, epoch) in list(sim.owners.items()):
            if owner != node:
                continue
            dc = partition.split("/")[0]
            gone = sim.down_nodes | sim.exited_nodes
            found = [n for n in sorted(sim.states) if n.startswith(dc)]
            found = [n for n in found if n not in gone]
            if not found:
                continue
            sim.owners[partition] = (found[0], epoch + 1)
            acquired = (0, partition, epoch + 1, True)
            sim.feed(found[0], events.PartitionAcquired(*acquired))

    def _record_slots_in_use(self, node, effect):
        if type(effect) is not fx.SendAttempt:
            return
        used = sum(
            limits.get(state, effect.worker).in_use
            for state in self.sim.states.values()
            if limits.get(state, effect.worker)
        )
        self.peak_slots_in_use = max(self.peak_slots_in_use, used)

    def pause_node(self):
        until = self.sim.now + self.rng.choice((300, 2500, 6000))
        self.sim.paused_until[self._node()] = until

    def stop_node(self):
        node = self._node()
        if len(self.stopped_nodes) < 2:
            self.stopped_nodes.add(node)
            self.sim.feed(node, events.StopRequested(0))

    def cut_nodes(self):
        self._cut((self._node(), self._node()))

    def cut_worker(self):
        self._cut((self._node(), self._worker()))

    def _cut(self, link):
        self.sim.cut_links.add(link)
        heal = self.sim.now + self.rng.choice((500, 3000))
        self.sim.at(heal, self.sim.cut_links.discard, link)

    def lose_answers(self):
        self.sim.lose_answers = 0.2
        self.sim.at(self.sim.now + 1000, setattr, self.sim, "lose_answers", 0)

    def late_answers(self):
        self.sim.late_answers = 0.3
        self.sim.at(self.sim.now + 1000, setattr, self.sim, "late_answers", 0)

    def cut_answers(self):
        self.sim.cut_answers = 0.2
        self.sim.at(self.sim.now + 1000, setattr, self.sim, "cut_answers", 0)

    def check(self):
        sim = self.sim
        for req_id, (node, _) in sim.origins.items():
            found = sim.outcomes[req_id]
            if node not in self.killed_at:
                assert len(found) == 1, (req_id, node, found)
            assert len(found) <= 1, (req_id, node, found)
            if not sim.idempotent[req_id]:
                assert sim.runs[req_id] <= 1, (req_id, "ran twice")
            if found == ["not run"]:
                assert sim.runs[req_id] == 0, (req_id, "false not run")
        for node in self.stopped_nodes - set(self.killed_at):
            assert node in sim.exited_nodes, (node, "did not exit")
        for name, state in sim.states.items():
            if name in sim.down_nodes or name in sim.exited_nodes:
                continue
            slots = state.domains["limits"].slots
            busy = {w: s.in_use for w, s in slots.items() if s.in_use}
            assert not busy, (name, "slots leaked", busy)


MILD_FAULTS = ("slow_worker", "leave_worker", "pause_worker", "stop_node")
WORKER_FAULTS = (
    *MILD_FAULTS,
    "kill_worker",
    "cut_worker",
    "lose_answers",
    "late_answers",
)
ALL_FAULTS = (
    *WORKER_FAULTS,
    "cut_answers",
    "kill_node",
    "pause_node",
    "cut_nodes",
)


class TestFaultSchedules:
    @pytest.mark.parametrize("seed", range(SCHEDULES))
    def test_outcomes_hold_under_all_faults(self, seed, monkeypatch):
        """Checks invariants I4, I5, I6 and I8 under any mix of faults."""
        schedule = Schedule(seed, monkeypatch, ALL_FAULTS)
        schedule.check()

    @pytest.mark.parametrize("seed", range(1000, 1040))
    def test_slots_hold_while_nodes_reach_each_other(self, seed, monkeypatch):
        """Guards against lending a slot twice, at any load or during a stop."""
        schedule = Schedule(seed, monkeypatch, WORKER_FAULTS)
        schedule.check()
        assert schedule.peak_slots_in_use <= 8

    def test_replay_gives_identical_effects(self, monkeypatch):
        """Guards against inputs of the request domains that are not events."""
        runs = []
        for _ in range(2):
            found = []
            original = fakes.Sim.perform_effect

            def perform(sim, node, effect, found=found, original=original):
                found.append((sim.now, node, repr(effect)))
                original(sim, node, effect)

            with monkeypatch.context() as patch:
                patch.setattr(fakes.Sim, "perform_effect", perform)
                Schedule(3, patch, ALL_FAULTS)
            runs.append(found)
        assert runs[0] == runs[1]
        assert any("SendAttempt" in line for *_, line in runs[0])


class Lending(stateful.RuleBasedStateMachine):
    """Three nodes share workers while links fail and the lender changes."""

    LAST_MS = 300
    nodes = st.sampled_from(("yumbo-0", "yumbo-1", "yumbo-2"))

    def __init__(self):
        super().__init__()
        self.before = ownership.owner_of, ownership.epoch_of
        self.sim = fakes.Sim(5, nodes=3, count=3)
        ownership.owner_of = self.sim.owner_of
        ownership.epoch_of = self.sim.epoch_of
        self.sim.run(3000)

    def teardown(self):
        ownership.owner_of, ownership.epoch_of = self.before

    @stateful.rule(node=nodes, amount=st.integers(1, 20))
    def use(self, node, amount):
        state = self.sim.states[node]
        limits.add_demand(state, fakes.SERVICE, amount)
        end = self.sim.now + self.LAST_MS
        self.sim.at(end, limits.add_demand, state, fakes.SERVICE, -amount)
        effects = []
        state.now = self.sim.now
        limits.request_more_slots(state, effects)
        for effect in effects:
            self.sim.perform_effect(node, effect)
        for worker in self.sim.workers:
            slots = limits.get(state, worker)
            while slots.free(self.sim.now) > 0 and amount:
                amount -= 1
                limits.acquire(state, worker)
                self.sim.at(end, limits.release, state, worker)

    @stateful.rule(ms=st.sampled_from((1, 2, 10, 60, 300, 700, 2500)))
    def pass_time(self, ms):
        self.sim.run(self.sim.now + ms)

    @stateful.rule(a=nodes, b=nodes)
    def cut(self, a, b):
        self.sim.cut_links.add((a, b))

    @stateful.rule(ms=st.sampled_from((1, 50, 900, 1700)))
    def delay(self, ms):
        self.sim.peer_delay_ms = ms

    @stateful.rule()
    def heal(self):
        self.sim.cut_links.clear()

    @stateful.rule(node=nodes)
    def change_owner(self, node):
        owner, epoch = self.sim.owners["yumbo/0"]
        if owner == node:
            return
        lost = events.PartitionLost(0, "yumbo/0", "test")
        self.sim.feed(owner, lost)
        self.sim.owners["yumbo/0"] = (node, epoch + 1)
        acquired = events.PartitionAcquired(0, "yumbo/0", epoch + 1, True)
        self.sim.feed(node, acquired)

    @stateful.invariant()
    def slots_are_never_exceeded(self):
        for worker in self.sim.workers:
            used = sum(
                limits.get(state, worker).in_use
                for state in self.sim.states.values()
            )
            assert used <= 8, (worker, used)


Lending.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


class TestLending(Lending.TestCase):
    """Guards against lending one slot to two nodes at a time."""


class TestLender:
    def test_reductions_carry_new_sequence_numbers(self):
        """Guards against treating a reduction as acknowledged too early.

        Each reduction needs a sequence number above those that its holder has
        already acknowledged. Otherwise an older acknowledgement would release
        slots that the holder still uses.
        """
        lender = lending.Lender("yumbo/0", 1)
        lending.set_workers(lender, [(f"w-{i}", 6, ("s",)) for i in range(4)])

        def report(demand, ack):
            return lending.Report(ack, [0] * 4, {"s": demand}, False)

        def want(node, now, demand):
            return lending.grant(lender, now, node, report(demand, 0))

        want("b", 1000, 10)
        *_, reductions = want("c", 1001, 10)
        lending.record_report(lender, 1002, "b", report(10, reductions[0][1]))
        held = {"b": reductions[0][1], "c": want("c", 1003, 10)[0]}
        *_, reductions = want("a", 1300, 100)
        assert [entry[0] for entry in reductions] == ["b", "c"]
        for node, seq, reduced in reductions:
            assert seq > held[node]
            lending.record_report(lender, 1301, node, report(10, seq))
            assert lender.holders[node].committed(1301) == reduced


class TestDemand:
    def test_busy_node_gets_idle_slots(self, monkeypatch):
        """Guards against slots that stay idle while a node needs them."""
        sim = fakes.Sim(1, nodes=3, count=3)
        sim.patch(monkeypatch)
        sim.run(4000)
        for number in range(30):
            sim.request("yumbo-1", f"r{number}", 3000.0)
        sim.run(5500)
        state = sim.states["yumbo-1"]
        used = sum(limits.get(state, w).in_use for w in sim.workers)
        # 24 slots minus the base shares of the other two nodes.
        assert used == 18

    def test_delayed_grant_ends_with_the_request_for_it(self, monkeypatch):
        """Guards against using a delayed grant after the lender dropped it.

        The lifetime of a grant starts at the request, not at the answer.
        """
        sim = fakes.Sim(1, nodes=3, count=3)
        sim.patch(monkeypatch)
        state = sim.states["yumbo-1"]
        sim.run(4000)
        sim.cut_links.add(("yumbo-0", "yumbo-1"))
        sim.run(8000)
        slots = limits.get(state, "y-0000")
        assert slots.usable(sim.now) == 1
        body = {
            "kind": "slots-grant",
            "partition": "yumbo/0",
            "epoch": 1,
            "seq": 10**6,
            "sent": 8000 - 1700,
            "list": 0,
            "slots": {"y-0000": 5},
            "others": {},
        }
        sim.feed("yumbo-1", events.PeerMessage(0, "yumbo-0", body))
        assert slots.usable(8000 - 1700 + 1799) == 6
        assert slots.usable(8000 - 1700 + 1800) == 1

    def test_grants_go_on_while_vm_lists_differ(self, monkeypatch):
        """Guards against assigning counts to the wrong workers.

        While the VM lists of lender and holder differ, grants must carry names
        instead of packed counts.
        """
        sim = fakes.Sim(1, nodes=3, count=3)
        sim.patch(monkeypatch)
        sim.run(4000)
        for node, gone in (("yumbo-0", "y-0000"), ("yumbo-1", "y-0001")):
            kept = [w.vm for w in sim.workers.values() if w.vm.vm != gone]
            sim.feed(node, events.VmListRead(0, 9, tuple(kept)))
        sim.run(8000)
        grants = []
        sim.on_effect = lambda node, effect: (
            grants.append(effect.body)
            if type(effect) is fx.SendPeer and effect.peer == "yumbo-1"
            else None
        )
        sim.run(10000)
        assert grants and all(type(g["slots"]) is dict for g in grants)
        state = sim.states["yumbo-1"]
        assert limits.get(state, "y-0000").usable(sim.now) == 1
        assert limits.get(state, "y-0002").usable(sim.now) > 1

    def test_without_lender_base_shares_apply(self):
        """Guards against sending nothing while the lender is unknown."""
        sim = fakes.Sim(1, nodes=3, count=3)
        sent = []
        sim.on_effect = lambda node, effect: (
            sent.append(effect) if type(effect) is fx.SendAttempt else None
        )
        for number in range(30):
            sim.request("yumbo-1", f"r{number}", 3000.0)
        sim.run(1000)
        assert len(sent) == 3
