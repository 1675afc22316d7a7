"""Randomised runs of a router with the same steps in every run."""

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from catkinfork.routing.tests.machine import RouterMachine


def test_invariants_hold_under_random_faults():
    """Guards against faults that only a combination of events shows."""
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
