import asyncio
import time

from tests.platform.soak import configuration

SEED = 1


class TestOutdatedConfiguration:
    def test_no_answer_by_a_version_that_is_not_in_force(self, tmp_path):
        """Guards against processes that decide by an outdated configuration
        while the store turns them away, and signals end or suspend them."""
        counts, problems = asyncio.run(configuration.play(SEED, tmp_path))
        assert not problems
        assert {200, 404} <= set(counts)


class TestCheck:
    def test_outdated_answers_are_found(self, tmp_path):
        """Guards against a soak that passes whatever its clients saw."""

        async def check():
            play = configuration.Play(SEED, tmp_path)
            now = time.monotonic()
            play.versions = [
                (now - 10, frozenset("a")),
                (now - 5, frozenset("b")),
            ]
            play.answers = [
                ("n", "a", 200, now, now + 0.1),
                ("n", "b", 404, now, now + 0.1),
                ("n", "a", 200, now - 4, now),
                ("n", "b", 200, now - 4, now),
                ("n", "a", 503, now, now + 0.1),
            ]
            found = play.problems()
            await play.stop()
            return found

        assert len(asyncio.run(check())) == 2
