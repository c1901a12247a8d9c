"""Fake table, object store, links and clock for a cluster of node states."""

import collections
import heapq
import random
import types

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import reducer


class FakeTable:
    """A transactional table in memory that can lose or delay answers.

    Nodes in `cut_off` get no answer. `writes` lists (time, node, key, value)
    in the order of the commits.
    """

    def __init__(self, rng):
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.outage = False
        self.lose_answers = 0.0
        self.delay_ms = 0
        self.cut_off = set()
        self.writes = []
        self.stats = collections.Counter()

    def answer(self, at, node, effect):
        if self.outage or node in self.cut_off:
            return None
        if isinstance(effect, fx.ReadTable):
            result = self._read(at, effect)
        else:
            result = self._commit(at, node, effect)
        return None if self.rng.random() < self.lose_answers else result

    def _read(self, at, effect):
        self.stats["reads"] += 1
        found = [
            events.Row(key, version, value)
            for key, (version, value) in self.rows.items()
            if version > effect.after_version
            and (key in effect.keys or key.startswith(effect.prefixes))
            and (effect.after_version or value is not None)
        ]
        answer = (effect.op_id, "read", self.version, tuple(found))
        return events.TableAnswered(at, *answer)

    def _commit(self, at, node, effect):
        self.stats["transactions"] += 1
        failed = []
        for check in effect.checks:
            version, value = self.rows.get(check.key, (0, None))
            version = version if value is not None else 0
            if version != check.version:
                failed.append(events.Row(check.key, version, value))
        if failed:
            self.stats["conflicts"] += 1
            answer = (effect.op_id, "conflict", self.version, tuple(failed))
            return events.TableAnswered(at, *answer)
        self.version += 1
        for write in effect.writes:
            self.rows[write.key] = (self.version, write.value)
            self.writes.append((at, node, write.key, write.value))
            self.stats["rows_written"] += 1
        answer = (effect.op_id, "committed", self.version, ())
        return events.TableAnswered(at, *answer)


class Cluster:
    """Nodes in virtual time with the fake table, object store and links.

    Each node is named after its data centre and a number, as in "yumbo-1".
    `observers` are called with (cluster, node, event, effects) after each
    event. `blocked` contains the (sender, receiver) pairs whose messages are
    dropped.
    """

    def __init__(self, seed, sizes, **settings):
        self.rng = random.Random(seed)
        self.now = 0
        self.queue = []
        self.tick_ms = 50
        self.sequence = 0
        self.table = FakeTable(self.rng)
        self.objects = {}
        self.store_outage = False
        self.loss = 0.0
        self.blocked = set()
        self.observers = []
        self.nodes = {}
        self.effect_handlers = {
            fx.CommitTable: self._send_to_table,
            fx.ReadTable: self._send_to_table,
            fx.PutObject: self._use_object,
            fx.GetObject: self._use_object,
            fx.ConnectPeer: self._connect,
            fx.SendPeer: self._send,
        }
        for data_centre, count in sizes.items():
            region = settings.get("regions", {}).get(data_centre, "valle")
            for index in range(1, count + 1):
                name = f"{data_centre}-{index}"
                node = types.SimpleNamespace(name=name, region=region)
                node.data_centre = data_centre
                node.state, node.linked = None, set()
                node.starts = node.paused_until = 0
                self.nodes[name] = node
        keys = ("node", "data_centre", "region", "address")
        node_entries = [
            dict(
                zip(
                    keys, (n.name, n.data_centre, n.region, n.name), strict=True
                )
            )
            for n in self.nodes.values()
        ]
        self.settings = {"nodes": node_entries, **settings}

    def at(self, at, call, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (at, self.sequence, call, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = until

    def start(self, *names):
        for name in names or self.nodes:
            node = self.nodes[name]
            if node.state is not None:
                self.kill(name)
            node.starts += 1
            node.paused_until = 0
            node.state = reducer.new_state()
            seed = self.rng.randrange(1 << 30)
            wall = 1_700_000_000_000 + self.now
            location = (node.data_centre, node.region)
            identity = (name, *location, wall, seed, self.settings)
            event = events.NodeStarted(self.now, *identity)
            self.feed(node, node.starts, event)
            self.at(self.now, self._tick, node, node.starts)

    def kill(self, name):
        node = self.nodes[name]
        node.state = None
        for peer in sorted(node.linked):
            self._unlink(name, peer)

    def pause(self, name, duration_ms):
        self.nodes[name].paused_until = self.now + duration_ms

    def block(self, source, target, both=True):
        self.blocked.add((source, target))
        if both:
            self.blocked.add((target, source))

    def clear_faults(self):
        self.blocked.clear()
        self.table.cut_off.clear()
        self.loss = self.table.lose_answers = 0.0
        self.table.outage = self.store_outage = False
        self.table.delay_ms = 0

    def _tick(self, node, start):
        if node.state is None or node.starts != start:
            return
        self.feed(node, start, events.Tick(self.now))
        self.at(
            max(self.now + self.tick_ms, node.paused_until),
            self._tick,
            node,
            start,
        )

    def feed(self, node, start, event):
        if node.state is None or node.starts != start:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, self.feed, node, start, event)
            return
        event = event._replace(at=self.now)
        effects = reducer.reduce(node.state, event)
        self.perform(node, effects)
        for observer in self.observers:
            observer(self, node, event, effects)

    def perform(self, node, effects):
        for effect in effects:
            perform = self.effect_handlers.get(type(effect))
            if perform is not None:
                perform(node, effect)

    def call(self, name, function, *args, **kwargs):
        node = self.nodes[name]
        effects = []
        node.state.now = self.now
        function(node.state, effects, *args, **kwargs)
        self.perform(node, effects)
        return effects

    def _reply(self, node, delay_ms, event):
        self.at(self.now + delay_ms, self.feed, node, node.starts, event)

    def _send_to_table(self, node, effect):
        delay_ms = self.rng.randint(2, 20) + self.table.delay_ms
        self.at(
            self.now + delay_ms, self._apply_at_table, node, node.starts, effect
        )

    def _apply_at_table(self, node, start, effect):
        answer = self.table.answer(self.now, node.name, effect)
        timed_out = self.table.delay_ms > effect.timeout_ms
        delay_ms = self.rng.randint(2, 20)
        if answer is None or timed_out:
            answer = (0, effect.op_id, "unavailable", 0, ())
            answer = events.TableAnswered(*answer)
            delay_ms = effect.timeout_ms
        self.at(self.now + delay_ms, self.feed, node, start, answer)

    def _use_object(self, node, effect):
        status, body = "unavailable", b""
        if isinstance(effect, fx.PutObject) and not self.store_outage:
            self.objects[effect.key] = effect.body
            status = "ok"
        elif not self.store_outage:
            body = self.objects.get(effect.key, b"")
            status = "ok" if effect.key in self.objects else "absent"
        answer = events.ObjectAnswered(0, effect.op_id, status, body)
        self._reply(node, 20, answer)

    def _connect(self, node, effect):
        peer = self.nodes[effect.peer]
        blocked = {(node.name, peer.name), (peer.name, node.name)}
        if peer.state is None or blocked & self.blocked:
            self._reply(node, 50, events.PeerLost(0, peer.name, "refused"))
            return
        for endpoint, other in ((node, peer), (peer, node)):
            if other.name not in endpoint.linked:
                endpoint.linked.add(other.name)
                peer = (other.name, other.data_centre, other.state.incarnation)
                self._reply(endpoint, 5, events.PeerConnected(0, *peer))

    def _unlink(self, name, peer):
        for endpoint, other in ((name, peer), (peer, name)):
            self.nodes[endpoint].linked.discard(other)
            if self.nodes[endpoint].state is not None:
                event = events.PeerLost(0, other, "closed")
                self._reply(self.nodes[endpoint], 5, event)

    def _send(self, node, effect):
        peer = self.nodes[effect.peer]
        is_linked = peer.name in node.linked and peer.state is not None
        if not is_linked or (node.name, peer.name) in self.blocked:
            return
        if self.rng.random() < self.loss:
            return
        same_data_centre = node.data_centre == peer.data_centre
        delay_ms = (
            self.rng.randint(1, 2)
            if same_data_centre
            else self.rng.randint(3, 6)
        )
        event = events.PeerMessage(0, node.name, effect.body)
        self._reply(peer, delay_ms, event)
