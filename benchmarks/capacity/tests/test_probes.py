"""Probes and the rows that use them."""

import pytest

from benchmarks.capacity.harness import run_probe, run_probe_traced
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.rows import DATA_ROWS, ROLE_ROWS

ROWS = [row for rows in ROLE_ROWS.values() for row in rows] + DATA_ROWS
FAST_PROBES = ("demand_entries", "summary_entries", "peers", "agent_free_places")


@pytest.mark.parametrize("probe", PROBES.values(), ids=list(PROBES))
def test_probe_has_four_sizes_and_reaches_its_target(probe):
    """Guards against a fit of few sizes, or one extrapolated beyond them."""
    assert len(set(probe.sizes)) >= 4
    assert max(probe.sizes) >= probe.target


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.role}-{row.probe}")
def test_row_has_a_probe_and_a_mechanism(row):
    """Guards against a row without a measured slope or without a mechanism."""
    assert row.probe in PROBES
    assert row.mechanism
    assert row.growth


def test_rows_stay_within_the_measured_sizes():
    """Guards against values extrapolated beyond the measured sizes.

    The page names the only row with such a value.
    """
    beyond = [
        (row.probe, size)
        for row in ROWS
        for size in row.sizes
        if size > max(PROBES[row.probe].sizes)
    ]
    assert beyond == [("dispatcher_backlogged", 2240)]


@pytest.mark.parametrize("name", FAST_PROBES)
def test_probe_counts_the_same_messages_in_each_run(name):
    """Guards against counts that depend on the clock or on an earlier run."""
    probe = PROBES[name]
    size = probe.sizes[0]
    first, second = (run_probe(probe, size, 1) for _ in range(2))
    counted = [key for key in first if "bytes" in key or "messages" in key]
    assert counted
    assert {key: first[key] for key in counted} == {key: second[key] for key in counted}


def test_peers_take_memory():
    """Guards against a traced run that records no allocation."""
    probe = PROBES["peers"]
    assert run_probe_traced(probe, probe.sizes[0], 1) > 1000
