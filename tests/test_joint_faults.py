"""Simulation of a complete fleet under random faults."""

import pytest

from benchmarks.joint_run import JointRun


@pytest.mark.parametrize("seed", range(8))
def test_fleet_keeps_its_promises_under_faults(seed):
    """Guards against integration faults that the tests of one package cannot find.

    Each request gets exactly one final response, responses are complete and belong to
    their request, keyed and non-idempotent requests run at most once, ``not_run`` is
    true, and nothing starts in a data centre later than 3 s after it was taken out.
    """
    counts = JointRun(seed).run(15.0)
    assert counts["complete"] > 20


# Refusals of idempotency keys by agents that have just started.
EARLY_CODES = {"key_too_old", "key_quiet_time"}


@pytest.mark.parametrize("seed", range(2))
def test_fleet_without_faults_refuses_nothing(seed):
    """Guards against refusals by idle routers that receive no pool summaries."""
    counts = JointRun(seed, has_faults=False).run(30.0)
    codes = {name.split()[1] for name in counts if name.startswith("refused ")}
    # Some deadlines are shorter than the slowest executions.
    assert codes <= EARLY_CODES | {"deadline_exceeded"}


def test_run_is_repeatable():
    """Guards against results that differ between runs of one seed."""
    assert JointRun(1).run(3.0) == JointRun(1).run(3.0)
