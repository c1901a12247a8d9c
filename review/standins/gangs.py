"""Stand-in of the gangs of workers: members that only work together."""

import time

from standins import deployment

TIMEOUT_S = deployment.BOUNDS["gang_timeout_ms"] / 1_000


class Gangs:
    """Knows which members of each gang are present, on all workers.

    Attributes:
        alone: (task, attempt) of each run that has waited in vain.
        complete: How often all members of a gang were present.
    """

    def __init__(self, sizes):
        self.alone = []
        self.complete = 0
        # Number of members and run time in ms, by (job, step).
        self._sizes = sizes
        self._present = {}

    def on_run(self, worker, run):
        """Adds a member; lets all of them work once they are all present."""
        job, occurrence, step, _ = run.task.split(".")
        gang = (job, occurrence, step, run.attempt)
        members = self._present.setdefault(gang, {})
        members[run.task] = run
        count, run_ms = self._sizes[job, int(step)]
        now = time.monotonic()
        if len(members) < count:
            run.ends_at = now + TIMEOUT_S
            run.how = "alone"
            return
        self.complete += 1
        for member in members.values():
            member.ends_at = now + run_ms / 1_000
            member.how = "done"

    def on_end(self, worker, run, how):
        """Removes a member; the others end as broken if they were at work."""
        if how == "alone":
            self.alone.append((run.task, run.attempt))
        job, occurrence, step, _ = run.task.split(".")
        members = self._present.get((job, occurrence, step, run.attempt), {})
        if how == "done":
            return
        if members.pop(run.task, None) is None:
            return
        for member in members.values():
            if member.how == "done":
                member.ends_at = time.monotonic()
                member.how = "broken"
