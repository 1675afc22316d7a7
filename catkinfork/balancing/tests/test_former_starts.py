"""Attempts that end after their backend server has started again under its id."""

import pytest

from catkinfork.balancing import BROKEN, CONNECTION_REFUSED, SERVED, SILENT
from catkinfork.balancing.tests.support import build_balancer, submit


@pytest.mark.parametrize("outcome", [BROKEN, CONNECTION_REFUSED, SILENT, SERVED])
def test_late_outcome_of_a_former_start_says_nothing_of_the_new_one(outcome):
    """Guards against a server that is left out for what its former start has lost.

    Load pattern: the host of a server loses power with requests running there. Their
    connections end only as it is back, and after the entry of the new start is read.
    """
    balancer = build_balancer(n_backends=2)
    placements = [submit(balancer, 0.0) for _ in range(8)]
    name = placements[0].backend.name
    lost = [one for one in placements if one.backend.name == name]
    entry = lost[0].backend.entry._replace(started_ms=5000)
    balancer.registry.apply_entry(entry, 3.0, "test")
    submit(balancer, 3.0)
    for placement in lost:
        balancer.handle_attempt_end(placement, outcome, 3.1)
    health = balancer.pools["s"].find(name).health
    assert not health.is_ejected(3.1)
    assert (health.failure_rate, health.unreachable_at) == (0.0, None)


def test_late_crash_of_a_former_start_is_no_crash_of_the_new_one():
    """Guards against a crash that hides the next one of the server on the same part.

    Crashes of one start of a server count once.
    """
    balancer = build_balancer(n_backends=1)
    parts = [(0xA, 100), (0xB, 100)]
    late = submit(balancer, 0.0, parts=parts)
    entry = late.backend.entry._replace(started_ms=5000)
    balancer.registry.apply_entry(entry, 3.0, "test")
    balancer.handle_attempt_end(late, BROKEN, 3.1)
    again = submit(balancer, 4.0, parts=parts)
    balancer.handle_attempt_end(again, BROKEN, 4.1)
    assert balancer.crash_guard.parts.suspects[0xA].n_crashes == 2
