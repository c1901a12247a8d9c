"""Tests of the shared state under random faults, in virtual time."""

import random

import pytest
from tests.core import shared_fakes

from skylarklug import configuration
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import membership
from skylarklug import ownership

# Number of schedules, one per seed.
SEEDS = 200
# Faults are injected until this time.
FAULTS_UNTIL_MS = 70_000
# End of a schedule, at which all nodes must have recovered.
END_MS = 120_000
# An effect may be delivered this long after it was sent.
EFFECT_VALID_MS = 1_000
# Time in which a new configuration must reach all nodes.
PROPAGATION_MS = 5_000
# A node may be reported as down for this long after a disturbance. No node may
# be reported as down within this time of the end.
DISTURBANCE_MS = 20_000


class Schedule(shared_fakes.Cluster):
    """A cluster with random faults that checks the invariants.

    `disturbed` maps a node to the time until which it was last disturbed by a
    start, stop or pause. `last_action` maps a partition to the owner that last
    acted for it, with its epoch and the time until which its effects may be
    delivered.
    """

    def __init__(self, seed):
        rng = random.Random(f"schedule-{seed}")
        names = ("yumbo", "palmira", "jamundi")[: rng.randint(1, 3)]
        sizes = {name: 3 for name in names}
        super().__init__(seed, sizes, partitions=rng.randint(1, 4))
        self.tick_ms = 100
        self.fault_rng = rng
        self.last_table_fault_at = 0
        self.last_link_fault_at = 0
        self.split_until = 0
        self.disturbed = {}
        self.config = {}
        self.accepted = {}
        self.last_action = {}
        self.checked_writes = 0
        self.epochs = {}
        self.operations = set()
        self.final_changes = []
        self.observers.append(Schedule.check)
        self.start()
        at = 8_000
        while at < FAULTS_UNTIL_MS:
            self.at(at, self.inject_fault)
            at += rng.randint(1_000, 8_000)
        for at in range(9_000, FAULTS_UNTIL_MS, 7_000):
            self.at(at, self.change_configuration)
        self.at(FAULTS_UNTIL_MS, self.end_faults)

    # Faults.

    def start(self, *names):
        for name in names or self.nodes:
            self.record_disturbance(name)
            self.config[name] = 0
        super().start(*names)
        for name in names or self.nodes:
            node = self.nodes[name]
            original = node.state.raise_event

            def record(event, name=name, original=original):
                if isinstance(event, events.MemberChanged):
                    self.check_member(name, event)
                original(event)

            node.state.raise_event = record

    def record_disturbance(self, name, until=None):
        until = self.now if until is None else until
        self.disturbed[name] = max(self.disturbed.get(name, 0), until)

    def inject_fault(self):
        kinds = (
            self.outage,
            self.lose_table_answers,
            self.slow_table,
            self.cut_off_from_table,
            self.lose_messages,
            self.block_one_direction,
            self.split_network,
            self.pause_node,
            self.crash_node,
            self.stop_gracefully,
            self.restart_all,
        )
        self.fault_rng.choice(kinds)(self.fault_rng.randint(3_000, 25_000))

    def reset_later(self, duration_ms, owner, name, value):
        self.at(self.now + duration_ms, self.reset, owner, name, value)

    def reset(self, owner, name, value):
        if owner is self.table:
            self.last_table_fault_at = self.now
        setattr(owner, name, value)

    def outage(self, duration_ms):
        self.table.outage = True
        self.reset_later(duration_ms, self.table, "outage", False)

    def lose_table_answers(self, duration_ms):
        self.table.lose_answers = 0.4
        self.reset_later(duration_ms, self.table, "lose_answers", 0.0)

    def slow_table(self, duration_ms):
        self.table.delay_ms = self.fault_rng.choice((300, 900, 2_500))
        self.reset_later(duration_ms, self.table, "delay_ms", 0)

    def cut_off_from_table(self, duration_ms):
        self.table.cut_off = {self.pick_node()}
        self.reset_later(duration_ms, self.table, "cut_off", set())

    def lose_messages(self, duration_ms):
        self.loss = 0.3
        self.reset_later(duration_ms, self, "loss", 0.0)

    def block_one_direction(self, duration_ms):
        pair = tuple(self.fault_rng.sample(sorted(self.nodes), 2))
        self.blocked = {pair}
        self.reset_later(duration_ms, self, "blocked", set())

    def split_network(self, duration_ms):
        side = self.fault_rng.sample(sorted(self.nodes), len(self.nodes) // 2)
        rest = [name for name in self.nodes if name not in side]
        self.blocked = {(a, b) for a in side for b in rest}
        self.blocked |= {(b, a) for a, b in self.blocked}
        self.split_until = self.now + duration_ms
        self.reset_later(duration_ms, self, "blocked", set())

    def pause_node(self, duration_ms):
        name = self.pick_node()
        duration_ms = self.fault_rng.choice((500, 2_000, duration_ms, 40_000))
        duration_ms = min(duration_ms, FAULTS_UNTIL_MS - self.now)
        self.pause(name, duration_ms)
        self.record_disturbance(name, self.now + duration_ms)

    def crash_node(self, duration_ms):
        name = self.pick_node()
        self.kill(name)
        self.record_disturbance(name, self.now + duration_ms)
        self.at(self.now + duration_ms, self.start, name)

    def stop_gracefully(self, duration_ms):
        name = self.pick_node()
        node = self.nodes[name]
        self.record_disturbance(name, self.now + duration_ms)
        if node.state is None or self.now < node.paused_until:
            return
        start = node.starts

        def done(state, effects, result):
            if node.starts == start and node.state is not None:
                self.at(self.now, self.kill, name)
                self.at(self.now + duration_ms, self.start, name)

        self.call(name, ownership.release_all, done)

    def restart_all(self, duration_ms):
        gap_ms = self.fault_rng.choice((0, 100, 2_000))
        for index, name in enumerate(self.nodes):
            self.at(self.now + index * gap_ms, self.start, name)

    def pick_node(self):
        return self.fault_rng.choice(sorted(self.nodes))

    def end_faults(self):
        self.clear_faults()
        self.last_table_fault_at = self.last_link_fault_at = self.now
        for name, node in self.nodes.items():
            if node.state is None or node.state.domains["ownership"].stopping:
                self.start(name)

    # Configuration changes.

    def change_configuration(self):
        name = self.pick_node()
        node = self.nodes[name]
        if node.state is None or self.now < node.paused_until:
            return
        changed_at = self.now

        def edit(document):
            document["limits"] = {"changed_at": changed_at}
            return document

        def done(state, effects, status, body):
            if status == "done":
                version = body["version"]
                assert version not in self.accepted
                self.accepted[version] = changed_at
                self.at(
                    self.now + PROPAGATION_MS,
                    self.check_propagation,
                    version,
                    self.now,
                )

        self.call(name, configuration.change, "ana", edit, 0, done)

    # Invariants.

    def is_faulty(self):
        table = self.table
        return bool(
            table.outage
            or table.lose_answers
            or table.delay_ms
            or table.cut_off
        )

    def check_propagation(self, version, since):
        table_ok = not self.is_faulty() and self.last_table_fault_at < since
        if not table_ok:
            return
        for name, node in self.nodes.items():
            if (
                node.state is None
                or self.disturbed[name] > since - PROPAGATION_MS
            ):
                continue
            assert configuration.version(node.state) >= version, name

    def check_member(self, observer, event):
        """Checks that a node is down only after a disturbance or partition."""
        if self.now >= END_MS - DISTURBANCE_MS:
            self.final_changes.append((self.now, observer, event))
        if event.state != "down":
            return
        since = self.now - DISTURBANCE_MS
        own = self.nodes[observer]
        local_nodes = [
            other
            for other in self.nodes.values()
            if other.data_centre == own.data_centre and other.state is not None
        ]
        is_expected = (
            self.disturbed[event.node] > since
            or self.disturbed[observer] > since
            or self.split_until > since
            or any(event.node in pair for pair in self.blocked)
            and (len(local_nodes) < 3 or self.loss)
        )
        assert is_expected, (self.now, observer, event)

    def check(self, node, event, effects):
        self.check_writes()
        self.check_version(node)
        own = node.state.domains["ownership"]
        for effect in effects:
            if isinstance(effect, fx.PutObject):
                partition = effect.key.split("/", 1)[1].rpartition("/")[0]
                assert partition in own.owned
        if not own.owned:
            return
        held = ownership.mode(node.state) == "held"
        for partition, epoch in own.owned.items():
            if not held:
                continue
            # An effect sent now is delivered within EFFECT_VALID_MS.
            version, row = self.table.rows[f"partition/{partition}"]
            assert (row["owner"], row["epoch"]) == (node.name, epoch)
            deliverable_until = self.now + EFFECT_VALID_MS
            self.last_action[partition] = (node.name, epoch, deliverable_until)
            for other in self.nodes.values():
                if other is node or other.state is None:
                    continue
                other_ownership = other.state.domains["ownership"]
                may_act = (
                    self.now < other_ownership.held_until
                    and other_ownership.has_lease
                )
                assert not (may_act and partition in other_ownership.owned)

    def check_writes(self):
        """Checks that epochs increase and no transaction is applied twice."""
        new = self.table.writes[self.checked_writes :]
        self.checked_writes += len(new)
        fenced = {
            (at, key) for at, _, key, value in new if "fenced_by" in value
        }
        for at, node, key, value in new:
            assert (key, value["op"]) not in self.operations
            self.operations.add((key, value["op"]))
            if not key.startswith("partition/"):
                continue
            partition = key.removeprefix("partition/")
            epoch, owner = self.epochs.get(partition, (0, ""))
            if value["owner"]:
                assert value["epoch"] == epoch + 1
            else:
                assert (value["epoch"], node) == (epoch, owner)
            self.epochs[partition] = (value["epoch"], value["owner"] or node)
            name, acting_epoch, deliverable_until = self.last_action.get(
                partition, ("", 0, 0)
            )
            if (at, f"node/{name}") in fenced and acting_epoch == epoch:
                assert deliverable_until <= at

    def check_version(self, node):
        version = configuration.version(node.state)
        assert version >= self.config[node.name]
        if version != self.config[node.name]:
            row = self.table.rows[f"config/history/{version}"][1]
            document = configuration.current(node.state)
            assert document == row["document"]
        self.config[node.name] = version

    def check_recovered(self):
        """Checks that the cluster has recovered from all faults."""
        version = self.table.rows["config/current"][1]["version"]
        assert max(self.accepted, default=0) <= version
        for name, node in self.nodes.items():
            assert configuration.version(node.state) == version
            assert ownership.mode(node.state) == "held", name
            local_nodes = membership.live_nodes(node.state, node.data_centre)
            assert len(local_nodes) == 3, (name, local_nodes)
        for partition in self.epochs:
            owners = [
                node.name
                for node in self.nodes.values()
                if ownership.epoch_of(node.state, partition)
            ]
            assert len(owners) == 1, (partition, owners)
        down_events = [
            change for change in self.final_changes if change[2].state == "down"
        ]
        assert down_events == []


class TestSchedules:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_invariants_hold(self, seed):
        """Guards against two owners, reverted versions and flapping members."""
        schedule = Schedule(seed)
        schedule.run(END_MS)
        schedule.check_recovered()
