"""Table of the standard days."""

from benchmarks.day_table import format_table, parse_days


def build_entry(worth):
    """Return a score entry with one standard day and one generated day."""
    prices = [["processor seconds", 8.0, 0.0022], ["machine-seconds", 224.0, 0.0084]]
    day = {
        "name": "quiet-1",
        "G": worth,
        "top": 0.846,
        "served": 0.976,
        "prices": prices,
    }
    return {"days": [day, day | {"name": "fresh-1"}]}


def test_table_compares_two_entries():
    """Guards against a worth in the wrong column, and against generated days."""
    table = format_table(parse_days(build_entry(0.5)), parse_days(build_entry(0.88)))
    head, _, *rows = table.split("\n")
    cells = dict(zip(head.split(" | "), rows[0].split(" | "), strict=True))
    assert len(rows) == 1
    assert cells["first"] == "0.500"
    assert cells["now"] == "0.880"
    assert cells["processor"] == "0.0022"
