"""Tests of operators' commands across several nodes."""

import pytest
from tests.core import shared_fakes

from skylarklug import configuration
from skylarklug import effects as fx
from skylarklug import events

NODES = {"yumbo": 3, "palmira": 3, "jamundi": 3}
SPEC = {
    "team": "sealing",
    "kind": "batch",
    "tasks": 3,
    "size": {"cpus": 1.0, "memory_mb": 100},
    "run_time_ms": 1000,
}


def make_vm(name, data_centre):
    limits = (16.0, 60000, 0, ("certvault",), 8, 64)
    rack = f"{data_centre}-r1"
    return events.Vm(name, data_centre, rack, "live", name, name, *limits)


class Operator:
    """Sends commands to nodes of a cluster and collects the answers."""

    def __init__(self, seed=1):
        self.cluster = shared_fakes.Cluster(seed, NODES)
        self.cluster.observers.append(self._observe)
        self.cluster.start()
        vms = tuple(make_vm(f"{name}-w1", name) for name in NODES)
        for node in self.cluster.nodes.values():
            self.cluster.feed(node, 1, events.VmListRead(0, 1, vms))
        self.cluster.run(20_000)
        self.answers = {}
        self.sent = 0

    def _observe(self, cluster, node, event, effects):
        for effect in effects:
            if isinstance(effect, fx.AnswerCommand):
                self.answers[effect.op_id] = effect

    def send(self, text, node="yumbo-1", **fields):
        self.sent += 1
        command = {
            "op_id": f"op-{self.sent}",
            "actor": "ana",
            "role": "write",
            "key": "",
            "if_version": 0,
            "dry_run": False,
            "body": {},
            **fields,
        }
        event = events.CommandArrived(at=0, text=text, **command)
        self.cluster.feed(self.cluster.nodes[node], 1, event)
        return event.op_id

    def run(self, text, node="yumbo-1", **fields):
        op_id = self.send(text, node, **fields)
        self.cluster.run(self.cluster.now + 6_000)
        answer = self.answers[op_id]
        return answer.status, answer.body

    def version(self, node="yumbo-1"):
        return configuration.version(self.cluster.nodes[node].state)


@pytest.fixture
def operator():
    return Operator()


class TestQueries:
    def test_any_node_lists_the_whole_deployment(self, operator):
        """Guards against rows that are listed only by their owner."""
        status, _ = operator.run("submit -", key="k", body=SPEC)
        assert status == "done"
        for node in ("yumbo-1", "palmira-2", "jamundi-3"):
            status, body = operator.run("tasks where job=sealing.k", node)
            assert status == "done"
            assert [row["task"] for row in body["rows"]] == [
                "sealing.k/0",
                "sealing.k/1",
                "sealing.k/2",
            ]
        _, body = operator.run("count workers by data_centre")
        assert [row["count"] for row in body["rows"]] == [1, 1, 1]

    def test_why_names_the_reason_of_a_wait(self, operator):
        """Guards against a waiting task without an explanation."""
        operator.run("submit -", key="k", body=SPEC)
        status, body = operator.run("why task sealing.k/0", "jamundi-1")
        assert status == "done"
        assert body["rows"][0]["state"] == "pending"
        assert body["rows"][0]["waits"]

    def test_missing_data_centre_is_named(self, operator):
        """Guards against an incomplete answer that is shown as complete."""
        for name in ("palmira-1", "palmira-2", "palmira-3"):
            operator.cluster.kill(name)
        operator.cluster.run(operator.cluster.now + 30_000)
        _, body = operator.run("jobs")
        assert body["missing"] == ["palmira"]

    def test_unknown_object_is_not_met(self, operator):
        """Guards against exit code 0 for an empty explanation."""
        status, body = operator.run("why task nobody.nothing/0")
        assert status == "not-met"
        assert "nothing is known" in body["message"]


class TestChanges:
    def test_read_role_changes_nothing(self, operator):
        """Guards against a read token that drains a worker."""
        before = operator.version()
        status, body = operator.run("drain yumbo-w1", role="read")
        assert status == "not-allowed"
        assert body["step"] == "authorise command"
        assert operator.version() == before

    def test_repeat_under_a_key_does_nothing(self, operator):
        """Guards against a second change after a lost answer."""
        first = operator.run("set limits.hedge 0.1", key="k1")
        second = operator.run("set limits.hedge 0.1", "palmira-1", key="k1")
        assert first[0] == second[0] == "done"
        assert first[1]["version"] == second[1]["version"]
        status, body = operator.run("set limits.hedge 0.2", key="k1")
        assert status == "conflict"
        assert "another command" in body["message"]

    def test_race_has_one_winner(self, operator):
        """Guards against two accepted changes, one of which is lost."""
        held_version = operator.version()
        ops = [
            operator.send(
                "set limits.hedge 0.1", "yumbo-1", if_version=held_version
            ),
            operator.send(
                "set limits.hedge 0.2", "jamundi-1", if_version=held_version
            ),
        ]
        operator.cluster.run(operator.cluster.now + 6_000)
        answers = [operator.answers[op] for op in ops]
        assert sorted(a.status for a in answers) == ["conflict", "done"]
        loser = next(a for a in answers if a.status == "conflict")
        assert loser.body["winner"]["version"] == held_version + 1
        assert operator.version("palmira-2") == held_version + 1

    def test_dry_run_checks_and_changes_nothing(self, operator):
        """Guards against a dry run that changes the configuration."""
        before = operator.version()
        status, _ = operator.run("set limits.hedge 0.1", dry_run=True)
        assert status == "done"
        status, body = operator.run(
            "set services.certvault.slots none", dry_run=True
        )
        assert status == "bad-input"
        assert "services.certvault.slots" in body["message"]
        status, body = operator.run(
            "submit -", key="k", body={**SPEC, "tasks": 0}, dry_run=True
        )
        assert status == "bad-input"
        assert operator.version() == before

    def test_unknown_worker_names_the_nearest(self, operator):
        """Guards against draining a worker that does not exist."""
        status, body = operator.run("drain yumbo-w")
        assert status == "bad-input"
        assert "yumbo-w1" in body["message"]

    def test_table_outage_refuses_a_change(self, operator):
        """Guards against a change that is reported but not durable."""
        operator.cluster.table.outage = True
        before = operator.version()
        op_id = operator.send("drain yumbo-w1")
        operator.cluster.run(operator.cluster.now + 20_000)
        assert operator.answers[op_id].status == "unavailable"
        assert operator.version() == before

    def test_rollback_is_a_new_version(self, operator):
        """Guards against a version number that decreases."""
        held_version = operator.version()
        operator.run("drain yumbo-w1")
        status, body = operator.run(f"rollback {held_version}")
        assert (status, body["version"]) == ("done", held_version + 2)
        state = operator.cluster.nodes["palmira-1"].state
        assert configuration.current(state)["drained"] == []
