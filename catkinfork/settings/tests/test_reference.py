"""The settings reference in the documentation."""

from pathlib import Path

from catkinfork.settings._reference import format_reference

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


def test_page_is_up_to_date():
    """Guards against a setting that is missing or described wrongly on the page."""
    assert PAGE.read_text() == format_reference()
