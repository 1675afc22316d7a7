"""Watches that are cut while the store works, and outages that look alike."""

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    Changes,
    Item,
    SourceError,
    SourceTimeoutError,
    TopologyState,
    _watcher,
)
from catkinfork.topology._watcher import (
    MAX_BACKOFF_S,
    MIN_EXPIRY_OUTAGE_S,
    REREGISTRATION_TIME_S,
    SETTLING_TIME_S,
)
from catkinfork.topology.tests.samples import list_names
from catkinfork.topology.tests.test_state import (
    ManualClock,
    SampleDecoder,
    ScriptedSource,
    build_watcher,
)

# Time for which a watch waits before it is cut, and for which it is awaited, seconds.
WATCH_S = 1.0
TIMEOUT_S = 1.6
# Time between the start of a process and the first read after the list, seconds.
CALM_S = 10.0
LISTED = Changes([Item("b1", b"1", 1), Item("b2", b"1", 1)], 1, True)
REMOVED = Changes([Item("b1", None, 2)], 2, False)
LACKING = Changes([Item("b2", b"1", 1)], 2, True)


class TimedSource(ScriptedSource):
    """A source whose results take time.

    :param clock: :class:`ManualClock`.
    :param watches: pairs of a duration in seconds and the result of a watch.
    :param retries: the same for reads that do not wait.
    """

    def __init__(self, clock, snapshots, watches, retries=()):
        super().__init__(snapshots)
        self.clock = clock
        self.watches = list(watches)
        self.retries = list(retries)

    async def list_all(self):
        assert self.snapshots, "read in full again"
        return await self.pop_result(self.snapshots)

    async def wait(self, revision):
        return await self.take(self.watches)

    async def retry(self, revision):
        return await self.take(self.retries)

    async def take(self, results):
        """Return the next result once its time has passed."""
        duration_s, result = results.pop(0)
        self.clock.now += duration_s
        return await self.pop_result([result])


@pytest.fixture
def clock(monkeypatch):
    clock = ManualClock()
    clock.now = 100.0
    monkeypatch.setattr(_watcher, "time", clock)
    return clock


@pytest.fixture
def events():
    return []


@pytest.fixture
def state(events):
    registry = BackendRegistry(events.append)
    return TopologyState(registry, SampleDecoder(), lambda _: None, events.append)


def update(watcher, clock, n_updates):
    """Read a list, and the changes some time later, with the pauses in between."""

    async def main():
        await watcher.update()
        clock.now += CALM_S
        for _ in range(n_updates):
            pause_s = await watcher.update()
            clock.now += pause_s

    anyio.run(main)


@pytest.mark.parametrize("n_cuts", [1, 3, 8])
def test_removal_is_applied_at_once_though_the_watch_was_cut(state, clock, n_cuts):
    """Guards against requests that reach a server too late after it has left.

    Its entry was removed, and the watches were cut while the store worked.
    """
    cut = (WATCH_S, SourceError("connection closed"))
    retries = [(0.01, Changes([], 1, False))] * (n_cuts - 1) + [(0.01, REMOVED)]
    source = TimedSource(clock, [LISTED], [cut] * n_cuts, retries)
    watcher = build_watcher(state, source)
    update(watcher, clock, 2 * n_cuts)
    assert list_names(state) == ["b2"]


def test_removal_after_cuts_is_applied_at_once(state, clock):
    """Guards against a removal that is held back since a watch was cut before it."""
    cut = (WATCH_S, SourceError("connection closed"))
    source = TimedSource(
        clock, [LISTED], [cut, (0.1, REMOVED)], [(0.01, Changes([], 1, False))]
    )
    update(build_watcher(state, source), clock, 3)
    assert list_names(state) == ["b2"]


def test_watch_that_is_cut_is_followed_by_a_read_that_does_not_wait(state, clock):
    """Guards against changes that are read late as the next watch is cut as well."""
    cut = (WATCH_S, SourceError("connection closed"))
    retries = [(0.01, Changes([], 1, False))]
    source = TimedSource(clock, [LISTED], [cut, cut], retries)
    watcher = build_watcher(state, source)
    update(watcher, clock, 2)
    assert (len(source.watches), len(source.retries)) == (1, 0)
    assert watcher.failing_since is None


def test_list_after_a_cut_watch_is_complete(state, clock):
    """Guards against streams that wait for entries which no outage has taken.

    The history was dropped as well, as on a store that compacts it.
    """
    cut = (WATCH_S, SourceError("connection closed"))
    lost = (0.01, _watcher.HistoryLostError("gone"))
    source = TimedSource(clock, [LISTED, LACKING], [cut], [lost])
    update(build_watcher(state, source), clock, 3)
    assert list_names(state) == ["b2"]
    assert state.registry.versions.settled_at < clock.now


@pytest.mark.parametrize("error", [SourceError("status 503"), SourceError("refused")])
def test_removal_within_an_outage_is_held_back(state, clock, events, error):
    """Guards against servers that live and are dropped as their entries expired."""
    watches = [(WATCH_S, error)]
    retries = [(0.2, error)] * 3 + [(0.01, REMOVED)]
    source = TimedSource(clock, [LISTED], watches, retries)
    watcher = build_watcher(state, source)
    update(watcher, clock, 1 + len(retries))
    held_s = [e.values for e in events if e.event.name == "removal_held"][0][-1]
    assert held_s == pytest.approx(REREGISTRATION_TIME_S)
    assert list_names(state) == ["b1", "b2"]
    state.registry.remove_expired_entries(clock.now + REREGISTRATION_TIME_S)
    assert list_names(state) == ["b2"]


def test_list_after_an_outage_may_lack_entries(state, clock):
    """Guards against a list that counts although servers are not back in it yet."""
    error = SourceError("status 503")
    lost = (0.01, _watcher.HistoryLostError("gone"))
    retries = [(0.2, error)] * 3 + [lost]
    source = TimedSource(clock, [LISTED, LACKING], [(WATCH_S, error)], retries)
    update(build_watcher(state, source), clock, 6)
    assert list_names(state) == ["b1", "b2"]
    settled_at = state.registry.versions.settled_at
    assert clock.now < settled_at <= clock.now + SETTLING_TIME_S


def test_silence_counts_as_an_outage_from_its_start(state, clock):
    """Guards against a silent store that counts as down only from the timeout on.

    Entries expire within the time that the timeout takes.
    """
    silent = (TIMEOUT_S, SourceTimeoutError("no response within 1.6 s"))
    source = TimedSource(clock, [LISTED], [silent], [(0.01, REMOVED)])
    update(build_watcher(state, source), clock, 2)
    assert TIMEOUT_S > MIN_EXPIRY_OUTAGE_S
    assert list_names(state) == ["b1", "b2"]


def test_short_failures_within_backoff_are_no_outage():
    """Guards against a bound that one failed read after a cut exceeds.

    The pause before that read and the one after it are short, as is the failure.
    """
    longest_pauses_s = 1.5 * (_watcher.MIN_BACKOFF_S + 2 * _watcher.MIN_BACKOFF_S)
    assert longest_pauses_s < MIN_EXPIRY_OUTAGE_S < 2 * MAX_BACKOFF_S
