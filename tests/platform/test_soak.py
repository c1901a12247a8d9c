import asyncio
import time

from tests.platform.soak import ledger as ledger_lib
from tests.platform.soak import play

SEED = 2


class TestLeadersInSeries:
    def test_long_running_tasks_run_again_in_time(self, tmp_path):
        """Guards against long-running tasks that stay without a run, or run
        twice, while one leader after another ends and workers crash."""
        lines, broken = asyncio.run(play.play(SEED, tmp_path))
        assert not broken, "\n".join(lines)


class TestReport:
    def test_wait_and_overlap_are_found(self, tmp_path):
        """Guards against a soak that passes whatever its workers saw."""
        ledger = ledger_lib.Ledger(tmp_path / "record.txt")
        for worker in ("w1", "w2"):
            ledger.begin("task", 1, worker, 1, {"ms": 0, "cpu": 1})
        for run in ledger.runs["task"]:
            ledger.end(run, "failed")
        now = time.monotonic() + ledger_lib.MAX_IDLE_S
        _, late, overlaps = ledger_lib.report(ledger, now)
        assert len(late) == len(overlaps) == 1
