"""Generated reference of the settings in the documentation."""

from pathlib import Path

from catkinfork.settings._reference import format_reference

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


def test_page_is_up_to_date():
    """Guards against a page that was not regenerated after a change of the settings."""
    assert PAGE.read_text() == format_reference()
