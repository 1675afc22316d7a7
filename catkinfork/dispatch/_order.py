"""Fair order of the backlogged workspaces of a pool."""

from catkinfork.fairness import check_gap, check_order


class FairOrder:
    """Lifts workspaces that return from idle and checks order and bound of grants.

    :param counters: :class:`ServiceCounters`.
    """

    def __init__(self, counters):
        self.counters = counters
        # Servers that each backlogged workspace can use.
        self.usable_servers = {}
        self.last_granted_counters = {}
        # Workspaces that have won a place since the last workspace that came without
        # a lift. Only their counters are within the bound of the others.
        self.comparable = set()

    def reset(self):
        """Forget the backlog: the counters are those of another dispatcher."""
        self.usable_servers = {}
        self.last_granted_counters = {}
        self.comparable = set()

    def update(self, changes, exempt=frozenset()):
        """Take changes of the backlog and lift the workspaces that are new in it.

        :param changes: mapping from workspace to the names of the backend servers that
            can serve some of its requests, None if it has no waiting request.
        :param exempt: workspaces that were backlogged at the previous dispatcher, which
            keep the counter that they had there.
        :returns: list of pairs of workspace and lift.
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
        """Let a workspace compete for servers with the counter that it has.

        The others are level with it only when they have won against it.
        """
        self.usable_servers[workspace] = servers
        self.comparable = {
            name for name in self.comparable if self.usable_servers[name] != servers
        }

    def lift(self, returned, changes):
        """Lift workspaces that return from idle to those that are backlogged."""
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
            value = self.counters.value_of(workspace)
            floors[servers] = min(value, floors.get(servers, value))
        return floors

    def find_floor(self, servers, floors):
        """Return the counter to which a returning workspace is lifted, or None.

        The workspace is to have no credit on any server that it can use, so the
        largest of the servers' smallest counters counts.
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
        """Note a grant before its charge."""
        self.last_granted_counters[server] = self.counters.value_of(workspace)
        self.comparable.add(workspace)

    def check_grant(self, workspace, allowed_excess, can_use):
        """Check that a grant keeps the fair order.

        :param allowed_excess: largest excess over a passed counter.
        :param can_use: function of a workspace that returns whether it has a request
            that the granted server could serve now.
        :raises FairOrderError: if a workspace with a smaller counter is passed over.
        """
        counter = self.counters.value_of(workspace)
        for other in self.usable_servers:
            value = self.counters.value_of(other)
            if value < counter and other != workspace and can_use(other):
                check_order(workspace, counter, other, value, allowed_excess)

    def check_bound(self, workspace, terms):
        """Check the gap between a workspace that is to be served and the others.

        :param terms: :class:`BoundTerms`.
        :raises FairnessBoundError: if one of them is ahead by more than the bound.
        """
        counter = self.counters.value_of(workspace)
        share = self.counters.share_of(workspace)
        servers = self.usable_servers[workspace]
        for other in self.comparable:
            if self.usable_servers[other] == servers:
                bound = terms.compute(min(share, self.counters.share_of(other)))
                value = self.counters.value_of(other)
                check_gap(other, value, workspace, counter, bound)
