"""Fixtures of the scheduler tests."""

import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import scheduler_fakes


@pytest.fixture
def deployment():
    """Returns a factory of deployments that already have a leader."""

    def build(**fields):
        sim = scheduler_fakes.Sim(**fields)
        sim.run(2_000)
        return sim

    return build
