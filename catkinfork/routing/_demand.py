"""Level-triggered demand of one pool, and the grants it has already used."""

from catkinfork.protocol import Demand, DemandEntry

MIN_SEND_INTERVAL_S = 0.005
# A change that leaves the dispatcher with a waiting request of each class can wait.
CHANGE_SEND_INTERVAL_S = 0.05
MAX_SEND_INTERVAL_S = 0.5
# An empty demand is repeated in case one is lost, and then no more: most routers have
# nothing waiting for most pools.
N_EMPTY_REPEATS = 3
# A dispatcher that has granted within this time gets every change.
RECENT_GRANT_WINDOW_S = 2.0
# Two, so that processes whose rankings differ by one still share a dispatcher.
N_DISPATCHERS = 2
# Grants of dispatchers that have left the ranking may still arrive for a while.
MAX_GRANTORS = 8
# A control frame holds 64 KiB; the rest is for the envelope and the signature.
MAX_ENTRIES_BYTES = 60000
ENTRY_OVERHEAD_BYTES = 40


class PoolDemand:
    """Demand messages of one pool.

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
        """Set the live dispatchers, ranked.

        :returns: addresses that no longer receive the demand.
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
        """Return whether the demand is to be sent now."""
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

    def record_waiting(self, demand_class):
        """Note that a request waits; it is urgent if the dispatcher knows of none."""
        self.is_changed = True
        if self.reported_waiting.get(demand_class, 0) <= 0:
            self.is_urgent = True

    def record_grant_used(self, demand_class, n_left):
        """Note that a grant used up one waiting request of a class.

        :param n_left: requests of the class that still wait.
        """
        self.is_changed = True
        self.reported_waiting[demand_class] = (
            self.reported_waiting.get(demand_class, 0) - 1
        )
        if n_left and self.reported_waiting[demand_class] <= 0:
            self.is_urgent = True

    def select_recipients(self, now):
        """Return the dispatchers to send to now, and note the time.

        A second one gets tickets only if agents take it for the first. Until it
        grants, a demand that is half a second old will do there.
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
        """Note what the first dispatcher knows from now on.

        :param sizes: number of waiting requests by class.
        """
        self.is_changed = False
        self.is_urgent = False
        self.sent_at = now
        self.reported_waiting = sizes
        self.n_empty_sent = 0 if sizes else self.n_empty_sent + 1

    def build_message(self, dispatcher, entries):
        """Return the demand for a dispatcher.

        :param dispatcher: address of the dispatcher.
        :param entries: list of :class:`DemandEntry`.
        """
        self.sequence += 1
        incarnation, n_seen = self.grantors.get(dispatcher, (0, 0))
        return Demand(self.pool, self.sequence, n_seen, incarnation, entries)

    def record_grantor(self, sender):
        """Note the incarnation of a dispatcher.

        :returns: whether the sender is its latest known incarnation.
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
        """Drop the oldest dispatchers that are no longer in the ranking."""
        for name in list(self.grantors):
            if len(self.grantors) <= MAX_GRANTORS:
                return
            if name not in self.dispatchers:
                del self.grantors[name]

    def record_grant(self, sender, number, now):
        """Count a grant as seen if it is newer than those seen before.

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
    """Return the demand entries of the waiting requests of a pool.

    Names of preferred servers are left out if the entries would not fit into a frame,
    then the later classes of the workspaces that have the most.

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
    """Return the demand entry of one class."""
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
    """Merge the entries that differ only in the preferred server."""
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
    """Return as many entries as fit, one of each workspace first, oldest first."""
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
