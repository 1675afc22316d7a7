"""Decoding of items from the store."""

import base64
import json
import math

import anyio
import pytest

from catkinfork.forwarding import FetchedResponse, FetchError, ResponseHead
from catkinfork.platform import HEADERS, PlatformDecoder, StoreSource
from catkinfork.platform.tests.standins import build_config
from catkinfork.topology import (
    ConfigurationItem,
    EntryItem,
    EraChangedError,
    EvacuationItem,
    HistoryLostError,
    Item,
    SourceError,
    UnreadableItem,
)

ENTRY = {
    "service": "ledger",
    "address": "10.0.0.1:8000",
    "zone": "gasabo",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 3,
    "born": 1700000000000,
}


def decode(key, value):
    """Decode one item."""
    data = value if isinstance(value, bytes) or value is None else json.dumps(value)
    data = data.encode() if isinstance(data, str) else data
    return PlatformDecoder().decode(Item(key, data, 1))


def test_entry_is_decoded():
    """Guards against an entry with a field decoded incorrectly."""
    decoded = decode("servers/i-1", ENTRY | {"new_field": [1]})
    assert isinstance(decoded, EntryItem)
    entry = decoded.entry
    assert (entry.name, entry.data_centre, entry.cold_s) == ("i-1", "gasabo", 1.5)
    assert (entry.sequence, entry.started_ms) == (3, 1700000000000)
    assert entry.version == "v1"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "6"},
        {"sequence": 1.5},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"service": 7},
        {"born": "today"},
    ],
)
def test_malformed_entry_is_reported(change):
    """Guards against requests to a backend server with an invalid entry."""
    decoded = decode("servers/i-1", ENTRY | change)
    assert isinstance(decoded, UnreadableItem)
    assert decoded.name == "i-1"


@pytest.mark.parametrize("key", ["service", "address", "zone", "slots", "state"])
def test_incomplete_entry_is_reported(key):
    """Guards against requests to a backend server with an incomplete entry."""
    entry = {name: value for name, value in ENTRY.items() if name != key}
    assert isinstance(decode("servers/i-1", entry), UnreadableItem)


def test_configuration_is_decoded():
    """Guards against a route, service or key decoded incorrectly."""
    document = build_config(7)
    document["routes"][0] |= {
        "kind": "streaming",
        "resumable": True,
        "sticky": True,
        "gap_target_ms": 250,
        "traffic_split": [
            {"service": "ledger", "weight": 90},
            {"service": "other", "weight": 10},
        ],
    }
    document["services"][0]["engine"] = {"slots": 64, "kv_capacity": 5000, "x": 1}
    decoded = decode("op/config", document)
    assert isinstance(decoded, ConfigurationItem)
    configuration = decoded.configuration
    (route,) = configuration.routes
    assert configuration.version == 7
    assert route.is_repeatable
    assert route.max_event_gap_s == 0.25
    assert route.caller_idle_timeout_s == 2.0
    assert [target.weight for target in route.targets] == [90, 10]
    assert configuration.services["ledger"].engine.n_memory_tokens == 5000
    assert configuration.workspaces[0].keys == ("key-of-a",)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version": 3}', b"\xff\xfe"])
def test_malformed_configuration_is_reported(value):
    """Guards against a malformed configuration that replaces a valid one."""
    assert isinstance(decode("op/config", value), UnreadableItem)


def test_limits_of_scaled_deployment_are_decoded():
    """Guards against a configuration that is ignored for a fraction in its limits."""
    config = build_config()
    config["limits"] |= {"max_header_bytes": 8192.5, "max_body_bytes": 1e6}
    service = config["services"][0]
    service |= {"max_connections": 47.8, "engine": {"slots": 12.5, "kv_capacity": 9.9}}
    decoded = decode("op/config", config)
    assert isinstance(decoded, ConfigurationItem), decoded
    engine = decoded.configuration.services[service["name"]].engine
    assert (engine.n_slots, engine.n_memory_tokens) == (12, 9)


def build_engine_config(version=1, **figures):
    """Build a configuration whose service has engines with optional figures."""
    config = build_config(version)
    config["services"][0]["engine"] = {"slots": 64, "kv_capacity": 5000} | figures
    return config


def decode_engine(decoder, config):
    """Return the engine of a configuration, and the errors of its figures."""
    decoded = decoder.decode(Item("op/config", json.dumps(config).encode(), 1))
    assert isinstance(decoded, ConfigurationItem), decoded
    return decoded.configuration.services["ledger"].engine, decoded.ignored


def test_link_and_memory_of_engines_are_decoded():
    """Guards against a rate of transfers that is off by the unit of a figure."""
    config = build_engine_config(kv_bytes=131_072, link_mbps=5600)
    engine, ignored = decode_engine(PlatformDecoder(), config)
    assert engine.token_bytes == 131_072
    assert engine.link_bytes_per_s == 700_000_000
    # 5600 x 1000 / 8 / 131072 tokens/ms.
    assert engine.link_tokens_per_s == pytest.approx(5340.576)
    assert ignored == ()


def test_engine_without_figures_of_transfers_is_decoded():
    """Guards against a configuration that is rejected for figures it need not have."""
    engine, ignored = decode_engine(PlatformDecoder(), build_engine_config())
    assert (engine.n_slots, engine.n_memory_tokens) == (64, 5000)
    assert engine.link_tokens_per_s == 0.0
    assert ignored == ()


ODD_FIGURES = [-1, -0.5, 1e-9, 1e300, True, None, "131072", [1], {"a": 1}, 10**400]


@pytest.mark.parametrize("value", ODD_FIGURES, ids=repr)
@pytest.mark.parametrize("name", ["kv_bytes", "link_mbps"])
def test_odd_figure_is_ignored_and_the_last_good_one_stays(name, value):
    """Guards against a withdrawn key that stays valid for a figure of the engines.

    Such a configuration was accepted before the figure was read.
    """
    figures = {"kv_bytes": 131_072, "link_mbps": 5600}
    decoder = PlatformDecoder()
    good, _ = decode_engine(decoder, build_engine_config(1, **figures))
    odd = build_engine_config(2, **figures | {name: value})
    engine, ignored = decode_engine(decoder, odd)
    assert engine == good
    (detail,) = ignored
    assert name in detail
    # A figure that is no longer stated is none.
    del odd["services"][0]["engine"][name]
    odd["version"] = 3
    engine, ignored = decode_engine(decoder, odd)
    assert engine.link_tokens_per_s == 0.0
    assert ignored == ()


@pytest.mark.parametrize("value", ODD_FIGURES, ids=repr)
def test_odd_size_of_events_is_ignored_and_the_last_good_one_stays(value):
    """Guards against a configuration that is rejected for the size of its events."""
    decoder = PlatformDecoder()
    good, _ = decode_engine(decoder, build_engine_config(1, stride=9))
    assert good.n_event_tokens == 9
    engine, ignored = decode_engine(decoder, build_engine_config(2, stride=value))
    assert engine == good
    assert len(ignored) == 1
    engine, ignored = decode_engine(decoder, build_engine_config(3))
    assert (engine.n_event_tokens, ignored) == (0, ())


def test_odd_figure_without_a_good_one_counts_as_not_stated():
    """Guards against transfers by a figure that cannot be right."""
    config = build_engine_config(kv_bytes=-1, link_mbps=5600)
    engine, ignored = decode_engine(PlatformDecoder(), config)
    assert engine.link_tokens_per_s == 0.0
    assert len(ignored) == 1


def test_older_configuration_does_not_replace_the_last_good_figures():
    """Guards against a delayed read whose figures come back in force."""
    decoder = PlatformDecoder()
    for version, kv_bytes in ((5, 1000), (4, 2000)):
        config = build_engine_config(version, kv_bytes=kv_bytes, link_mbps=8)
        decode_engine(decoder, config)
    odd = build_engine_config(6, kv_bytes=-1, link_mbps=8)
    engine, _ = decode_engine(decoder, odd)
    assert engine.token_bytes == 1000


def test_source_of_a_transfer_has_the_name_that_engines_read():
    """Guards against a header that engines ignore, or that callers may set."""
    assert HEADERS.transfer_source == b"kv-fetch"
    assert HEADERS.transfer_source in HEADERS.reserved


def test_evacuation_is_decoded():
    """Guards against an evacuation that does not begin or end."""
    assert decode("op/evacuate/gasabo", {}) == EvacuationItem("gasabo", True)
    assert decode("op/evacuate/gasabo", None) == EvacuationItem("gasabo", False)


def test_unrelated_keys_are_ignored():
    """Guards against failures caused by unrelated items in the store."""
    assert decode("my/leader", b"anything") is None


def build_response(status, body, era=None):
    """Return a response of the store, with an era if it is not None."""
    headers = () if era is None else ((b"store-era", era),)
    head = ResponseHead(status, b"", headers, len(body), "length")
    return FetchedResponse(head, body)


def build_page(items=(), revision=9, has_more=False, era=None, field="items"):
    """Return a page of a list, or the events of a watch."""
    body = {field: list(items), "current_rev": revision, "more_pages": has_more}
    return build_response(200, json.dumps(body).encode(), era)


class Client:
    """HTTP client with fixed responses or errors; the last one repeats."""

    def __init__(self, *responses):
        self.responses = list(responses)

    async def fetch(self, target, timeout_s, reader=None, second=None):
        """Return the next response or raise the error."""
        response = self.responses[0]
        if len(self.responses) > 1:
            self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def build_source(*responses):
    """Return a source with fixed responses, and the list of its log events."""
    events = []
    return StoreSource(Client(*responses), events.append), events


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (build_response(410, b""), HistoryLostError),
        (build_response(503, b""), SourceError),
        (build_response(200, b"<html>"), SourceError),
        (FetchError("silent"), SourceError),
    ],
)
def test_store_failures_raise_source_errors(response, error):
    """Guards against a store failure that terminates the process."""
    source, _ = build_source(response)
    with pytest.raises(error):
        anyio.run(source.wait, 1)


def test_watch_events_are_decoded():
    """Guards against watch events decoded incorrectly."""
    value = base64.b64encode(b"data").decode()
    body = {
        "events": [
            {"key": "a", "value": value, "revision": 4, "created": 4, "lease": 0},
            {"key": "b", "revision": 5, "removed": True},
            {"key": "c", "value": "not base64!", "revision": 6},
        ],
        "current_rev": 9,
    }
    source, _ = build_source(build_response(200, json.dumps(body).encode()))
    changes = anyio.run(source.wait, 1)
    assert changes.revision == 9
    assert changes.items == [
        Item("a", b"data", 4, 4),
        Item("b", None, 5),
        Item("c", b"", 6),
    ]


@pytest.mark.parametrize(
    ("kind", "aim_ms", "gap_target_ms", "expected_s"),
    [
        ("streaming", 300, 250, 2.0),
        ("streaming", 600, 250, 2.4),
        ("streaming", 300, 300, 2.4),
        ("safe", 900, 0, math.inf),
    ],
)
def test_caller_timeout(kind, aim_ms, gap_target_ms, expected_s):
    """Guards against a request that is queued after its caller has disconnected."""
    document = build_config(1)
    document["routes"][0] |= {
        "kind": kind,
        "aim_ms": aim_ms,
        "gap_target_ms": gap_target_ms,
    }
    (route,) = decode("op/config", document).configuration.routes
    assert math.isclose(route.caller_idle_timeout_s, expected_s)


ITEM = {"key": "op/a", "value": "", "revision": 4}


def test_era_is_read_from_every_answer():
    """Guards against a restore of the store that only errors or watches show."""
    source, events = build_source(
        build_response(503, b"", era=b"3"),
        build_response(410, b"", era=b"4"),
        build_page(era=b"5"),
    )
    with pytest.raises(SourceError):
        anyio.run(source.wait, 1)
    assert source.era == 3
    with pytest.raises(HistoryLostError):
        anyio.run(source.wait, 1)
    assert source.era == 4
    assert anyio.run(source.list_all).era == 5
    assert not events


def test_era_that_changes_between_pages_restarts_the_list():
    """Guards against a list of which one half is from before a restore."""
    source, _ = build_source(
        build_page([ITEM], has_more=True, era=b"1"), build_page(era=b"2")
    )
    with pytest.raises(EraChangedError):
        anyio.run(source.list_all)
    assert anyio.run(source.list_all).era == 2


def test_era_that_changes_during_a_watch_is_noticed():
    """Guards against changes after a revision that a restored store gave out again."""
    source, _ = build_source(
        build_page(era=b"1"),
        build_page(era=b"1"),
        build_page([ITEM], era=b"2", field="events"),
    )
    anyio.run(source.list_all)
    with pytest.raises(EraChangedError):
        anyio.run(source.wait, 3)


@pytest.mark.parametrize("value", [None, b"", b"new", b"-1", b"1.5", b"9" * 30, b"1"])
def test_invalid_era_is_not_believed(value):
    """Guards against a bad header that replaces a good one, or floods the log."""
    source, events = build_source(
        build_page(era=b"2"), build_page(era=b"2"), build_page(era=value)
    )
    anyio.run(source.list_all)
    for _ in range(3):
        try:
            assert anyio.run(source.list_all).era == 2
        except SourceError:
            assert value == b"1"
    assert source.era == 2
    (event,) = events
    assert event.event.name == "era_ignored"


def test_store_without_eras_is_read():
    """Guards against a platform that does not state an era yet."""
    source, events = build_source(build_page([ITEM]))
    assert anyio.run(source.list_all).era == 0
    assert not events
