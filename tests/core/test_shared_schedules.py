"""Seeded fault schedules for shared state in virtual time."""

import random

import pytest
from tests.core import shared_fakes

from skylarklug import configuration
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import membership
from skylarklug import ownership

SEEDS = 200
FAULTS_UNTIL_MS = 70_000
SETTLED_MS = 120_000
GOOD_FOR_MS = 1_000
SPREAD_MS = 5_000
EXCUSE_MS = 20_000


class Schedule(shared_fakes.Cluster):
    """A cluster under random faults, with the invariants checked."""

    def __init__(self, seed):
        rng = random.Random(f"schedule-{seed}")
        names = ("yumbo", "palmira", "jamundi")[: rng.randint(1, 3)]
        sizes = {name: 3 for name in names}
        super().__init__(seed, sizes, partitions=rng.randint(1, 4))
        self.tick_ms = 100
        self.chooser = rng
        self.last_table_fault = 0
        self.last_link_fault = 0
        self.last_cut = 0
        self.disturbed = {}
        self.config = {}
        self.accepted = {}
        self.last_action = {}
        self.checked_writes = 0
        self.epochs = {}
        self.operations = set()
        self.changes_after = []
        self.observers.append(Schedule.check)
        self.start()
        at = 8_000
        while at < FAULTS_UNTIL_MS:
            self.at(at, self.inject)
            at += rng.randint(1_000, 8_000)
        for at in range(9_000, FAULTS_UNTIL_MS, 7_000):
            self.at(at, self.change)
        self.at(FAULTS_UNTIL_MS, self.end_faults)

    # Faults.

    def start(self, *names):
        for name in names or self.nodes:
            self.disturb(name)
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

    def disturb(self, name, until=None):
        until = self.now if until is None else until
        self.disturbed[name] = max(self.disturbed.get(name, 0), until)

    def inject(self):
        kinds = (
            self.outage,
            self.lost_answers,
            self.slow_table,
            self.table_cut,
            self.loss_of_messages,
            self.one_way,
            self.split,
            self.long_pause,
            self.crash,
            self.planned_stop,
            self.restart_all,
        )
        self.chooser.choice(kinds)(self.chooser.randint(3_000, 25_000))

    def later(self, duration_ms, owner, name, value):
        self.at(self.now + duration_ms, self.undo, owner, name, value)

    def undo(self, owner, name, value):
        if owner is self.table:
            self.last_table_fault = self.now
        setattr(owner, name, value)

    def outage(self, duration_ms):
        self.table.outage = True
        self.later(duration_ms, self.table, "outage", False)

    def lost_answers(self, duration_ms):
        self.table.lose_answers = 0.4
        self.later(duration_ms, self.table, "lose_answers", 0.0)

    def slow_table(self, duration_ms):
        self.table.delay_ms = self.chooser.choice((300, 900, 2_500))
        self.later(duration_ms, self.table, "delay_ms", 0)

    def table_cut(self, duration_ms):
        self.table.cut_off = {self.pick()}
        self.later(duration_ms, self.table, "cut_off", set())

    def loss_of_messages(self, duration_ms):
        self.loss = 0.3
        self.later(duration_ms, self, "loss", 0.0)

    def one_way(self, duration_ms):
        pair = tuple(self.chooser.sample(sorted(self.nodes), 2))
        self.blocked = {pair}
        self.later(duration_ms, self, "blocked", set())

    def split(self, duration_ms):
        side = self.chooser.sample(sorted(self.nodes), len(self.nodes) // 2)
        rest = [name for name in self.nodes if name not in side]
        self.blocked = {(a, b) for a in side for b in rest}
        self.blocked |= {(b, a) for a, b in self.blocked}
        self.last_cut = self.now + duration_ms
        self.later(duration_ms, self, "blocked", set())

    def long_pause(self, duration_ms):
        name = self.pick()
        duration_ms = self.chooser.choice((500, 2_000, duration_ms, 40_000))
        duration_ms = min(duration_ms, FAULTS_UNTIL_MS - self.now)
        self.pause(name, duration_ms)
        self.disturb(name, self.now + duration_ms)

    def crash(self, duration_ms):
        name = self.pick()
        self.kill(name)
        self.disturb(name, self.now + duration_ms)
        self.at(self.now + duration_ms, self.start, name)

    def planned_stop(self, duration_ms):
        name = self.pick()
        node = self.nodes[name]
        self.disturb(name, self.now + duration_ms)
        if node.state is None or self.now < node.paused_until:
            return
        start = node.starts

        def done(state, effects, result):
            if node.starts == start and node.state is not None:
                self.at(self.now, self.kill, name)
                self.at(self.now + duration_ms, self.start, name)

        self.call(name, ownership.release_all, done)

    def restart_all(self, duration_ms):
        gap_ms = self.chooser.choice((0, 100, 2_000))
        for index, name in enumerate(self.nodes):
            self.at(self.now + index * gap_ms, self.start, name)

    def pick(self):
        return self.chooser.choice(sorted(self.nodes))

    def end_faults(self):
        self.clear_faults()
        self.last_table_fault = self.last_link_fault = self.now
        for name, node in self.nodes.items():
            if node.state is None or node.state.domains["ownership"].stopping:
                self.start(name)

    # Configuration changes.

    def change(self):
        name = self.pick()
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
                    self.now + SPREAD_MS, self.check_spread, version, self.now
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

    def check_spread(self, version, since):
        table_ok = not self.is_faulty() and self.last_table_fault < since
        if not table_ok:
            return
        for name, node in self.nodes.items():
            if node.state is None or self.disturbed[name] > since - SPREAD_MS:
                continue
            assert configuration.version(node.state) >= version, name

    def check_member(self, observer, event):
        """A node is only called down when it was disturbed or cut off."""
        if self.now >= SETTLED_MS - EXCUSE_MS:
            self.changes_after.append((self.now, observer, event))
        if event.state != "down":
            return
        since = self.now - EXCUSE_MS
        own = self.nodes[observer]
        near = [
            other
            for other in self.nodes.values()
            if other.data_centre == own.data_centre and other.state is not None
        ]
        excused = (
            self.disturbed[event.node] > since
            or self.disturbed[observer] > since
            or self.last_cut > since
            or any(event.node in pair for pair in self.blocked)
            and (len(near) < 3 or self.loss)
        )
        assert excused, (self.now, observer, event)

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
            # An effect is sent now, at the latest GOOD_FOR_MS later.
            version, row = self.table.rows[f"partition/{partition}"]
            assert (row["owner"], row["epoch"]) == (node.name, epoch)
            valid_until = self.now + GOOD_FOR_MS
            self.last_action[partition] = (node.name, epoch, valid_until)
            for other in self.nodes.values():
                if other is node or other.state is None:
                    continue
                theirs = other.state.domains["ownership"]
                acting = self.now < theirs.held_until and theirs.has_lease
                assert not (acting and partition in theirs.owned)

    def check_writes(self):
        """Epochs grow, and no transaction takes effect twice."""
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
            name, acted, valid_until = self.last_action.get(
                partition, ("", 0, 0)
            )
            if (at, f"node/{name}") in fenced and acted == epoch:
                assert valid_until <= at

    def check_version(self, node):
        version = configuration.version(node.state)
        assert version >= self.config[node.name]
        if version != self.config[node.name]:
            row = self.table.rows[f"config/history/{version}"][1]
            document = configuration.current(node.state)
            assert document == row["document"]
        self.config[node.name] = version

    def check_settled(self):
        """After the faults everything is owned, alive and in force."""
        version = self.table.rows["config/current"][1]["version"]
        assert max(self.accepted, default=0) <= version
        for name, node in self.nodes.items():
            assert configuration.version(node.state) == version
            assert ownership.mode(node.state) == "held", name
            near = membership.live_nodes(node.state, node.data_centre)
            assert len(near) == 3, (name, near)
        for partition in self.epochs:
            owners = [
                node.name
                for node in self.nodes.values()
                if ownership.epoch_of(node.state, partition)
            ]
            assert len(owners) == 1, (partition, owners)
        downs = [
            change for change in self.changes_after if change[2].state == "down"
        ]
        assert downs == []


class TestSchedules:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_invariants_hold(self, seed):
        """Guards against two owners, reverted versions and flapping."""
        schedule = Schedule(seed)
        schedule.run(SETTLED_MS)
        schedule.check_settled()
