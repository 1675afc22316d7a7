"""Matching of waiting requests with open tickets in fair order."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

# Prevents starvation: a class that other classes of its workspace have overtaken this
# often gets the next ticket that it can use, even if its workspace is up to the cost of
# one largest request ahead in the fair order.
MAX_OVERTAKES = 8
# A grant entry takes about 150 bytes and a control frame holds 64 KiB. Further grants
# of a round are deferred to the next message or tick.
MAX_GRANTS_PER_MESSAGE = 200

SMALLEST_COUNTER = "smallest_counter"
ONLY_CANDIDATE = "only_candidate"
OVERTAKEN = "overtaken"


class Match(NamedTuple):
    """Assignment of a ticket to a class of waiting requests.

    :param demand: :class:`ClassDemand`.
    :param agent: :class:`AgentState`.
    :param ticket: ticket number.
    :param reason: ``smallest_counter``, ``only_candidate`` or ``overtaken``.
    :param placement: ``required``, ``preferred``, ``free`` or ``staged``.
    :param next_counter: smallest counter of the other backlogged workspaces, None if
        there is none.
    :param n_candidates: number of backlogged workspaces considered.
    """

    demand: object
    agent: object
    ticket: int
    reason: str
    placement: str
    next_counter: float | None
    n_candidates: int


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
        self.n_grants = {}
        self.has_deferred_grants = False

    def run(self, commit):
        """Match until no open ticket can serve a waiting request.

        :param commit: callback that charges a :class:`Match` and subtracts it from the
            demand.
        """
        get_value = self.counters.get_value
        names = self.demand.list_backlogged()
        self.heap = [(get_value(workspace), workspace) for workspace in names]
        heapify(self.heap)
        while self.heap and self.servers.tickets:
            found = self.find_overtaken()
            if found is not None:
                self.commit_match(found, OVERTAKEN, commit)
                continue
            counter, workspace = heappop(self.heap)
            if counter != get_value(workspace):
                heappush(self.heap, (get_value(workspace), workspace))
                continue
            found = self.find_class(workspace)
            if found is not None:
                self.commit_match(found, SMALLEST_COUNTER, commit)
                heappush(self.heap, (get_value(workspace), workspace))

    def list_classes(self, workspace):
        """Return the open classes of a workspace whose router can get more grants."""
        return [
            demand
            for demand in self.demand.list_open_classes(workspace)
            if not self.is_full(demand.router)
        ]

    def is_full(self, router):
        """Return whether the grant message to a router is full.

        If so, the round is marked as having deferred grants.
        """
        if self.n_grants.get(router, 0) < MAX_GRANTS_PER_MESSAGE:
            return False
        self.has_deferred_grants = True
        return True

    def find_class(self, workspace):
        """Return the next class of a workspace that can be served, or None.

        Counts an overtake of the first class in order if another one is returned.
        """
        ranked = sorted(self.list_classes(workspace), key=self.compute_sort_key)
        for demand in ranked:
            if self.servers.list_servers(demand.demand_class):
                if demand is not ranked[0]:
                    entry = (ranked[0].router, ranked[0].demand_class)
                    self.overtaken[entry] = self.overtaken.get(entry, 0) + 1
                return demand
        return None

    def compute_sort_key(self, demand):
        """Return the sort key of a class within its workspace.

        Classes with the longest wait go first, then routers with the fewest grants.
        """
        router = self.demand.routers[demand.router]
        n_granted = router.n_granted.get(demand.demand_class.workspace, 0)
        wait_s = demand.estimate_wait(self.now)
        return (-wait_s, n_granted, demand.router, demand.demand_class)

    def find_overtaken(self):
        """Return a servable class that has reached the overtake limit, or None."""
        for (router, key), n_overtaken in self.overtaken.items():
            if n_overtaken < MAX_OVERTAKES or self.is_full(router):
                continue
            demand = self.demand.find_demand(router, key)
            if demand is None or demand.n_open == 0:
                continue
            if self.servers.list_servers(key) and self.is_within_slack(key.workspace):
                return demand
        return None

    def is_within_slack(self, workspace):
        """Return whether a counter is within one largest request of the smallest."""
        smallest = min(self.counters.get_value(name) for _, name in self.heap)
        slack = self.max_cost / self.counters.get_share(workspace)
        return self.counters.get_value(workspace) <= smallest + slack

    def commit_match(self, demand, reason, commit):
        """Choose a server for a class, then build and commit the match."""
        key = demand.demand_class
        names = self.servers.list_servers(key)
        name = self.servers.choose_server(names, key.preferred)
        others = [value for value, other in self.heap[:3] if other != key.workspace]
        if reason == SMALLEST_COUNTER and not others:
            reason = ONLY_CANDIDATE
        agent = self.servers.agents[name]
        ticket = self.servers.tickets[name][-1]
        placement = describe_placement(key, agent)
        next_counter = min(others, default=None)
        n_candidates = 1 + len(self.heap) - (reason == OVERTAKEN)
        match = Match(
            demand, agent, ticket, reason, placement, next_counter, n_candidates
        )
        commit(match)
        self.servers.take_ticket(name, key.suspect)
        self.overtaken.pop((demand.router, key), None)
        self.n_grants[demand.router] = self.n_grants.get(demand.router, 0) + 1


def describe_placement(demand_class, agent):
    """Return how a place at this agent's server relates to the class."""
    if demand_class.required:
        return "required"
    if agent.n_free_places <= 0:
        return "staged"
    return "preferred" if demand_class.preferred == agent.name else "free"
