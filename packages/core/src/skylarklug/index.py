"""Capacity of a partition's workers, and the choice of a worker for a task."""

import collections

import sortedcontainers

from skylarklug import tasks

# Candidates of a placement: 16 in total, so that the cost of a decision does
# not grow with the number of workers.
BEST_FIT_CANDIDATES = 8
MOST_FREE_CANDIDATES = 4
RANDOM_CANDIDATES = 4
# Added to the score, where 1 is a whole unused worker, for each task of a
# spread job on the same rack, and again for each one on the same worker.
RACK_PENALTY = 0.25
WORKER_PENALTY = 0.25
# Added to the score for each failure of the job on the worker.
FAILURE_PENALTY = 0.2
# Limits the total of the failure penalty.
MAX_FAILURES_COUNTED = 5
# Weight of the previous estimate when the observed use falls.
ESTIMATE_DECAY = 0.8
# Jobs of this priority, the highest, are never preempted.
URGENT_PRIORITY = 9


class Resident:
    """Capacity that is reserved for one attempt on a worker."""

    __slots__ = ("task", "attempt", "mcpus", "memory_mb", "observed", "since")

    def __init__(self, task, attempt):
        self.task = task
        self.attempt = attempt
        self.mcpus = task.job.size.mcpus
        self.memory_mb = task.job.size.memory_mb
        self.observed = (0, 0)


class Account:
    """Capacity, reservations and exclusions of one worker."""

    __slots__ = (
        "worker", "partition", "rack", "capacity", "used", "background",
        "residents", "excluded", "claim", "free", "keys", "preemptible",
        "racks", "classes",
    )  # fmt: skip

    def __init__(self, worker, partition, rack, capacity):
        self.worker = worker
        self.partition = partition
        self.rack = rack
        self.capacity = capacity
        self.used = [0, 0, 0]
        self.background = (0, 0)
        self.residents: dict[tuple[str, int], Resident] = {}
        self.excluded = {"not synced": 0}
        self.claim = None
        self.keys = None
        self.preemptible = 0
        self.racks = None
        self.classes: dict[str, int] = {}
        self._update_free()

    def reserve(self, task, attempt):
        """Reserves the declared size of an attempt."""
        resident = Resident(task, attempt)
        self.residents[task.id, attempt] = resident
        job_class = task.job.job_class
        self.classes[job_class] = self.classes.get(job_class, 0) + 1
        self._add(resident, 1)

    def release(self, task_id, attempt):
        """Releases the reservation of an attempt and returns it, or None."""
        resident = self.residents.pop((task_id, attempt), None)
        if resident is not None:
            self._add(resident, -1)
            job_class = resident.task.job.job_class
            self.classes[job_class] -= 1
            if not self.classes[job_class]:
                del self.classes[job_class]
        return resident

    def observe(self, usage) -> bool:
        """Applies observed use; returns whether the free capacity changed."""
        before = self.free
        mcpus, memory_mb = usage.cpus * 1000, usage.memory_mb
        for resident in self.residents.values():
            usage_of_task = usage.tasks.get(resident.task.id)
            if usage_of_task is None:
                continue
            mcpus -= usage_of_task[0] * 1000
            memory_mb -= usage_of_task[1]
            self._add(resident, -1)
            size = resident.task.job.size
            estimate = _update_estimate(
                resident.observed, usage_of_task[0] * 1000, usage_of_task[1]
            )
            resident.observed = estimate
            resident.mcpus = max(size.mcpus, estimate[0])
            resident.memory_mb = max(size.memory_mb, estimate[1])
            self._add(resident, 1)
        for task_id, usage_of_task in usage.tasks.items():
            if not any(key[0] == task_id for key in self.residents):
                mcpus -= usage_of_task[0] * 1000
                memory_mb -= usage_of_task[1]
        self.background = _update_estimate(
            self.background, max(0, mcpus), max(0, memory_mb)
        )
        self._update_free()
        return self.free != before

    def _add(self, resident, sign):
        job = resident.task.job
        self.used[0] += sign * resident.mcpus
        self.used[1] += sign * resident.memory_mb
        self.used[2] += sign * job.size.accelerators
        if job.priority < URGENT_PRIORITY and job.kind != "service":
            self.preemptible += sign * resident.mcpus
        if self.racks is not None and job.spec["spread"] == "rack":
            for key in ((job.id, self.rack), (job.id, self.rack, self.worker)):
                self.racks[key] += sign
                if not self.racks[key]:
                    del self.racks[key]
        self._update_free()

    def _update_free(self):
        self.free = (
            self.capacity[0] - self.used[0] - self.background[0],
            self.capacity[1] - self.used[1] - self.background[1],
            self.capacity[2] - self.used[2],
        )


def _update_estimate(old, mcpus, memory_mb):
    """Returns an estimate that rises at once and falls exponentially."""
    old_weight = ESTIMATE_DECAY
    return (
        int(max(mcpus, old_weight * old[0] + (1 - old_weight) * mcpus)),
        int(max(memory_mb, old_weight * old[1] + (1 - old_weight) * memory_mb)),
    )


class Index:
    """Workers of a partition, sorted by each free resource.

    `reclaimable` sorts them by the processors that are free or can be
    preempted. No list contains workers that are excluded or claimed.
    """

    def __init__(self):
        self.accounts: dict[str, Account] = {}
        self.lists = tuple(sortedcontainers.SortedList() for _ in range(3))
        self.reclaimable = sortedcontainers.SortedList()
        self.capacities = collections.Counter()
        self.totals = [0, 0, 0]
        self.free = [0, 0, 0]
        self.racks = collections.Counter()

    def add(self, account):
        """Adds an account."""
        self.accounts[account.worker] = account
        self.capacities[account.capacity] += 1
        account.racks = self.racks
        for i in range(3):
            self.totals[i] += account.capacity[i]
        self.update(account)

    def remove(self, account):
        """Removes an account."""
        if self.accounts.pop(account.worker, None) is None:
            return
        self.capacities[account.capacity] -= 1
        if not self.capacities[account.capacity]:
            del self.capacities[account.capacity]
        for i in range(3):
            self.totals[i] -= account.capacity[i]
        account.excluded["dropped"] = 0
        self.update(account)

    def update(self, account):
        """Moves the account to its position in each sorted list."""
        keys = None
        if not account.excluded and account.claim is None:
            keys = (*account.free, account.free[0] + account.preemptible)
        old = account.keys
        if keys == old:
            return
        worker = account.worker
        account.keys = keys
        for i, entries in enumerate((*self.lists, self.reclaimable)):
            if old is not None and keys is not None and old[i] == keys[i]:
                continue
            if old is not None:
                entries.remove((old[i], worker))
                if i < 3:
                    self.free[i] -= max(0, old[i])
            if keys is not None:
                entries.add((keys[i], worker))
                if i < 3:
                    self.free[i] += max(0, keys[i])

    def may_fit(self, size) -> bool:
        """Returns whether each resource on its own is free on some worker."""
        return all(
            entries and entries[-1][0] >= size[i]
            for i, entries in enumerate(self.lists)
        )

    def could_ever_fit(self, size) -> bool:
        """Returns whether the size fits on an empty worker of the partition."""
        if not self.capacities:
            return True
        return any(size.fits(capacity) for capacity in self.capacities)

    def describe_largest(self) -> str:
        """Describes the three largest worker capacities."""
        return " ".join(
            f"cpus={c.mcpus / 1000:g},memory_mb={c.memory_mb},"
            f"accelerators={c.accelerators}"
            for c in sorted(self.capacities, reverse=True)[:3]
        )

    def free_capacity(self) -> dict:
        """Returns the total and the largest free amount of each resource."""
        largest = [entries[-1][0] if entries else 0 for entries in self.lists]
        return {"free": list(self.free), "largest": largest}

    def candidates(self, size, rng) -> list:
        """Returns at most 16 workers with enough of the scarcest resource."""
        scarcest = max(range(3), key=lambda i: size[i] / max(1, self.totals[i]))
        entries = self.lists[scarcest]
        first = entries.bisect_left((size[scarcest], ""))
        return sample_candidates(entries, first, rng)


def sample_candidates(entries, first, rng) -> list:
    """Returns the best fits, the most free and some random other workers."""
    count = len(entries)
    head = min(count, first + BEST_FIT_CANDIDATES)
    tail = max(head, count - MOST_FREE_CANDIDATES)
    names = [name for _, name in entries.islice(first, head)]
    names.extend(name for _, name in entries.islice(tail, count))
    if tail > head:
        number = min(tail - head, RANDOM_CANDIDATES)
        picks = rng.sample(range(head, tail), number)
        names.extend(entries[i][1] for i in picks)
    return names


def choose(state, index, task):
    """Returns the best account for a task, and the rejected candidates.

    Each rejected candidate is a pair of its name and the reason or score.
    """
    from skylarklug import interference
    from skylarklug import quarantine

    job = task.job
    best = None
    best_score = 0.0
    rejected = []
    failures = quarantine.failures_by_worker(state, job.id)
    spread = job.spec["spread"] == "rack"
    for worker in index.candidates(job.size, state.rng):
        account = index.accounts[worker]
        if not job.size.fits(account.free):
            rejected.append(
                (worker, _describe_shortage(job.size, account.free))
            )
            continue
        score = _fragmentation(job.size, account)
        score += interference.penalty(state, job.job_class, account)
        if worker in failures:
            count = min(failures[worker][1], MAX_FAILURES_COUNTED)
            score += FAILURE_PENALTY * count
        if spread:
            rack, worker = account.rack, account.worker
            score += RACK_PENALTY * index.racks[job.id, rack]
            # Spreads over workers too, which matters if there is one rack.
            score += WORKER_PENALTY * index.racks[job.id, rack, worker]
        if best is None or score < best_score:
            if best is not None:
                rejected.append((best.worker, f"{best_score:.3f}"))
            best, best_score = account, score
        else:
            rejected.append((worker, f"{score:.3f}"))
    return best, rejected


def _describe_shortage(size, free):
    for i, name in enumerate(tasks.Size._fields):
        if size[i] > free[i]:
            return f"{name} {free[i]}<{size[i]}"
    return "fits"


def _fragmentation(size, account):
    """Returns the mean unused share that the placement would leave."""
    capacity, free = account.capacity, account.free
    left = (free[0] - size[0]) / max(1, capacity[0])
    left += (free[1] - size[1]) / max(1, capacity[1])
    if free[2] and not size[2]:
        left += free[2] / capacity[2]
    return left / 2
