"""The leader is killed after a day of ordinary traffic."""

import asyncio
import random
import sys

import harness

FIRST_JOB = "6a00000000000001"
JOB = "6a00000000000002"
# What the sheet of casva-sched names, in jobs a second, over 24 hours.
JOBS_OF_A_DAY = int((3.32 + 2.62 + 0.103) * 86_400)
MEMORY_MB = 300
RESTART_S = 1.0
WATCH_S = 45


def _behave(worker, run):
    return (0.5, "done")


async def _limit_memory(deployment):
    """Kills processes beyond their limit and starts ended ones again."""
    while True:
        for node in deployment.nodes:
            used = node.memory_mb()
            if used > MEMORY_MB:
                deployment.record.add(
                    "platform", f"{node.name} uses {used:.0f} of {MEMORY_MB} MB"
                )
                node.kill()
            if node.process.poll() is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(RESTART_S, _start_again, node)
        await asyncio.sleep(0.05)


def _start_again(node):
    if node.process.poll() is not None:
        node.start()


async def _play(deployment):
    for number in (1, 2, 3, 4):
        deployment.add_worker(f"w{number}", _behave)
    await deployment.start(3, [harness.route("batch")])
    node = deployment.nodes[0]
    steps = [{"count": 1, "cpu": 1_000, "mem_mb": 100, "est_ms": 500}]
    if not await deployment.submit(node, "batch", FIRST_JOB, steps):
        return None
    for _ in range(10):
        await asyncio.sleep(1)
        _, fields = await deployment.request(node, "GET", "batch", FIRST_JOB)
        if fields.get("state") == "done":
            break
    else:
        return None
    # The rows that the scheduler has left for the jobs of a day, each like the
    # one that it has left for the first job.
    rng = random.Random(1)
    keys = {f"{rng.getrandbits(64):016x}" for _ in range(JOBS_OF_A_DAY)}
    deployment.store.add_old_rows("work", FIRST_JOB, keys)
    deployment.record.add("store", f"holds the rows of {len(keys)} jobs")
    watch = asyncio.ensure_future(_limit_memory(deployment))
    if harness.with_trouble():
        deployment.leader().kill()
    try:
        if not await deployment.submit(node, "batch", JOB, steps):
            return "LOST: the job is not accepted any more"
        for _ in range(WATCH_S):
            await asyncio.sleep(1)
            _, fields = await deployment.request(node, "GET", "batch", JOB)
            if fields.get("state") == "done":
                return ""
    finally:
        watch.cancel()
    return f"LOST: nothing of the job has run for {WATCH_S} s: {fields}"


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 3, _play))
