"""Catalogue of the log events."""

from importlib import import_module
from pathlib import Path

from typer.testing import CliRunner

from catkinfork.cli import build_app
from catkinfork.observability import Event
from catkinfork.processes import list_events

PAGE = Path(__file__).parents[3] / "docs" / "events.md"
# Hundreds of the event numbers of each package (docs/design.md section 16).
# 6 (protocol and membership) has no events yet.
HUNDREDS = {
    "processes": 1,
    "routing": 2,
    "dispatch": 3,
    "execution": 4,
    "configuration": 5,
    "gateway": 7,
    "topology": 8,
    "balancing": 9,
    "forwarding": 10,
    "peering": 11,
}


def test_page_is_up_to_date():
    """Guards against a page that was not regenerated after a change of the events."""
    result = CliRunner().invoke(build_app(), ["events"])
    assert result.exit_code == 0
    assert result.output == PAGE.read_text()


def test_numbers_and_names_are_unique():
    """Guards against events that operators cannot tell apart by number or name."""
    packages = list_events()
    events = [event for entries in packages.values() for event in entries]
    assert len({event.number for event in events}) == len(events)
    assert len({event.name for event in events}) == len(events)
    hundreds = {
        name: {event.number // 100 for event in entries}
        for name, entries in packages.items()
    }
    assert hundreds == {name: {number} for name, number in HUNDREDS.items()}


def test_every_event_of_a_package_is_listed():
    """Guards against an event that is logged but missing from its package's EVENTS."""
    for name, entries in list_events().items():
        module = import_module(f"catkinfork.{name}._events")
        defined = {e for e in vars(module).values() if isinstance(e, Event)}
        assert defined == set(entries), name
