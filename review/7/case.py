"""A route is removed and added again while one of its jobs fails once."""

import asyncio
import sys

import harness

JOB = "7a00000000000001"


def _behave(worker, run):
    # The first run fails, as a share of all runs does; the next one is sound.
    return (2.0, "failed") if run.attempt < 2 else (1.0, "done")


async def _play(deployment):
    for number in (1, 2):
        deployment.add_worker(f"w{number}", _behave)
    batch = harness.route("batch", max_attempts=3)
    other = harness.route("other")
    await deployment.start(3, [batch, other])
    node = deployment.nodes[0]
    steps = [{"count": 1, "cpu": 1_000, "mem_mb": 100, "est_ms": 1_000}]
    if not await deployment.submit(node, "batch", JOB, steps):
        return None
    began = await deployment.wait(
        lambda: any(worker.runs for worker in deployment.workers), 10
    )
    if not began:
        return None
    if harness.with_trouble():
        deployment.record.add("operator", "version 5 removes the route batch")
        config = harness.configuration(5, [other])
        deployment.store.put("op", "config", config)
    await asyncio.sleep(5)
    if harness.with_trouble():
        deployment.record.add("operator", "version 9 has the route again")
        config = harness.configuration(9, [batch, other])
        deployment.store.put("op", "config", config)
    await asyncio.sleep(4)
    for _ in range(10):
        status, fields = await deployment.request(node, "GET", "batch", JOB)
        if status == 200 and fields["state"] in ("done", "failed"):
            break
        await asyncio.sleep(1)
    if status != 200:
        return None
    if fields["state"] == "failed":
        return "LOST: shown as failed after one failed run of three"
    return "" if fields["state"] == "done" else None


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 2, _play))
