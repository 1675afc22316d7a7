"""Short soaks of real forwarder processes, with fixed seeds.

A seed that has failed stays here, with a line on its cause.
"""

import asyncio

import pytest

from catkinfork.platform.tests.soak.run import run_soak
from catkinfork.platform.tests.soak.settings import SoakSettings

pytestmark = pytest.mark.processes

N_SECONDS = 25.0
N_CLIENTS = 24
# A run in which less is served shows nothing.
MIN_RUNS = 400


def check_soak(settings, folder):
    """Run a soak, print its report and check that it breaks no promise."""
    report = asyncio.run(run_soak(settings, folder))
    print("\n".join([f"logs in {folder}", *report.list_lines()]))
    assert report.violations == []
    assert report.n_exits > settings.n_hosts
    return report


# planned-4: a signal soon after the start ended the process.
# watches-1: removals were held back as watches had been cut.
@pytest.mark.parametrize(
    ("kind", "seed"), [("planned", 4), ("hard", 37), ("watches", 1)]
)
def test_disruptions_break_no_promise(kind, seed, tmp_path):
    """Guards against requests that are lost, repeated or falsely refused."""
    settings = SoakSettings(kind, seed, N_SECONDS, n_clients=N_CLIENTS)
    assert check_soak(settings, tmp_path).n_runs > MIN_RUNS


def test_requests_that_crash_servers_break_no_promise(tmp_path):
    """Guards against crashes that nobody counts, and blame that hits sound requests."""
    settings = SoakSettings("crashing", 1, 30.0, n_clients=N_CLIENTS)
    assert check_soak(settings, tmp_path).n_runs > MIN_RUNS


# planned-10: hosts that were restarted in turn did not know where streams had begun.
def test_streams_go_on_after_restarts_in_turn(tmp_path):
    """Guards against streams that are taken up again and refused."""
    settings = SoakSettings("planned", 10, 30.0, n_clients=60, stream_share=0.9)
    assert check_soak(settings, tmp_path).n_resumed > N_CLIENTS
