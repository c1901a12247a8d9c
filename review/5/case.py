"""Workers lose power before they begin a task; its job is shown as failed."""

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
JOB = "00000000000000ac"
STEP = {"ms": 2_200, "cpu": 1_800}
# One worker at a time is down, and is up again after this time.
CRASHES = 3
DOWN_S = 3.0
LIMIT_S = 40


class FragileWorker(worker_lib.Worker):
    """A worker that may lose power when a start order arrives."""

    crashes_left = 0

    async def handle(self, req):
        """Answers a call, or none from the moment the power is lost."""
        is_start = req.path == "/api/run-start"
        if is_start and not self.hangs and FragileWorker.crashes_left > 0:
            FragileWorker.crashes_left -= 1
            self._record.line(self.name, "loses power before it begins a task")
            self.hangs = True
            loop = asyncio.get_running_loop()
            self.return_task = loop.create_task(self._return())
        return await super().handle(req)

    async def _return(self):
        await asyncio.sleep(DOWN_S)
        await self.crash()
        self.hangs = False
        await self.start()


async def scenario(case):
    """Runs one job; returns that it failed although no run of it has failed."""
    record = case.record
    store = store_lib.Store(record)
    await store.open()
    store.put("op", "", "config", deployment.CONFIGURATION)
    begun = []
    ends = []
    for number in range(WORKERS):
        worker = FragileWorker(
            f"w{number:02}", store, record, f"z{number % 3 + 1}"
        )
        worker.on_run = lambda worker, run: begun.append(worker.name)
        worker.on_end = lambda worker, run, how: ends.append(how)
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
    await asyncio.sleep(1.0)
    client = deployment.Client(case.nodes, record)
    # With TROUBLE=0 no worker loses power.
    if deployment.has_trouble():
        FragileWorker.crashes_left = CRASHES
    step = {"count": 1, "cpu": STEP["cpu"], "mem_mb": 10}
    if not await client.submit(JOB, [{**step, "est_ms": STEP["ms"]}], [STEP]):
        raise deployment.CannotRun("the job was not accepted")
    state = ""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end and state not in ("done", "failed"):
        state = await client.state(JOB)
        await asyncio.sleep(0.5)
    crashed = CRASHES - FragileWorker.crashes_left
    if deployment.has_trouble():
        record.say(f"{crashed} workers lost power")
    record.say(f"state {state}; runs begun {len(begun)}; ends {ends}")
    if state not in ("done", "failed"):
        raise deployment.CannotRun(f"the job is {state} after {LIMIT_S} s")
    if state == "failed" and ends.count("failed") < 2:
        return [
            f"LOST: {JOB} is shown as failed; {len(begun)} runs have begun, "
            f"{ends.count('failed')} have ended as failed, 2 attempts allowed"
        ]
    return []


if __name__ == "__main__":
    sys.exit(deployment.run(FOLDER, scenario))
