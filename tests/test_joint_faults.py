"""A whole simulated fleet under random faults."""

import pytest

from benchmarks.joint_run import JointRun


@pytest.mark.parametrize("seed", range(8))
def test_fleet_keeps_its_promises_under_faults(seed):
    """Guards against faults between packages that each package's tests cannot show.

    Every request receives one final answer, responses are whole and belong to their
    request, keyed and non-idempotent requests run at most once, ``not_run`` is true,
    and nothing starts in a data centre 3 s after it was taken out.
    """
    counts = JointRun(seed).run(15.0)
    assert counts["complete"] > 20


# Keys that are new to the agents, which have all just started.
EARLY_CODES = {"key_too_old", "key_quiet_time"}


@pytest.mark.parametrize("seed", range(2))
def test_fleet_without_faults_refuses_nothing(seed):
    """Guards against refusals by routers that were idle and hear no summaries."""
    counts = JointRun(seed, has_faults=False).run(30.0)
    codes = {name.split()[1] for name in counts if name.startswith("refused ")}
    # Some deadlines are shorter than the slowest executions.
    assert codes <= EARLY_CODES | {"deadline_exceeded"}


def test_run_is_repeatable():
    """Guards against a verdict that differs between runs of one seed."""
    assert JointRun(1).run(3.0) == JointRun(1).run(3.0)
