"""The bench's driver and baselines."""

import random

import pytest

from benchmarks import bench
from benchmarks.baselines import LEAST_LOADED, PERFECT, RANDOM
from benchmarks.driver import Driver
from benchmarks.results import Results, find_quantile
from benchmarks.shapes import SHAPES
from benchmarks.workload import list_backlog_loads, make_jobs

END_S = 12.0


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    """Shorten the backlog run."""
    monkeypatch.setattr(bench, "WARM_UP_S", 6.0)
    monkeypatch.setattr(bench, "BACKLOG_S", END_S - 6.0)


def make_short_jobs(shape, seed=1):
    """Return the jobs of a short run."""
    return make_jobs(shape, list_backlog_loads(), (3.0, END_S), random.Random(seed))


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.name)
def test_run_is_reproducible_and_within_the_bound(shape):
    """Guards against a clock or global randomness in the decisions (same verdict)."""
    jobs = make_short_jobs(shape)
    (first, driver), (second, _) = (
        bench.run_backlog(shape, jobs, None, 1) for _ in range(2)
    )
    assert first == second
    assert first["gap_max"] < 1
    assert driver.n_violations == 0


@pytest.mark.parametrize("policy", [RANDOM, LEAST_LOADED, PERFECT])
def test_baselines_run_the_same_jobs(policy):
    """Guards against a baseline that leaves places idle by mistake."""
    figures, _ = bench.run_backlog(SHAPES[0], make_short_jobs(SHAPES[0]), policy, 1)
    assert figures["utilisation_while_waiting"] > 0.95


def test_cut_connection_works_again_after_its_replacement():
    """Guards against cuts that the fleet cannot see or cannot repair."""
    driver = Driver(SHAPES[0], Results([], bench.get_shares()), 1)
    link = (driver.routers[0].identity.name, driver.agents[0].identity.name)
    driver.run_until(2.0)
    driver.cut(*link, is_path=False)
    driver.run_until(8.0)
    assert driver.cuts == {}
    driver.cut(*link, is_path=True)
    driver.run_until(14.0)
    assert set(driver.cuts) == {link, link[::-1]}
    driver.restore(*link)
    assert driver.cuts == {}


def test_quantile():
    """Guards against an index beyond the end."""
    assert find_quantile([], 0.5) == 0.0
    assert find_quantile([3, 1, 2], 1.0) == 3
    assert find_quantile(list(range(100)), 0.95) == 95
