"""Times to the first event at engines, as forwarders tell each other."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing import NO_FIGURES, SpeedFigures, pop_items
from catkinfork.observability import log_event
from catkinfork.peering._events import SPEED_FIGURES_IGNORED
from catkinfork.peering._frames import SpeedEntry

MAX_SPEEDS_PER_FRAME = 16
# Totals without a change that each full frame repeats, since datagrams may be lost. In
# a large fleet, each forwarder has few attempts, and most of a frame would be repeats.
MAX_REPEATED_SPEEDS = 4
# Largest first total of a peer that is counted: a larger one has older attempts too.
MAX_FIRST_ATTEMPTS = 8
# Time between two log lines on ignored figures, seconds.
IGNORED_LOG_INTERVAL_S = 60.0


class ToldTotal(NamedTuple):
    """Latest total that a peer has told of a backend server.

    :param started_ms: Unix time of the start of the backend server, milliseconds.
    :param figures: :class:`SpeedFigures`.
    :param told_at: monotonic time, seconds.
    """

    started_ms: int
    figures: SpeedFigures
    told_at: float


class SpeedNotices:
    """Tells and records the times to the first event at the engines.

    Totals are told, so a later frame makes up for a lost one, and counted as the
    differences between them.

    :param balancer: :class:`Balancer`.
    :param compute_hash: callable that returns the 32-bit hash of a name.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, balancer, compute_hash, write_log):
        self.balancer = balancer
        self.compute_hash = compute_hash
        self.write_log = write_log
        self.offset = 0
        self.keys = []
        self.deferred = []
        self.n_ignored = 0
        self.logged_at = -inf

    def fill(self, frame, is_full):
        """Add the next totals to a frame.

        A full frame has those that have changed, the longest ago first, and repeats
        others in rotation. Another frame has those that an earlier one had no room for.
        """
        keys = dict.fromkeys(self.deferred)
        self.deferred = []
        if is_full:
            changes = self.balancer.changes.speeds
            n_free = max(0, MAX_SPEEDS_PER_FRAME - len(keys))
            keys |= dict(pop_items(changes, n_free))
            keys |= self.list_next(MAX_SPEEDS_PER_FRAME - len(keys))
        entries = {key: self.build_entry(*key) for key in keys}
        self.keys = [key for key, entry in entries.items() if entry is not None]
        frame.speeds = [entries[key] for key in self.keys]

    def list_next(self, n_free):
        """Return the next totals to repeat, as a dictionary by key.

        :param n_free: entries for which a frame has space.
        """
        n_entries = min(n_free, MAX_REPEATED_SPEEDS)
        keys = [
            (service, name)
            for service, pool in self.balancer.pools.items()
            if pool.has_speeds
            for name, state in pool.states.items()
            if state.speed_record.totals.n_attempts
        ]
        start = self.offset % max(1, len(keys))
        self.offset = start + n_entries
        return dict.fromkeys((keys + keys)[start : start + min(n_entries, len(keys))])

    def build_entry(self, service, name):
        """Return the entry of a backend server, or None if there is nothing to tell."""
        pool = self.balancer.pools.get(service)
        state = pool and pool.states.get(name)
        if not state or not state.speed_record.totals.n_attempts:
            return None
        record = state.speed_record
        return SpeedEntry(
            self.compute_hash(name), record.start.started_ms, *record.totals
        )

    def defer(self, frame, n_kept):
        """Leave half of the totals of a frame that is too large to the next one.

        :param n_kept: number that stays in any case.
        :returns: whether there were more.
        """
        if len(frame.speeds) <= n_kept:
            return False
        n_left = max(n_kept, len(frame.speeds) // 2)
        self.deferred = self.keys[n_left:] + self.deferred
        self.keys = self.keys[:n_left]
        frame.speeds = frame.speeds[:n_left]
        return True

    def record(self, peer, frame, servers, now):
        """Count the attempts of a peer since its earlier totals.

        :param servers: pairs of :class:`ServicePool` and :class:`BackendState` by hash
            of the name of a backend server.
        """
        if len(peer.speeds) > len(servers):
            # The others are of servers that are gone.
            peer.speeds = {
                key: peer.speeds[key] for key in peer.speeds if key in servers
            }
        for entry in frame.speeds:
            pool, state = servers.get(entry.backend, (None, None))
            if pool is None or not pool.has_speeds:
                continue
            figures = self.compute_new_figures(peer, entry, pool.speeds.window_s, now)
            record = state.speed_record
            if figures != NO_FIGURES and record.start.started_ms == entry.started_ms:
                pool.speeds.record(record, figures, now)

    def compute_new_figures(self, peer, entry, window_s, now):
        """Return the attempts of a peer since its earlier total, and keep the new one.

        Nothing is counted of figures that cannot be right.

        :param entry: :class:`SpeedEntry`.
        :param window_s: window of the estimate, seconds.
        :returns: :class:`SpeedFigures`.
        """
        told = SpeedFigures(*entry[2:])
        before = peer.speeds.get(entry.backend)
        peer.speeds[entry.backend] = ToldTotal(entry.started_ms, told, now)
        period_s = 0.0
        if before is not None and before.started_ms == entry.started_ms:
            figures = told.subtract(before.figures)
            period_s = now - before.told_at
        elif told.n_attempts > MAX_FIRST_ATTEMPTS:
            return NO_FIGURES
        else:
            figures = told
        if figures == NO_FIGURES:
            return NO_FIGURES
        if not figures.is_plausible(period_s):
            self.report_ignored(peer, entry, figures, period_s, now)
            return NO_FIGURES
        if before is not None and before.told_at < peer.fresh_since:
            # After an interruption of the link, most of the attempts are old.
            return figures.scale(window_s / max(period_s, window_s))
        return figures

    def report_ignored(self, peer, entry, figures, period_s, now):
        """Log figures that cannot be right, at most one line in an interval.

        :param figures: :class:`SpeedFigures` that were left out.
        """
        self.n_ignored += 1
        if now < self.logged_at + IGNORED_LOG_INTERVAL_S:
            return
        self.logged_at = now
        self.write_log(
            log_event(
                SPEED_FIGURES_IGNORED,
                peer=peer.address,
                incarnation=peer.incarnation,
                n_ignored=self.n_ignored,
                backend_server_hash=entry.backend,
                n_attempts=figures.n_attempts,
                time_us=figures.time_us,
                n_tokens=figures.n_tokens,
                period_s=round(period_s, 3),
            )
        )
        self.n_ignored = 0
