"""By how old a configuration nodes decide, and what they may say then."""

import scheduler_fakes as fakes

UNKNOWN_PREFIX = "/unknown/"


def follower(sim):
    return next(n for n in sim.nodes.values() if not n.state.leader)


class TestAge:
    def test_refusal_tells_by_how_old_a_configuration(self, deployment):
        """Guards against logs that do not tell a node that the store has turned
        away from one that knows the newest configuration."""
        sim = deployment()
        node = follower(sim)
        sim.submit(1, fakes.step(), node=node.name, prefix=UNKNOWN_PREFIX)
        sim.store.modes[node.name] = "refuse"
        sim.run(8_000)
        sim.submit(2, fakes.step(), node=node.name, prefix=UNKNOWN_PREFIX)
        sim.run(500)
        lines = [f for _, event, f in node.logs if event == "request-failed"]
        ages = [fields["configuration_age_ms"] for fields in lines]
        assert ages[0] <= fakes.WATCH_POLL_MS + fakes.STORE_DELAY_MS
        assert ages[1] > 7_000
        assert [fields["configuration"] for fields in lines] == [1, 1]
