"""Keeps the topology up to date from the store, and from peers while it fails."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.topology._events import SOURCE_LOST, SOURCE_REGAINED
from catkinfork.topology._source import HistoryLostError, SourceError

# Pause between two reads of changes, so that heartbeats are read together, seconds.
READ_PAUSE_S = 0.15
# Pause after a failure, seconds; it doubles up to the longest.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6
# Entries that lapsed during an outage of the store are written again within this time
# after its return, if the backend server lives.
RETURN_TIME_S = 1.7
# Time after which state is asked of peers while the store fails, seconds.
ASK_PEERS_AFTER_S = 0.2
PEER_INTERVAL_S = 0.3


class Watcher:
    """Reads the store until it is cancelled.

    :param state: :class:`TopologyState`.
    :param source: :class:`BaseSource` of the store.
    :param find_peer_source: callable that returns a :class:`BaseSource` of a peer whose
        state is newer, or None.
    :param on_change: callable that is called after each change.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, state, source, find_peer_source, on_change, rng, write_log):
        self.state = state
        self.source = source
        self.find_peer_source = find_peer_source
        self.on_change = on_change
        self.rng = rng
        self.write_log = write_log
        self.is_listed = False
        self.regained_at = time.monotonic()
        self.failing_since = None
        self.read_at = None
        self.n_reads = 0

    def find_gone_at(self, now):
        """Return when a backend server whose entry is missing counts as gone.

        :param now: monotonic seconds.
        """
        if self.failing_since is not None:
            return now + RETURN_TIME_S
        return max(now, self.regained_at + RETURN_TIME_S)

    async def run(self):
        """Read the store for ever."""
        retry_s = MIN_RETRY_S
        while True:
            try:
                await self.read()
            except HistoryLostError:
                self.is_listed = False
            except SourceError as error:
                self.note_failure(error)
                await anyio.sleep(retry_s * (0.5 + self.rng.random()))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
            else:
                self.note_success()
                retry_s = MIN_RETRY_S
                await anyio.sleep(READ_PAUSE_S)

    async def read(self):
        """Read all items, or the changes since the last read."""
        self.n_reads += 1
        if self.is_listed:
            changes = await self.source.wait(self.state.revision)
        else:
            changes = await self.source.list_all()
            self.is_listed = True
        now = time.monotonic()
        self.read_at = now
        gone_at = self.find_gone_at(now)
        self.state.apply(changes, self.source.name, now, gone_at)
        if changes.items or changes.is_full:
            self.on_change()

    def note_failure(self, error):
        """Note that the store does not answer as expected."""
        now = time.monotonic()
        if self.failing_since is None:
            self.failing_since = now
            self.write_log(
                log_event(
                    SOURCE_LOST,
                    source=self.source.name,
                    detail=error.detail,
                    revision=self.state.revision,
                )
            )

    def note_success(self):
        """Note that the store answers."""
        if self.failing_since is None:
            return
        failed_s = time.monotonic() - self.failing_since
        self.failing_since = None
        self.regained_at = time.monotonic()
        self.write_log(
            log_event(
                SOURCE_REGAINED,
                source=self.source.name,
                failed_s=round(failed_s, 3),
                revision=self.state.revision,
            )
        )

    async def ask_peers(self):
        """Read the state of a peer while the store fails, for ever."""
        while True:
            await anyio.sleep(PEER_INTERVAL_S)
            since = self.failing_since
            if since is None or time.monotonic() - since < ASK_PEERS_AFTER_S:
                continue
            peer_source = self.find_peer_source(self.state.revision)
            if peer_source is None:
                continue
            try:
                changes = await peer_source.list_all()
            except SourceError:
                # The peer's own silence is logged where heartbeats are counted.
                continue
            now = time.monotonic()
            self.state.apply(changes, peer_source.name, now, self.find_gone_at(now))
            self.on_change()
