"""The store is down for a few seconds while a worker ends many short runs."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import deployment
from standins import store as store_lib
from standins import worker as worker_lib

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 24
JOB = "00000000000000ab"
# 120 starts a second: an occurrence of 12 tasks each 100 ms.
COUNT = 12
INTERVAL_MS = 100
REPEATS = 100
TASKS = COUNT * REPEATS
STEP = {"ms": 300, "cpu": 100}
# When the store goes down, after the first start, and for how long.
DOWN_AFTER_S = 2.0
DOWN_S = 5.0
LIMIT_S = 45


async def scenario(case):
    """Runs one timed job; returns the tasks that started after their end."""
    record = case.record
    store = store_lib.Store(record)
    await store.open()
    store.put("op", "", "config", deployment.CONFIGURATION)
    for number in range(WORKERS):
        worker = worker_lib.Worker(
            f"w{number:02}", store, record, f"z{number % 3 + 1}"
        )
        case.workers.append(worker)
        await worker.start()
    for number in range(3):
        zone = f"z{number + 1}"
        node = deployment.Node(
            f"frontend-{zone}-1", zone, case.folder, record, store.address
        )
        case.nodes.append(node)
        await node.start()
    await case.wait_ready(store)

    done = {}
    again = []

    def on_run(worker, run):
        if run.task in done:
            again.append((run.task, run.attempt, worker.name))

    def on_end(worker, run, how):
        if how == "done":
            done.setdefault(run.task, (worker, worker.end_count))

    for worker in case.workers:
        worker.on_run = on_run
        worker.on_end = on_end
    client = deployment.Client(case.nodes, record)
    step = {"count": COUNT, "cpu": STEP["cpu"], "mem_mb": 10}
    if not await client.submit(
        JOB,
        [{**step, "est_ms": STEP["ms"]}],
        [STEP],
        repeats=REPEATS,
        first_ms=time.time_ns() // 1_000_000 + 1_000,
        interval_ms=INTERVAL_MS,
    ):
        raise deployment.CannotRun("the job was not accepted")
    await case.wait_until(
        lambda: any(worker.begun for worker in case.workers), "a first start"
    )
    await asyncio.sleep(DOWN_AFTER_S)
    if deployment.has_trouble():
        record.say("the store answers 503")
        store.is_down = True
        await asyncio.sleep(DOWN_S)
        store.is_down = False
        record.say(f"the store is back; {len(done)} tasks have ended as done")

    async def is_done():
        return await client.state(JOB) == "done"

    await case.wait_until(is_done, "the job is done", LIMIT_S)
    begun = sum(worker.begun for worker in case.workers)
    record.say(f"the job is done after {begun} starts of {TASKS} tasks")
    broken = []
    for task, attempt, name in again:
        worker, number = done[task]
        if worker.has_lapsed or number > worker.last_seen:
            # The end was not taken note of.
            continue
        broken.append(
            f"TWICE: {task} attempt={attempt} began on {name} after end "
            f"{number} on {worker.name}, done; {worker.last_seen} are noted"
        )
    record.say(f"{len(broken)} starts after an end as done that was noted")
    return broken


if __name__ == "__main__":
    sys.exit(deployment.run(FOLDER, scenario))
