"""Updates the topology from the store, with peers as the fallback source."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.topology._events import SOURCE_LOST, SOURCE_REGAINED
from catkinfork.topology._source import HistoryLostError, SourceError

# Pause between two reads of changes, which batches the heartbeats of backend servers.
# It grows with the number of forwarders, so that their calls together do not.
MIN_READ_INTERVAL_S = 0.15
MAX_READ_INTERVAL_S = 0.6
MAX_FLEET_READS_PER_S = 110.0
# Exponential backoff after failures.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6
# Time after a store outage within which live backend servers republish entries that
# expired during the outage.
REREGISTRATION_TIME_S = 1.7
# Duration of a store failure after which the state is read from peers.
PEER_FALLBACK_DELAY_S = 0.2
PEER_POLL_INTERVAL_S = 0.3


class Watcher:
    """Watches the store until it is cancelled.

    :param state: :class:`TopologyState`.
    :param source: :class:`BaseSource` of the store.
    :param find_peer_source: callable that takes a revision and returns the
        :class:`BaseSource` of a peer with newer state, or None.
    :param count_forwarders: callable that returns the number of live forwarders.
    :param on_change: callable that is called after each change.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(
        self,
        state,
        source,
        find_peer_source,
        count_forwarders,
        on_change,
        rng,
        write_log,
    ):
        self.state = state
        self.source = source
        self.find_peer_source = find_peer_source
        self.count_forwarders = count_forwarders
        self.on_change = on_change
        self.rng = rng
        self.write_log = write_log
        self.has_full_list = False
        self.recovered_at = time.monotonic()
        self.failing_since = None
        self.read_at = None
        self.n_reads = 0

    def compute_expiry(self, now):
        """Return the time at which a backend server with a missing entry is removed.

        :param now: monotonic time, seconds.
        """
        if self.failing_since is not None:
            return now + REREGISTRATION_TIME_S
        return max(now, self.recovered_at + REREGISTRATION_TIME_S)

    async def run(self):
        """Read the store in a loop, with backoff on failures."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self.read()
            except HistoryLostError:
                self.has_full_list = False
            except SourceError as error:
                self.record_failure(error)
                await anyio.sleep(backoff_s * (0.5 + self.rng.random()))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            else:
                self.record_success()
                backoff_s = MIN_BACKOFF_S
                await anyio.sleep(compute_read_interval_s(self.count_forwarders()))

    async def read(self):
        """Read a full snapshot or the changes since the last read, and apply them."""
        self.n_reads += 1
        if self.has_full_list:
            changes = await self.source.wait(self.state.revision)
        else:
            changes = await self.source.list_all()
            self.has_full_list = True
        now = time.monotonic()
        self.read_at = now
        expires_at = self.compute_expiry(now)
        self.state.apply(changes, self.source.name, now, expires_at)
        if changes.items or changes.is_full:
            self.on_change()

    def record_failure(self, error):
        """Record a failed read; the first one of an outage is logged."""
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

    def record_success(self):
        """Record a successful read; the end of an outage is logged."""
        if self.failing_since is None:
            return
        failed_s = time.monotonic() - self.failing_since
        self.failing_since = None
        self.recovered_at = time.monotonic()
        self.write_log(
            log_event(
                SOURCE_REGAINED,
                source=self.source.name,
                failed_s=round(failed_s, 3),
                revision=self.state.revision,
            )
        )

    async def poll_peers(self):
        """Poll peers for their state in a loop while the store is failing."""
        while True:
            await anyio.sleep(PEER_POLL_INTERVAL_S)
            since = self.failing_since
            if since is None or time.monotonic() - since < PEER_FALLBACK_DELAY_S:
                continue
            peer_source = self.find_peer_source(self.state.revision)
            if peer_source is None:
                continue
            try:
                changes = await peer_source.list_all()
            except SourceError:
                # Not logged here; a silent peer is detected and logged by peering.
                continue
            now = time.monotonic()
            self.state.apply(changes, peer_source.name, now, self.compute_expiry(now))
            self.on_change()


def compute_read_interval_s(n_forwarders):
    """Return the pause between two reads of changes, seconds."""
    interval_s = n_forwarders / MAX_FLEET_READS_PER_S
    return min(MAX_READ_INTERVAL_S, max(MIN_READ_INTERVAL_S, interval_s))
