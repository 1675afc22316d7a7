"""Fair order of the backlogged workspaces of a pool."""

from catkinfork.fairness import check_gap, check_order


class FairOrder:
    """Lifts workspaces that return from idle and checks grants for fairness.

    :param counters: :class:`ServiceCounters`.
    """

    def __init__(self, counters):
        self.counters = counters
        # Backlogged workspace -> names of the servers that it can use.
        self.usable_servers = {}
        self.last_granted_counters = {}
        # Workspaces that have received a grant since a workspace was last added
        # without a lift. Only their counters are covered by the fairness bound.
        self.comparable = set()

    def reset(self):
        """Clear the backlog after the counters of another dispatcher were loaded."""
        self.usable_servers = {}
        self.last_granted_counters = {}
        self.comparable = set()

    def update(self, changes, exempt=frozenset()):
        """Apply changes of the backlog and lift the workspaces that are new in it.

        :param changes: mapping from workspace to the names of the backend servers that
            can serve some of its requests, None if it has no waiting request.
        :param exempt: workspaces that were backlogged at the previous dispatcher, which
            keep the counter that they had there.
        :returns: list of pairs of workspace and lift in service units per share.
        """
        returned = []
        for workspace, servers in changes.items():
            before = self.usable_servers.get(workspace)
            if servers == before:
                continue
            self.comparable.discard(workspace)
            if servers is None:
                del self.usable_servers[workspace]
            elif before is None and workspace not in exempt:
                returned.append(workspace)
            else:
                self.add_unlifted(workspace, servers)
        lifts = self.lift(returned, changes)
        self.usable_servers.update((name, changes[name]) for name in returned)
        return lifts

    def add_unlifted(self, workspace, servers):
        """Add a workspace to the backlog with its counter unchanged.

        Other workspaces with the same servers are comparable to it only after they
        have received a grant in competition with it.
        """
        self.usable_servers[workspace] = servers
        self.comparable = {
            name for name in self.comparable if self.usable_servers[name] != servers
        }

    def lift(self, returned, changes):
        """Raise counters of returning workspaces to those of the backlogged ones."""
        lifts = []
        if not returned:
            return lifts
        floors = self.compute_floors()
        for workspace in returned:
            floor = self.find_floor(changes[workspace], floors)
            lift = 0.0 if floor is None else self.counters.lift(workspace, floor)
            if lift > 0:
                lifts.append((workspace, lift))
        return lifts

    def compute_floors(self):
        """Return the smallest counter for each distinct set of usable servers."""
        floors = {}
        for workspace, servers in self.usable_servers.items():
            value = self.counters.get_value(workspace)
            floors[servers] = min(value, floors.get(servers, value))
        return floors

    def find_floor(self, servers, floors):
        """Return the counter to which a returning workspace is lifted, or None.

        The workspace must not gain credit on any server that it can use, so the floor
        is the maximum of the servers' smallest counters.
        """
        found = []
        for server in servers:
            values = [value for names, value in floors.items() if server in names]
            if values:
                found.append(min(values))
            elif server in self.last_granted_counters:
                found.append(self.last_granted_counters[server])
        return max(found, default=None)

    def record_grant(self, workspace, server):
        """Record a grant; must be called before it is charged."""
        self.last_granted_counters[server] = self.counters.get_value(workspace)
        self.comparable.add(workspace)

    def check_grant(self, workspace, allowed_excess, can_use):
        """Check that a grant keeps the fair order.

        :param allowed_excess: largest excess over the counter of a workspace that is
            passed over, service units per share.
        :param can_use: predicate that returns whether a workspace has a request that
            the granted server could serve now.
        :raises FairOrderError: if a workspace with a smaller counter is passed over.
        """
        counter = self.counters.get_value(workspace)
        for other in self.usable_servers:
            value = self.counters.get_value(other)
            if value < counter and other != workspace and can_use(other):
                check_order(workspace, counter, other, value, allowed_excess)

    def check_bound(self, workspace, terms):
        """Check how far other workspaces are ahead of one that is about to be served.

        :param terms: :class:`BoundTerms`.
        :raises FairnessBoundError: if one of them is ahead by more than the bound.
        """
        counter = self.counters.get_value(workspace)
        share = self.counters.get_share(workspace)
        servers = self.usable_servers[workspace]
        for other in self.comparable:
            if self.usable_servers[other] == servers:
                bound = terms.compute(min(share, self.counters.get_share(other)))
                value = self.counters.get_value(other)
                check_gap(other, value, workspace, counter, bound)
