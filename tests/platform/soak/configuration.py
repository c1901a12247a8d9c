"""Plays changes of the configuration beside a store that turns nodes away.

Run with `python -m tests.platform.soak.configuration --seeds 1-50`. Processes
of the scheduler are turned away, suspended, killed and started again while
routes come and go. Clients keep their connections and ask each node for the
lengths of queues; an answer by a version that is not in force any more is a
problem.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import time

from tests.platform import platform_standin as standin
from tests.platform.soak import ledger as ledger_lib
from tests.platform.soak import play as play_lib
from tests.platform.soak import workers as workers_lib

from skylarklugd import client

NODES = 4
NAMES = ("a", "b", "c")
APPLY_S = 2.0
DURATION_S = 20.0
START_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_MS = 1_500
FAULTS = (503, 429, "silent")


class Play:
    """Plays one seed."""

    def __init__(self, seed, folder):
        folder.mkdir(parents=True, exist_ok=True)
        self.rng = random.Random(seed)
        self.ledger = ledger_lib.Ledger(folder / "record.txt")
        self.store = standin.Store()
        self.http = client.Client(connections=8, connect_timeout_ms=500)
        # When each version was written, with the names of its routes.
        self.versions = []
        # (name of the route, status, when it was sent and answered).
        self.answers = []
        self.doors = []
        self.nodes = []
        for number in range(NODES):
            door = standin.Door(self.store)
            node = play_lib.Node(f"node-{number}", door, folder, self.ledger)
            fields = json.loads(node.path.read_text())
            fields["port_range"] = workers_lib.free_port_range(3)
            node.path.write_text(json.dumps(fields))
            self.doors.append(door)
            self.nodes.append(node)

    def change(self):
        routes = []
        for name in NAMES:
            if self.rng.random() < 0.5:
                fields = {"name": name, "prefix": f"/{name}/"}
                routes.append({**standin.CONFIGURATION["routes"][0], **fields})
        version = 1 + len(self.versions)
        cfg = {**standin.CONFIGURATION, "version": version, "routes": routes}
        # Nodes may see it from here on.
        self.versions.append(
            (time.monotonic(), frozenset(route["name"] for route in routes))
        )
        self.store.put("op", "", "config", cfg)
        self.ledger.note(f"version {version}")

    async def change_often(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
            self.change()

    async def turn_away_often(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            fault = self.rng.choice(FAULTS)
            doors = self.rng.sample(self.doors, self.rng.randint(1, NODES))
            self.ledger.note(f"{len(doors)} nodes turned away: {fault}")
            for door in doors:
                door.fault = fault
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            for door in doors:
                door.fault = 0

    async def disrupt_often(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            node = self.rng.choice(self.nodes)
            if self.rng.random() < 0.5:
                self.ledger.note(f"{node.name} suspended")
                await node.freeze(self.rng.uniform(0.5, 4.0))
                continue
            signum = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
            await node.end(signum)
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await node.start()

    async def ask_often(self, node):
        host = {"Host": "hub.example"}
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            name = self.rng.choice(NAMES)
            sent_at = time.monotonic()
            try:
                answer = await self.http.call(
                    node.front,
                    "GET",
                    f"/{name}/",
                    None,
                    REQUEST_TIMEOUT_MS,
                    host,
                )
            except client.upstream.ExchangeFailed:
                continue
            times = (sent_at, time.monotonic())
            self.answers.append((node.name, name, answer.status, *times))

    def may_say(self, name, status, sent_at, answered_at):
        """Returns whether a version that may be in force says so."""
        for number, (since, names) in enumerate(self.versions):
            if since > answered_at:
                break
            later = self.versions[number + 1 :]
            # A version counts as confirmed when the next one is written: the
            # write itself takes no time here.
            if later and later[0][0] + APPLY_S < sent_at:
                continue
            if (name in names) == (status == 200):
                return True
        return False

    def problems(self):
        found = []
        for node, name, status, *times in self.answers:
            if status in (200, 404) and not self.may_say(name, status, *times):
                found.append(f"{node} says {status} for {name} at {times[0]}")
        return found

    async def run(self):
        self.change()
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self.nodes:
                await node.start()
            while ("leadership", "s0", "beat") not in self.store.rows:
                await asyncio.sleep(0.1)
        tasks = [
            asyncio.ensure_future(self.change_often()),
            asyncio.ensure_future(self.turn_away_often()),
            asyncio.ensure_future(self.disrupt_often()),
        ]
        for node in self.nodes:
            tasks.append(asyncio.ensure_future(self.ask_often(node)))
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        self.http.close()
        self.store.close()


async def play(seed, folder):
    """Plays a seed; returns (counts by status, problems)."""
    found = Play(seed, folder)
    try:
        await found.run()
    finally:
        await found.stop()
    counts = {}
    for _, _, status, *_ in found.answers:
        counts[status] = counts.get(status, 0) + 1
    return counts, found.problems()


def main():
    parser = argparse.ArgumentParser(
        prog="python -m tests.platform.soak.configuration"
    )
    parser.add_argument("--seeds", default="1-6", help="such as 7 or 1-50")
    parser.add_argument("--logs", default="target/soak-configuration")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    status = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(args.logs) / f"seed-{seed}"
        counts, problems = asyncio.run(play(seed, folder))
        status = status or bool(problems)
        print(f"seed {seed}: {counts}", *problems, sep="\n  ", flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main())
