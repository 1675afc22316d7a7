"""Deterministic run of the randomised state machine of a router."""

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from catkinfork.routing.tests.machine import RouterMachine


def test_invariants_hold_under_random_faults():
    """Guards against faults that only combinations of events expose."""
    run_state_machine_as_test(
        RouterMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
