"""The history of the store, as a forwarder that has just started reads it."""

from math import inf

import anyio
import pytest

from catkinfork.forwarding import FetchError
from catkinfork.platform import StoreSource
from catkinfork.platform.tests.test_documents import build_page, build_response
from catkinfork.topology import EraChangedError, Item, SourceError


class HistoryClient:
    """A store whose history begins after a revision.

    :param revision: revision of the store.
    :param dropped: revision up to which the history is dropped.
    """

    def __init__(self, revision, dropped):
        self.revision = revision
        self.dropped = dropped
        self.n_calls = 0

    async def fetch(self, target, timeout_s, reader=None, second=None):
        """Answer a watch of the entries that does not wait."""
        self.n_calls += 1
        assert "prefix=servers%2F&" in target
        assert "wait_ms=1" in target
        after = int(target.partition("after=")[2].partition("&")[0])
        if after < self.dropped:
            return build_response(410, b"{}", b"1")
        events = [
            {"key": f"servers/i-{n}", "revision": n, "created": 1, "value": "YQ=="}
            for n in range(after + 1, self.revision + 1)
        ]
        return build_page(events, self.revision, era=b"1", field="events")


def read_past(client, revision):
    """Return the past entries of a store that was read before."""
    source = StoreSource(client, lambda _: None)
    source.era = 1
    return anyio.run(source.read_past, revision)


@pytest.mark.parametrize("dropped", [0, 1, 2, 499, 500, 998, 999, 1000])
@pytest.mark.parametrize("revision", [1000, 1001])
def test_history_is_read_from_its_begin(revision, dropped):
    """Guards against departures that the store still has and nobody asks for.

    The store does not say where its history begins.
    """
    client = HistoryClient(revision, dropped)
    items, covered_s = read_past(client, revision)
    expected = range(dropped + 1, revision + 1)
    assert [item.revision for item in items] == list(expected)
    assert covered_s == (20.0 if dropped else inf)
    assert client.n_calls <= 12


def test_item_tells_when_its_key_was_created():
    """Guards against a server that started again, taken for one that is new."""
    items, _ = read_past(HistoryClient(3, 2), 3)
    assert items == [Item("servers/i-3", b"a", 3, 1)]


class FailingClient(HistoryClient):
    """Fails in the middle of the search.

    :param failure: exception or response.
    """

    def __init__(self, failure):
        super().__init__(1000, 700)
        self.failure = failure

    async def fetch(self, target, timeout_s, reader=None, second=None):
        if self.n_calls < 3:
            return await super().fetch(target, timeout_s, reader)
        if isinstance(self.failure, Exception):
            raise self.failure
        return self.failure


@pytest.mark.parametrize(
    ("failure", "error"),
    [
        (FetchError("refused"), SourceError),
        (build_response(503, b"{}", b"1"), SourceError),
        (build_response(410, b"{}", b"2"), EraChangedError),
        (build_page([], 1000, era=b"2", field="events"), EraChangedError),
    ],
)
def test_history_that_is_read_in_part_is_not_known(failure, error):
    """Guards against part of a history, or that of two eras, taken for all of it."""
    with pytest.raises(error):
        read_past(FailingClient(failure), 1000)
