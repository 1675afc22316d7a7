"""A running fleet for tests with real processes."""

import pytest

from standins.local_fleet import LocalFleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Yield a small fleet that runs for one module."""
    local = LocalFleet(tmp_path_factory.mktemp("fleet"))
    try:
        local.start()
        yield local
    finally:
        local.stop()
