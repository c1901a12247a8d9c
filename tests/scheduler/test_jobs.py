import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import codec
from skylarklug.scheduler import events
from skylarklug.scheduler import jobs
from skylarklug.scheduler import records


class TestSubmission:
    def test_job_is_stored_before_it_is_accepted(self, deployment):
        """Guards against the loss of a job that was answered with 200."""
        sim = deployment()
        req = sim.submit(1, fakes.step())
        assert sim.status(req) is None
        sim.run(20)
        assert sim.status(req) == 200
        assert ("jobs", fakes.job_id(1)) in sim.store.rows

    def test_resubmission_at_another_node_is_idempotent(self, deployment):
        """Guards against a second run of a job that was submitted twice."""
        sim = deployment()
        first = sim.submit(1, fakes.step(), node="n0")
        second = sim.submit(1, fakes.step(), node="n1")
        sim.run(3_000)
        third = sim.submit(1, fakes.step(), node="n2")
        sim.run(3_000)
        statuses = [sim.status(req) for req in (first, second, third)]
        assert statuses == [200, 200, 200]
        assert len(sim.starts) == 1

    def test_submission_waits_for_slow_store(self, deployment):
        """Guards against answering 504, after which the client cannot safely
        retry elsewhere, while a slow store is about to accept the job."""
        sim = deployment()
        sim.store.slow_ms = 1_200
        req = sim.submit(1, fakes.step())
        sim.run(1_300)
        assert sim.status(req) == 200

    def test_refused_job_never_runs(self, deployment):
        """Guards against running a job that was refused."""
        sim = deployment()
        sim.store.modes["n0"] = "refuse"
        req = sim.submit(1, fakes.step(), node="n0")
        sim.run(5_000)
        answer = sim.answers[req][0]
        assert (answer.status, answer.retry_after_s) == (503, 2)
        assert not sim.starts

    def test_lost_answer_is_reported_as_unknown(self, deployment):
        """Guards against refusing a job that has been stored."""
        sim = deployment()
        leader = sim.leader().name
        client_node = next(name for name in sim.nodes if name != leader)
        sim.store.modes[client_node] = "lose"
        req = sim.submit(1, fakes.step(), node=client_node)
        sim.run(5_000)
        assert sim.status(req) == 504
        assert len(sim.starts) == 1

    def test_unknown_queue_and_missing_configuration(self, deployment):
        """Guards against rejecting a queue before the configuration is read."""
        sim = deployment()
        node = sim.nodes["n0"]
        path = "/other/" + fakes.job_id(1)
        event = events.StatusRequested(sim.now, "a", fakes.QUEUE.host, path, 0)
        sim.dispatch(node, event)
        assert sim.status("a") == 404
        node.state.configuration = None
        sim.dispatch(node, event._replace(req="b"))
        assert sim.status("b") == 503

    def test_unknown_job_is_gone(self, deployment):
        """Guards against returning a state for a job that does not exist."""
        sim = deployment()
        req = sim.request_status(9)
        sim.run(50)
        assert sim.status(req) == 410


class TestSteps:
    def test_steps_wait_for_their_dependencies(self, deployment):
        """Guards against starting a task before its inputs exist."""
        sim = deployment()
        sim.submit(1, fakes.step(3), fakes.step(2, after=(0,)))
        sim.run(4_000)
        assert not sim.find_problems()
        assert [key.step for _, key, _, _ in sim.starts] == [0, 0, 0, 1, 1]
        assert sim.state_of(1) == "done"

    def test_cpu_is_not_oversubscribed(self, deployment):
        """Guards against reserving more CPU than a worker has."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(12, cpu=5_000))
        sim.run(8_000)
        assert not sim.find_problems()
        assert len(sim.starts) == 12

    def test_max_per_worker(self, deployment):
        """Guards against exceeding a step's limit of tasks per worker."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(6, max_per_worker=1, cpu=100))
        sim.run(400)
        assert len({name for _, name in sim.running(1)}) == 2
        assert len(sim.running(1)) == 2
        sim.run(4_000)
        assert sim.state_of(1) == "done"

    def test_label_is_required(self, deployment):
        """Guards against starting a task on a worker without the label."""
        sim = deployment(workers=3)
        sim.workers["w1"].labels = ("gpu", "r1")
        sim.publish_workers()
        sim.run(100)
        sim.submit(1, fakes.step(4, label="gpu"))
        sim.run(3_000)
        assert {row[3] for row in sim.starts} == {"w1"}

    def test_same_rack(self, deployment):
        """Guards against a step that is slow because it spans racks."""
        sim = deployment(workers=4)
        for name in ("w2", "w3"):
            sim.workers[name].labels = ("a", "r2")
        sim.publish_workers()
        sim.run(100)
        sim.submit(1, fakes.step(6, cpu=4_000, same_rack=True))
        sim.run(400)
        racks = {sim.workers[n].labels[-1] for _, n in sim.running(1)}
        assert len(racks) == 1

    def test_preferred_rack(self, deployment):
        """Guards against placing tasks in another rack than their data while
        the data's rack has free capacity."""
        sim = deployment(workers=4)
        sim.workers["w3"].labels = ("a", "r9")
        sim.publish_workers()
        sim.run(100)
        sim.submit(1, fakes.step(3, rack="r9"))
        sim.run(400)
        assert {name for _, name in sim.running(1)} == {"w3"}


class TestOccurrences:
    def test_each_occurrence_runs_once_and_on_time(self, deployment):
        """Guards against occurrences that start early, twice or never."""
        sim = deployment()
        first = sim.now + fakes.WALL_OFFSET + 1_500
        sim.submit(
            1, fakes.step(2), repeats=3, first_due_ms=first, interval_ms=700
        )
        sim.run(1_000)
        assert not sim.starts
        sim.run(5_000)
        assert len(sim.starts) == 6
        for at, key, _, _ in sim.starts:
            due = first + 700 * key.occurrence - fakes.WALL_OFFSET
            assert due <= at < due + 400
        assert sim.state_of(1) == "done"


class TestCancel:
    def test_cancel_stops_tasks(self, deployment):
        """Guards against runs that continue after their job was cancelled."""
        sim = deployment()
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        assert len(sim.running(1)) == 3
        req = sim.cancel(1, node="n2")
        sim.run(1_000)
        assert sim.status(req) == 200
        assert sim.running(1) == []
        assert sim.state_of(1) == "canceled"

    def test_cancel_during_takeover(self, deployment):
        """Guards against losing a cancellation when the leader dies."""
        sim = deployment()
        sim.submit(1, fakes.step(3, runs_until_cancelled=True))
        sim.run(1_000)
        sim.lose_node_power(sim.leader().name)
        sim.run(100)
        req = sim.cancel(1)
        sim.run(5_000)
        assert sim.status(req) == 200
        assert sim.running(1) == []
        assert sim.state_of(1) == "canceled"

    def test_unknown_and_finished_jobs(self, deployment):
        """Guards against cancellations that never get an answer."""
        sim = deployment()
        sim.submit(1, fakes.step())
        sim.run(3_000)
        finished = sim.cancel(1)
        unknown = sim.cancel(7)
        sim.run(100)
        assert sim.status(finished) == 200
        assert sim.status(unknown) == 410


class TestFailures:
    def test_job_fails_after_max_attempts(self, deployment):
        """Guards against restarting a job that always fails forever."""
        sim = deployment()
        for worker in sim.workers.values():
            worker.fail.add(fakes.job_id(1))
        sim.submit(1, fakes.step())
        sim.run(3_000)
        assert len(sim.starts) == 2
        assert sim.state_of(1) == "failed"
        assert len({row[3] for row in sim.starts}) == 2

    def test_attempts_count_across_takeover(self, deployment):
        """Guards against a new leader that forgets earlier failed attempts."""
        sim = deployment()
        for worker in sim.workers.values():
            worker.fail.add(fakes.job_id(1))
        sim.submit(1, fakes.step(), fakes.step())
        sim.run(60)
        sim.kill(sim.leader().name)
        sim.run(15_000)
        for index in range(2):
            runs = [row for row in sim.starts if row[1].step == index]
            assert len(runs) <= 2
        assert sim.state_of(1) == "failed"

    def test_faulty_worker_is_quarantined(self, deployment):
        """Guards against healthy jobs that fail because of a faulty worker."""
        sim = deployment(workers=8)
        sim.workers["w0"].fail.add("*")
        for number in range(1, 30):
            sim.submit(number, fakes.step(4, cpu=8_000))
            sim.run(200)
        sim.run(3_000)
        states = [sim.state_of(number) for number in range(1, 30)]
        assert set(states) == {"done"}
        assert sim.log_of("quarantine")

    def test_task_until_cancelled_restarts_after_any_end(self, deployment):
        """Guards against a long-running task that ends and is not restarted."""
        sim = deployment()
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(1_000)
        ((key, name),) = sim.running(1)
        sim.workers[name].end(key, "failed")
        sim.run(1_500)
        ((_, other),) = sim.running(1)
        assert other != name
        sim.workers[other].end(key, "done")
        sim.run(1_500)
        assert len(sim.running(1)) == 1
        assert sim.state_of(1) == "running"


class TestGangs:
    def test_members_start_together(self, deployment):
        """Guards against gang members that start without the others."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(7, cpu=4_000, gang=True))
        sim.run(400)
        assert len(sim.running(1)) == 7
        assert len({row[2] for row in sim.starts}) == 1
        sim.submit(2, fakes.step(8, cpu=4_000, gang=True))
        sim.run(100)
        assert not sim.running(2)
        sim.run(4_000)
        assert sim.state_of(2) == "done"

    def test_gang_restarts_as_a_whole(self, deployment):
        """Guards against a gang that continues without some members."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(3, cpu=6_000, gang=True))
        for worker in sim.workers.values():
            worker.run_ms = 3_000
        sim.run(400)
        key, name = sim.running(1)[0]
        sim.workers[name].end(key, "stopped")
        sim.run(2_000)
        attempts = {w.runs[k][0] for w in sim.workers.values() for k in w.runs}
        assert len(sim.running(1)) == 3
        assert len(attempts) == 1


class TestQueueLength:
    def test_length_counts_jobs_that_have_not_started(self, deployment):
        """Guards against counting started jobs, or no jobs, as waiting."""
        sim = deployment(workers=1)
        for number in range(1, 4):
            sim.submit(
                number, fakes.step(cpu=16_000, runs_until_cancelled=True)
            )
        sim.run(2_000)
        assert self.queue_length(sim) == 2
        sim.kill(sim.leader().name)
        sim.run(6_000)
        assert self.queue_length(sim) == 2

    def queue_length(self, sim):
        req = sim.call(events.StatusRequested, "", None)
        return sim.answers[req][0].body["waiting"]


class TestConfiguration:
    def test_longest_prefix_wins_and_older_versions_are_ignored(self):
        """Guards against matching the wrong queue or an older configuration."""
        short_prefix = fakes.QUEUE._replace(name="short", prefix="/b")
        cfg = records.Configuration(
            2, {"short": short_prefix, "batch": fakes.QUEUE}
        )
        host = fakes.QUEUE.host
        assert cfg.match(host, "/batch/x").name == "batch"
        assert cfg.match(host, "/b/x").name == "short"
        assert cfg.match("other", "/batch/x") is None
        sim = fakes.Sim()
        sim.run(100)
        node = sim.nodes["n0"]
        sim.dispatch(node, events.ConfigurationRead(sim.now, cfg))
        older = cfg._replace(version=1, queues={})
        sim.dispatch(node, events.ConfigurationRead(sim.now, older))
        assert node.state.configuration is cfg


class TestStoredRows:
    def test_step_fields_keep_their_stored_names(self):
        """Guards against rows that another build of the node cannot read:
        the fields of a step were renamed, the stored names were not."""
        first = {
            "count": 2,
            "need": [500, 256, 1],
            "estimate_ms": 800,
            "lasting": True,
            "fills": True,
            "may_miss": 0,
        }
        second = {
            "count": 1,
            "need": [100, 64, 0],
            "estimate_ms": 50,
            "after": [0],
        }
        row = {
            "queue": "batch",
            "service": "hub",
            "payload": "do it",
            "steps": [first, second],
            "accepted_ms": 1_700_000_000_000,
            "repeats": 3,
            "first_due_ms": 1_700_000_001_000,
            "interval_ms": 700,
        }
        spec = codec.decode_job(fakes.job_id(1), row)
        assert spec.steps == (
            records.Step(
                count=2,
                resources=records.Resources(500, 256, 1),
                estimate_ms=800,
                runs_until_cancelled=True,
                best_effort=True,
                max_unavailable=0,
            ),
            records.Step(
                count=1,
                resources=records.Resources(100, 64, 0),
                estimate_ms=50,
                after=(0,),
            ),
        )
        encoded = codec.encode_job(spec)
        assert encoded == row
        assert [list(step) for step in encoded["steps"]] == [
            list(first),
            list(second),
        ]


class TestCancelledBeforeItIsStored:
    def submit_late(self, sim, late_ms):
        """Submits a job that the store stores late, without an answer."""
        leader = sim.leader().name
        node = next(name for name in sim.nodes if name != leader)
        sim.store.late_ms = late_ms
        sim.store.modes[node] = "late"
        req = sim.submit(1, fakes.step(cpu=9_000), node=node)
        # It has been sent, and the node's next calls are answered.
        sim.run(5)
        del sim.store.modes[node]
        while sim.status(req) is None:
            sim.run(1)
        assert sim.status(req) == 504
        return node

    @pytest.mark.parametrize("end", ("none", "kill", "stop"))
    def test_late_submission_never_runs(self, deployment, end):
        """Guards against a job that runs although its cancellation was answered
        with 410, because the store performs its submission later."""
        sim = deployment()
        node = self.submit_late(sim, 5_500)
        req = sim.cancel(1, node=node)
        sim.run(50)
        assert sim.status(req) == 410
        if end == "kill":
            sim.kill(sim.leader().name)
        elif end == "stop":
            sim.stop(sim.leader())
        sim.run(15_000)
        assert not sim.starts
        assert ("jobs", fakes.job_id(1)) not in sim.store.rows
        assert sim.state_of(1) == "gone"

    @pytest.mark.parametrize("late_ms", range(1_346, 1_376, 2))
    def test_submission_meets_the_cancellation(self, deployment, late_ms):
        """Guards against the same if the submission is performed between the
        calls of the cancellation."""
        sim = deployment()
        node = self.submit_late(sim, late_ms)
        req = sim.cancel(1, node=node)
        sim.run(3_000)
        assert sim.status(req) in (200, 410)
        began = len(sim.starts)
        sim.run(10_000)
        assert len(sim.starts) == began
        expected = "gone" if sim.status(req) == 410 else "canceled"
        assert sim.state_of(1) == expected

    def test_repeated_submission_is_not_accepted(self, deployment):
        """Guards against a repeated submission that is told to be accepted, or
        runs, after the cancellation was confirmed."""
        sim = deployment()
        node = self.submit_late(sim, 5_500)
        sim.cancel(1, node=node)
        sim.run(50)
        for other in sorted(sim.nodes):
            req = sim.submit(1, fakes.step(cpu=9_000), node=other)
            sim.run(50)
            assert sim.status(req) == 503
        sim.run(10_000)
        assert not sim.starts

    def test_job_that_nobody_submitted_is_not_shown(self, deployment):
        """Guards against a job that is shown because somebody has cancelled
        what was never submitted."""
        sim = deployment()
        for _ in range(2):
            req = sim.cancel(1)
            sim.run(50)
            assert sim.status(req) == 410
            assert sim.state_of(1) == "gone"

    def test_store_that_does_not_answer(self, deployment):
        """Guards against a cancellation that is confirmed although a late
        submission may still succeed."""
        sim = deployment()
        node = self.submit_late(sim, 9_000)
        sim.store.modes[node] = "refuse writes"
        req = sim.cancel(1, node=node)
        sim.run(50)
        assert sim.status(req) == 503
        sim.store.modes[node] = "lose"
        req = sim.cancel(1, node=node)
        sim.run(2_000)
        assert sim.status(req) == 504
        sim.store.modes.clear()
        req = sim.cancel(1, node=node)
        sim.run(50)
        assert sim.status(req) == 410
        sim.run(15_000)
        assert not sim.starts


WITHOUT_QUEUE = records.Configuration(5, {})
WITH_QUEUE = fakes.CONFIGURATION._replace(version=9)
STORED_TERMS = {
    "version": 9,
    "priority": 2,
    "max_attempts": 3,
    "stretch": 1.5,
    "objective_ms": 300,
    "advice": [10, 1, 2_000],
}


class TestRemovedQueue:
    @pytest.mark.parametrize("end", ("none", "kill", "stop", "power"))
    def test_job_has_all_its_attempts(self, deployment, end):
        """Guards against a job that is failed at its first failed run while its
        queue is removed for some seconds, also by a later leader."""
        sim = deployment()
        sim.submit(1, fakes.step(cpu=9_000))
        sim.run(100)
        sim.change_configuration(WITHOUT_QUEUE)
        former = sim.leader()
        if end == "kill":
            sim.kill(former.name)
        elif end == "power":
            sim.lose_node_power(former.name)
        elif end == "stop":
            sim.stop(former)
        fail_one_run(sim, fakes.first_key(1))
        sim.run(2_000)
        sim.change_configuration(WITH_QUEUE)
        sim.run(15_000)
        assert sim.state_of(1) == "done"
        assert not sim.find_problems()

    @pytest.mark.parametrize(
        "queues", ({}, {"batch": fakes.QUEUE._replace(max_attempts=1)})
    )
    def test_leader_with_an_older_configuration(self, deployment, queues):
        """Guards against the same by a leader that has not read the version by
        which another node has accepted the job."""
        sim = deployment(configuration=records.Configuration(1, queues))
        leader = sim.leader()
        deliver = sim.deliver_operator_rows
        sim.deliver_operator_rows = lambda node: (
            None if node is leader else deliver(node)
        )
        for name in sim.nodes:
            sim.cut_node_links.add(frozenset((leader.name, name)))
        sim.change_configuration(WITH_QUEUE)
        sim.run(1_000)
        other = next(n for n in sim.nodes.values() if n is not leader)
        sim.submit(1, fakes.step(cpu=9_000), node=other.name)
        fail_one_run(sim, fakes.first_key(1))
        assert sim.leader() is leader
        assert leader.state.configuration.version == 1
        sim.run(3_000)
        sim.deliver_operator_rows = deliver
        sim.change_configuration(WITH_QUEUE)
        sim.run(3_000)
        assert sim.state_of(1) == "done"

    def test_job_keeps_its_priority_and_advice(self, deployment):
        """Guards against a job that has the highest priority, and starts that
        are rejected for want of a ticket, while its queue is removed."""
        advised = fakes.QUEUE._replace(advice=records.Advice(10, 1, 2_000))
        cfg = records.Configuration(1, {"batch": advised})
        sim = deployment(configuration=cfg)
        sim.offered_tickets = None
        sim.submit(1, fakes.step())
        sim.run(500)
        sim.change_configuration(WITHOUT_QUEUE)
        sim.run(500)
        sim.kill(sim.leader().name)
        sim.run(6_000)
        state = sim.leader().state
        job = state.leader.jobs[fakes.job_id(1)]
        assert state.configuration.version == 5
        assert jobs.priority_of(state, job) == fakes.QUEUE.priority
        assert jobs.terms_of(state, job).advice == advised.advice
        assert job.deadline == job.spec.accepted_ms + 1_000 + 2 * 1_000
        assert not sim.starts
        sim.offered_tickets = {name: "t" for name in sim.workers}
        sim.run(3_000)
        assert sim.starts

    def test_newer_terms_count(self, deployment):
        """Guards against jobs that keep to old terms after a change."""
        sim = deployment()
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(1_000)
        queue = fakes.QUEUE._replace(priority=1, max_attempts=7)
        sim.change_configuration(records.Configuration(4, {"batch": queue}))
        sim.run(1_000)
        state = sim.leader().state
        job = state.leader.jobs[fakes.job_id(1)]
        assert jobs.priority_of(state, job) == 1
        assert jobs.max_attempts(state, job) == 7

    @pytest.mark.parametrize(
        "value",
        (
            None,
            5,
            {},
            {"version": 1},
            {**STORED_TERMS, "advice": 5},
            {**STORED_TERMS, "stretch": ""},
        ),
    )
    def test_unreadable_terms_are_unknown(self, value):
        """Guards against a job that is not loaded because another build has
        written its row."""
        assert codec.decode_terms(value) == records.UNKNOWN_TERMS

    def test_stored_terms_are_read(self):
        """Guards against terms that a later build can't read."""
        value = {**STORED_TERMS, "added_later": True}
        assert codec.decode_terms(value) == records.QueueTerms(
            9, 2, 3, 1.5, 300, records.Advice(10, 1, 2_000)
        )


def fail_one_run(sim, key):
    """Lets the current or next run of a task end as failed."""
    for _ in range(8_000):
        for worker in sim.workers.values():
            if key in worker.runs:
                worker.end(key, "failed")
                return
        sim.run(1)
    raise AssertionError("the task never runs")
