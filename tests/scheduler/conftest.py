"""Fixtures of the scheduler tests."""

import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import scheduler_fakes


@pytest.fixture
def deployment():
    """Returns a factory of deployments that already have a leader.

    Errors that the reducer has contained fail the test.
    """
    built = []

    def build(**fields):
        sim = scheduler_fakes.Sim(**fields)
        built.append(sim)
        sim.run(2_000)
        return sim

    yield build
    for sim in built:
        assert [p for p in sim.problems if p.startswith("defect")] == []
