import scheduler_fakes as fakes

from skylarklug.scheduler import events
from skylarklug.scheduler import records


class TestAdvice:
    def test_only_advised_workers_run_the_step(self, deployment):
        """Guards against starts without a ticket, or where none is given."""
        sim = deployment(workers=4)
        sim.advised = {"w1": "t1", "w3": "t3"}
        advice = records.Advice(10, 2, 2_000)
        queue = fakes.QUEUE._replace(advice=advice)
        cfg = records.Configuration(2, {"batch": queue})
        for node in sim.nodes.values():
            sim.dispatch(node, events.ConfigurationRead(sim.now, cfg))
        sim.submit(1, fakes.step(6, cpu=9_000))
        sim.run(6_000)
        assert {row[3] for row in sim.starts} == {"w1", "w3"}
        assert set(sim.tickets) == {("w1", "t1"), ("w3", "t3")}
        assert sim.state_of(1) == "done"

    def test_advice_that_fails_is_asked_again(self, deployment):
        """Guards against a job that waits for an answer that was lost."""
        sim = deployment(workers=2)
        sim.advised = None
        queue = fakes.QUEUE._replace(advice=records.Advice(10, 2, 2_000))
        cfg = records.Configuration(2, {"batch": queue})
        for node in sim.nodes.values():
            sim.dispatch(node, events.ConfigurationRead(sim.now, cfg))
        sim.submit(1, fakes.step())
        sim.run(2_000)
        assert not sim.starts
        sim.advised = {"w0": "t"}
        sim.run(2_000)
        assert sim.state_of(1) == "done"


class TestWaves:
    def wave(self, sim, machines, max_count):
        wave = records.Wave(1, tuple(machines), 20.0, max_count)
        for node in sim.nodes.values():
            sim.dispatch(node, events.WaveRead(sim.now, wave))

    def test_machines_are_emptied_and_go_down_one_at_a_time(self, deployment):
        """Guards against an upkeep that ends a service's tasks, or takes
        more machines at once than the wave allows."""
        sim = deployment(workers=4)
        sim.submit(1, fakes.step(4, lasting=True, may_miss=1))
        sim.run(1_000)
        self.wave(sim, ["m-w0", "m-w1", "m-w2"], 1)
        most_away = 0
        for _ in range(600):
            sim.run(50)
            most_away = max(most_away, 4 - len(sim.running(1)))
        assert sim.most_down == 1
        assert sim.ended_by_upkeep == []
        assert sorted(sim.upkeeps) == ["m-w0", "m-w1", "m-w2"]
        assert sim.reports == ["running", "done"]
        assert most_away <= 1
        assert len(sim.running(1)) == 4

    def test_wave_goes_on_after_a_take_over(self, deployment):
        """Guards against a wave that ends with the leader that began it."""
        sim = deployment(workers=4)
        self.wave(sim, ["m-w0", "m-w1", "m-w2", "m-w3"], 1)
        sim.run(1_500)
        sim.kill(sim.leader().name)
        sim.run(25_000)
        assert set(sim.upkeeps) == {"m-w0", "m-w1", "m-w2", "m-w3"}
        assert sim.reports[-1] == "done"
        assert sim.most_down == 1


class TestDisturbance:
    def test_image_that_disturbs_is_kept_away(self, deployment):
        """Guards against batch work that slows the services beside it."""
        sim = deployment(workers=6)
        serving = fakes.step(
            6, cpu=4_000, lasting=True, image="web", target_ms=150
        )
        sim.submit(1, serving)
        sim.run(1_000)
        sim.tails_of = self.tails
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        for number in range(2, 40):
            image = "loud" if number % 2 else "calm"
            step = fakes.step(2, fills=True, image=image, checkpoints=True)
            sim.submit(number, step)
            sim.run(700)
        shard = sim.leader().state.shard
        assert shard.pairs["web", "loud"][0] > 0.8
        assert shard.pairs["web", "calm"][0] < 0.1

    def tails(self, sim, worker, key):
        """An undisturbed tail of 60 ms; beside "loud" it is 400 ms."""
        images = set()
        for other in worker.runs:
            step = sim.specs[other.job].steps[other.step]
            if step.fills:
                images.add(step.image)
        step = sim.specs[key.job].steps[key.step]
        if not step.target_ms:
            return 900
        return 400 if "loud" in images else 60

    def test_no_job_stands_still_while_the_service_is_idle(self, deployment):
        """Guards against filling jobs that wait because every worker has a
        task that they would disturb, or because others fill there."""
        sim = deployment(workers=3)
        serving = fakes.step(
            3, cpu=1_000, lasting=True, image="web", target_ms=150
        )
        sim.submit(1, serving)
        sim.run(1_000)
        shard = sim.leader().state.shard
        shard.pairs["web", "loud"] = (0.98, sim.now)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        for number in range(2, 9):
            step = fakes.step(2, cpu=7_000, fills=True, image="loud")
            sim.submit(number, step)
        sim.run(3_500)
        for number in range(2, 9):
            assert sim.running(number)
