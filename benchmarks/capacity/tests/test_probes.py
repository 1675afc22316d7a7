"""The probes and the rows that use them."""

import pytest

from benchmarks.capacity.harness import run_memory, run_once
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.rows import DATA_ROWS, ROLE_ROWS

ROWS = [row for rows in ROLE_ROWS.values() for row in rows] + DATA_ROWS
QUICK = ("demand_entries", "summary_entries", "peers", "agent_free_places")


@pytest.mark.parametrize("probe", PROBES.values(), ids=list(PROBES))
def test_probe_has_four_sizes_and_reaches_its_target(probe):
    """Guards against a slope through few sizes, or carried on beyond them."""
    assert len(set(probe.sizes)) >= 4
    assert max(probe.sizes) >= probe.target


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.role}-{row.probe}")
def test_row_is_carried_by_a_probe_and_a_mechanism(row):
    """Guards against a row without a measured slope or without a mechanism."""
    assert row.probe in PROBES
    assert row.mechanism
    assert row.growth


def test_rows_stay_within_the_measured_sizes():
    """Guards against a value that is carried on beyond the sizes that were measured.

    The page names the one row for which that is so.
    """
    beyond = [
        (row.probe, size)
        for row in ROWS
        for size in row.sizes
        if size > max(PROBES[row.probe].sizes)
    ]
    assert beyond == [("dispatcher_backlogged", 2240)]


@pytest.mark.parametrize("name", QUICK)
def test_probe_counts_the_same_messages_in_each_run(name):
    """Guards against a count that depends on a clock or on another run."""
    probe = PROBES[name]
    size = probe.sizes[0]
    first, second = (run_once(probe, size, 1) for _ in range(2))
    counted = [key for key in first if "bytes" in key or "messages" in key]
    assert counted
    assert {key: first[key] for key in counted} == {key: second[key] for key in counted}


def test_peers_take_memory():
    """Guards against a memory pass that sees no allocation."""
    probe = PROBES["peers"]
    assert run_memory(probe, probe.sizes[0], 1) > 1000
