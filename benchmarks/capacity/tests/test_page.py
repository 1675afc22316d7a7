"""The parts of the page that a run fills."""

import pytest

from benchmarks.capacity.__main__ import PAGE, make_results
from benchmarks.capacity.costs import list_lines
from benchmarks.capacity.page import MissingMarkerError, fill_page, fill_part
from benchmarks.capacity.probes import PROBES
from benchmarks.capacity.rows import Row

TEXT = "a\n<!-- capacity:run -->\nold\n<!-- /capacity:run -->\nb\n"
RUN = {
    "command": "python -m benchmarks.capacity --seed 7",
    "date": "2026-01-02 03:04 UTC",
    "commit": "abc1234",
    "seed": 7,
    "n_repeats": 1,
    "n_cores": 4,
    "machine": "Linux",
    "python": "3.11",
    "load": 0.5,
    "took_s": 12.0,
}
SLOPES = {
    "received_bytes": 100.0,
    "processor": 0.5,
    "received_messages": 2.0,
    "memory": 1000.0,
}


def make_probes(default=0.01):
    """Return results of all probes with known slopes."""
    extra = {"parse", "adopt_router", "adopt_agent", "send", "receive", "reply"}
    extra |= {"loop", "pynng", "resident", "content", "data_processor", "sent_bytes"}
    extra |= {"data_received_bytes"}
    points = []
    for name, probe in PROBES.items():
        for size in probe.sizes:
            values = dict.fromkeys(extra, default * size)
            values |= {key: slope * size for key, slope in SLOPES.items()}
            points.append((name, {"size": size, "repeat": 0, "values": values}))
    return make_results(points)


def test_filler_replaces_only_what_stands_between_the_markers():
    """Guards against a filler that eats text or leaves old figures."""
    filled = fill_part(TEXT, "run", r"new \1")
    assert filled == TEXT.replace("old", r"new \1")
    assert fill_part(filled, "run", "old") == TEXT


def test_missing_marker_is_reported():
    """Guards against a table that silently keeps its old figures."""
    with pytest.raises(MissingMarkerError, match="capacity:agent"):
        fill_part(TEXT, "agent", "new")


def test_line_applies_slope_and_transport_at_both_sizes():
    """Guards against a wrong unit, or messages that cost nothing in the transport."""
    probes = make_probes()
    row = Row("router", "peers", (10, 100), "growth", "mechanism")
    processor, traffic, memory = list_lines(row, probes)
    # 0.01 ms for each message at each end: (loop + pynng) / 2.
    expected = [size * (0.5 + 2.0 * 0.01) * 0.1 for size in (10, 100)]
    assert processor.values == pytest.approx(expected)
    assert traffic.values == pytest.approx([1.0 + 0.0001, 10.0 + 0.001])
    assert memory.values == pytest.approx([0.01, 0.1])


def test_page_is_filled_and_marks_rows_over_the_budget():
    """Guards against a part that no function fills, and against a hidden excess."""
    results = {
        "run": RUN,
        "probes": make_probes(),
        "constants": {"base_bytes": 40_000_000},
    }
    text = fill_page(PAGE.read_text(), results)
    assert "seed 7" in text
    assert "4 cores" in text
    # 390 routers at 100 B/s are 39 KB/s of 20.
    assert "**over**, 39" in text
    assert text.count("<!-- capacity:") == text.count("<!-- /capacity:")
    assert fill_page(text, results) == text
