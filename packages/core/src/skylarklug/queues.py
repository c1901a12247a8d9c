"""Queue of the pending jobs of a partition, and timers of queued jobs."""

import collections
import heapq

# Priorities 0 to 9.
PRIORITY_LEVELS = 10


class Queue:
    """Pending jobs of one partition by priority, team and size.

    Jobs of the same team and size share an entry. A size that fits on no
    worker is then checked once instead of once for each job.
    """

    def __init__(self):
        self.levels = [{} for _ in range(PRIORITY_LEVELS)]
        self.queued: dict[str, int] = {}
        self.sizes = [collections.Counter() for _ in range(PRIORITY_LEVELS)]

    def add(self, job, level, front=False):
        """Queues a job once; `front` puts it at the head of its entry."""
        current_level = self.queued.get(job.id)
        if current_level is not None:
            if current_level >= level and not front:
                return
            level = max(level, current_level)
            self.remove(job)
        self.queued[job.id] = level
        self.sizes[level][job.size] += 1
        sizes = self.levels[level].setdefault(job.team, {})
        jobs = sizes.setdefault(job.size, collections.deque())
        if front:
            jobs.appendleft(job)
        else:
            jobs.append(job)

    def remove(self, job):
        """Removes a job from the queue."""
        level = self.queued.pop(job.id, None)
        if level is None:
            return
        counts = self.sizes[level]
        counts[job.size] -= 1
        if not counts[job.size]:
            del counts[job.size]
        sizes = self.levels[level][job.team]
        for size, jobs in list(sizes.items()):
            if job in jobs:
                jobs.remove(job)
                if not jobs:
                    del sizes[size]
        if not sizes:
            del self.levels[level][job.team]


class Deadlines:
    """Times at which queued jobs are checked, at most one for each job."""

    def __init__(self):
        self.heap = []
        self.members = set()

    def add(self, at, partition, job_id):
        """Adds a job unless it has a time already."""
        if (partition, job_id) not in self.members:
            self.members.add((partition, job_id))
            heapq.heappush(self.heap, (at, partition, job_id))

    def due(self, now) -> list:
        """Removes and returns the jobs whose time has passed."""
        jobs = []
        while self.heap and self.heap[0][0] <= now:
            _, partition, job_id = heapq.heappop(self.heap)
            self.members.discard((partition, job_id))
            jobs.append((partition, job_id))
        return jobs
