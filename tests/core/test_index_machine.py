"""State machine test of the capacity index."""

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from skylarklug import index
from skylarklug import tasks

WORKERS = strategies.integers(0, 5)


def task(number, mcpus, priority):
    """Returns a task record with the fields that the index reads."""
    job = types.SimpleNamespace(
        id=f"j{number % 3}", job_class="c", kind="batch", priority=priority,
        size=tasks.Size(mcpus, mcpus // 4, 0), spec={"spread": "rack"},
    )  # fmt: skip
    return types.SimpleNamespace(id=f"t{number}", job=job)


class IndexMachine(stateful.RuleBasedStateMachine):
    """Guards against lists and totals that differ from the accounts."""

    def __init__(self):
        super().__init__()
        self.index = index.Index()
        self.number = 0
        self.accounts = []
        for i in range(6):
            size = tasks.Size(16_000, 60_000, 0)
            account = index.Account(f"w{i}", "p", f"r{i % 2}", size)
            account.excluded.clear()
            self.index.add(account)
            self.accounts.append(account)

    @stateful.rule(
        i=WORKERS, mcpus=strategies.integers(1, 8_000),
        priority=strategies.integers(0, 9),
    )  # fmt: skip
    def reserve(self, i, mcpus, priority):
        self.number += 1
        new = task(self.number, mcpus, priority)
        if new.job.size.fits(self.accounts[i].free):
            self.accounts[i].reserve(new, 1)
            self.index.update(self.accounts[i])

    @stateful.rule(i=WORKERS)
    def release(self, i):
        for key in list(self.accounts[i].residents)[:1]:
            self.accounts[i].release(*key)
            self.index.update(self.accounts[i])

    @stateful.rule(i=WORKERS, out=strategies.booleans())
    def exclude(self, i, out):
        self.accounts[i].excluded = {"drained": 0} if out else {}
        self.index.update(self.accounts[i])

    @stateful.invariant()
    def lists_match_the_accounts(self):
        usable = [a for a in self.accounts if not a.excluded]
        for i in range(3):
            expected = sorted((a.free[i], a.worker) for a in usable)
            assert list(self.index.lists[i]) == expected
            assert self.index.free[i] == sum(a.free[i] for a in usable)

    @stateful.invariant()
    def nothing_is_overcommitted(self):
        for account in self.accounts:
            assert min(account.free) >= 0
            held = sum(r.mcpus for r in account.residents.values())
            assert account.used[0] == held
        residents = sum(len(a.residents) for a in self.accounts)
        # Each resident counts once for its rack and once for its worker.
        counts = self.index.racks
        by_rack = sum(counts[key] for key in counts if len(key) == 2)
        by_worker = sum(counts[key] for key in counts if len(key) == 3)
        assert by_rack == by_worker == residents


TestIndexMachine = IndexMachine.TestCase
TestIndexMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
