"""Updates the topology from the store, with peers as the fallback source."""

import time
import traceback
from functools import partial
from math import inf

import anyio

from catkinfork.observability import log_event
from catkinfork.topology._checks import limit_detail
from catkinfork.topology._events import (
    SOURCE_LOST,
    SOURCE_REGAINED,
    UPDATE_FAILED,
)
from catkinfork.topology._intervals import (
    DEFAULT_FLEET_READS_PER_S,
    compute_read_interval_s,
    compute_requested_interval_s,
)
from catkinfork.topology._source import (
    Changes,
    EraChangedError,
    HistoryLostError,
    SourceError,
    SourceTimeoutError,
)

# Exponential backoff after failures.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6
# Shortest outage of the store within which the entry of a live backend server may
# expire. One that cannot write for less time keeps its entry.
MIN_EXPIRY_OUTAGE_S = 0.5
# Time after a store outage within which live backend servers republish entries that
# expired during the outage.
REREGISTRATION_TIME_S = 1.7
# Time after which a list counts that may lack such entries, seconds; they take about
# two.
SETTLING_TIME_S = 2.5
# Duration of a store failure after which the state is read from peers.
PEER_FALLBACK_DELAY_S = 0.2
PEER_POLL_INTERVAL_S = 0.3
# Time after the start for which the state of a peer is awaited before the store is
# read. A peer may know of withdrawals that a restored store has lost.
START_PEER_WAIT_S = 0.3
START_PEER_POLL_INTERVAL_S = 0.02
# Time for which a peer has a newer configuration until it is read from that peer.
CONFIGURATION_LAG_S = 0.5
# Time between two log lines on unexpected failures, which may occur at each update.
FAILURE_LOG_INTERVAL_S = 10.0


class Watcher:
    """Watches the store until it is cancelled.

    :param state: :class:`TopologyState`.
    :param source: :class:`BaseSource` of the store.
    :param peers: :class:`BasePeers`.
    :param on_change: callable that is called after each change.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    :param fleet_reads_per_s: reads of changes by all forwarders together, 1/s.
    """

    def __init__(
        self,
        state,
        source,
        peers,
        on_change,
        rng,
        write_log,
        fleet_reads_per_s=DEFAULT_FLEET_READS_PER_S,
    ):
        self.fleet_reads_per_s = fleet_reads_per_s
        self.state = state
        self.source = source
        self.peers = peers
        self.on_change = on_change
        self.rng = rng
        self.write_log = write_log
        self.has_full_list = False
        self.recovered_at = time.monotonic()
        self.failing_since = None
        self.behind_since = None
        self.backoff_s = MIN_BACKOFF_S
        self.read_at = None
        self.n_reads = 0
        self.read_requested = anyio.Event()
        self.long_read = anyio.Event()
        self.is_read_long = False
        source.on_items = self.apply_items
        source.on_long_read = self.record_long_read
        self.failure_logged_at = -inf
        self.n_unlogged_failures = 0

    def compute_expiry(self, now):
        """Return the time at which a backend server with a missing entry is removed.

        :param now: monotonic time, seconds.
        """
        if self.may_lack_entries(now):
            return now + REREGISTRATION_TIME_S
        return max(now, self.recovered_at + REREGISTRATION_TIME_S)

    def may_lack_entries(self, now):
        """Return whether entries may have expired in the current outage of the store.

        A watch that is cut, or a single failed answer, is no such outage.

        :param now: monotonic time, seconds.
        """
        since = self.failing_since
        return since is not None and now - since >= MIN_EXPIRY_OUTAGE_S

    async def run(self):
        """Read the store in a loop, with backoff on failures."""
        await self.read_first_peer()
        while True:
            await anyio.sleep(await self.update())

    async def update(self):
        """Read the store once.

        :returns: time until the next read, seconds.
        """
        started_at = time.monotonic()
        self.is_read_long = False
        try:
            await self.read()
        except HistoryLostError:
            self.has_full_list = False
            return 0.0
        except SourceTimeoutError as error:
            # What operators publish may be there though a large answer is not.
            self.long_read.set()
            self.record_failure(error, started_at)
            return self.back_off()
        except SourceError as error:
            # It is the source that answered, or closed the connection.
            self.record_failure(error, time.monotonic())
            return self.back_off()
        except Exception as error:
            # An exception that leaves the loop would end the process, and what caused
            # it may be there again after a restart.
            self.has_full_list = False
            self.log_unexpected(error, self.source.name)
            return self.back_off()
        self.is_read_long = False
        self.record_success()
        self.backoff_s = MIN_BACKOFF_S
        n_forwarders = self.peers.count_forwarders()
        return compute_read_interval_s(n_forwarders, self.fleet_reads_per_s)

    def back_off(self):
        """Return the time until the next read after a failure, seconds."""
        backoff_s = self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        return backoff_s * (0.5 + self.rng.random())

    def log_unexpected(self, error, source):
        """Log a failure that no source announces, at most once in a while."""
        now = time.monotonic()
        if now - self.failure_logged_at < FAILURE_LOG_INTERVAL_S:
            self.n_unlogged_failures += 1
            return
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.write_log(
            log_event(
                UPDATE_FAILED,
                source=source,
                detail=limit_detail(repr(error)),
                location=f"{frame.filename}:{frame.lineno}",
                n_unlogged=self.n_unlogged_failures,
            )
        )
        self.failure_logged_at = now
        self.n_unlogged_failures = 0

    async def read(self):
        """Read a full snapshot or the changes since the last read, and apply them."""
        asked_at = time.monotonic()
        self.n_reads += 1
        self.apply_read(await self.read_source(), asked_at)

    async def read_source(self):
        """Return a full snapshot or the :class:`Changes` since the last read."""
        if not self.has_full_list or self.source.era != self.state.era:
            changes = await self.source.list_all()
            self.has_full_list = True
            return changes
        if self.failing_since is not None:
            return await self.source.retry(self.state.revision)
        return await self.source.wait(self.state.revision)

    def apply_read(self, changes, asked_at):
        """Apply what was read from the store.

        :param asked_at: monotonic time at which the read started, seconds.
        """
        if changes.era < self.state.era:
            raise SourceError("the era of the store is older than that of a peer")
        if changes.era > self.state.era and not changes.is_full:
            raise EraChangedError("the changes are those of another era")
        self.read_at = time.monotonic()
        if changes.is_full:
            self.record_list(changes, self.read_at)
        self.apply(changes, self.source.name)
        self.state.registry.versions.record_read(self.read_at, asked_at)
        if self.state.must_list:
            self.state.must_list = False
            self.has_full_list = False
        if changes.items or changes.is_full:
            self.on_change()

    def record_list(self, changes, now):
        """Record a list, which may lack entries after an outage or a restore.

        :param changes: :class:`Changes`, before they are applied.
        """
        if changes.position <= self.state.position:
            return
        settled_at = -inf
        is_restored = 0 < self.state.era < changes.era
        if is_restored or self.may_lack_entries(now):
            settled_at = now + SETTLING_TIME_S
        self.state.registry.versions.record_list(now, settled_at)

    def request_read(self):
        """Have the changes read soon, beside a watch that may wait for one.

        One read serves all requests that were made before it.
        """
        self.read_requested.set()

    async def read_on_request(self):
        """Read the changes in a loop, each time that this was requested."""
        while True:
            await self.read_requested.wait()
            self.read_requested = anyio.Event()
            await self.read_once()
            n_forwarders = self.peers.count_forwarders()
            await anyio.sleep(compute_requested_interval_s(n_forwarders))

    def record_long_read(self):
        """Record that an answer takes long to read, such as one with large values."""
        self.is_read_long = True
        self.long_read.set()

    def apply_items(self, items, era):
        """Apply items of a watch whose answer is still being read.

        The revision stays behind until the answer has ended.

        :returns: whether they were applied.
        """
        if era != self.state.era:
            return False
        if items:
            changes = Changes(items, self.state.revision, is_full=False, era=era)
            self.apply(changes, self.source.name)
            self.on_change()
        return True

    async def read_once(self):
        """Read the changes now; a failure is left to the watch, as is a full list.

        So is a long answer, which would only be read twice.
        """
        if self.is_read_long:
            return
        if not self.has_full_list or self.source.era != self.state.era:
            return
        asked_at = time.monotonic()
        self.n_reads += 1
        try:
            changes = await self.source.read_changes(self.state.revision)
            self.apply_read(changes, asked_at)
        except SourceError:
            return
        except Exception as error:
            # As in update.
            self.log_unexpected(error, self.source.name)

    def apply(self, changes, source):
        """Apply changes; missing entries are kept for a time after a new era."""
        now = time.monotonic()
        if changes.era > self.state.era:
            self.recovered_at = now
        self.state.apply(changes, source, now, self.compute_expiry(now))

    async def read_first_peer(self):
        """Read the state of a peer before the store, if one answers soon."""
        if not self.peers.has_any():
            return
        with anyio.move_on_after(START_PEER_WAIT_S):
            find_source = partial(self.peers.find_newer_configuration, 0)
            while not await self.update_from_peer(find_source):
                await anyio.sleep(START_PEER_POLL_INTERVAL_S)

    async def update_from_peer(self, find_source):
        """Read the state of a peer, if there is one to read.

        :param find_source: callable that returns a :class:`BaseSource` or None.
        :returns: whether a peer was found.
        """
        try:
            source = find_source()
            if source is not None:
                await self.read_peer(source)
        except Exception as error:
            # As in update.
            self.log_unexpected(error, "peer")
            return False
        return source is not None

    async def read_peer(self, source):
        """Read the state of a peer and apply what is newer."""
        try:
            changes = await source.list_all()
        except SourceError:
            # Not logged here; a silent peer is detected and logged by peering.
            return
        self.record_list(changes, time.monotonic())
        self.apply(changes, source.name)
        self.state.offer_configuration(changes, source.name)
        self.on_change()

    def record_failure(self, error, since):
        """Record a failed read; the first one of an outage is logged.

        :param since: monotonic time from which on the source may have failed, seconds.
        """
        if self.failing_since is None:
            self.failing_since = since
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
        now = time.monotonic()
        failed_s = now - self.failing_since
        if self.may_lack_entries(now):
            self.recovered_at = now
        self.failing_since = None
        self.write_log(
            log_event(
                SOURCE_REGAINED,
                source=self.source.name,
                failed_s=round(failed_s, 3),
                revision=self.state.revision,
            )
        )

    async def poll_peers(self):
        """Read newer state of peers in a loop while the store does not provide it."""
        while True:
            await anyio.sleep(PEER_POLL_INTERVAL_S)
            find_source = partial(self.find_peer_source, time.monotonic())
            await self.update_from_peer(find_source)

    def find_peer_source(self, now):
        """Return the source of a peer to read now, or None.

        The store fails, or it lists an older configuration than a peer has.
        """
        version = self.state.routes.version if self.state.routes is not None else 0
        source = self.peers.find_newer_configuration(version)
        if source is None:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since >= CONFIGURATION_LAG_S:
            return source
        since = self.failing_since
        if since is None or now - since < PEER_FALLBACK_DELAY_S:
            return None
        return self.peers.find_newer(self.state.position)
