"""What backend servers say of themselves, as forwarders tell each other."""

from catkinfork.balancing import pop_items
from catkinfork.peering._ages import compute_age_ms
from catkinfork.peering._frames import LeavingEntry, RateLimitEntry

MAX_LEAVING_PER_FRAME = 24
# Limits in one frame; the others follow in the next ones.
MAX_RATE_LIMITS_PER_FRAME = 16
# Time for which full frames repeat that a limit was lifted, seconds.
LIFTED_LIMIT_REPEAT_S = 5.0


class BackendNotices:
    """Tells and records which backend servers are leaving, and the limits they name.

    :param balancer: :class:`Balancer`.
    :param compute_hash: callable that returns the 32-bit hash of a name.
    """

    def __init__(self, balancer, compute_hash):
        self.balancer = balancer
        self.compute_hash = compute_hash

    def fill(self, frame, is_full, now):
        """Add what is to be told to a frame.

        :param is_full: whether all is told, for peers that have missed a frame.
        """
        frame.leaving = self.list_leaving(is_full)
        if is_full:
            self.repeat_rate_limits(now)
        frame.rate_limits = self.list_rate_limits(now)

    def record(self, peer, frame, now):
        """Record what a peer tells."""
        if frame.leaving:
            self.record_leaving(peer, frame.leaving)
        if frame.rate_limits:
            self.record_rate_limits(peer, frame.rate_limits, now)

    def list_leaving(self, is_full):
        """Return the entries of the backend servers that say that they are leaving.

        :param is_full: whether all are listed, for peers that have missed a frame.
        """
        changed = self.balancer.changes.leaving
        entries = [
            LeavingEntry(self.compute_hash(backend.name), backend.entry.started_ms)
            for backend in self.balancer.registry.list_leaving()
            if is_full or backend.name in changed
        ]
        return entries[-MAX_LEAVING_PER_FRAME:]

    def repeat_rate_limits(self, now):
        """Repeat the limits that responses to this forwarder have stated."""
        registry = self.balancer.registry
        for backend in registry.backends.values():
            limit = registry.rate_limits.find(backend.entry)
            if limit is None or not limit.is_own:
                continue
            if not limit.is_lifted or now < limit.changed_at + LIFTED_LIMIT_REPEAT_S:
                self.balancer.changes.rate_limits[backend.name] = True

    def list_rate_limits(self, now):
        """Return the entries of the next limits to tell."""
        registry = self.balancer.registry
        changes = self.balancer.changes.rate_limits
        entries = []
        for name, _ in pop_items(changes, MAX_RATE_LIMITS_PER_FRAME):
            backend = registry.backends.get(name)
            limit = backend and registry.rate_limits.find(backend.entry)
            if limit:
                started_ms = backend.entry.started_ms
                age_ms = compute_age_ms(limit.stated_at, now)
                name_hash = self.compute_hash(name)
                entries.append(
                    RateLimitEntry(name_hash, started_ms, limit.rate, age_ms)
                )
        return entries

    def record_leaving(self, peer, entries):
        """Take out the backend servers that have told a peer that they are leaving."""
        registry = self.balancer.registry
        listed = set(entries)
        for backend in list(registry.backends.values()):
            started_ms = backend.entry.started_ms
            entry = LeavingEntry(self.compute_hash(backend.name), started_ms)
            if entry in listed:
                registry.mark_leaving(backend.name, started_ms, peer.address)

    def record_rate_limits(self, peer, entries, now):
        """Keep to the limits that backend servers have named to a peer."""
        registry = self.balancer.registry
        told = {(entry.backend, entry.started_ms): entry for entry in entries}
        for backend in registry.backends.values():
            started_ms = backend.entry.started_ms
            entry = told.get((self.compute_hash(backend.name), started_ms))
            if entry is not None:
                stated_at = now - max(0, entry.age_ms) / 1000
                registry.rate_limits.record(
                    backend.entry, entry.rate, stated_at, peer.address, now
                )
