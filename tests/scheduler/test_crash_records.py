"""Which tasks are blamed for crashes of workers, and what that costs."""

import json

import scheduler_fakes as fakes

from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records
from skylarklug.scheduler import scoring

# A row of the store holds 64 KiB.
ROW_BYTES = 65_536


class TestBlame:
    def test_cut_off_workers_do_not_fail_a_job(self, deployment):
        """Guards against a job shown as failed although no worker crashed,
        when two workers are cut off shortly after they started its task."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        for _ in range(2):
            for _ in range(800):
                if sim.running(1):
                    break
                sim.run(25)
            ((_, worker),) = sim.running(1)
            sim.run(100)
            sim.cut_off(worker)
            sim.run(6_500)
        sim.run(3_000)
        sim.cut_links.clear()
        sim.run(5_000)
        assert not [row for row in sim.history if row[4] == "crashed"]
        assert sim.state_of(1) == "running"

    def test_crash_is_taken_back_after_the_worker_was_unlisted(
        self, deployment
    ):
        """Guards against a crash that stays on record although its worker,
        cut off for so long that its entry was gone, comes back alive."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(200)
        ((_, name),) = sim.running(1)
        worker = sim.workers.pop(name)
        sim.publish_workers()
        sim.run(9_000)
        worker.expire()
        sim.workers[name] = worker
        sim.publish_workers()
        sim.run(1_000)
        (job,) = sim.leader().state.leader.jobs.values()
        assert not job.crashes

    def test_planned_restart_under_its_name_is_no_crash(self, deployment):
        """Guards against blaming a task when a draining worker leaves and
        comes back under its name, and its new entry is read first."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.run_ms = 30_000
        sim.submit(1, fakes.step())
        sim.run(300)
        worker.draining = True
        sim.publish_workers()
        sim.run(300)
        worker.poll_delay_ms = 300
        worker.draining = False
        worker.crash(incarnation=2)
        sim.publish_workers()
        sim.run(1_500)
        (job,) = sim.leader().state.leader.jobs.values()
        assert not job.crashes

    def test_start_after_maintenance_was_confirmed(self, deployment):
        """Guards against starts on the worker of a machine that has gone down
        for maintenance: the leader lets it take tasks again as soon as the
        platform has confirmed the order."""
        sim = deployment(workers=3)

        def begin(node, effect):
            name = effect.machine.removeprefix("m-")
            machine = effect.machine
            if machine not in sim.maintained:
                sim.maintained.append(machine)
                # All runs end at once, and another worker joins later.
                sim.crash_worker(sim.workers[name])
            sim.deliver(
                node,
                fakes.STORE_DELAY_MS,
                lambda at: events.MaintenanceAnswered(at, machine, 1, "ok", ""),
            )

        sim.on_BeginMaintenance = begin
        wave = records.Wave(1, ("m-w0",), 60.0, 1)
        for node in sim.nodes.values():
            sim.dispatch(node, events.WaveRequested(sim.now, wave))
        number = 10
        while not sim.maintained:
            sim.run(10)
        for _ in range(40):
            number += 1
            sim.submit(number, fakes.step(cpu=200))
            sim.run(20)
        placed = []
        for at, _, fields in sim.log_of("place"):
            if fields["worker"] == "w0" and at > sim.now - 800:
                placed.append(at)
        crashed = [
            j for j in sim.leader().state.leader.jobs.values() if j.crashes
        ]
        assert not placed
        assert not crashed


class TestMassLoss:
    def test_runs_lost_after_a_takeover_start_again_soon(self, deployment):
        """Guards against a queue of trials: right after a take-over each run
        seems to have just started, so a loss of power makes all of them
        suspects, of which each gets a worker of its own."""
        sim = deployment(nodes=3, workers=16)
        sim.submit(1, fakes.step(96, runs_until_cancelled=True), node="n2")
        sim.run(30_000)
        assert len(sim.running(1)) == 96
        sim.kill(sim.leader().name)
        while sim.leader() is None:
            sim.run(5)
        sim.run(600)
        for worker in list(sim.workers.values())[:8]:
            sim.crash_worker(worker)
        sim.run(7_500)
        # The leases have ended, and eight workers have room for 128 tasks.
        lost_at = [at for at, _, _ in sim.log_of("run-lost")]
        assert lost_at
        sim.run(max(lost_at) + 2_000 - sim.now)
        assert len(sim.running(1)) == 96

    def test_others_find_workers_during_trials(self, deployment):
        """Guards against short tasks that wait because the workers with room
        for them are kept free for trials of tasks that crashed nothing."""
        sim = deployment(nodes=3, workers=4)
        sim.submit(1, fakes.step(32, cpu=500, runs_until_cancelled=True))
        sim.run(300)
        sim.crash_worker(next(iter(sim.workers.values())))
        while not sim.log_of("run-lost"):
            sim.run(5)
        lost_at = sim.now
        # The other three workers have room for 32 of these at once.
        for number in range(2, 62):
            sim.submit(number, fakes.step(cpu=1_000))
            sim.run(50)
        sim.run(200)
        waits = []
        for at, _, fields in sim.log_of("place"):
            if at > lost_at and not fields["task"].startswith(fakes.job_id(1)):
                waits.append(fields["waited_ms"])
        assert len(waits) == 60
        assert max(waits) < 200

    def test_row_of_a_large_job_can_be_saved(self, deployment):
        """Guards against a row that the store rejects for its size after a
        loss of power, which also keeps the rows beside it from being saved."""
        sim = deployment(workers=1)
        sim.workers.clear()
        for number in range(75):
            name = f"i-a3781317{number:02}"
            worker = fakes.Worker(sim, name, incarnation=1_764_876_561_000)
            worker.resize(memory_mb=640_000)
            sim.workers[name] = worker
        sim.publish_workers()
        apply = sim.store.apply

        def limited(node, effect):
            for write in effect.writes:
                text = json.dumps(write.value, separators=(",", ":"))
                if len(text) > ROW_BYTES:
                    return "unknown", 0, ()
            return apply(node, effect)

        sim.store.apply = limited
        sim.run(1_000)
        sim.submit(1, fakes.step(1_200, cpu=100, runs_until_cancelled=True))
        for _ in range(400):
            if len(sim.running(1)) == 1_200:
                break
            sim.run(25)
        assert len(sim.running(1)) == 1_200
        for worker in list(sim.workers.values()):
            sim.crash_worker(worker)
        sim.submit(2, fakes.step())
        sim.run(15_000)
        assert sim.state_of(2) == "done"

    def test_suspects_that_fit_nowhere_share_a_search(
        self, deployment, monkeypatch
    ):
        """Guards against one search of all workers for each suspect in each
        pass, which blocks the leader when many suspects wait for room."""
        sim = deployment(workers=8)
        sim.submit(1, fakes.step(60, cpu=2_000, runs_until_cancelled=True))
        sim.run(300)
        for worker in list(sim.workers.values())[:4]:
            sim.crash_worker(worker)
        sim.run(3_200)
        # The room is taken by others meanwhile.
        sim.submit(2, fakes.step(60, cpu=2_000, runs_until_cancelled=True))
        while not sim.log_of("run-lost"):
            sim.run(5)
        searches = []
        original = scoring.Search

        def count(state, task, usable):
            searches.append(task.key)
            return original(state, task, usable)

        monkeypatch.setattr(scoring, "Search", count)
        passes = 1_000 // 20
        sim.run(1_000)
        assert len(searches) < 4 * passes


class TestBusyJob:
    def test_lost_tasks_of_a_busy_job_start_again(self, deployment):
        """Guards against lost tasks that wait while others of their job end,
        because the commit of a crash does not count if the job has changed
        again by its answer."""
        sim = deployment(workers=80)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        sim.submit(1, fakes.step(1_600, cpu=800))
        sim.run(6_000)
        assert len(sim.running(1)) == 1_600
        sim.store.slow_ms = 100
        crashed, *others = sim.workers.values()
        lost = set(crashed.runs)
        # The other runs end one after the other.
        for number, worker in enumerate(others):
            for index, key in enumerate(list(worker.runs)):
                delay = 400 * index + 5 * number
                sim.after(delay, lambda w=worker, k=key: w.end(k, "done"))
        sim.run(100)
        before = len(sim.starts)
        sim.crash_worker(crashed)
        while not sim.log_of("run-lost"):
            sim.run(5)
        sim.run(2_500)
        assert sim.running(1)
        again = {row[1] for row in sim.starts[before:]}
        assert len(again & lost) > len(lost) // 2


class TestRows:
    def write_crashed(self, sim, crashed):
        row = sim.store.rows["work", fakes.job_id(1)]
        sim.store.version += 1
        value = {**row.value, "crashed": crashed}
        sim.store.rows["work", fakes.job_id(1)] = row._replace(
            version=sim.store.version, value=value
        )

    def take_over(self, sim):
        sim.kill(sim.leader().name)
        while sim.leader() is None:
            sim.run(5)

    def test_job_with_a_crash_of_a_later_build_is_loaded(self, deployment):
        """Guards against a lost job during an update, when a later build has
        stored one more field of a crash."""
        sim = deployment()
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(1_000)
        self.write_crashed(
            sim, {"0.0.0": [[1, "w9", 1, "w9:1", 0, True, "new"]]}
        )
        self.take_over(sim)
        sim.run(6_000)
        assert fakes.job_id(1) in sim.leader().state.leader.jobs

    def test_malformed_crash_does_not_stop_placement(self):
        """Guards against a fleet that starts nothing because of one value of
        the wrong type in a row."""
        sim = fakes.Sim()
        sim.run(2_000)
        sim.submit(1, fakes.step(runs_until_cancelled=True, label="none"))
        sim.run(1_000)
        self.write_crashed(sim, {"0.0.0": [[1, "w9", 1, "w9:1", None, True]]})
        self.take_over(sim)
        sim.run(1_500)
        node = next(iter(sim.nodes))
        sim.submit(2, fakes.step(), node=node)
        sim.run(20_000)
        assert [row for row in sim.starts if row[1] == fakes.first_key(2)]

    def test_malformed_job_does_not_hide_later_ones(self):
        """Guards against jobs that are never loaded because the row of an
        earlier one raises an error that is not expected."""
        sim = fakes.Sim()
        sim.run(2_000)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.submit(2, fakes.step(runs_until_cancelled=True))
        sim.run(1_000)
        row = sim.store.rows["jobs", fakes.job_id(1)]
        sim.store.version += 1
        sim.store.rows["jobs", fakes.job_id(1)] = row._replace(
            version=sim.store.version, value={**row.value, "accepted_ms": "x"}
        )
        self.take_over(sim)
        sim.run(6_000)
        assert fakes.job_id(2) in sim.leader().state.leader.jobs

    def test_unreadable_heartbeat_does_not_prevent_claims(self):
        """Guards against a fleet without a leader for ever: a heartbeat row
        that cannot be read never reaches the nodes, so each claim conflicts
        with its version."""
        sim = fakes.Sim()
        sim.run(2_000)
        former = sim.leader()
        sim.kill(former.name)
        row = sim.store.rows[leadership.TABLE, leadership.HEARTBEAT]
        sim.store.version += 1
        sim.store.rows[leadership.TABLE, leadership.HEARTBEAT] = row._replace(
            version=sim.store.version
        )
        # The adapter skips the row, so the nodes do not learn its version.
        sim.run(20_000)
        assert sim.leader() is not None


class TestLateCrash:
    def test_task_that_crashes_workers_after_some_time(
        self, deployment, monkeypatch
    ):
        """Guards against a task that takes down worker after worker, each ten
        seconds after its start."""
        monkeypatch.setattr(fakes, "CRASH_DELAY_MS", 11_500)
        sim = deployment(workers=6)
        key = fakes.first_key(1)
        sim.fatal_tasks.add(key)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(150_000)
        starts = [row for row in sim.starts if row[1] == key]
        assert len(starts) <= 5


class TestWrites:
    def test_cut_of_the_leader_does_not_delay_ends(self, deployment):
        """Guards against ends that wait for the rows of all jobs: each is
        written when the leader loses its links to the workers for some
        seconds, and again when they are back."""
        sim = deployment(workers=100)
        sim.store.slow_ms = 30
        for number in range(1, 1_001):
            sim.submit(number, fakes.step(cpu=500, runs_until_cancelled=True))
            sim.run(2)
        sim.run(7_000)
        leader = sim.leader()
        assert not leader.state.leader.dirty
        for worker in sim.workers:
            sim.cut_links.add((leader.name, worker))
        sim.run(4_000)
        sim.cut_links.clear()
        for worker in sim.workers.values():
            worker.run_ms = 100
        sim.submit(2_000, fakes.step())
        sim.run(2_500)
        assert sim.leader() is leader
        assert sim.state_of(2_000) == "done"
