"""Simulation driver and baselines of the bench."""

import random

import pytest

from benchmarks import bench
from benchmarks.baselines import LEAST_LOADED, PERFECT, RANDOM
from benchmarks.driver import Driver
from benchmarks.results import Results, compute_quantile
from benchmarks.shapes import SHAPES
from benchmarks.workload import build_jobs, list_backlog_loads

END_S = 12.0


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    """Shorten the backlog run to seconds."""
    monkeypatch.setattr(bench, "WARM_UP_S", 6.0)
    monkeypatch.setattr(bench, "BACKLOG_S", END_S - 6.0)


def build_short_jobs(shape, seed=1):
    """Return the jobs of a short run."""
    return build_jobs(shape, list_backlog_loads(), (3.0, END_S), random.Random(seed))


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.name)
def test_run_is_reproducible_and_within_the_bound(shape):
    """Guards against decisions that depend on the real clock or global randomness."""
    jobs = build_short_jobs(shape)
    (first, driver), (second, _) = (
        bench.run_backlog(shape, jobs, None, 1) for _ in range(2)
    )
    assert first == second
    assert first["gap_max"] < 1
    assert driver.n_violations == 0


@pytest.mark.parametrize("policy", [RANDOM, LEAST_LOADED, PERFECT])
def test_baselines_run_the_same_jobs(policy):
    """Guards against a baseline that leaves places idle while jobs wait."""
    figures, _ = bench.run_backlog(SHAPES[0], build_short_jobs(SHAPES[0]), policy, 1)
    assert figures["utilisation_while_waiting"] > 0.95


def test_blocked_link_works_after_its_replacement():
    """Guards against blocked links that the fleet does not detect or replace."""
    driver = Driver(SHAPES[0], Results([], bench.build_shares()), 1)
    link = (driver.routers[0].identity.name, driver.agents[0].identity.name)
    driver.run_until(2.0)
    driver.block_link(*link, blocks_new_connections=False)
    driver.run_until(8.0)
    assert driver.blocked_links == {}
    driver.block_link(*link, blocks_new_connections=True)
    driver.run_until(14.0)
    assert set(driver.blocked_links) == {link, link[::-1]}
    driver.unblock_link(*link)
    assert driver.blocked_links == {}


def test_quantile():
    """Guards against an index beyond the end of the values."""
    assert compute_quantile([], 0.5) == 0.0
    assert compute_quantile([3, 1, 2], 1.0) == 3
    assert compute_quantile(list(range(100)), 0.95) == 95
