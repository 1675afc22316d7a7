"""Whether a forwarder that stops stays until another one has what it knows."""

from itertools import pairwise

import pytest

from catkinfork.peering._handover import SETTLING_TIME_S
from catkinfork.peering.tests.nodes import Node, build_nodes, run

START_MS = 1_000_000
N_NODES = 4


class StoppingFleet:
    """Forwarders that begin to drain, exit and start again, with a simulated clock."""

    def __init__(self, n_nodes=N_NODES):
        self.nodes = build_nodes(n_nodes)
        self.plans = {}
        self.now = 0.0
        self.run(4.0)

    def run(self, duration_s, **options):
        """Exchange frames for a time, seconds."""
        self.now = run(self.nodes, self.now, self.now + duration_s, **options)

    def begin_stop(self, address, clock_error_ms=0):
        """Let a forwarder begin to drain."""
        since = START_MS + int(1000 * self.now) + clock_error_ms
        self.plans[address] = self.nodes[address].exchange.begin_leaving(since)

    def exit(self, address):
        """End a forwarder."""
        del self.nodes[address]
        self.plans.pop(address, None)

    def start(self, address):
        """Start a forwarder that knows one of the others."""
        seeds = list(self.nodes)[:1]
        self.nodes[address] = Node(address, seeds, incarnation=int(1000 * self.now))

    def list_staying(self):
        """Return the addresses of those that drain and have to stay."""
        return [
            address for address, plan in self.plans.items() if plan.must_stay(self.now)
        ]


def test_forwarder_leaves_at_once_while_others_serve():
    """Guards against a planned stop that takes its whole grace without need."""
    fleet = StoppingFleet()
    fleet.begin_stop("10.0.0.1")
    fleet.run(0.3)
    assert fleet.list_staying() == []


def test_lone_forwarder_leaves_at_once():
    """Guards against waiting for peers that do not exist."""
    fleet = StoppingFleet(1)
    fleet.begin_stop("10.0.0.1")
    assert fleet.list_staying() == []


@pytest.mark.parametrize("order", [(1, 2, 3, 4), (4, 3, 2, 1), (2, 4, 1, 3)], ids=str)
def test_last_one_to_be_stopped_stays(order):
    """Guards against a restart in turn that leaves nobody to ask (ORDER, LOST).

    Load pattern: hosts start so slowly that all have stopped before the first is back.
    """
    fleet = StoppingFleet()
    addresses = [f"10.0.0.{number}" for number in order]
    for address, following in pairwise(addresses):
        fleet.begin_stop(address)
        fleet.run(1.0)
        assert fleet.list_staying() == []
        assert following in fleet.nodes
    last = addresses[-1]
    fleet.begin_stop(last)
    fleet.run(0.3)
    assert fleet.list_staying() == [last]
    for address in addresses[:-1]:
        fleet.exit(address)
        fleet.run(1.0)
    assert fleet.list_staying() == [last]
    fleet.start(addresses[0])
    fleet.run(1.0)
    assert fleet.list_staying() == [last]
    fleet.run(SETTLING_TIME_S)
    assert fleet.list_staying() == []


def test_one_stays_if_all_are_stopped_at_once():
    """Guards against hosts that all wait for each other, or all leave."""
    fleet = StoppingFleet()
    for address in list(fleet.nodes):
        fleet.begin_stop(address)
    fleet.run(0.3)
    assert fleet.list_staying() == ["10.0.0.4"]


def test_clock_that_is_ahead_leaves_one_that_stays():
    """Guards against clocks that differ, after which nobody stays."""
    fleet = StoppingFleet()
    fleet.begin_stop("10.0.0.2", clock_error_ms=60_000)
    for number in (1, 3, 4):
        fleet.run(0.5)
        fleet.begin_stop(f"10.0.0.{number}")
    fleet.run(0.3)
    assert fleet.list_staying() == ["10.0.0.2"]
    fleet.exit("10.0.0.2")
    fleet.run(0.6)
    assert fleet.list_staying() == ["10.0.0.4"]


def test_killed_successor_is_replaced():
    """Guards against a host that leaves, though the one that was to stay has ended."""
    fleet = StoppingFleet()
    for address in list(fleet.nodes):
        fleet.begin_stop(address)
        fleet.run(0.2)
    fleet.exit("10.0.0.4")
    fleet.run(0.6)
    assert fleet.list_staying() == ["10.0.0.3"]


def test_host_that_has_just_started_does_not_replace_one_that_knows():
    """Guards against handing over to a host that is stopped before it has asked."""
    fleet = StoppingFleet(2)
    fleet.exit("10.0.0.2")
    fleet.run(1.0)
    fleet.start("10.0.0.2")
    fleet.run(0.2)
    fleet.begin_stop("10.0.0.1")
    fleet.run(0.2)
    fleet.begin_stop("10.0.0.2")
    fleet.run(0.2)
    assert "10.0.0.1" in fleet.list_staying()


def test_peer_that_others_have_told_replaces_one_at_once():
    """Guards against a restart in turn that takes longer than the hosts need.

    Callers wait for a host that stays though another one knows all that it knows.
    """
    fleet = StoppingFleet(2)
    fleet.exit("10.0.0.2")
    fleet.begin_stop("10.0.0.1")
    fleet.run(0.6)
    fleet.start("10.0.0.2")
    fleet.run(0.2)
    assert fleet.list_staying() == ["10.0.0.1"]
    fleet.nodes["10.0.0.2"].exchange.has_joined = True
    fleet.run(0.2)
    assert fleet.list_staying() == []


def test_frame_of_an_earlier_release_does_not_stop_the_handover():
    """Guards against waiting for a peer that does not tell since when it drains."""
    fleet = StoppingFleet(2)
    fleet.nodes["10.0.0.2"].exchange.begin_leaving(0)
    fleet.run(0.2)
    fleet.begin_stop("10.0.0.1")
    assert fleet.list_staying() == ["10.0.0.1"]
