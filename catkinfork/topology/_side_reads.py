"""Reads of the store beside its watch, for what the watch cannot tell in time."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.topology._checks import MAX_DURATION_S
from catkinfork.topology._events import PAST_READ
from catkinfork.topology._intervals import compute_requested_interval_s
from catkinfork.topology._past import PastFollower
from catkinfork.topology._source import SourceError

# Pause between two reads of what operators publish, beside an answer that takes long.
OPERATOR_READ_INTERVAL_S = 0.3


class OperatorReader:
    """Reads what operators publish, beside an answer that takes long.

    Their changes would wait behind all that other writers have stored.

    :param watcher: :class:`Watcher`.
    """

    def __init__(self, watcher):
        self.watcher = watcher

    async def run(self):
        """Read it in a loop, as long as the watcher reads a long answer."""
        while True:
            await self.watcher.long_read.wait()
            self.watcher.long_read = anyio.Event()
            await self.read()
            await anyio.sleep(OPERATOR_READ_INTERVAL_S)

    async def read(self):
        """Read it once; a failure is left to the watch."""
        watcher = self.watcher
        source, state = watcher.source, watcher.state
        if source.era != state.era:
            return
        try:
            part = await source.read_operator_items()
            if part is not None:
                state.apply_part(part, source.name, time.monotonic())
                watcher.on_change()
        except SourceError:
            return
        except Exception as error:
            # As in Watcher.update.
            watcher.log_unexpected(error, source.name)


class PastReader:
    """Reads the history of the store for the time before this process, on request.

    :param watcher: :class:`Watcher`.
    """

    def __init__(self, watcher):
        self.watcher = watcher
        self.requested = anyio.Event()

    def request(self):
        """Have the history read soon."""
        self.requested.set()

    async def run(self):
        """Read the history in a loop, each time that this was requested."""
        while True:
            await self.requested.wait()
            self.requested = anyio.Event()
            await self.read()
            n_forwarders = self.watcher.peers.count_forwarders()
            await anyio.sleep(compute_requested_interval_s(n_forwarders))

    async def read(self):
        """Read the history once; what cannot be read stays unknown."""
        watcher = self.watcher
        versions = watcher.state.registry.versions
        if not watcher.has_full_list or versions.is_past_read:
            return
        try:
            past = await watcher.source.read_past(watcher.state.revision)
        except SourceError:
            return
        except Exception as error:
            # As in Watcher.update.
            watcher.log_unexpected(error, watcher.source.name)
            return
        if past is None:
            versions.is_past_read = True
        else:
            self.record(past)

    def record(self, past):
        """Record which backend servers left before this process knew them.

        :param past: :class:`PastEntries`.
        """
        state = self.watcher.state
        follower = PastFollower(state.decode)
        for item in past.items:
            follower.follow(item)
        departures = follower.list_departures(state.registry.backends)
        now = time.monotonic()
        state.registry.versions.record_past(departures, past.covered_s, now)
        self.watcher.write_log(
            log_event(
                PAST_READ,
                source=self.watcher.source.name,
                n_items=len(past.items),
                n_left=len(departures.entries),
                has_unknown=departures.has_unknown,
                covered_s=min(past.covered_s, MAX_DURATION_S),
            )
        )
