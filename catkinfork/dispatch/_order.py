"""Fair order of the backlogged workspaces of a pool."""

from catkinfork.fairness import check_gap, check_order


class FairOrder:
    """Lifts workspaces that return from idle and checks order and bound of grants.

    :param counters: :class:`ServiceCounters`.
    """

    def __init__(self, counters):
        self.counters = counters
        self.usable = {}
        self.granted_at_server = {}
        # Workspaces that have won a place against the others since they returned.
        # Only their counters are within the bound of the others by construction.
        self.level = set()

    def update(self, usable, exempt=frozenset()):
        """Take the present backlog and lift the workspaces that are new in it.

        :param usable: mapping from backlogged workspace to the names of the backend
            servers that can serve some of its requests.
        :param exempt: workspaces that were backlogged at the previous dispatcher.
        :returns: list of pairs of workspace and lift.
        """
        returned = [name for name in usable if name not in self.usable]
        lifts = []
        if returned:
            floors = self.compute_floors()
            for workspace in returned:
                if workspace in exempt:
                    continue
                floor = self.find_floor(usable[workspace], floors)
                lift = 0.0 if floor is None else self.counters.lift(workspace, floor)
                if lift > 0:
                    lifts.append((workspace, lift))
        self.level.intersection_update(usable)
        self.level = {
            name for name in self.level if usable[name] == self.usable.get(name)
        }
        self.usable = usable
        return lifts

    def restart(self):
        """Forget the backlog: the counters are those of another dispatcher."""
        self.usable = {}
        self.granted_at_server = {}
        self.level = set()

    def compute_floors(self):
        """Return the smallest counter for each distinct set of usable servers."""
        floors = {}
        for workspace, servers in self.usable.items():
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
            elif server in self.granted_at_server:
                found.append(self.granted_at_server[server])
        return max(found, default=None)

    def note_grant(self, workspace, server):
        """Note a grant before its charge."""
        self.counters.note_grant(workspace)
        self.granted_at_server[server] = self.counters.value_of(workspace)
        self.level.add(workspace)

    def check_grant(self, workspace, server, allowed, can_use):
        """Check that a grant keeps the fair order.

        :param allowed: largest excess over a passed counter.
        :param can_use: function of a workspace that returns whether it has a request
            that the server could serve now.
        :raises FairOrderError: if a workspace with a smaller counter is passed over.
        """
        counter = self.counters.value_of(workspace)
        for other in self.usable:
            value = self.counters.value_of(other)
            if value < counter and other != workspace and can_use(other):
                check_order(workspace, counter, other, value, allowed)

    def check_bound(self, workspace, terms):
        """Check the gap between a workspace that is to be served and the others.

        :param terms: :class:`BoundTerms`.
        :raises FairnessBoundError: if one of them is ahead by more than the bound.
        """
        counter = self.counters.value_of(workspace)
        share = self.counters.share_of(workspace)
        for other in self.level:
            if self.usable[other] == self.usable.get(workspace):
                smaller = min(share, self.counters.share_of(other))
                value = self.counters.value_of(other)
                check_gap(other, value, workspace, counter, terms.compute(smaller))
