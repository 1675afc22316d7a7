"""Registry of the backend servers and their readiness for new requests."""

from math import inf
from typing import NamedTuple

from catkinfork.observability import log_event
from catkinfork.topology._addresses import find_shared
from catkinfork.topology._events import (
    BACKEND_ADDED,
    BACKEND_LEAVING,
    BACKEND_THROTTLED,
    EVACUATION_CHANGED,
    REMOVAL_HELD,
)
from catkinfork.topology._ignored import IgnoredLog
from catkinfork.topology._rate_limits import RateLimitTable
from catkinfork.topology._recent import RecentTable
from catkinfork.topology._source import Departure
from catkinfork.topology._types import DRAINING, READY, BackendEntry
from catkinfork.topology._versions import VersionHistory

MAX_DEPARTED = 1024
MAX_LEAVING = 1024
MAX_THROTTLED = 1024
MAX_SUCCESSIONS = 1024
# Successive entries of one start of a backend server that are in force though the known
# one has a later start or sequence: a delayed write is a single one.
N_SUCCESSIVE_ENTRIES = 3
# Longest pause that a backend server may ask for, seconds.
MAX_PAUSE_S = 300.0
# Time after a pause within which the rate of requests is limited, seconds.
RECOVERY_S = 1.0


class Succession(NamedTuple):
    """Entries of one start of a backend server that are older than the known one.

    :param last: last :class:`BackendEntry`.
    :param n_entries: entries in a row with rising sequence.
    """

    last: BackendEntry
    n_entries: int


class Backend:
    """A known backend server.

    :param entry: :class:`BackendEntry`.
    :param now: monotonic time, seconds.

    ``expires_at`` is the monotonic time at which the backend server is removed unless
    its entry reappears, or None.
    """

    def __init__(self, entry, now):
        self.entry = entry
        self.name = entry.name
        self.service = entry.service
        self.data_centre = entry.data_centre
        self.cold_until = now + entry.cold_s
        self.expires_at = None
        self.is_evacuated = False
        self.is_leaving = False
        self.throttled_until = -inf

    @property
    def is_ready(self):
        """Return whether the backend server may receive new requests."""
        if self.is_evacuated or self.is_leaving:
            return False
        return self.entry.state == READY

    def is_throttled(self, now):
        """Return whether it wants nothing from this host for now."""
        return now < self.throttled_until

    def is_recovering(self, now):
        """Return whether it is throttled, or was until recently.

        Load comes back slowly then.
        """
        return now < self.throttled_until + RECOVERY_S

    def is_cold(self, now):
        """Return whether the backend server is still warming up."""
        return now < self.cold_until

    def update(self, entry, now):
        """Apply a newer entry."""
        self.entry = entry
        self.data_centre = entry.data_centre
        self.cold_until = now + entry.cold_s
        self.expires_at = None


class BackendRegistry:
    """Known backend servers by service.

    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, write_log):
        self.write_log = write_log
        self.backends = {}
        self.by_service = {}
        self.shared_addresses = frozenset()
        self.evacuated = set()
        self.departed = RecentTable(MAX_DEPARTED)
        self.leaving = RecentTable(MAX_LEAVING)
        self.throttled = RecentTable(MAX_THROTTLED)
        self.ignored = IgnoredLog(write_log)
        self.successions = RecentTable(MAX_SUCCESSIONS)
        self.rate_limits = RateLimitTable(write_log)
        self.versions = VersionHistory()

    def list_ready(self, service):
        """Return the backend servers of a service that may receive new requests."""
        return self.by_service.get(service, ())

    def apply_entry(self, entry, now, source):
        """Apply an entry unless it is older than the known one.

        Entries are ordered by start time and sequence, since a delayed write of an
        older entry may arrive after a newer one. Several older ones in a row show that
        the known one cannot be right, as one of another writer or from a server whose
        clock was ahead.

        :param entry: :class:`BackendEntry`.
        :param source: name of the source of the entry, for the log.
        """
        known = self.backends.get(entry.name)
        if known is None:
            self.add(entry, now)
        elif self.is_outdated(entry, known.entry):
            # Other forwarders may know this entry only, and begin streams there.
            self.versions.record_left(entry, now)
            self.log_ignored(entry.name, source, "older than the known entry", now)
            return
        else:
            self.successions.pop(entry.name, None)
            self.replace(known, entry, now)
        self.rebuild_index()

    def is_outdated(self, entry, known):
        """Return whether an entry is older than the known one, which is right.

        :param entry: :class:`BackendEntry`.
        :param known: known :class:`BackendEntry` of the same backend server.
        """
        if compute_entry_order(entry) >= compute_entry_order(known):
            return False
        last, n_entries = self.successions.get(entry.name, (entry, 0))
        is_next = last.started_ms == entry.started_ms and last.sequence < entry.sequence
        n_entries = n_entries + 1 if is_next else 1
        self.successions[entry.name] = Succession(entry, n_entries)
        return n_entries < N_SUCCESSIVE_ENTRIES

    def add(self, entry, now):
        """Add a backend server."""
        backend = self.backends[entry.name] = Backend(entry, now)
        self.update_readiness(backend)
        if entry.state == DRAINING:
            self.log_leaving(backend, DRAINING)
            return
        self.write_log(
            log_event(
                BACKEND_ADDED,
                backend_server=entry.name,
                service=entry.service,
                version=entry.version,
                address=entry.address,
                data_centre=entry.data_centre,
                cold_s=entry.cold_s,
            )
        )

    def replace(self, backend, entry, now):
        """Replace the entry of a known backend server."""
        if entry.state == DRAINING and backend.entry.state == READY:
            self.log_leaving(backend, DRAINING)
        if is_other_start(entry, backend.entry):
            self.versions.record_left(backend.entry, now)
        if entry.service != backend.service:
            self.backends[entry.name] = Backend(entry, now)
        else:
            backend.update(entry, now)
        self.update_readiness(self.backends[entry.name])

    def update_readiness(self, backend):
        """Set whether a backend server is evacuated, leaving or throttled."""
        entry = backend.entry
        backend.is_evacuated = entry.data_centre in self.evacuated
        backend.is_leaving = self.leaving.get(entry.name) == entry.started_ms
        key = (entry.name, entry.started_ms)
        backend.throttled_until = self.throttled.get(key, -inf)

    def throttle(self, backend, pause_s, value, now):
        """Send nothing to a backend server for as long as it asks.

        :param pause_s: pause, seconds, or None if the value is invalid.
        :param value: value of the header, for the log.
        """
        pause_s = 0.0 if pause_s is None else min(MAX_PAUSE_S, pause_s)
        if pause_s:
            backend.throttled_until = max(backend.throttled_until, now + pause_s)
            key = (backend.name, backend.entry.started_ms)
            self.throttled[key] = backend.throttled_until
        self.write_log(
            log_event(
                BACKEND_THROTTLED,
                backend_server=backend.name,
                service=backend.service,
                value=value,
                pause_s=pause_s,
            )
        )

    def mark_leaving(self, name, started_ms, source):
        """Take a backend server out that says that it is leaving.

        This holds whatever its entry says, until it starts again.

        :param started_ms: Unix time of its start, milliseconds.
        :param source: ``response`` or the address of a peer, for the log.
        :returns: whether this is news.
        """
        if self.leaving.get(name) == started_ms:
            return False
        self.leaving[name] = started_ms
        backend = self.backends.get(name)
        if backend is not None and backend.entry.started_ms == started_ms:
            backend.is_leaving = True
            self.log_leaving(backend, f"announced, {source}")
            self.rebuild_index()
        return True

    def list_leaving(self):
        """Return the known backend servers that say that they are leaving."""
        return [backend for backend in self.backends.values() if backend.is_leaving]

    def is_usable(self, backend, now):
        """Return whether a placement at a backend server still holds."""
        if self.backends.get(backend.name) is not backend:
            return False
        return backend.is_ready and not backend.is_throttled(now)

    def is_current_start(self, name, started_ms):
        """Return whether no other start of a backend server is known.

        :param started_ms: Unix time of the start, milliseconds.
        """
        known = self.backends.get(name)
        return known is None or known.entry.started_ms == started_ms

    def log_ignored(self, key, source, detail, now):
        """Log that an entry is ignored, once in a while for each key."""
        self.ignored.record(key, source, detail, now)

    def remove(self, name, now, expires_at):
        """Handle the removal of an entry.

        :param expires_at: monotonic time at which the backend server is removed; later
            than ``now`` if the entry may have expired because of a store outage.
        """
        backend = self.backends.get(name)
        if backend is None:
            return
        if now < expires_at:
            self.hold_removal(backend, now, expires_at)
            return
        del self.backends[name]
        self.versions.record_left(backend.entry, now)
        self.record_departure(backend.entry)
        self.log_leaving(backend, "gone")
        self.rebuild_index()

    def hold_removal(self, backend, now, expires_at):
        """Keep a backend server for a time though its entry is gone."""
        if backend.expires_at is not None:
            return
        backend.expires_at = expires_at
        self.write_log(
            log_event(
                REMOVAL_HELD,
                backend_server=backend.name,
                service=backend.service,
                held_s=round(expires_at - now, 3),
            )
        )

    def record_departure(self, entry):
        """Remember the last entry of a backend server that is gone."""
        departure = Departure(entry.name, *compute_entry_order(entry))
        self.departed[entry.name] = departure

    def add_departures(self, departures):
        """Add the backend servers that a peer knows to be gone.

        :param departures: :class:`Departure` entries.
        """
        for departure in departures:
            known = self.departed.get(departure.name)
            if known is None or known < departure:
                self.departed[departure.name] = departure

    def has_departed(self, entry):
        """Return whether an entry is no newer than that of a server that is gone.

        A store that was restored from a copy lists such entries until they expire.
        """
        last = self.departed.get(entry.name)
        return last is not None and compute_entry_order(entry) <= last[1:]

    def remove_expired_entries(self, now):
        """Remove backend servers whose entries have not reappeared in time."""
        for backend in list(self.backends.values()):
            if backend.expires_at is not None and now >= backend.expires_at:
                self.remove(backend.name, now, now)

    def list_versions(self):
        """Return the versions of all backend servers by name."""
        return {name: one.entry.version for name, one in self.backends.items()}

    def find_only_version(self, service, since, until):
        """Return the version of a service if no other one can have served.

        :param since: monotonic time from which on this must hold, seconds.
        :param until: monotonic time until which this must hold, seconds.
        :returns: version, or None if there are others, or may have been.
        """
        if not self.versions.is_complete(since, until):
            return None
        versions = self.versions.list_left(service, since)
        for backend in self.backends.values():
            if backend.service == service:
                versions.add(backend.entry.version)
        return versions.pop() if len(versions) == 1 else None

    def set_evacuated(self, data_centres):
        """Set the data centres whose backend servers receive no new requests."""
        if data_centres == self.evacuated:
            return
        for data_centre in sorted(data_centres ^ self.evacuated):
            is_evacuated = data_centre in data_centres
            self.write_log(
                log_event(
                    EVACUATION_CHANGED,
                    data_centre=data_centre,
                    is_evacuated=is_evacuated,
                )
            )
        self.evacuated = set(data_centres)
        for backend in self.backends.values():
            backend.is_evacuated = backend.data_centre in data_centres
        self.rebuild_index()

    def log_leaving(self, backend, reason):
        """Log that a backend server receives no new requests."""
        self.write_log(
            log_event(
                BACKEND_LEAVING,
                backend_server=backend.name,
                service=backend.service,
                reason=reason,
            )
        )

    def rebuild_index(self):
        """Rebuild the index of ready backend servers, and the shared addresses."""
        self.by_service = {}
        for backend in self.backends.values():
            if backend.is_ready:
                self.by_service.setdefault(backend.service, []).append(backend)
        addresses = [backend.entry.address for backend in self.backends.values()]
        self.shared_addresses = find_shared(addresses)


def compute_entry_order(entry):
    """Return the sort key of an entry among those of one backend server."""
    return (entry.started_ms, entry.sequence)


def is_other_start(entry, former):
    """Return whether an entry is of another start of a server, or of another service.

    What the former start has kept in memory is gone.
    """
    return (entry.service, entry.version, entry.started_ms) != (
        former.service,
        former.version,
        former.started_ms,
    )
