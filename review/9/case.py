"""A second wave of maintenance names a machine that has come meanwhile."""

import asyncio
import sys

import harness


def _behave(worker, run):
    return (0.5, "done")


def _wave(number, machine):
    return {
        "wave": number,
        "machines": [machine],
        "period_s": 20,
        "max_count": 1,
    }


async def _play(deployment):
    cloud, store = deployment.cloud, deployment.store

    def add_machine(number):
        worker = deployment.add_worker(f"w{number}", _behave)
        cloud.machines[f"m-{number}"] = worker

    def state(number):
        return (store.value("status", f"wave/{number}") or {}).get("state")

    for number in (1, 2, 3, 4):
        add_machine(number)
    if not harness.with_trouble():
        add_machine(5)
    await deployment.start(3, [harness.route("batch")])
    deployment.record.add("operator", f"wave {_wave(1, 'm-1')}")
    store.put("op", "wave/1", _wave(1, "m-1"))
    if not await deployment.wait(lambda: state(1) == "done", 25):
        return None
    if ("m-1", 1) not in cloud.waves_done:
        return None
    deployment.record.add("system", "wave 1 is done")
    await asyncio.sleep(1)
    if harness.with_trouble():
        deployment.record.add("platform", "machine m-5 is added")
        add_machine(5)
    await asyncio.sleep(10)
    deployment.record.add("operator", f"wave {_wave(2, 'm-5')}")
    store.put("op", "wave/2", _wave(2, "m-5"))
    if not await deployment.wait(lambda: state(2) == "done", 25):
        return None
    deployment.record.add("system", "wave 2 is done")
    if ("m-5", 2) in cloud.waves_done:
        return ""
    await asyncio.sleep(20)
    begun = ("m-5", 2) in cloud.waves_done
    return f"MIXED: wave 2 done before the upkeep of m-5; begun later: {begun}"


if __name__ == "__main__":
    sys.exit(harness.main(__file__, 2, _play))
