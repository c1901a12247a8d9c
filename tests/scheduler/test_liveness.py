"""Faults after which something would wait for ever."""

import scheduler_fakes as fakes

from skylarklug.scheduler import events


class TestUnsavedEnds:
    def test_end_of_a_closed_job_is_acknowledged(self, deployment):
        """Guards against a worker whose ends are never acknowledged again,
        because a crash made a closed job unsaved and it was removed before the
        next commit."""
        sim = deployment(nodes=1, workers=2)
        sim.names_return = True
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        sim.submit(1, fakes.step(2, cpu=9_000))
        sim.run(500)
        (_, first), (_, second) = sim.running(1)
        former = sim.leader()
        # The run there ends as done before the order to stop arrives.
        sim.cut_off(second)
        sim.cancel(1)
        before = len(sim.store.commits)

        def cancel_saved():
            for _, _, effect in sim.store.commits[before:]:
                for write in effect.writes:
                    if write.table == "work":
                        return write.value["state"] == "canceled"
            return False

        while not cancel_saved():
            sim.run(1)
        sim.crash_worker(sim.workers[first])
        sim.run(50)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(1_700)
        sim.cut_links.clear()
        sim.run(2_200)
        sim.store.modes.clear()
        sim.run(10_000)
        assert sim.leader() is former
        assert not sim.workers[second].ends

    def test_failure_that_the_former_leader_saved(self, deployment):
        """Guards against ends that stay unacknowledged because the row of a
        failure that is already saved is not written again."""
        sim = deployment(nodes=2, workers=1)
        key = fakes.first_key(1)
        sim.failing_tasks.add(key)
        before = len(sim.store.commits)
        sim.submit(1, fakes.step(cpu=9_000), node="n1")

        def failure_saved():
            for _, _, effect in sim.store.commits[before:]:
                for write in effect.writes:
                    if write.table == "work" and write.value.get("failed"):
                        return True
            return False

        for _ in range(1_000):
            if failure_saved():
                break
            sim.run(1)
        worker = [row for row in sim.starts if row[1] == key][0][3]
        assert sim.workers[worker].ends
        # The row is saved, the end is not acknowledged yet.
        former = sim.leader().name
        sim.failing_tasks.clear()
        for each in sim.workers.values():
            each.run_ms = 60_000
        sim.kill(former)
        sim.run(20_000)
        assert sim.running(1)
        assert not sim.workers[worker].ends


class TestLeaderWithoutAnswers:
    def test_another_node_leads(self, deployment):
        """Guards against a fleet without orders: the heartbeats of a leader
        that gets no answers keep all others from claiming."""
        sim = deployment(workers=2)
        former = sim.leader()
        sim.store.modes[former.name] = "lose"
        sim.run(10_000)
        other = next(n for n in sim.nodes if n != former.name)
        sim.submit(1, fakes.step(), node=other)
        sim.run(10_000)
        assert sim.state_of(1) == "done"


class TestRepeatedOrders:
    def test_start_that_a_worker_never_answers(self, deployment):
        """Guards against a task that waits for ever for one worker that
        answers polls but no start, while others are free."""
        sim = deployment(workers=2)
        for name in ("w0", "w1"):
            sim.workers[name].lost_starts = 0
        sim.submit(1, fakes.step())
        sim.run(2_000)
        sim.workers["w0"].lost_starts = 10**6
        for number in range(2, 8):
            sim.submit(number, fakes.step())
        sim.run(20_000)
        for number in range(2, 8):
            assert sim.state_of(number) == "done", number


class TestNoticeTime:
    def test_short_notice_time_allows_starts(self, deployment):
        """Guards against a service that never gets tasks where the settings
        allow less time to notice a smaller capacity."""
        cfg = fakes.CONFIGURATION._replace(
            unguarded_services=frozenset({fakes.SERVICE})
        )
        sim = deployment(configuration=cfg)
        for node in sim.nodes.values():
            node.state.cfg = node.state.cfg._replace(entry_notice_ms=1_500)
        sim.run(3_000)
        sim.submit(1, fakes.step())
        sim.run(10_000)
        assert sim.state_of(1) == "done"


class TestEarlierLeadership:
    def test_its_poll_does_not_count_for_the_next(self, deployment):
        """Guards against a worker that seems to have accepted the epoch of a
        leader although it has only answered a poll of the same node's earlier
        leadership."""
        sim = deployment(nodes=1, workers=2)
        sim.run(1_000)
        node = sim.leader()
        sim.add_node("large", 4.0)
        while node.state.leader is not None:
            sim.run(1)
        for worker in sim.workers.values():
            worker.poll_delay_ms = 1_300
        while sim.leader() is None:
            sim.run(1)
        epoch = sim.leader().state.leader.epoch
        sim.dispatch(sim.nodes["large"], events.StopRequested(sim.now))
        for name in sim.workers:
            sim.cut_links.add((node.name, name))
        for _ in range(3_000):
            sim.run(1)
            if node.state.leader is not None and any(
                worker.fenced for worker in node.state.leader.workers.values()
            ):
                break
        assert node.state.leader.epoch > epoch
        for worker in node.state.leader.workers.values():
            assert not worker.fenced
