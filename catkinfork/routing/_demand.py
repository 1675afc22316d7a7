"""Level-triggered demand of a pool, and the grants received for it."""

from catkinfork.protocol import Demand, DemandEntry

MIN_SEND_INTERVAL_S = 0.005
# Used for changes after which the dispatcher still knows of a waiting request in each
# class, so that no grant is delayed.
CHANGE_SEND_INTERVAL_S = 0.05
MAX_SEND_INTERVAL_S = 0.5
# An empty demand is repeated in case a message is lost, but not for ever: most routers
# have no waiting requests for most pools.
N_EMPTY_REPEATS = 3
# A dispatcher that has sent a grant within this time receives every change.
RECENT_GRANT_WINDOW_S = 2.0
# Two, so that processes whose rankings differ by one position share a dispatcher.
N_DISPATCHERS = 2
# Includes dispatchers that have left the ranking, whose grants may still arrive.
MAX_GRANTORS = 8
# A control frame holds 64 KiB; the remainder is for the envelope and the signature.
MAX_ENTRIES_BYTES = 60000
ENTRY_OVERHEAD_BYTES = 40


class PoolDemand:
    """State of the demand messages for one pool.

    :param pool: pool name.
    """

    def __init__(self, pool):
        self.pool = pool
        self.dispatchers = []
        self.sequence = 0
        self.is_changed = False
        self.is_urgent = False
        self.sent_at = None
        self.sent_to_all_at = float("-inf")
        self.n_empty_sent = 0
        self.reported_waiting = {}
        self.granted_at = {}
        self.grantors = {}

    def set_dispatchers(self, addresses):
        """Set the live dispatchers, in the order of their ranking.

        :returns: addresses that no longer receive demand.
        """
        chosen = list(addresses[:N_DISPATCHERS])
        dropped = [name for name in self.dispatchers if name not in chosen]
        if chosen != self.dispatchers:
            self.is_changed = True
            self.is_urgent = True
            self.sent_to_all_at = float("-inf")
            self.n_empty_sent = 0
        self.dispatchers = chosen
        return dropped

    def is_due(self, now):
        """Return whether the demand must be sent now."""
        if not self.dispatchers:
            return False
        if self.sent_at is None:
            return True
        age_s = now - self.sent_at
        if self.is_urgent:
            return age_s >= MIN_SEND_INTERVAL_S
        if self.is_changed:
            return age_s >= CHANGE_SEND_INTERVAL_S
        return age_s >= MAX_SEND_INTERVAL_S and self.n_empty_sent < N_EMPTY_REPEATS

    def count_reported(self):
        """Return the number of waiting requests last reported, by workspace."""
        counts = {}
        for demand_class, n_waiting in self.reported_waiting.items():
            name = demand_class.workspace
            counts[name] = counts.get(name, 0) + max(0, n_waiting)
        return counts

    def record_waiting(self, demand_class):
        """Record a new waiting request, urgent if its class had none reported."""
        self.is_changed = True
        if self.reported_waiting.get(demand_class, 0) <= 0:
            self.is_urgent = True

    def record_grant_used(self, demand_class, n_left):
        """Record that a grant was counted against a class.

        :param n_left: number of requests of the class that still wait.
        """
        self.is_changed = True
        self.reported_waiting[demand_class] = (
            self.reported_waiting.get(demand_class, 0) - 1
        )
        if n_left and self.reported_waiting[demand_class] <= 0:
            self.is_urgent = True

    def select_recipients(self, now):
        """Select the dispatchers to send the demand to, and record the time.

        The second one receives tickets only from agents that rank it first. Until it
        sends a grant, it is updated only every ``MAX_SEND_INTERVAL_S``.
        """
        if now - self.sent_to_all_at >= MAX_SEND_INTERVAL_S:
            self.sent_to_all_at = now
            return self.dispatchers
        oldest = now - RECENT_GRANT_WINDOW_S
        return [
            name
            for position, name in enumerate(self.dispatchers)
            if position == 0 or self.granted_at.get(name, oldest) > oldest
        ]

    def record_sent(self, sizes, now):
        """Record that the demand was sent.

        :param sizes: number of waiting requests by class, as sent.
        """
        self.is_changed = False
        self.is_urgent = False
        self.sent_at = now
        self.reported_waiting = sizes
        self.n_empty_sent = 0 if sizes else self.n_empty_sent + 1

    def build_message(self, dispatcher, entries):
        """Build the demand message for a dispatcher.

        :param dispatcher: address of the dispatcher.
        :param entries: list of :class:`DemandEntry`.
        """
        self.sequence += 1
        incarnation, n_seen = self.grantors.get(dispatcher, (0, 0))
        return Demand(self.pool, self.sequence, n_seen, incarnation, entries)

    def record_grantor(self, sender):
        """Record the incarnation of a dispatcher that sent a grant.

        :returns: whether the sender is the latest known incarnation.
        """
        incarnation, _ = self.grantors.get(sender.name, (0, 0))
        if sender.incarnation < incarnation:
            return False
        if sender.incarnation > incarnation:
            self.grantors.pop(sender.name, None)
            self.grantors[sender.name] = (sender.incarnation, 0)
            self.evict_grantors()
        return True

    def evict_grantors(self):
        """Evict the oldest dispatchers outside the ranking above ``MAX_GRANTORS``."""
        for name in list(self.grantors):
            if len(self.grantors) <= MAX_GRANTORS:
                return
            if name not in self.dispatchers:
                del self.grantors[name]

    def record_grant(self, sender, number, now):
        """Record a grant by its number, if it is newer than all recorded before.

        :returns: whether it is in order and of the latest incarnation.
        """
        if not self.record_grantor(sender):
            return False
        self.granted_at = {
            name: at for name, at in self.granted_at.items() if name in self.dispatchers
        }
        self.granted_at[sender.name] = now
        incarnation, n_seen = self.grantors[sender.name]
        if number <= n_seen:
            return False
        self.grantors[sender.name] = (incarnation, number)
        return True


def build_entries(classes, now):
    """Build the demand entries for the waiting requests of a pool.

    If the entries do not fit into a frame, preferred servers are left out first, then
    the excess classes of the workspaces that have the most classes.

    :param classes: pairs of :class:`DemandClass` and queue.
    :param now: monotonic time in seconds.
    """
    entries = [build_entry(*pair, now) for pair in classes]
    if estimate_entries_bytes(entries) <= MAX_ENTRIES_BYTES:
        return entries
    entries = merge_preferred(entries)
    if estimate_entries_bytes(entries) <= MAX_ENTRIES_BYTES:
        return entries
    return truncate_entries(entries)


def build_entry(demand_class, queue, now):
    """Build the demand entry of one class."""
    oldest = next(iter(queue.values())).submitted_at
    return DemandEntry(
        demand_class.workspace,
        demand_class.target,
        demand_class.required,
        demand_class.preferred,
        demand_class.suspect,
        len(queue),
        max(0, int((now - oldest) * 1000)),
    )


def estimate_entry_bytes(entry):
    """Return an upper bound of the encoded size of an entry in bytes."""
    names = (entry.workspace, entry.target, entry.required, entry.preferred)
    n_bytes = sum(len(name.encode()) for name in names)
    return n_bytes + len(entry.suspect) + ENTRY_OVERHEAD_BYTES


def estimate_entries_bytes(entries):
    """Return an upper bound of the encoded size of entries in bytes."""
    return sum(estimate_entry_bytes(entry) for entry in entries)


def merge_preferred(entries):
    """Merge the entries that differ only in the preferred backend server."""
    merged = {}
    for entry in entries:
        key = (entry.workspace, entry.target, entry.required, entry.suspect)
        other = merged.get(key)
        n_waiting = entry.n_waiting + (other.n_waiting if other else 0)
        oldest_ms = max(entry.oldest_wait_ms, other.oldest_wait_ms if other else 0)
        merged[key] = entry._replace(
            preferred="", n_waiting=n_waiting, oldest_wait_ms=oldest_ms
        )
    return list(merged.values())


def truncate_entries(entries):
    """Return the entries that fit, round-robin over the workspaces, oldest first."""
    entries = sorted(entries, key=lambda entry: -entry.oldest_wait_ms)
    n_per_workspace = {}
    ranked = []
    for entry in entries:
        n_before = n_per_workspace.get(entry.workspace, 0)
        n_per_workspace[entry.workspace] = n_before + 1
        ranked.append((n_before, -entry.oldest_wait_ms, entry))
    ranked.sort(key=lambda item: item[:2])
    chosen = []
    n_bytes = 0
    for _, _, entry in ranked:
        n_bytes += estimate_entry_bytes(entry)
        if n_bytes > MAX_ENTRIES_BYTES:
            break
        chosen.append(entry)
    return chosen
