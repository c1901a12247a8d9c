"""A job that repeats many times makes the commits of all jobs fail."""

import asyncio
import json
import sys
import time

import harness

REPEATING_JOB = "7a00000000000001"
JOB = "7a00000000000002"
# With TROUBLE=0 the job repeats less often.
REPEATS = 6_500 if harness.with_trouble() else 500
INTERVAL_MS = 10
RUN_S = 0.03
WATCH_S = 25


def _behave(worker, run):
    return (RUN_S, "done")


async def _play(deployment):
    for number in range(1, 9):
        deployment.add_worker(f"w{number}", _behave)
    await deployment.start(3, [harness.route("batch"), harness.route("timed")])
    node = deployment.nodes[0]
    step = {"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 30}
    body = {
        "spec": "text",
        "steps": [step],
        "repeats": REPEATS,
        "first_ms": time.time_ns() // 1_000_000 + 1_500,
        "interval_ms": INTERVAL_MS,
    }
    status, _ = await deployment.request(
        node, "POST", "timed", REPEATING_JOB, body
    )
    if status != 200:
        return None
    store = deployment.store
    await deployment.wait(lambda: store.too_large > 3, 70)
    row = json.dumps(store.value("work", REPEATING_JOB), separators=(",", ":"))
    deployment.record.add(
        "store",
        f"has {len(row)} of {harness.ROW_BYTES} bytes in the row of the"
        f" repeating job; {store.too_large} larger ones were refused",
    )
    if not await deployment.submit(node, "batch", JOB, [step]):
        return None
    fields = {}
    for _ in range(WATCH_S):
        await asyncio.sleep(1)
        _, fields = await deployment.request(node, "GET", "batch", JOB)
        if fields.get("state") == "done":
            return ""
    return f"LOST: the other job is not done after {WATCH_S} s: {fields}"


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 2, _play))
