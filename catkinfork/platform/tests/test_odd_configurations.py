"""Odd values in a configuration, and what the decoder makes of them."""

import json

import pytest

from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.standins import build_config
from catkinfork.platform.tests.test_documents import ENTRY
from catkinfork.platform.tests.test_odd_documents import NESTED
from catkinfork.topology import (
    MAX_INTEGER,
    ConfigurationItem,
    EntryItem,
    Item,
    UnconfiguredItem,
    UnreadableItem,
)


def decode(value):
    """Decode a configuration."""
    return PlatformDecoder().decode(Item("op/config", value, 1))


def change_config(*path, value):
    """Return a configuration as JSON with one field given as JSON."""
    document = build_config(7)
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = "@"
    return json.dumps(document).replace('"@"', value).encode()


ROUTE_NUMBERS = ["timeout_ms", "aim_ms", "gap_target_ms", "max_attempts"]
SERVICE_NUMBERS = ["max_connections", "cold_s", "cold_per_s"]
NUMBERS = (
    [("routes", 0, name) for name in ROUTE_NUMBERS]
    + [("services", 0, name) for name in SERVICE_NUMBERS]
    + [("limits", "max_header_bytes"), ("limits", "tokens_per_s"), ("version",)]
)


@pytest.mark.parametrize("value", ["-1", "NaN", "1e999", "1" * 400, NESTED, '"1"'])
@pytest.mark.parametrize("path", NUMBERS)
def test_odd_number_makes_the_configuration_unreadable(path, value):
    """Guards against a number that ends the process or stops all requests."""
    decoded = decode(change_config(*path, value=value))
    assert isinstance(decoded, UnreadableItem), decoded
    assert (decoded.name, decoded.is_entry) == ("", False)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), str(MAX_INTEGER + 1)),
        (("tenants", 0, "name"), '"a\\r\\nx-other: 1"'),
        (("tenants", 0, "name"), '""'),
        (("services", 0, "name"), '"a\\nb"'),
        (("routes", 0, "service"), "null"),
        (("services", 0, "engine"), '{"slots": -1, "kv_capacity": 9}'),
        (("services", 0, "engine"), '{"slots": 1, "kv_capacity": 1e308}'),
        (
            ("routes", 0, "traffic_split"),
            '[{"service": "ledger", "weight": -1}]',
        ),
    ],
)
def test_odd_configuration_is_unreadable(path, value):
    """Guards against a value that breaks a header, or against routes to nowhere."""
    decoded = decode(change_config(*path, value=value))
    assert isinstance(decoded, UnreadableItem), decoded
    assert len(decoded.detail) < 400


@pytest.mark.parametrize("path", NUMBERS)
def test_large_number_of_a_scaled_deployment_is_taken(path):
    """Guards against a bound that rejects a configuration in full."""
    decoded = decode(change_config(*path, value=str(10**12)))
    assert isinstance(decoded, ConfigurationItem), decoded


def test_older_configuration_does_not_withdraw_services():
    """Guards against servers that are removed as a restored store lists an older one.

    The newer configuration stays in force; its services are configured.
    """
    decoder = PlatformDecoder()
    newer = build_config(7)
    newer["services"].append(newer["services"][0] | {"name": "added"})
    entry = Item("servers/i-1", json.dumps(ENTRY | {"service": "added"}).encode(), 3)
    for config in (newer, build_config(5)):
        decoder.decode(Item("op/config", json.dumps(config).encode(), 1))
        assert isinstance(decoder.decode(entry), EntryItem)
    decoder.decode(Item("op/config", json.dumps(build_config(8)).encode(), 4))
    assert isinstance(decoder.decode(entry), UnconfiguredItem)
