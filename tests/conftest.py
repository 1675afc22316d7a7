"""Fixture of a running fleet for tests with real processes."""

import pytest

from standins.local_fleet import LocalFleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Yield a small fleet that is shared by the tests of a module."""
    local_fleet = LocalFleet(tmp_path_factory.mktemp("fleet"))
    try:
        local_fleet.start()
        yield local_fleet
    finally:
        local_fleet.stop()
