"""Workers restart quickly, one by one, while the store is slow."""

import asyncio
import sys

import harness

WORKERS = 8
# Sixty times the 4 ms of an answer.
SLOW_MS = 240
SLOW_S = 2.0
PHASES = 15
PAUSE_S = 3.0
DOWN_S = 0.1
# A worker writes its entry about every heartbeat, 1.5 s.
ENTRY_DELAY_S = 0.75
JOBS = 770
JOB_INTERVAL_S = 0.1


def _behave(worker, run):
    return (0.03, "done")


async def _disturb(deployment):
    deployment.record.add("store", f"answers {SLOW_MS} ms late")
    deployment.store.slow_ms = SLOW_MS
    await asyncio.sleep(0.8)
    # The one that has ended the most, as it goes on to get tasks.
    worker = max(deployment.workers, key=lambda w: w.last_number)
    worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.restart(ENTRY_DELAY_S)
    await asyncio.sleep(SLOW_S - 1.2)
    deployment.store.slow_ms = 0


async def _hand_in(deployment):
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "est_ms": 30}
    calls = []
    for number in range(JOBS):
        job = f"6a{number:014x}"
        node = deployment.nodes[number % 2]
        call = deployment.submit(node, "batch", job, [step])
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*calls)


async def _play(deployment):
    # Ends as done, as (worker, its life, number), by task; those that a poll
    # has acknowledged; and those of a life whose lease has lapsed.
    ends = {}
    noted = set()
    broken = []

    def on_start(worker, body):
        for end in ends.get(body["task"], ()):
            if end in noted:
                broken.append(f"{body['task']} attempt {body['attempt']}")
                deployment.record.add(
                    worker.name, f"TWICE: {body['task']} was done, {end}"
                )

    def on_end(worker, run, how):
        if how == "done":
            end = (worker.name, worker.born, worker.last_number)
            ends.setdefault(run.task, []).append(end)

    def on_hold(worker, last_seen):
        for number, _, _, how, _ in worker.ends:
            if number <= last_seen and how == "done":
                noted.add((worker.name, worker.born, number))

    for number in range(1, WORKERS + 1):
        worker = deployment.add_worker(f"w{number}", _behave)
        worker.on_start = on_start
        worker.on_end = on_end
        worker.on_hold = on_hold
    await deployment.start(3, [harness.route("batch")])
    hand_ins = asyncio.ensure_future(_hand_in(deployment))
    await asyncio.sleep(2)
    for _ in range(PHASES):
        if harness.with_trouble():
            await _disturb(deployment)
        await asyncio.sleep(PAUSE_S)
    await hand_ins
    await asyncio.sleep(8)
    if not broken:
        return ""
    return f"TWICE: {len(broken)} starts after a noted end: {broken[:5]}"


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 2, _play))
