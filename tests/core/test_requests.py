"""Unit tests of the request side of the decision core."""

import pytest

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import reducer
from skylarklug import routing
from skylarklug import workers


def vm(name, **fields):
    base = events.Vm(
        name, "yumbo", "rack-0", "live", name, name, 16, 60000, 0,
        ("certvault",), 8, 64,
    )  # fmt: skip
    return base._replace(**fields)


class Node:
    """One node whose effects are collected by type."""

    def __init__(self, count=2, **settings):
        self.state = reducer.new_state()
        self.now = 0
        self.do(
            events.NodeStarted(0, "yumbo-1", "yumbo", "valle", 1, 7, settings)
        )
        self.vms = tuple(vm(f"w-{i}") for i in range(count))
        if count:
            self.do(events.VmListRead(0, 1, self.vms))

    def do(self, event):
        self.now = max(self.now, event.at)
        return reducer.reduce(self.state, event._replace(at=self.now))

    def ask(self, req_id, idempotent=True, deadline=1000, caller="c", hops=0):
        return self.do(
            events.RequestArrived(
                0, req_id, "certvault", "GET", "/", idempotent, caller,
                deadline, hops,
            )
        )  # fmt: skip

    def tick(self, at):
        return self.do(events.Tick(at))


def only(effects, kind):
    found = [e for e in effects if type(e) is kind]
    assert len(found) == 1, (kind.__name__, effects)
    return found[0]


def none(effects, kind):
    assert not [e for e in effects if type(e) is kind], effects


def failed(req_id, attempt, sent, refused=False, leaving=False, step="read"):
    return events.AttemptFailed(
        0, req_id, attempt, sent, refused, leaving, step, "test"
    )


class TestWorkers:
    def test_old_list_is_ignored(self):
        """Guards against a late VM list that brings back a gone worker."""
        node = Node()
        node.do(events.VmListRead(0, 3, node.vms[:1]))
        node.do(events.VmListRead(0, 2, node.vms))
        assert workers.get(node.state, "w-1") is None

    @pytest.mark.parametrize("source", ["vm-list", "answer", "refusal", "sync"])
    def test_earliest_leaving_signal_stops_new_work(self, source):
        """Guards I7: one signal suffices, whichever comes first."""
        node = Node(count=1)
        leaving = node.vms[0]._replace(state="leaving")
        node.ask("r1")
        stream = {
            "vm-list": events.VmListRead(0, 2, (leaving,)),
            "answer": events.AttemptHeaders(0, "r1", 1, 200, True),
            "refusal": failed("r1", 1, True, True, True),
            "sync": events.WorkerSynced(
                0, 0, "w-0", 1, "ok", 1, 0, 0, True, False, (), None
            ),
        }
        node.do(stream[source])
        assert workers.is_leaving(node.state, "w-0")
        none(node.ask("r2"), fx.SendAttempt)

    def test_worker_without_services_gains_one(self):
        """Guards against workers that only run tasks when first listed."""
        node = Node(count=0)
        node.do(events.VmListRead(0, 1, (vm("w-0", services=()),)))
        node.do(events.VmListRead(0, 2, (vm("w-0"),)))
        assert only(node.ask("r1"), fx.SendAttempt).worker == "w-0"

    def test_worker_removed_with_requests_in_flight(self):
        """Guards against a crash when a late answer names a gone worker."""
        node = Node(count=1)
        node.ask("r1")
        node.ask("r2")
        node.do(events.VmListRead(0, 2, ()))
        node.do(events.AttemptHeaders(0, "r1", 1, 200, False))
        node.do(events.AttemptDone(0, "r1", 1, 200, 1))
        effects = node.do(failed("r2", 1, True))
        none(effects, fx.SendAttempt)
        answer = only(node.tick(2000), fx.AnswerError)
        assert (answer.status, answer.outcome) == (504, "unknown")

    def test_unconfirmed_signal_is_dropped(self):
        """Guards against a worker that restarts and is never used again."""
        node = Node(count=1)
        node.ask("r1")
        node.do(failed("r1", 1, True, True, True))
        node.tick(60_000)
        assert workers.is_leaving(node.state, "w-0")
        node.tick(121_000)
        assert only(node.ask("r2"), fx.SendAttempt).worker == "w-0"

    def test_partition_of_a_rack_is_stable(self):
        """Guards against racks that change owner when another is added."""
        node = Node(partitions=3)
        before = workers.partition_of(node.state, "w-0")
        new = vm("w-9", rack="arack-2")
        node.do(events.VmListRead(0, 2, (new, *node.vms)))
        assert workers.partition_of(node.state, "w-0") == before
        assert workers.partition_of(node.state, "w-9") == "yumbo/2"


class TestLifeCycle:
    def test_answer_is_relayed_once_and_slot_returns(self):
        """Guards against a slot that leaks after a normal answer."""
        node = Node(count=1)
        sent = only(node.ask("r1"), fx.SendAttempt)
        assert limits.get(node.state, sent.worker).in_use == 1
        head = events.AttemptHeaders(0, "r1", 1, 200, False)
        assert only(node.do(head), fx.RelayAnswer).attempt == 1
        none(node.do(head), fx.RelayAnswer)
        node.do(events.AttemptDone(0, "r1", 1, 200, 5))
        node.do(events.RequestClosed(0, "r1", True))
        assert limits.get(node.state, sent.worker).in_use == 0

    def test_unknown_service_is_refused(self):
        """Guards against a queue for a service that nobody serves."""
        node = Node()
        effects = node.do(
            events.RequestArrived(0, "r", "x", "GET", "/", True, "c", 9, 0)
        )
        answer = only(effects, fx.AnswerError)
        assert (answer.status, answer.outcome) == (404, "not run")

    def test_no_vm_list_is_not_run(self):
        """Guards against a 404 for a good service right after a start."""
        answer = only(Node(count=0).ask("r1"), fx.AnswerError)
        assert (answer.status, answer.outcome) == (503, "not run")

    def test_deadline_in_queue_is_not_run(self):
        """Guards against "unknown" when nothing was ever sent."""
        node = Node(count=1)
        for number in range(8):
            node.ask(f"r{number}")
        none(node.ask("late", deadline=400), fx.SendAttempt)
        answers = [e for e in node.tick(500) if type(e) is fx.AnswerError]
        assert [(a.req_id, a.status, a.outcome) for a in answers] == [
            ("late", 504, "not run")
        ]

    def test_deadline_with_attempt_is_unknown(self):
        """Guards I5: an attempt in flight may have run, reported or not."""
        node = Node()
        node.ask("r1", deadline=100)
        answer = only(node.tick(150), fx.AnswerError)
        assert (answer.status, answer.outcome) == (504, "unknown")

    def test_caller_that_leaves_frees_the_request(self):
        """Guards against requests that stay open without a caller."""
        node = Node()
        node.ask("r1")
        effects = node.do(events.RequestClosed(0, "r1", False))
        assert only(effects, fx.CancelAttempt).attempt == 1
        node.tick(5000)
        assert limits.get(node.state, "w-0").in_use == 0
        assert limits.get(node.state, "w-1").in_use == 0


class TestRetries:
    def test_non_idempotent_is_not_repeated_after_a_byte(self):
        """Guards I6."""
        node = Node()
        node.ask("r1", idempotent=False)
        effects = node.do(failed("r1", 1, True))
        answer = only(effects, fx.AnswerError)
        assert (answer.status, answer.outcome) == (502, "unknown")
        none(effects, fx.SendAttempt)

    def test_reported_sent_overrides_a_failure_that_denies_it(self):
        """Guards I6 against an adapter that reports sent=False too late."""
        node = Node()
        node.ask("r1", idempotent=False)
        node.do(events.AttemptSent(0, "r1", 1))
        answer = only(node.do(failed("r1", 1, False)), fx.AnswerError)
        assert answer.outcome == "unknown"

    def test_refused_non_idempotent_goes_to_another_worker(self):
        """Guards against a retry at the worker that has just refused."""
        node = Node()
        first = only(node.ask("r1", idempotent=False), fx.SendAttempt)
        second = only(node.do(failed("r1", 1, True, True)), fx.SendAttempt)
        assert second.worker != first.worker

    def test_budget_bounds_retries(self):
        """Guards against a retry storm when every worker refuses."""
        node = Node(count=8)
        sends = 0
        for number in range(200):
            node.ask(f"r{number}")
            for attempt in range(1, 9):
                effects = node.do(failed(f"r{number}", attempt, False))
                sends += sum(type(e) is fx.SendAttempt for e in effects)
            node.tick(50 * number)
        assert 0 < sends <= 200 * 0.1 + 3

    def test_hedge_answer_cancels_the_slow_attempt(self):
        """Guards against two answers to one caller."""
        node = Node()
        first = only(node.ask("r1"), fx.SendAttempt)
        for at in range(50, 400, 50):
            effects = node.tick(at)
            if any(type(e) is fx.SendAttempt for e in effects):
                break
        hedge = only(effects, fx.SendAttempt)
        assert hedge.worker != first.worker
        head = events.AttemptHeaders(0, "r1", 2, 200, False)
        effects = node.do(head)
        assert only(effects, fx.RelayAnswer).attempt == 2
        assert only(effects, fx.CancelAttempt).attempt == 1
        late = events.AttemptHeaders(0, "r1", 1, 200, False)
        assert node.do(late) == []

    def test_busy_service_hedges_only_from_a_suspect_worker(self):
        """Guards against hedges that take the last slots of a busy service."""
        node = Node(count=4)
        for number in range(30):
            node.ask(f"r{number}", deadline=9000)
            head = events.AttemptHeaders(0, f"r{number}", 1, 200, False)
            node.do(head)
        first = only(node.ask("x", deadline=9000), fx.SendAttempt)
        for at in range(50, 350, 50):
            none(node.tick(at), fx.SendAttempt)
        health.get(node.state, first.worker).stalls = 2
        assert only(node.tick(400), fx.SendAttempt).req_id == "x"

    def test_non_idempotent_is_never_hedged(self):
        """Guards I6 against hedges."""
        node = Node()
        node.ask("r1", idempotent=False)
        for at in range(50, 900, 50):
            none(node.tick(at), fx.SendAttempt)


class TestAdmission:
    def test_callers_take_turns(self):
        """Guards against one busy caller that starves another."""
        node = Node(count=1)
        for number in range(8):
            node.ask(f"r{number}")
        for number in range(5):
            node.ask(f"busy{number}", caller="busy")
        node.ask("other", caller="other")
        started = []
        for number in range(3):
            node.do(events.AttemptHeaders(0, f"r{number}", 1, 200, False))
            effects = node.do(events.AttemptDone(0, f"r{number}", 1, 200, 1))
            started.append(only(effects, fx.SendAttempt).req_id)
        assert started == ["busy0", "other", "busy1"]

    def test_full_queue_refuses_the_caller_with_most(self):
        """Guards against a full queue that shuts out everyone else."""
        node = Node(count=1)
        document = {"services": {"certvault": {"queue": 4}}}
        node.do(events.ConfigApplied(0, 1, document))
        for number in range(12):
            node.ask(f"r{number}", caller="busy", deadline=9000)
        answer = only(
            node.ask("x", caller="busy", deadline=9000), fx.AnswerError
        )
        assert (answer.status, answer.outcome) == (429, "not run")
        answer = only(
            node.ask("y", caller="other", deadline=9000), fx.AnswerError
        )
        assert (answer.req_id, answer.status) == ("r11", 429)

    def test_early_refusal_when_deadline_cannot_be_met(self):
        """Guards against work that is bound to be late."""
        node = Node(count=1)
        for number in range(8):
            node.ask(f"r{number}")
        answer = only(node.ask("late", deadline=60), fx.AnswerError)
        assert (answer.status, answer.outcome) == (503, "not run")
        assert answer.retry_after_s >= 1


class TestHealth:
    def test_unreachable_worker_is_out_at_once_and_returns(self):
        """Guards against requests to a worker that accepts no connection."""
        node = Node(count=1)
        node.ask("r1")
        node.do(failed("r1", 1, False, step="connect"))
        assert routing.explain(node.state, "worker", "w-0")[0]["mode"] == "out"
        none(node.ask("r2", deadline=9000), fx.SendAttempt)
        for at in range(50, 700, 50):
            effects = node.tick(at)
            if any(type(e) is fx.SendAttempt for e in effects):
                break
        assert only(effects, fx.SendAttempt).worker == "w-0"

    def test_cap_keeps_most_workers(self):
        """Guards against ejecting a whole fleet when all answers fail."""
        node = Node(count=10)
        for number in range(300):
            effects = node.ask(f"r{number}")
            if any(type(e) is fx.SendAttempt for e in effects):
                head = events.AttemptHeaders(0, f"r{number}", 1, 500, False)
                node.do(head)
                node.do(events.AttemptDone(0, f"r{number}", 1, 500, 1))
                node.do(events.RequestClosed(0, f"r{number}", True))
        modes = [
            routing.explain(node.state, "worker", v.vm)[0]["mode"]
            for v in node.vms
        ]
        assert modes.count("out") == 3

    def test_drained_worker_gets_no_request(self):
        """Guards against a drain that only stops tasks."""
        node = Node(count=1)
        node.do(events.ConfigApplied(0, 1, {"drained": ["w-0"]}))
        none(node.ask("r1"), fx.SendAttempt)
        effects = node.do(events.ConfigApplied(0, 2, {"drained": []}))
        assert only(effects, fx.SendAttempt).worker == "w-0"


class TestSpill:
    def test_spills_when_remote_is_free_and_never_twice(self):
        """Guards against waiting beside idle slots, and against loops."""
        listed = [
            {
                "node": "palmira-1",
                "data_centre": "palmira",
                "region": "valle",
                "forward": "p:1",
            },
            {
                "node": "yumbo-1",
                "data_centre": "yumbo",
                "region": "valle",
                "forward": "y:1",
            },
        ]
        node = Node(count=1, nodes=listed)
        node.do(events.PeerConnected(0, "palmira-1", "palmira", 1))
        body = {"kind": "load", "services": {"certvault": [5, 0]}}
        node.do(events.PeerMessage(0, "palmira-1", body))
        for number in range(20):
            node.ask(f"r{number}", deadline=9000, hops=1)
        effects = node.ask("spilled", deadline=9000)
        assert only(effects, fx.ForwardAttempt).address == "p:1"
        none(node.ask("again", deadline=9000, hops=1), fx.ForwardAttempt)

    def test_queue_spills_when_all_local_workers_are_out(self):
        """Guards against waiting for workers that are gone."""
        listed = [
            {
                "node": "palmira-1",
                "data_centre": "palmira",
                "region": "valle",
                "forward": "p:1",
            }
        ]
        node = Node(count=1, nodes=listed, nodes_per_data_centre=1)
        for number in range(9):
            node.ask(f"r{number}", deadline=9000)
        for number in range(8):
            node.do(failed(f"r{number}", 1, False, step="connect"))
        node.do(events.PeerConnected(0, "palmira-1", "palmira", 1))
        body = {"kind": "load", "services": {"certvault": [5, 0]}}
        node.do(events.PeerMessage(0, "palmira-1", body))
        effects = node.tick(50)
        assert "r8" in [
            e.req_id for e in effects if type(e) is fx.ForwardAttempt
        ]
        none(effects, fx.SendAttempt)


class TestStopping:
    def test_stop_waits_for_requests(self):
        """Guards I8: the order is not ready, close listener, drain, exit."""
        node = Node(stop={"notice_ms": 100, "drain_ms": 1000})
        node.ask("r1", deadline=5000)
        assert not only(node.do(events.StopRequested(0)), fx.SetReady).ready
        only(node.ask("r2"), fx.SendAttempt)
        none(node.tick(50), fx.StopAccepting)
        only(node.tick(100), fx.StopAccepting)
        for name in ("r1", "r2"):
            none(node.tick(150), fx.Exit)
            node.do(events.AttemptHeaders(0, name, 1, 200, False))
            node.do(events.AttemptDone(0, name, 1, 200, 1))
            node.do(events.RequestClosed(0, name, True))
        assert only(node.tick(200), fx.Exit).status == 0
