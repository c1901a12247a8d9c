"""Random faults beside random changes of the configuration.

RANDOM_FAULT_SEEDS=100-400 plays other seeds.
"""

import random

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import records

APPLY_MS = 2_000
REJECT_MS = 400
DURATION_MS = 40_000
STEP_MS = 100
NODES = 6
NAMES = ("a", "b", "c")
MODES = ("refuse", "silent")


def queue(name):
    return fakes.QUEUE._replace(name=name, prefix=f"/{name}/")


class Play:
    """Plays one seed and records what was answered."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.sim = fakes.Sim(nodes=NODES, configuration=self.configuration(1))
        # When each version was confirmed, with the names of its queues.
        self.versions = [(0, 1, frozenset(self.sim.configuration.queues))]
        # (request, node, name of the queue, when it was sent).
        self.sent = []
        # The latest version in force by the name of the node.
        self.in_force = {}
        self.problems = []
        self.sim.run(4_000)

    def configuration(self, version):
        names = [name for name in NAMES if self.rng.random() < 0.5]
        queues = {name: queue(name) for name in names}
        return records.Configuration(version, queues)

    def run(self):
        end = self.sim.now + DURATION_MS
        while self.sim.now < end:
            if self.rng.random() < 0.08:
                self.change()
            if self.rng.random() < 0.1:
                self.disrupt()
            if self.rng.random() < 0.8:
                self.ask()
            self.sim.run(STEP_MS)
            self.check_versions()
        self.sim.run(6_000)

    def change(self):
        version = self.versions[-1][1] + self.rng.randint(1, 5)
        cfg = self.configuration(version)
        self.sim.change_configuration(cfg)
        self.versions.append((self.sim.now, version, frozenset(cfg.queues)))

    def disrupt(self):
        names = list(self.sim.nodes)
        name = self.rng.choice(names)
        node = self.sim.nodes[name]
        duration_ms = self.rng.randint(300, 9_000)
        kind = self.rng.choice(
            ("away", "away", "all", "pause", "kill", "cut", "hung")
        )
        if kind in ("away", "all"):
            chosen = names
            if kind == "away":
                chosen = self.rng.sample(
                    names, self.rng.randint(1, len(names) - 1)
                )
            mode = self.rng.choice(MODES)
            for other in chosen:
                self.sim.store.modes[other] = mode
            self.sim.after(duration_ms, lambda: self.serve(chosen))
        elif kind == "pause" and node.paused_events is None:
            self.sim.pause(node)
            self.sim.after(duration_ms, lambda: self.resume(node))
        elif kind == "kill" and len(names) > 2:
            self.sim.kill(name)
            self.sim.after(duration_ms, lambda: self.sim.add_node(name))
        elif kind == "cut":
            links = {frozenset((name, other)) for other in names}
            self.sim.cut_node_links |= links
            self.sim.after(duration_ms, lambda: self.sim.cut_node_links.clear())
        elif kind == "hung":
            node.hung_tables.add("operator")
            self.sim.after(duration_ms, node.hung_tables.clear)

    def serve(self, names):
        for name in names:
            self.sim.store.modes.pop(name, None)

    def resume(self, node):
        if node.alive and node.paused_events is not None:
            self.sim.resume(node)

    def ask(self):
        awake = [n for n in self.sim.nodes.values() if n.paused_events is None]
        if not awake:
            return
        node = self.rng.choice(awake)
        name = self.rng.choice(NAMES)
        sent_at = self.sim.now
        req = self.sim.request_count(node.name, f"/{name}/")
        self.sent.append((req, node, name, sent_at))

    def check_versions(self):
        for name, node in self.sim.nodes.items():
            cfg = node.state.configuration
            if cfg is None:
                continue
            if cfg.version < self.in_force.get(name, 0):
                self.problems.append(f"{name} back at version {cfg.version}")
            self.in_force[name] = cfg.version

    def may_say(self, status, name, sent_at, answered_at):
        """Returns whether a version that may be in force says so."""
        for number, (since, _, names) in enumerate(self.versions):
            if since > answered_at:
                continue
            if number + 1 < len(self.versions):
                if self.versions[number + 1][0] + APPLY_MS < sent_at:
                    continue
            if (name in names) == (status == 200):
                return True
        return False

    def check_answers(self):
        for req, node, name, sent_at in self.sent:
            found = self.sim.answers.get(req)
            if found is None:
                if node.alive and node.paused_events is None:
                    self.problems.append(f"{req} of {sent_at} has no answer")
                continue
            status = found[0].status
            answered_at = sent_at + REJECT_MS
            if status != 503 and not self.may_say(
                status, name, sent_at, answered_at
            ):
                self.problems.append(f"{status} for {name} at {sent_at}")
        return self.problems


class TestRandomFaults:
    @pytest.mark.parametrize("seed", fakes.random_seeds(range(1, 21)))
    def test_no_answer_by_an_outdated_version(self, seed):
        """Guards against combinations of faults after which a node decides by a
        version that is not in force any more, or goes back to one (CONFIG)."""
        play = Play(seed)
        play.run()
        assert not play.check_answers()
        defects = [p for p in play.sim.problems if p.startswith("defect")]
        assert not defects
        kinds = {play.sim.status(req) for req, *_ in play.sent}
        assert {200, 404} <= kinds
