"""A job is cancelled whose hand-in the store performs late."""

import asyncio
import sys

import harness

JOB = "8a00000000000001"
LATE_S = 5.5
CANCEL_MS = harness.BOUNDS["cancel_ms"]


# The steps run for longer than the machines need to be in touch again after the
# late answer.
FIRST_STEP_S = 6.0
CONTACT_MS = harness.BOUNDS["contact_ms"]


def _behave(worker, run):
    step = run.task.split(".")[2]
    return (FIRST_STEP_S if step == "0" else 1.0, "done")


async def _play(deployment):
    starts = []
    performed_at = []

    def on_start(worker, body):
        starts.append((harness.now_ms(), body["task"]))

    def delay_of(body):
        for row in body["put"]:
            if row["table"] == "jobs" and row["key"] == JOB:
                performed_at.append(harness.now_ms() + int(LATE_S * 1_000))
                deployment.record.add(
                    "store", f"performs the hand-in {LATE_S} s late, no answer"
                )
                return LATE_S
        return 0

    for number in (1, 2, 3, 4):
        worker = deployment.add_worker(f"w{number}", _behave)
        worker.on_start = on_start
    await deployment.start(3, [harness.route("batch")])
    node = deployment.nodes[0]
    if harness.with_trouble():
        deployment.store.delay_of = delay_of
    step = {"count": 1, "cpu": 1_000, "mem_mb": 100, "est_ms": 6_000}
    body = {"spec": "text", "steps": [step, {**step, "after": [0]}]}
    await deployment.request(node, "POST", "batch", JOB, body)
    deployment.store.delay_of = None
    status, _ = await deployment.request(node, "DELETE", "batch", JOB)
    if status not in (200, 410):
        return None
    acknowledged_at = harness.now_ms()
    await asyncio.sleep(20)
    await deployment.request(node, "GET", "batch", JOB)
    calm_at = max([acknowledged_at, *performed_at]) + CONTACT_MS
    late = []
    for at, task in starts:
        if at > acknowledged_at + CANCEL_MS and at > calm_at:
            late.append(f"{task} {at - acknowledged_at} ms after the ack")
    return f"UNASKED: started {late}" if late else ""


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 2, _play))
