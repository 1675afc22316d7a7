"""Matching of waiting requests with open tickets in fair order."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

# A class that others of its workspace have overtaken this often takes the next ticket
# that it can use, within one largest request of the fair order.
MAX_OVERTAKEN = 8


class Match(NamedTuple):
    """A ticket for a class.

    :param demand: :class:`ClassDemand`.
    :param agent: :class:`AgentState`.
    :param ticket: ticket number.
    :param reason: ``smallest_counter``, ``only_candidate`` or ``overtaken``.
    :param placement: ``required``, ``preferred``, ``free`` or ``staged``.
    :param counter: counter of the workspace before the charge.
    :param next_counter: smallest counter of the other candidates, else the same.
    :param n_candidates: workspaces that were considered.
    """

    demand: object
    agent: object
    ticket: int
    reason: str
    placement: str
    counter: float
    next_counter: float
    n_candidates: int


class OpenServers:
    """Backend servers with open tickets.

    :param agents: the :class:`AgentState` of live agents that may receive work.
    :param view: :class:`DocumentView` in force.
    :param suspects: fingerprints that must not start now: in flight or blocked.
    :param rng: random generator that chooses among equal servers.
    :param now: monotonic time in seconds.
    """

    def __init__(self, agents, view, suspects, rng, now):
        self.suspects = set(suspects)
        self.rng = rng
        self.agents = {}
        self.tickets = {}
        self.serves = {}
        self.by_target = {}
        for agent in agents:
            numbers = agent.list_open(now)
            if numbers:
                self.add(agent, numbers, view.backend_servers[agent.name].serves)

    def add(self, agent, numbers, serves):
        """Add an agent with its open tickets, youngest first."""
        self.agents[agent.name] = agent
        self.tickets[agent.name] = numbers
        self.serves[agent.name] = serves
        for target in serves:
            self.by_target.setdefault(target, set()).add(agent.name)

    def list_servers(self, demand_class):
        """Return names of servers that can take a request of a class now."""
        names = self.by_target.get(demand_class.target)
        if not names:
            return ()
        if demand_class.required:
            names = {demand_class.required} & names
        if demand_class.suspect:
            if demand_class.suspect in self.suspects:
                return ()
            return [name for name in names if not self.agents[name].list_suspects()]
        return names

    def choose(self, names, preferred):
        """Choose a server: a free place first, then the preferred one.

        Of the rest, a server that serves few targets goes first, so that the others
        stay open for requests that need them; then the one with most free places.
        """
        free = [name for name in names if self.agents[name].n_free > 0]
        candidates = free or names
        if preferred in candidates:
            return preferred
        return min(sorted(candidates), key=self.rank)

    def rank(self, name):
        """Return the sort key of a server; the smallest is chosen."""
        n_free = self.agents[name].n_free
        return (len(self.serves[name]), -n_free, self.rng.random())

    def take(self, name, suspect):
        """Take the youngest ticket of a server.

        :returns: ticket number.
        """
        numbers = self.tickets[name]
        number = numbers.pop(0)
        if suspect:
            self.suspects.add(suspect)
        if not numbers:
            del self.tickets[name]
            for target in self.serves[name]:
                self.by_target[target].discard(name)
        return number


class Matcher:
    """One round of matching.

    :param demand: :class:`DemandTable`.
    :param servers: :class:`OpenServers`.
    :param counters: :class:`ServiceCounters`.
    :param overtaken: mapping from (router, class) to the number of times that another
        class of its workspace has overtaken it; changed in place.
    :param max_cost: largest cost of a request in service units.
    :param now: monotonic time in seconds.
    """

    def __init__(self, demand, servers, counters, overtaken, max_cost, now):
        self.demand = demand
        self.servers = servers
        self.counters = counters
        self.overtaken = overtaken
        self.max_cost = max_cost
        self.now = now
        self.heap = []

    def run(self, commit):
        """Match until no open ticket can serve any waiting request.

        :param commit: function that takes a :class:`Match`, charges it and subtracts
            it from the demand.
        """
        if not self.servers.tickets:
            return
        self.heap = [
            (self.counters.value_of(workspace), workspace)
            for workspace in self.demand.list_backlogged()
        ]
        heapify(self.heap)
        while self.heap and self.servers.tickets:
            found = self.find_overtaken()
            if found is not None:
                self.match(found, "overtaken", commit)
                continue
            counter, workspace = heappop(self.heap)
            if counter != self.counters.value_of(workspace):
                heappush(self.heap, (self.counters.value_of(workspace), workspace))
                continue
            found = self.find_class(workspace)
            if found is not None:
                reason = "smallest_counter" if self.heap else "only_candidate"
                self.match(found, reason, commit)
                heappush(self.heap, (self.counters.value_of(workspace), workspace))

    def find_class(self, workspace):
        """Return the class of a workspace that goes next, or None."""
        best = oldest = None
        best_key = oldest_key = None
        for demand in self.demand.list_open(workspace):
            key = self.rank(demand)
            if oldest is None or key < oldest_key:
                oldest, oldest_key = demand, key
            if best is not None and key > best_key:
                continue
            if self.servers.list_servers(demand.demand_class):
                best, best_key = demand, key
        if best is not None and best is not oldest:
            entry = (oldest.router, oldest.demand_class)
            self.overtaken[entry] = self.overtaken.get(entry, 0) + 1
        return best

    def rank(self, demand):
        """Return the sort key of a class within its workspace.

        The oldest goes first, then the router with the fewest grants.
        """
        router = self.demand.routers[demand.router]
        n_granted = router.n_granted.get(demand.demand_class.workspace, 0)
        wait = -demand.estimate_wait(self.now)
        return (wait, n_granted, demand.router, demand.demand_class)

    def find_overtaken(self):
        """Return a class that was overtaken too often and can be served, or None."""
        for entry, n_overtaken in self.overtaken.items():
            if n_overtaken < MAX_OVERTAKEN:
                continue
            workspace = entry[1].workspace
            demand = self.demand.by_workspace.get(workspace, {}).get(entry)
            if demand is None or demand.n_open == 0:
                continue
            if self.servers.list_servers(entry[1]) and self.is_near(workspace):
                return demand
        return None

    def is_near(self, workspace):
        """Return whether a workspace is within a largest request of the smallest."""
        smallest = min(self.counters.value_of(name) for _, name in self.heap)
        slack = self.max_cost / self.counters.share_of(workspace)
        return self.counters.value_of(workspace) <= smallest + slack

    def match(self, demand, reason, commit):
        """Choose a server for a class and commit the match."""
        demand_class = demand.demand_class
        names = self.servers.list_servers(demand_class)
        name = self.servers.choose(names, demand_class.preferred)
        agent = self.servers.agents[name]
        counter = self.counters.value_of(demand_class.workspace)
        match = Match(
            demand,
            agent,
            self.servers.tickets[name][0],
            reason,
            self.describe_placement(demand_class, agent),
            counter,
            self.heap[0][0] if self.heap else counter,
            len(self.heap) + 1,
        )
        commit(match)
        self.servers.take(name, demand_class.suspect)
        self.overtaken.pop((demand.router, demand_class), None)

    def describe_placement(self, demand_class, agent):
        """Return why this server was chosen."""
        if demand_class.required:
            return "required"
        if agent.n_free <= 0:
            return "staged"
        return "preferred" if demand_class.preferred == agent.name else "free"
