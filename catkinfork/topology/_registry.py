"""Which backend servers may receive new requests."""

from catkinfork.observability import log_event
from catkinfork.topology._events import (
    BACKEND_ADDED,
    BACKEND_LEAVING,
    ENTRY_IGNORED,
    EVACUATION_CHANGED,
)
from catkinfork.topology._types import DRAINING, READY


class Backend:
    """A backend server that is known.

    :param entry: :class:`BackendEntry`.
    :param now: monotonic seconds.
    """

    def __init__(self, entry, now):
        self.entry = entry
        self.name = entry.name
        self.service = entry.service
        self.data_centre = entry.data_centre
        self.cold_until = now + entry.cold_s
        self.missing_until = None
        self.is_evacuated = False

    @property
    def is_ready(self):
        """Return whether it takes new requests."""
        return self.entry.state == READY and not self.is_evacuated

    def is_cold(self, now):
        """Return whether it is still warming up."""
        return now < self.cold_until

    def update(self, entry, now):
        """Take a newer entry."""
        self.entry = entry
        self.data_centre = entry.data_centre
        self.cold_until = now + entry.cold_s
        self.missing_until = None


class BackendRegistry:
    """Known backend servers by service.

    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, write_log):
        self.write_log = write_log
        self.backends = {}
        self.by_service = {}
        self.evacuated = set()
        self.revision = 0

    def list_ready(self, service):
        """Return the backend servers of a service that take new requests."""
        return self.by_service.get(service, ())

    def note_entry(self, entry, now, source):
        """Take an entry.

        Entries are compared by start and sequence, since a late write of an older entry
        may arrive after a newer one.

        :param entry: :class:`BackendEntry`.
        :param source: where the entry was read.
        """
        known = self.backends.get(entry.name)
        if known is None:
            self.add(entry, now)
        elif order_entry(entry) < order_entry(known.entry):
            self.ignore(entry.name, source, "older than the entry known")
            return
        else:
            self.replace(known, entry, now)
        self.rebuild()

    def add(self, entry, now):
        """Add a backend server."""
        backend = self.backends[entry.name] = Backend(entry, now)
        backend.is_evacuated = entry.data_centre in self.evacuated
        if entry.state == DRAINING:
            self.log_leaving(backend, DRAINING)
            return
        self.write_log(
            log_event(
                BACKEND_ADDED,
                backend_server=entry.name,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
                cold_s=entry.cold_s,
            )
        )

    def replace(self, backend, entry, now):
        """Replace the entry of a known backend server."""
        if entry.state == DRAINING and backend.entry.state == READY:
            self.log_leaving(backend, DRAINING)
        if entry.service != backend.service:
            self.backends[entry.name] = Backend(entry, now)
            return
        backend.update(entry, now)
        backend.is_evacuated = entry.data_centre in self.evacuated

    def ignore(self, key, source, detail):
        """Log an entry that names no backend server to use."""
        self.write_log(log_event(ENTRY_IGNORED, key=key, source=source, detail=detail))

    def remove(self, name, now, gone_at):
        """Take the removal of an entry.

        :param gone_at: time from which on the backend server counts as gone; later than
            ``now`` if the entry may have lapsed in an outage of the store.
        """
        backend = self.backends.get(name)
        if backend is None:
            return
        if now < gone_at:
            if backend.missing_until is None:
                backend.missing_until = gone_at
            return
        del self.backends[name]
        self.log_leaving(backend, "gone")
        self.rebuild()

    def drop_missing(self, now):
        """Remove backend servers whose entry has not come back in time."""
        for backend in list(self.backends.values()):
            if backend.missing_until is not None and now >= backend.missing_until:
                self.remove(backend.name, now, now)

    def evacuate(self, data_centres):
        """Set the data centres whose backend servers get no new requests."""
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
        self.rebuild()

    def log_leaving(self, backend, reason):
        """Log that a backend server takes no new requests."""
        self.write_log(
            log_event(
                BACKEND_LEAVING,
                backend_server=backend.name,
                service=backend.service,
                reason=reason,
            )
        )

    def rebuild(self):
        """Rebuild the index of ready backend servers."""
        self.by_service = {}
        for backend in self.backends.values():
            if backend.is_ready:
                self.by_service.setdefault(backend.service, []).append(backend)


def order_entry(entry):
    """Return the sort key of an entry within one id."""
    return (entry.started_ms, entry.sequence)
