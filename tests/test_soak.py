"""The runner of the soak tests (long randomised runs)."""

import pytest

from benchmarks.soak import find_machines, run_part, run_soak


def test_machines_of_the_packages_are_found():
    """Guards against a soak test that passes without running a state machine."""
    names = {name.split(".")[0] for name in find_machines()}
    assert {"routing", "execution", "dispatch"} <= names


def test_failure_names_its_seed(capsys):
    """Guards against a failure that cannot be reproduced."""

    def fail(seed):
        raise AssertionError(f"at {seed}")

    with pytest.raises(AssertionError, match="at 7"):
        run_part("example", fail, 7)
    assert "SEED=7" in capsys.readouterr().err


def test_no_time_means_no_round():
    """Guards against a soak test that ignores its time limit."""
    assert set(run_soak(1, 0.0).values()) == {0}
