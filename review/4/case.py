"""A gang of more members than a node has connections to one worker."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import deployment
from standins import gangs as gangs_lib
from standins import store as store_lib
from standins import worker as worker_lib

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 24
JOB = "00000000000000ad"
STEP = {"ms": 1_000, "cpu": 250}
# Members of the gang; TROUBLE=0 has the smaller one.
WIDE = 56
NARROW = 40
TRAFFIC_S = 20
FINISH_S = deployment.BOUNDS["finish_s"]


async def scenario(case):
    """Runs one gang; returns the runs that have ended as alone."""
    record = case.record
    store = store_lib.Store(record)
    await store.open()
    store.put("op", "", "config", deployment.CONFIGURATION)
    count = WIDE if deployment.has_trouble() else NARROW
    gangs = gangs_lib.Gangs({(JOB, 0): (count, STEP["ms"])})
    for number in range(WORKERS):
        worker = worker_lib.Worker(
            f"w{number:02}", store, record, f"z{number % 3 + 1}"
        )
        worker.on_run = gangs.on_run
        worker.on_end = gangs.on_end
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
    client = deployment.Client(case.nodes, record)
    step = {"count": count, "cpu": STEP["cpu"], "mem_mb": 10, "gang": True}
    if not await client.submit(JOB, [{**step, "est_ms": STEP["ms"]}], [STEP]):
        raise deployment.CannotRun("the job was not accepted")
    record.say(f"a gang of {count} tasks is accepted")
    end = time.monotonic() + TRAFFIC_S + FINISH_S
    state = ""
    while time.monotonic() < end and state not in ("done", "failed"):
        await asyncio.sleep(1.0)
        state = await client.state(JOB)
    begun = sum(worker.begun for worker in case.workers)
    record.say(
        f"state {state}; {begun} runs begun, {len(gangs.alone)} ended as "
        f"alone, all members were present {gangs.complete} times"
    )
    broken = []
    for task, attempt in gangs.alone:
        broken.append(f"GANG: {task} attempt={attempt} has ended as alone")
    if state != "done":
        broken.insert(0, f"LOST: {JOB} is {state} on an idle fleet")
    return broken


if __name__ == "__main__":
    sys.exit(deployment.run(FOLDER, scenario))
