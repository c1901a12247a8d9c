"""Tests of the reducer's contract."""

from skylarklug import events
from skylarklug import reducer


class TestReducer:
    def test_replay_gives_identical_effects(self):
        """Guards against hidden inputs, such as a clock or a global seed."""
        stream = [
            events.NodeStarted(0, "yumbo-1", "yumbo", "valle", 1, 7, {}),
            *(events.Tick(at) for at in range(50, 5000, 50)),
        ]

        def run():
            state = reducer.new_state()
            return [reducer.reduce(state, event) for event in stream]

        assert run() == run()
