"""Tests of configuration changes and their distribution."""

import copy

import hypothesis
from hypothesis import strategies as st
from tests.core import shared_fakes

from skylarklug import configuration
from skylarklug import document as document_lib
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import exceptions

NODES = {"yumbo": 3, "palmira": 3, "jamundi": 3}


def start(sizes=NODES, seed=1):
    cluster = shared_fakes.Cluster(seed, sizes)
    cluster.start()
    cluster.run(6_000)
    return cluster


def set_queue(queue):
    def edit(document):
        document["services"]["certvault"] = {"queue": queue}
        return document

    return edit


def change(cluster, name, edit, if_version=0, actor="ana"):
    answers = []

    def done(state, effects, status, body):
        answers.append((status, body))

    cluster.call(name, configuration.change, actor, edit, if_version, done)
    return answers


def versions(cluster):
    return [
        configuration.version(node.state)
        for node in cluster.nodes.values()
        if node.state is not None
    ]


class TestCheck:
    def test_all_errors_at_once(self):
        """Guards against reporting only the first error of a document."""
        document = copy.deepcopy(document_lib.EMPTY)
        document["services"] = {"certvault": {"slots": 0, "timout_ms": 5}}
        document["drained"] = "w-01"
        document["weights"] = {"latency": 2.0, "throughput": 0.2}
        errors = document_lib.check(document)
        keys = {error.split(":")[0] for error in errors}
        assert keys == {
            "services.certvault.slots",
            "services.certvault.timout_ms",
            "drained",
            "weights.latency",
            "weights.evictions",
        }

    def test_size_is_bounded(self):
        """Guards against a document that exceeds a frame between nodes."""
        document = copy.deepcopy(document_lib.EMPTY)
        document["drained"] = [f"worker-{index:040}" for index in range(1200)]
        assert document_lib.check(document)[0].startswith("document: ")

    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=3),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=8,
        )
    )
    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
    def test_any_input_gives_errors_not_exceptions(self, document):
        """Guards against a document that crashes the node."""
        assert isinstance(document_lib.check(document), list)


class TestChange:
    def test_change_reaches_every_node(self):
        """Guards against nodes that keep the former version."""
        cluster = start()
        answers = change(cluster, "yumbo-1", set_queue(7), if_version=1)
        cluster.run(7_000)
        assert answers == [("done", {"version": 2})]
        assert versions(cluster) == [2] * 9
        for node in cluster.nodes.values():
            document = configuration.current(node.state)
            assert document["services"] == {"certvault": {"queue": 7}}
        cluster.run(20_000)
        status = configuration.status(cluster.nodes["palmira-2"].state)
        assert (status["in_force"], status["nodes"]) == (9, 9)

    def test_history_and_audit(self):
        """Guards against a change without a history or an audit row."""
        cluster = start()
        change(cluster, "yumbo-1", set_queue(7))
        cluster.run(7_000)
        rows = cluster.table.rows
        assert rows["config/history/2"][1]["document"]["services"]
        audits = [v for k, (_, v) in rows.items() if k.startswith("audit/")]
        assert [audit["version"] for audit in audits] == [1, 2]
        assert audits[1]["actor"] == "ana"

    def test_race_shows_the_winner(self):
        """Guards against two concurrent changes that are both accepted."""
        cluster = start()
        ana_answers = change(cluster, "yumbo-1", set_queue(1), actor="ana")
        ben_answers = change(cluster, "jamundi-1", set_queue(2), actor="ben")
        cluster.run(8_000)
        won, lost = sorted(
            ana_answers + ben_answers, key=lambda answer: answer[0] != "done"
        )
        assert (won[0], lost[0]) == ("done", "conflict")
        winner = "ana" if ana_answers[0][0] == "done" else "ben"
        assert (lost[1]["version"], lost[1]["actor"]) == (2, winner)

    def test_stale_if_version_is_a_conflict(self):
        """Guards against a change to another version than the operator read."""
        cluster = start()
        answers = change(cluster, "yumbo-1", set_queue(1), if_version=5)
        cluster.run(7_000)
        assert answers[0][0] == "conflict"
        assert versions(cluster) == [1] * 9

    def test_bad_document_changes_nothing(self):
        """Guards against an invalid document that is applied on a node."""
        cluster = start()

        def refuse(document):
            raise exceptions.BadInput("no such key")

        for edit in (set_queue("many"), refuse):
            answers = change(cluster, "yumbo-1", edit)
            cluster.run(cluster.now + 1_000)
            assert [status for status, _ in answers] == ["bad-input"]
        assert versions(cluster) == [1] * 9

    def test_outage_refuses_and_changes_nothing(self):
        """Guards against a change that is applied after it was refused."""
        cluster = start()
        cluster.table.outage = True
        answers = change(cluster, "yumbo-1", set_queue(1))
        cluster.run(12_000)
        assert answers[0][0] == "unavailable"
        assert not answers[0][1]["unknown"]
        cluster.clear_faults()
        cluster.run(40_000)
        assert versions(cluster) == [1] * 9

    def test_rollback_writes_a_higher_version(self):
        """Guards against version numbers that decrease."""
        cluster = start()
        change(cluster, "yumbo-1", set_queue(7))
        cluster.run(7_000)
        answers = []

        def done(state, effects, status, body):
            answers.append((status, body))

        for version in (1, 99):
            cluster.call(
                "palmira-1", configuration.rollback, "ben", version, 0, done
            )
            cluster.run(cluster.now + 1_000)
        assert answers[0] == ("done", {"version": 3})
        assert answers[1][0] == "bad-input"
        state = cluster.nodes["jamundi-3"].state
        assert configuration.current(state) == document_lib.EMPTY


class TestReadiness:
    def collect_ready_effects(self, cluster, name):
        ready_effects = []

        def observe(cluster, node, event, effects):
            ready = [e for e in effects if isinstance(e, fx.SetReady)]
            if node.name == name:
                ready_effects.extend(ready)

        cluster.observers.append(observe)
        return ready_effects

    def test_not_ready_before_a_version_is_held(self):
        """Guards against a node that is ready without a configuration."""
        cluster = shared_fakes.Cluster(1, {"yumbo": 2})
        cluster.table.outage = True
        ready_effects = self.collect_ready_effects(cluster, "yumbo-1")
        cluster.start()
        cluster.run(20_000)
        assert ready_effects == []
        cluster.clear_faults()
        cluster.run(40_000)
        assert [effect.ready for effect in ready_effects] == [True]

    def test_takes_the_version_from_a_peer_in_an_outage(self):
        """Guards against a start that fails while the table is unavailable."""
        cluster = start()
        cluster.table.outage = True
        cluster.kill("yumbo-1")
        ready_effects = self.collect_ready_effects(cluster, "yumbo-1")
        cluster.run(8_000)
        cluster.start("yumbo-1")
        cluster.run(20_000)
        assert [effect.ready for effect in ready_effects] == [True]

    def test_stopping_node_stays_unready(self):
        """Guards against a stopping node that reports ready."""
        cluster = shared_fakes.Cluster(1, {"yumbo": 1})
        ready_effects = self.collect_ready_effects(cluster, "yumbo-1")
        cluster.start()
        node = cluster.nodes["yumbo-1"]
        cluster.feed(node, 1, events.StopRequested(0))
        cluster.run(5_000)
        assert configuration.version(node.state) == 1
        assert not any(effect.ready for effect in ready_effects)

    def test_older_version_from_a_peer_is_ignored(self):
        """Guards against a late message that reverts the configuration."""
        cluster = start()
        change(cluster, "yumbo-1", set_queue(7))
        cluster.run(7_000)
        body = {
            "kind": "config",
            "from": "yumbo-2",
            "incarnation": 1,
            "version": 1,
            "document": document_lib.EMPTY,
            "want": False,
        }
        node = cluster.nodes["yumbo-1"]
        cluster.feed(node, 1, events.PeerMessage(0, "yumbo-2", body))
        assert configuration.version(node.state) == 2


class TestInvalidRow:
    def test_invalid_row_changes_nothing(self):
        """Guards against a node that fails on an invalid row in the table."""
        cluster = start()
        versions_before = versions(cluster)
        table = cluster.table
        for value in (
            {"document": document_lib.EMPTY},
            {"version": 99, "document": {"drained": "w-01"}},
            {"version": "99", "document": document_lib.EMPTY},
        ):
            table.version += 1
            table.rows["config/current"] = (table.version, value)
            cluster.run(cluster.now + 5_000)
            assert versions(cluster) == versions_before
