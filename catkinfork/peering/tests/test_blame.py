"""Which prompt part is blamed for crashes, over many forwarders with lossy frames."""

import pytest

from catkinfork.peering.tests.crashing_fleet import (
    CONTACT_S,
    CRASHING,
    CrashingFleet,
    Load,
)

FIRST = 0xF
OTHER_FIRST = 0xE
FEW = (0x20, 0x21)
MANY = tuple(range(0x20, 0x20 + 30))
MAX_SENT_LATER = 3
LENGTH_S = 18.0

SHAPES = {
    "slow": (Load((FIRST,), 2.0), Load((FIRST, CRASHING), 1.0)),
    "one_in_five": (Load((FIRST,), 8.0), Load((FIRST, CRASHING), 2.0)),
    "four_in_five": (Load((FIRST,), 2.0), Load((FIRST, CRASHING), 8.0)),
    "two_tails": (Load((FIRST, FEW), 4.0), Load((FIRST, CRASHING, FEW), 4.0)),
    "many_tails": (Load((FIRST, MANY), 4.0), Load((FIRST, CRASHING, MANY), 4.0)),
    "crashing_first": (Load((FIRST, FEW), 4.0), Load((CRASHING, FIRST, FEW), 4.0)),
    "crashing_last": (
        Load((FIRST, FEW, 0x51), 4.0),
        Load((FIRST, FEW, 0x51, CRASHING), 4.0),
    ),
    "also_alone": (
        Load((FIRST,), 4.0),
        Load((FIRST, CRASHING), 4.0),
        Load((CRASHING,), 3.0),
    ),
    "two_keys": (
        Load((FIRST,), 4.0),
        Load((OTHER_FIRST,), 4.0),
        Load((FIRST, CRASHING), 3.0),
        Load((OTHER_FIRST, CRASHING), 3.0),
    ),
}


def check_fleet(fleet, part=FIRST):
    """Check both bounds: crashing requests that are sent, sound ones that begin."""
    assert fleet.count_sent_later() <= MAX_SENT_LATER
    since = fleet.compute_counted_at() + 2 * CONTACT_S
    assert fleet.compute_share_begun(part, since) >= 0.5


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("shape", SHAPES)
def test_parts_beside_the_crashing_one_are_cleared(shape, seed):
    """Guards against a new first part that is refused with the crashing one (LOST).

    Load pattern: the first part was never served, and all backend servers are down
    before an answer on it has gone on.
    """
    fleet = CrashingFleet(4, 5, seed)
    fleet.run(LENGTH_S, SHAPES[shape])
    check_fleet(fleet)


@pytest.mark.parametrize(
    ("n_nodes", "n_backends", "loss", "down_s"),
    [(4, 12, 0.05, 3.0), (12, 5, 0.2, 1.0), (12, 20, 0.1, 6.0), (2, 3, 0.3, 3.0)],
)
@pytest.mark.parametrize("shape", ["four_in_five", "two_tails", "two_keys"])
def test_fleets_of_other_sizes_agree(shape, n_nodes, n_backends, loss, down_s):
    """Guards against bounds that hold at one size, or without lost frames, only."""
    fleet = CrashingFleet(n_nodes, n_backends, 7, loss, down_s)
    fleet.run(LENGTH_S, SHAPES[shape])
    check_fleet(fleet)


def test_many_forwarders_send_few_probes():
    """Guards against 68 forwarders that each try at the same time (BUDGET)."""
    fleet = CrashingFleet(68, 6, 1)
    fleet.run(13.0, SHAPES["also_alone"])
    check_fleet(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_forwarder_that_starts_later_agrees(seed):
    """Guards against a forwarder that starts amid the crashes and lets them go on."""
    fleet = CrashingFleet(4, 5, seed)
    fleet.run(6.0, SHAPES["two_tails"])
    n_before = len(fleet.sent)
    fleet.add_node()
    fleet.run(LENGTH_S, SHAPES["two_tails"])
    check_fleet(fleet)
    assert len(fleet.sent) - n_before <= MAX_SENT_LATER


@pytest.mark.parametrize("seed", range(4))
def test_other_crashes_do_not_shift_the_blame(seed):
    """Guards against a sound first part that is blamed for more crashes than it shares.

    Load pattern: backend servers also go down for other reasons, now and then, with
    requests of the first part running there.
    """
    fleet = CrashingFleet(4, 8, seed)
    for _ in range(9):
        fleet.run(2.0, SHAPES["one_in_five"])
        if fleet.rng.random() < 0.5:
            fleet.crash(fleet.rng.choice(fleet.list_up()))
    assert fleet.compute_share_begun(FIRST, 10.0) >= 0.5


@pytest.mark.parametrize("seed", range(4))
def test_part_that_was_served_before_is_told_from_its_neighbours(seed):
    """Guards against a blame of all parts once one that was sound begins to crash."""
    loads = SHAPES["two_tails"]
    fleet = CrashingFleet(4, 5, seed)
    fleet.is_harmless = True
    fleet.run(4.0, loads)
    fleet.is_harmless = False
    fleet.sent.clear()
    fleet.run(LENGTH_S, loads)
    check_fleet(fleet)


@pytest.mark.parametrize(("seed", "is_served"), [(111, False), (173, True)])
def test_servers_that_all_crash_at_once_are_not_sent_more(seed, is_served):
    """Guards against forwarders that all send a crashing request as servers come back.

    Load pattern: requests with the crashing part come so often that all backend servers
    crash on ones placed before the first crash, as in a loss of power. These count as
    few, so that nothing is refused, and all forwarders have such requests as the
    servers come back.
    """
    loads = (Load((FIRST,), 10.0), Load((FIRST, CRASHING), 10.0), Load((CRASHING,), 10))
    fleet = CrashingFleet(4, 5, seed)
    if is_served:
        fleet.is_harmless = True
        fleet.run(4.0, loads)
        fleet.is_harmless = False
        fleet.sent.clear()
    fleet.run(LENGTH_S, loads)
    check_fleet(fleet)
