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
    counts = JointRun(seed).run(12.0)
    assert counts["complete"] > 20


def test_run_is_repeatable():
    """Guards against a verdict that differs between runs of one seed."""
    assert JointRun(1).run(3.0) == JointRun(1).run(3.0)
