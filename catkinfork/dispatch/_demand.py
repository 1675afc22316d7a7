"""Waiting requests of the routers, less grants that they have not confirmed yet."""

from typing import NamedTuple

# A grant not confirmed within this time counts as lost; its ticket has expired.
GRANT_CONFIRM_TIMEOUT_S = 1.5
# Routers send their demand at least every 0.5 s. A router that has missed two messages
# gets no grants, because a place granted to a dead router stays unused for a second.
ROUTER_SILENCE_TIMEOUT_S = 1.2
ROUTER_RETENTION_S = 30.0


class DemandClass(NamedTuple):
    """Attributes shared by the requests of a class, ordered as in ``DemandEntry``."""

    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes


class SentGrant(NamedTuple):
    """Grant that the router's demand does not reflect yet."""

    number: int
    demand_class: DemandClass
    sent_at: float


class ClassDemand:
    """Waiting requests of one class at one router.

    :param router: internal address of the router.
    :param demand_class: :class:`DemandClass`.
    :param n_waiting: number of waiting requests that the router reported.
    :param oldest_wait_s: age in seconds of the oldest request at ``arrived_at``.
    :param arrived_at: time at which the message arrived, monotonic seconds.
    """

    __slots__ = (
        "arrived_at",
        "demand_class",
        "n_unconfirmed",
        "n_waiting",
        "oldest_wait_s",
        "router",
    )

    def __init__(self, router, demand_class, n_waiting, oldest_wait_s, arrived_at):
        self.router = router
        self.demand_class = demand_class
        self.n_waiting = n_waiting
        self.oldest_wait_s = oldest_wait_s
        self.arrived_at = arrived_at
        self.n_unconfirmed = 0

    @property
    def n_open(self):
        """Number of waiting requests without a grant."""
        return max(0, self.n_waiting - self.n_unconfirmed)

    def estimate_wait(self, now):
        """Return the estimated age in seconds of the oldest request without a grant.

        Assumes that the arrivals of the waiting requests are evenly spaced.
        """
        age = self.oldest_wait_s + now - self.arrived_at
        return age * self.n_open / self.n_waiting


class WorkspaceDemand:
    """Waiting requests of one workspace at all routers."""

    def __init__(self):
        self.classes = {}
        self.n_open = 0
        self.n_open_by_kind = {}

    def record_open(self, demand, n_open):
        """Add a change, which may be negative, to the number of open requests."""
        if n_open == 0:
            return
        kind = (demand.demand_class.target, demand.demand_class.required)
        n_total = self.n_open_by_kind.get(kind, 0) + n_open
        if n_total > 0:
            self.n_open_by_kind[kind] = n_total
        else:
            del self.n_open_by_kind[kind]
        self.n_open += n_open

    def list_open_classes(self):
        """Return the classes that have requests without a grant."""
        return [demand for demand in self.classes.values() if demand.n_open > 0]


class RouterDemand:
    """Demand of one router, and the grants sent to it.

    :param address: internal address of the router.
    :param incarnation: incarnation of the router.
    :param last_grant_number: number of the last grant to this router.
    """

    def __init__(self, address, incarnation, last_grant_number):
        self.address = address
        self.incarnation = incarnation
        self.last_grant_number = last_grant_number
        self.sequence = -1
        self.heard_at = 0.0
        self.classes = {}
        self.unconfirmed = []
        self.n_granted = {}


class DemandTable:
    """Demand of all routers for one pool.

    ``changed`` holds the workspaces whose demand has changed since it was last cleared.

    :param grantor: incarnation of this dispatcher.
    """

    def __init__(self, grantor):
        self.grantor = grantor
        self.routers = {}
        self.workspaces = {}
        self.changed = set()

    def handle_demand(self, sender, message, now):
        """Apply a router's demand unless a newer one is known.

        :returns: whether the demand was applied.
        """
        router = self.routers.get(sender.name)
        if router is None:
            # This process may have removed the router's state while the router still
            # knows its grant numbers, so numbering continues from there.
            seen = message.grants_seen if message.grantor == self.grantor else 0
            router = RouterDemand(sender.name, sender.incarnation, seen)
        elif sender.incarnation > router.incarnation:
            # Numbering continues, so that a late grant to the old incarnation is not
            # confirmed in place of a new one.
            self.remove_classes(router)
            router = RouterDemand(
                sender.name, sender.incarnation, router.last_grant_number
            )
        elif (sender.incarnation, message.sequence) <= (
            router.incarnation,
            router.sequence,
        ):
            return False
        self.routers[sender.name] = router
        self.replace_classes(router, message, now)
        return True

    def replace_classes(self, router, message, now):
        """Replace a router's classes with those of a message."""
        router.sequence = message.sequence
        router.heard_at = now
        if message.grantor == self.grantor:
            seen = message.grants_seen
            router.unconfirmed = [
                grant for grant in router.unconfirmed if grant.number > seen
            ]
        self.remove_classes(router)
        for entry in message.entries:
            if entry.n_waiting > 0:
                key = DemandClass(*entry[:5])
                wait_s = entry.oldest_wait_ms / 1000
                demand = ClassDemand(router.address, key, entry.n_waiting, wait_s, now)
                router.classes[key] = demand
        for grant in router.unconfirmed:
            if grant.demand_class in router.classes:
                router.classes[grant.demand_class].n_unconfirmed += 1
        for key, demand in router.classes.items():
            workspace = self.workspaces.setdefault(key.workspace, WorkspaceDemand())
            workspace.classes[router.address, key] = demand
            workspace.record_open(demand, demand.n_open)
            self.changed.add(key.workspace)

    def remove_classes(self, router):
        """Remove all classes of a router."""
        for key, demand in router.classes.items():
            workspace = self.workspaces[key.workspace]
            workspace.record_open(demand, -demand.n_open)
            del workspace.classes[router.address, key]
            if not workspace.classes:
                del self.workspaces[key.workspace]
            self.changed.add(key.workspace)
        router.classes = {}

    def add_grant(self, demand, now):
        """Add a grant for a class and subtract it from the open requests.

        :param demand: :class:`ClassDemand` with an open request.
        :returns: number of the grant.
        """
        key = demand.demand_class
        router = self.routers[demand.router]
        router.last_grant_number += 1
        router.unconfirmed.append(SentGrant(router.last_grant_number, key, now))
        router.n_granted[key.workspace] = router.n_granted.get(key.workspace, 0) + 1
        demand.n_unconfirmed += 1
        self.workspaces[key.workspace].record_open(demand, -1)
        self.changed.add(key.workspace)
        return router.last_grant_number

    def remove_expired_grants(self, now):
        """Remove grants that their router has not confirmed in time.

        :returns: list of pairs of router and list of :class:`SentGrant`.
        """
        lost = []
        for router in self.routers.values():
            oldest = now - GRANT_CONFIRM_TIMEOUT_S
            grants = [grant for grant in router.unconfirmed if grant.sent_at <= oldest]
            if grants:
                router.unconfirmed = router.unconfirmed[len(grants) :]
                self.restore_requests(router, grants)
                lost.append((router, grants))
        return lost

    def restore_requests(self, router, grants):
        """Count the requests of lost grants as open again."""
        for grant in grants:
            demand = router.classes.get(grant.demand_class)
            if demand is None:
                continue
            n_open = demand.n_open
            demand.n_unconfirmed -= 1
            workspace = self.workspaces[grant.demand_class.workspace]
            workspace.record_open(demand, demand.n_open - n_open)
            self.changed.add(grant.demand_class.workspace)

    def remove_silent(self, now):
        """Remove the demand of silent routers, and routers past the retention time.

        :returns: list of pairs of router and its number of waiting requests.
        """
        silent = []
        for address, router in list(self.routers.items()):
            age = now - router.heard_at
            if router.classes and age >= ROUTER_SILENCE_TIMEOUT_S:
                n_waiting = sum(item.n_waiting for item in router.classes.values())
                silent.append((router, n_waiting))
                self.remove_classes(router)
            if age >= ROUTER_RETENTION_S:
                del self.routers[address]
        return silent

    def find_demand(self, router, demand_class):
        """Return the demand of a class at a router, or None."""
        workspace = self.workspaces.get(demand_class.workspace)
        if workspace is None:
            return None
        return workspace.classes.get((router, demand_class))

    def list_open_classes(self, workspace):
        """Return the classes of a workspace that have requests without a grant."""
        demand = self.workspaces.get(workspace)
        return demand.list_open_classes() if demand else []

    def count_open(self, workspace):
        """Return the number of requests of a workspace without a grant."""
        demand = self.workspaces.get(workspace)
        return demand.n_open if demand else 0

    def list_open_kinds(self, workspace):
        """Return pairs of target and required server with requests without a grant."""
        demand = self.workspaces.get(workspace)
        return demand.n_open_by_kind.keys() if demand else ()

    def list_backlogged(self):
        """Return the workspaces that have requests without a grant."""
        return [name for name, demand in self.workspaces.items() if demand.n_open > 0]

    def list_router_workspaces(self, address):
        """Return the workspaces that wait or have unconfirmed grants at a router."""
        router = self.routers[address]
        waiting = {key.workspace for key in router.classes}
        return waiting | {grant.demand_class.workspace for grant in router.unconfirmed}

    def list_recent_routers(self, now, timeout_s):
        """Return sorted addresses of the routers heard from within a timeout."""
        return sorted(
            address
            for address, router in self.routers.items()
            if now - router.heard_at <= timeout_s
        )
