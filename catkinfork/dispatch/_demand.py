"""Waiting requests of the routers, less the grants they have not seen yet."""

from typing import NamedTuple

# A grant that no demand has confirmed by then is lost: its ticket has expired.
GRANT_LIFETIME_S = 1.5
# A router that is silent for longer gets no grants.
ROUTER_SILENCE_TIMEOUT_S = 1.5
FORGET_ROUTER_AFTER_S = 30.0


class DemandClass(NamedTuple):
    """What requests of one class have in common, as in ``DemandEntry``."""

    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes


class SentGrant(NamedTuple):
    """A grant that the router's demand does not reflect yet."""

    number: int
    demand_class: DemandClass
    sent_at: float


class ClassDemand:
    """Waiting requests of one class at one router.

    :param router: inner address of the router.
    :param demand_class: :class:`DemandClass`.
    :param n_waiting: requests waiting according to the router.
    :param oldest_wait_s: age of the oldest at ``arrived_at``.
    :param arrived_at: time of the router's message.
    """

    def __init__(self, router, demand_class, n_waiting, oldest_wait_s, arrived_at):
        self.router = router
        self.demand_class = demand_class
        self.n_waiting = n_waiting
        self.oldest_wait_s = oldest_wait_s
        self.arrived_at = arrived_at
        self.n_unseen = 0

    @property
    def n_open(self):
        """Waiting requests without a grant."""
        return max(0, self.n_waiting - self.n_unseen)

    def estimate_wait(self, now):
        """Return the estimated age of the oldest request without a grant, seconds.

        The ages of the requests behind the oldest are taken as evenly spaced.
        """
        age = self.oldest_wait_s + now - self.arrived_at
        return age * self.n_open / self.n_waiting


class RouterDemand:
    """Demand of one router.

    :param address: inner address of the router.
    :param incarnation: incarnation of the router.
    :param last_number: number of the last grant to this router.
    """

    def __init__(self, address, incarnation, last_number=0):
        self.address = address
        self.incarnation = incarnation
        self.last_number = last_number
        self.sequence = -1
        self.heard_at = 0.0
        self.classes = {}
        self.unseen = []
        self.n_granted = {}

    def replace(self, message, grantor, now):
        """Take a newer demand.

        :param message: :class:`Demand`.
        :param grantor: incarnation of this dispatcher.
        """
        self.sequence = message.sequence
        self.heard_at = now
        if message.grantor == grantor:
            seen = message.grants_seen
            self.unseen = [grant for grant in self.unseen if grant.number > seen]
        self.classes = {}
        for entry in message.entries:
            if entry.n_waiting > 0:
                key = DemandClass(*entry[:5])
                wait_s = entry.oldest_wait_ms / 1000
                demand = ClassDemand(self.address, key, entry.n_waiting, wait_s, now)
                self.classes[key] = demand
        self.count_unseen()

    def count_unseen(self):
        """Set the number of unseen grants of each class."""
        for demand in self.classes.values():
            demand.n_unseen = 0
        for grant in self.unseen:
            demand = self.classes.get(grant.demand_class)
            if demand is not None:
                demand.n_unseen += 1

    def add_grant(self, demand_class, now):
        """Number a grant and subtract it.

        :returns: number of the grant.
        """
        self.last_number += 1
        self.unseen.append(SentGrant(self.last_number, demand_class, now))
        self.classes[demand_class].n_unseen += 1
        workspace = demand_class.workspace
        self.n_granted[workspace] = self.n_granted.get(workspace, 0) + 1
        return self.last_number

    def drop_lost(self, now):
        """Drop grants that were not confirmed in time.

        :returns: list of the grants.
        """
        lost = [
            grant for grant in self.unseen if now - grant.sent_at >= GRANT_LIFETIME_S
        ]
        if lost:
            self.unseen = self.unseen[len(lost) :]
            self.count_unseen()
        return lost


class DemandTable:
    """Demand of all routers for one pool.

    :param grantor: incarnation of this dispatcher.
    """

    def __init__(self, grantor):
        self.grantor = grantor
        self.routers = {}
        self.by_workspace = {}

    def take(self, sender, message, now):
        """Take a demand unless a newer one of that router is known.

        :returns: whether it was taken.
        """
        router = self.routers.get(sender.name)
        if router is not None and sender.incarnation < router.incarnation:
            return False
        if router is None:
            # This process may have forgotten the router, but not the other way round.
            seen = message.grants_seen if message.grantor == self.grantor else 0
            router = RouterDemand(sender.name, sender.incarnation, seen)
        elif sender.incarnation > router.incarnation:
            # Numbers go on, so that a late grant to the old process is not confirmed
            # in place of a new one.
            last_number = router.last_number
            self.remove_classes(router)
            router = RouterDemand(sender.name, sender.incarnation, last_number)
        elif message.sequence <= router.sequence:
            return False
        self.remove_classes(router)
        self.routers[sender.name] = router
        router.replace(message, self.grantor, now)
        for key, demand in router.classes.items():
            self.by_workspace.setdefault(key.workspace, {})[router.address, key] = (
                demand
            )
        return True

    def remove_classes(self, router):
        """Remove a router's classes from the index."""
        for key in router.classes:
            classes = self.by_workspace[key.workspace]
            del classes[router.address, key]
            if not classes:
                del self.by_workspace[key.workspace]

    def drop_silent(self, now):
        """Drop the demand of silent routers.

        :returns: list of pairs of router and its waiting requests.
        """
        silent = []
        for address, router in list(self.routers.items()):
            age = now - router.heard_at
            if router.classes and age >= ROUTER_SILENCE_TIMEOUT_S:
                n_waiting = sum(item.n_waiting for item in router.classes.values())
                silent.append((router, n_waiting))
                self.remove_classes(router)
                router.classes = {}
            if age >= FORGET_ROUTER_AFTER_S:
                del self.routers[address]
        return silent

    def drop_lost(self, now):
        """Drop lost grants of all routers.

        :returns: list of pairs of router and list of :class:`SentGrant`.
        """
        lost = [(router, router.drop_lost(now)) for router in self.routers.values()]
        return [(router, grants) for router, grants in lost if grants]

    def list_open(self, workspace):
        """Return the classes of a workspace that have requests without a grant."""
        classes = self.by_workspace.get(workspace, {})
        return [demand for demand in classes.values() if demand.n_open > 0]

    def list_backlogged(self):
        """Return the workspaces that have requests without a grant."""
        return [
            workspace
            for workspace, classes in self.by_workspace.items()
            if any(demand.n_open > 0 for demand in classes.values())
        ]

    def count_open(self, workspace):
        """Return the number of requests of a workspace without a grant."""
        classes = self.by_workspace.get(workspace, {})
        return sum(demand.n_open for demand in classes.values())

    def list_heard(self, now, timeout_s):
        """Return addresses of the routers heard within a time, sorted."""
        return sorted(
            address
            for address, router in self.routers.items()
            if now - router.heard_at <= timeout_s
        )
