import asyncio

import pytest
from tests.platform.soak import play

SEED = 2


class TestLeadersInSeries:
    def test_long_running_tasks_run_again_in_time(self, tmp_path):
        """Guards against long-running tasks that stay without a run, or run
        twice, while one leader after another ends and workers crash."""
        try:
            lines, broken = asyncio.run(play.play(SEED, tmp_path))
        except play.Stalled as exc:
            pytest.skip(f"the machine is too busy: {exc}")
        assert not broken, "\n".join(lines)
