import pathlib
import sys

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import batch_fakes


@pytest.fixture
def sim(monkeypatch):
    """Returns a factory of simulations with the fake modules installed."""
    batch_fakes.install(monkeypatch)

    def build(seed=1, ready=True, **settings):
        built = batch_fakes.Sim(seed, **settings)
        if ready:
            built.acquire(built.nodes[0])
            built.run(500)
        return built

    return build
