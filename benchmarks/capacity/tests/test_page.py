"""Parts of the page that are generated from a run."""

import pytest

from benchmarks.capacity.__main__ import PAGE_PATH, build_results
from benchmarks.capacity.costs import list_cost_lines
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


def build_probes(default=0.01):
    """Return results of all probes with given slopes."""
    extra = {"parse", "adopt_router", "adopt_agent", "send", "receive", "reply"}
    extra |= {"loop", "pynng", "resident", "content", "data_processor", "sent_bytes"}
    extra |= {"data_received_bytes"}
    points = []
    for name, probe in PROBES.items():
        for size in probe.sizes:
            values = dict.fromkeys(extra, default * size)
            values |= {key: slope * size for key, slope in SLOPES.items()}
            points.append((name, {"size": size, "repeat": 0, "values": values}))
    return build_results(points)


def test_fill_replaces_only_text_between_the_markers():
    """Guards against a fill that removes other text or keeps old figures."""
    filled = fill_part(TEXT, "run", r"new \1")
    assert filled == TEXT.replace("old", r"new \1")
    assert fill_part(filled, "run", "old") == TEXT


def test_missing_marker_is_reported():
    """Guards against a table that silently keeps its old figures."""
    with pytest.raises(MissingMarkerError, match="capacity:agent"):
        fill_part(TEXT, "agent", "new")


def test_line_applies_slope_and_transport_at_both_sizes():
    """Guards against a wrong unit, and against messages without transport cost."""
    probes = build_probes()
    row = Row("router", "peers", (10, 100), "growth", "mechanism")
    processor, traffic, memory = list_cost_lines(row, probes)
    # 0.01 ms for each message at each end: (loop + pynng) / 2.
    expected = [size * (0.5 + 2.0 * 0.01) * 0.1 for size in (10, 100)]
    assert processor.values == pytest.approx(expected)
    assert traffic.values == pytest.approx([1.0 + 0.0001, 10.0 + 0.001])
    assert memory.values == pytest.approx([0.01, 0.1])


def test_page_is_filled_and_marks_rows_over_the_budget():
    """Guards against a part that is not filled, and an unmarked row over budget."""
    results = {
        "run": RUN,
        "probes": build_probes(),
        "constants": {"base_bytes": 40_000_000},
    }
    text = fill_page(PAGE_PATH.read_text(), results)
    assert "seed 7" in text
    assert "4 cores" in text
    # 390 routers at 100 B/s are 39 KB/s of 20.
    assert "**over**, 39" in text
    assert text.count("<!-- capacity:") == text.count("<!-- /capacity:")
    assert fill_page(text, results) == text
