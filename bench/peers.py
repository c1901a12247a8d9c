"""Benchmark of the exchange of the operator's rows, in virtual time.

Run with `python -m bench.peers` from the root of the repository. The store
turns half of the nodes away while the configuration changes; a table shows how
late these learn a version, and what the exchange costs each node.
"""

import collections
import pathlib
import sys

import tabulate

from skylarklug.scheduler import freshness
from skylarklug.scheduler import records

sys.path.append(str(pathlib.Path(__file__).parents[1] / "tests" / "scheduler"))

import scheduler_fakes as fakes

SIZES = (9, 99, 300)
CALM_MS = 20_000
CHANGES = 5
CHANGE_INTERVAL_MS = 3_000
# The bound of the deployments, in ms.
TARGET_MS = 2_000
STEP_MS = 20


class CountingSim(fakes.Sim):
    """Counts the calls between nodes, by node that sends and that answers."""

    def __init__(self, **fields):
        self.sent = collections.Counter()
        self.answered = collections.Counter()
        super().__init__(**fields)

    def on_AskPeer(self, node, effect):  # noqa: N802
        self.sent[node.name] += 1
        self.answered[effect.address] += 1
        super().on_AskPeer(node, effect)


def _rates(sim, duration_ms):
    """Returns calls per second: sent by the mean node, answered by the most."""
    sent = sum(sim.sent.values()) / len(sim.nodes) / duration_ms * 1_000
    answered = max(sim.answered.values(), default=0) / duration_ms * 1_000
    sim.sent.clear()
    sim.answered.clear()
    return sent, answered


def measure(size):
    """Returns the row of the table for a number of nodes."""
    # Polls of the operator's rows return at the interval of a real feed.
    fakes.WATCH_POLL_MS = int(TARGET_MS * freshness.WATCH_WAIT_SHARE)
    sim = CountingSim(nodes=size, workers=0)
    sim.run(8_000)
    _rates(sim, 1)
    sim.run(CALM_MS)
    calm = _rates(sim, CALM_MS)
    away = list(sim.nodes.values())[::2]
    for node in away:
        sim.store.modes[node.name] = "refuse"
    started_at = sim.now
    latest = 0
    for number in range(CHANGES):
        sim.run(CHANGE_INTERVAL_MS)
        version = 10 + number
        sim.change_configuration(records.Configuration(version, {}))
        changed_at = sim.now
        while any(n.state.configuration.version < version for n in away):
            sim.run(STEP_MS)
        latest = max(latest, sim.now - changed_at)
    trouble = _rates(sim, sim.now - started_at)
    return (size, latest, TARGET_MS, *calm, *trouble)


def main():
    """Prints the table."""
    rows = [measure(size) for size in SIZES]
    headers = (
        "nodes",
        "latest version, ms",
        "target, ms",
        "calm: calls/s sent (mean)",
        "answered (most)",
        "half turned away: calls/s sent (mean)",
        "answered (most)",
    )
    print(tabulate.tabulate(rows, headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
