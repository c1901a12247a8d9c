"""Unit tests of the handling of requests in the reducer."""

import pytest

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import reducer
from skylarklug import routing
from skylarklug import workers


def make_vm(name, **fields):
    base = events.Vm(
        name, "yumbo", "rack-0", "live", name, name, 16, 60000, 0,
        ("certvault",), 8, 64,
    )  # fmt: skip
    return base._replace(**fields)


class Node:
    """The state of one node, with helpers that feed it events."""

    def __init__(self, count=2, **settings):
        self.state = reducer.new_state()
        self.now = 0
        self.handle(
            events.NodeStarted(0, "yumbo-1", "yumbo", "valle", 1, 7, settings)
        )
        self.vms = tuple(make_vm(f"w-{i}") for i in range(count))
        if count:
            self.handle(events.VmListRead(0, 1, self.vms))

    def handle(self, event):
        self.now = max(self.now, event.at)
        return reducer.reduce(self.state, event._replace(at=self.now))

    def request(
        self, req_id, idempotent=True, deadline=1000, caller="c", hops=0
    ):
        return self.handle(
            events.RequestArrived(
                0, req_id, "certvault", "GET", "/", idempotent, caller,
                deadline, hops,
            )
        )  # fmt: skip

    def tick(self, at):
        return self.handle(events.Tick(at))


def single(effects, kind):
    found = [e for e in effects if type(e) is kind]
    assert len(found) == 1, (kind.__name__, effects)
    return found[0]


def assert_none(effects, kind):
    assert not [e for e in effects if type(e) is kind], effects


def attempt_failed(
    req_id, attempt, sent, refused=False, leaving=False, step="read"
):
    return events.AttemptFailed(
        0, req_id, attempt, sent, refused, leaving, step, "test"
    )


class TestWorkers:
    def test_old_list_is_ignored(self):
        """Guards against a late VM list that adds a removed worker again."""
        node = Node()
        node.handle(events.VmListRead(0, 3, node.vms[:1]))
        node.handle(events.VmListRead(0, 2, node.vms))
        assert workers.get(node.state, "w-1") is None

    @pytest.mark.parametrize("source", ["vm-list", "answer", "refusal", "sync"])
    def test_first_leaving_signal_stops_new_requests(self, source):
        """Guards I7: the first signal of any source stops new requests."""
        node = Node(count=1)
        leaving = node.vms[0]._replace(state="leaving")
        node.request("r1")
        signals = {
            "vm-list": events.VmListRead(0, 2, (leaving,)),
            "answer": events.AttemptHeaders(0, "r1", 1, 200, True),
            "refusal": attempt_failed("r1", 1, True, True, True),
            "sync": events.WorkerSynced(
                0, 0, "w-0", 1, "ok", 1, 0, 0, True, False, (), None
            ),
        }
        node.handle(signals[source])
        assert workers.is_leaving(node.state, "w-0")
        assert_none(node.request("r2"), fx.SendAttempt)

    def test_worker_gains_its_first_service(self):
        """Guards against ignoring a worker that first had no service."""
        node = Node(count=0)
        node.handle(events.VmListRead(0, 1, (make_vm("w-0", services=()),)))
        node.handle(events.VmListRead(0, 2, (make_vm("w-0"),)))
        assert single(node.request("r1"), fx.SendAttempt).worker == "w-0"

    def test_worker_removed_with_requests_in_flight(self):
        """Guards against a crash on a late answer of a removed worker."""
        node = Node(count=1)
        node.request("r1")
        node.request("r2")
        node.handle(events.VmListRead(0, 2, ()))
        node.handle(events.AttemptHeaders(0, "r1", 1, 200, False))
        node.handle(events.AttemptDone(0, "r1", 1, 200, 1))
        effects = node.handle(attempt_failed("r2", 1, True))
        assert_none(effects, fx.SendAttempt)
        answer = single(node.tick(2000), fx.AnswerError)
        assert (answer.status, answer.outcome) == (504, "unknown")

    def test_unconfirmed_leaving_signal_expires(self):
        """Guards against never using a worker again after its restart."""
        node = Node(count=1)
        node.request("r1")
        node.handle(attempt_failed("r1", 1, True, True, True))
        node.tick(60_000)
        assert workers.is_leaving(node.state, "w-0")
        node.tick(121_000)
        assert single(node.request("r2"), fx.SendAttempt).worker == "w-0"

    def test_partition_of_a_rack_is_stable(self):
        """Guards against moving racks to another partition as one is added."""
        node = Node(partitions=3)
        before = workers.partition_of(node.state, "w-0")
        new = make_vm("w-9", rack="arack-2")
        node.handle(events.VmListRead(0, 2, (new, *node.vms)))
        assert workers.partition_of(node.state, "w-0") == before
        assert workers.partition_of(node.state, "w-9") == "yumbo/2"


class TestLifeCycle:
    def test_answer_is_relayed_once_and_slot_returns(self):
        """Guards against a slot that leaks after a normal answer."""
        node = Node(count=1)
        sent = single(node.request("r1"), fx.SendAttempt)
        assert limits.get(node.state, sent.worker).in_use == 1
        head = events.AttemptHeaders(0, "r1", 1, 200, False)
        assert single(node.handle(head), fx.RelayAnswer).attempt == 1
        assert_none(node.handle(head), fx.RelayAnswer)
        node.handle(events.AttemptDone(0, "r1", 1, 200, 5))
        node.handle(events.RequestClosed(0, "r1", True))
        assert limits.get(node.state, sent.worker).in_use == 0

    def test_unknown_service_is_refused(self):
        """Guards against queueing requests of a service without workers."""
        node = Node()
        effects = node.handle(
            events.RequestArrived(0, "r", "x", "GET", "/", True, "c", 9, 0)
        )
        answer = single(effects, fx.AnswerError)
        assert (answer.status, answer.outcome) == (404, "not run")

    def test_request_before_the_first_vm_list_is_not_run(self):
        """Guards against a 404 for a valid service right after a start."""
        answer = single(Node(count=0).request("r1"), fx.AnswerError)
        assert (answer.status, answer.outcome) == (503, "not run")

    def test_deadline_in_queue_is_not_run(self):
        """Guards against "unknown" for a request that was never sent."""
        node = Node(count=1)
        for number in range(8):
            node.request(f"r{number}")
        assert_none(node.request("late", deadline=400), fx.SendAttempt)
        answers = [e for e in node.tick(500) if type(e) is fx.AnswerError]
        assert [(a.req_id, a.status, a.outcome) for a in answers] == [
            ("late", 504, "not run")
        ]

    def test_deadline_with_attempt_is_unknown(self):
        """Guards I5: an attempt may have run without being reported sent."""
        node = Node()
        node.request("r1", deadline=100)
        answer = single(node.tick(150), fx.AnswerError)
        assert (answer.status, answer.outcome) == (504, "unknown")

    def test_closed_caller_connection_cancels_the_request(self):
        """Guards against requests that stay open after the caller left."""
        node = Node()
        node.request("r1")
        effects = node.handle(events.RequestClosed(0, "r1", False))
        assert single(effects, fx.CancelAttempt).attempt == 1
        node.tick(5000)
        assert limits.get(node.state, "w-0").in_use == 0
        assert limits.get(node.state, "w-1").in_use == 0


class TestRetries:
    def test_non_idempotent_request_is_not_repeated_once_sent(self):
        """Guards I6: a request that may have run is not sent again."""
        node = Node()
        node.request("r1", idempotent=False)
        effects = node.handle(attempt_failed("r1", 1, True))
        answer = single(effects, fx.AnswerError)
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert_none(effects, fx.SendAttempt)

    def test_earlier_sent_report_overrides_sent_false(self):
        """Guards I6 against a failure that wrongly reports sent=False."""
        node = Node()
        node.request("r1", idempotent=False)
        node.handle(events.AttemptSent(0, "r1", 1))
        answer = single(
            node.handle(attempt_failed("r1", 1, False)), fx.AnswerError
        )
        assert answer.outcome == "unknown"

    def test_refused_non_idempotent_request_is_retried_elsewhere(self):
        """Guards against a retry on the worker that has just refused."""
        node = Node()
        first = single(node.request("r1", idempotent=False), fx.SendAttempt)
        second = single(
            node.handle(attempt_failed("r1", 1, True, True)), fx.SendAttempt
        )
        assert second.worker != first.worker

    def test_budget_bounds_retries(self):
        """Guards against a retry storm when every worker refuses."""
        node = Node(count=8)
        sends = 0
        for number in range(200):
            node.request(f"r{number}")
            for attempt in range(1, 9):
                effects = node.handle(
                    attempt_failed(f"r{number}", attempt, False)
                )
                sends += sum(type(e) is fx.SendAttempt for e in effects)
            node.tick(50 * number)
        assert 0 < sends <= 200 * 0.1 + 3

    def test_hedge_answer_cancels_the_slow_attempt(self):
        """Guards against two answers to one caller."""
        node = Node()
        first = single(node.request("r1"), fx.SendAttempt)
        for at in range(50, 400, 50):
            effects = node.tick(at)
            if any(type(e) is fx.SendAttempt for e in effects):
                break
        hedge = single(effects, fx.SendAttempt)
        assert hedge.worker != first.worker
        head = events.AttemptHeaders(0, "r1", 2, 200, False)
        effects = node.handle(head)
        assert single(effects, fx.RelayAnswer).attempt == 2
        assert single(effects, fx.CancelAttempt).attempt == 1
        late = events.AttemptHeaders(0, "r1", 1, 200, False)
        assert node.handle(late) == []

    def test_busy_service_hedges_only_from_a_suspect_worker(self):
        """Guards against hedges that use the last slots of a busy service."""
        node = Node(count=4)
        for number in range(30):
            node.request(f"r{number}", deadline=9000)
            head = events.AttemptHeaders(0, f"r{number}", 1, 200, False)
            node.handle(head)
        first = single(node.request("x", deadline=9000), fx.SendAttempt)
        for at in range(50, 350, 50):
            assert_none(node.tick(at), fx.SendAttempt)
        health.get(node.state, first.worker).stalls = 2
        assert single(node.tick(400), fx.SendAttempt).req_id == "x"

    def test_non_idempotent_is_never_hedged(self):
        """Guards I6: a hedge would run the request a second time."""
        node = Node()
        node.request("r1", idempotent=False)
        for at in range(50, 900, 50):
            assert_none(node.tick(at), fx.SendAttempt)


class TestAdmission:
    def test_queue_is_fair_between_callers(self):
        """Guards against a busy caller that starves others."""
        node = Node(count=1)
        for number in range(8):
            node.request(f"r{number}")
        for number in range(5):
            node.request(f"busy{number}", caller="busy")
        node.request("other", caller="other")
        started = []
        for number in range(3):
            node.handle(events.AttemptHeaders(0, f"r{number}", 1, 200, False))
            effects = node.handle(
                events.AttemptDone(0, f"r{number}", 1, 200, 1)
            )
            started.append(single(effects, fx.SendAttempt).req_id)
        assert started == ["busy0", "other", "busy1"]

    def test_full_queue_refuses_the_caller_with_most_requests(self):
        """Guards against one caller that fills the queue for all others."""
        node = Node(count=1)
        document = {"services": {"certvault": {"queue": 4}}}
        node.handle(events.ConfigApplied(0, 1, document))
        for number in range(12):
            node.request(f"r{number}", caller="busy", deadline=9000)
        answer = single(
            node.request("x", caller="busy", deadline=9000), fx.AnswerError
        )
        assert (answer.status, answer.outcome) == (429, "not run")
        answer = single(
            node.request("y", caller="other", deadline=9000), fx.AnswerError
        )
        assert (answer.req_id, answer.status) == ("r11", 429)

    def test_early_refusal_when_deadline_cannot_be_met(self):
        """Guards against queueing requests that cannot meet their deadline."""
        node = Node(count=1)
        for number in range(8):
            node.request(f"r{number}")
        answer = single(node.request("late", deadline=60), fx.AnswerError)
        assert (answer.status, answer.outcome) == (503, "not run")
        assert answer.retry_after_s >= 1


class TestHealth:
    def test_unreachable_worker_is_ejected_at_once_and_readmitted(self):
        """Guards against requests to a worker that refuses connections."""
        node = Node(count=1)
        node.request("r1")
        node.handle(attempt_failed("r1", 1, False, step="connect"))
        assert routing.explain(node.state, "worker", "w-0")[0]["mode"] == "out"
        assert_none(node.request("r2", deadline=9000), fx.SendAttempt)
        for at in range(50, 700, 50):
            effects = node.tick(at)
            if any(type(e) is fx.SendAttempt for e in effects):
                break
        assert single(effects, fx.SendAttempt).worker == "w-0"

    def test_ejection_cap_keeps_most_workers(self):
        """Guards against ejecting all workers when every answer fails."""
        node = Node(count=10)
        for number in range(300):
            effects = node.request(f"r{number}")
            if any(type(e) is fx.SendAttempt for e in effects):
                head = events.AttemptHeaders(0, f"r{number}", 1, 500, False)
                node.handle(head)
                node.handle(events.AttemptDone(0, f"r{number}", 1, 500, 1))
                node.handle(events.RequestClosed(0, f"r{number}", True))
        modes = [
            routing.explain(node.state, "worker", v.vm)[0]["mode"]
            for v in node.vms
        ]
        assert modes.count("out") == 3

    def test_drained_worker_gets_no_request(self):
        """Guards against a drain that stops tasks but not requests."""
        node = Node(count=1)
        node.handle(events.ConfigApplied(0, 1, {"drained": ["w-0"]}))
        assert_none(node.request("r1"), fx.SendAttempt)
        effects = node.handle(events.ConfigApplied(0, 2, {"drained": []}))
        assert single(effects, fx.SendAttempt).worker == "w-0"


class TestSpill:
    def test_forwards_once_when_a_remote_node_is_free(self):
        """Guards against waiting beside idle slots, and forwarding loops."""
        node_settings = [
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
        node = Node(count=1, nodes=node_settings)
        node.handle(events.PeerConnected(0, "palmira-1", "palmira", 1))
        body = {"kind": "load", "services": {"certvault": [5, 0]}}
        node.handle(events.PeerMessage(0, "palmira-1", body))
        for number in range(20):
            node.request(f"r{number}", deadline=9000, hops=1)
        effects = node.request("spilled", deadline=9000)
        assert single(effects, fx.ForwardAttempt).address == "p:1"
        assert_none(
            node.request("again", deadline=9000, hops=1), fx.ForwardAttempt
        )

    def test_queue_is_forwarded_when_all_local_workers_are_out(self):
        """Guards against waiting for workers that are unavailable."""
        node_settings = [
            {
                "node": "palmira-1",
                "data_centre": "palmira",
                "region": "valle",
                "forward": "p:1",
            }
        ]
        node = Node(count=1, nodes=node_settings, nodes_per_data_centre=1)
        for number in range(9):
            node.request(f"r{number}", deadline=9000)
        for number in range(8):
            node.handle(attempt_failed(f"r{number}", 1, False, step="connect"))
        node.handle(events.PeerConnected(0, "palmira-1", "palmira", 1))
        body = {"kind": "load", "services": {"certvault": [5, 0]}}
        node.handle(events.PeerMessage(0, "palmira-1", body))
        effects = node.tick(50)
        assert "r8" in [
            e.req_id for e in effects if type(e) is fx.ForwardAttempt
        ]
        assert_none(effects, fx.SendAttempt)


class TestStopping:
    def test_stop_waits_for_requests(self):
        """Guards I8: a stop sets not ready, closes, drains and exits."""
        node = Node(stop={"notice_ms": 100, "drain_ms": 1000})
        node.request("r1", deadline=5000)
        assert not single(
            node.handle(events.StopRequested(0)), fx.SetReady
        ).ready
        single(node.request("r2"), fx.SendAttempt)
        assert_none(node.tick(50), fx.StopAccepting)
        single(node.tick(100), fx.StopAccepting)
        for name in ("r1", "r2"):
            assert_none(node.tick(150), fx.Exit)
            node.handle(events.AttemptHeaders(0, name, 1, 200, False))
            node.handle(events.AttemptDone(0, name, 1, 200, 1))
            node.handle(events.RequestClosed(0, name, True))
        assert single(node.tick(200), fx.Exit).status == 0
