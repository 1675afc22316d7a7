"""Agreement of docs/document.md with the validation rules."""

from pathlib import Path

import pytest

from catkinfork.document._rules import RULES, Choice, IntegerRange, NumberRange
from catkinfork.document._types import Document

PAGE = Path(__file__).parents[3] / "docs" / "document.md"
HEADINGS = {
    "Document": "## The document",
    "Workspace": "## workspaces[]",
    "DataCentre": "## data_centres[]",
    "Pool": "## pools[]",
    "BackendServer": "## backend_servers[]",
}
FIELDS = [(record, field) for record, rules in RULES.items() for field in rules]


def read_row(record, field):
    """Return the cells of a field in the table below its record's heading."""
    section = (
        PAGE.read_text().split(HEADINGS[record.__name__] + "\n")[1].split("\n## ")[0]
    )
    rows = [line for line in section.splitlines() if line.startswith(f"| `{field}` |")]
    assert len(rows) == 1
    return [cell.strip() for cell in rows[0].strip("|").split("|")]


@pytest.mark.parametrize(("record", "field"), FIELDS)
def test_page_has_default_and_range(record, field):
    """Guards against a missing field or a wrong default or range on the page."""
    _, default, allowed, _ = read_row(record, field)
    rule = RULES[record][field]
    if isinstance(rule, IntegerRange | NumberRange):
        assert allowed == f"{rule.minimum} to {rule.maximum}"
    if isinstance(rule, Choice):
        assert allowed == ", ".join(f"`{value}`" for value in rule.values)
    if field not in record._field_defaults:
        assert default == "required"
    else:
        assert default.strip("`") == str(record._field_defaults[field]).lower()


def test_every_record_is_on_the_page():
    """Guards against a field of the document that the page does not mention."""
    text = PAGE.read_text()
    assert all(f"`{field}`" in text for field in Document._fields)
