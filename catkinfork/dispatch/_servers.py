"""Backend servers of a pool: entries of the document, and open tickets."""


class PoolServers:
    """Backend servers of a pool in the current document.

    :param pool: pool name.
    :param view: :class:`DocumentView`.
    """

    def __init__(self, pool, view):
        self.entries = {entry.name: entry for entry in view.list_pool(pool)}
        self.in_service = {name for name in self.entries if view.is_in_service(name)}
        self.by_target = {}
        for name in self.in_service:
            for target in self.entries[name].serves:
                self.by_target.setdefault(target, set()).add(name)

    def list_usable(self, kinds):
        """Return names of the servers in service that can serve any of some kinds.

        :param kinds: pairs of target and required server; an empty required server
            stands for any.
        """
        usable = set()
        for target, required in kinds:
            names = self.by_target.get(target, frozenset())
            usable |= names & {required} if required else names
        return frozenset(usable)

    def is_eligible(self, agent):
        """Return whether an agent may receive grants.

        Its backend server must be in service, and the document must name the agent's
        address for that server.
        """
        entry = self.entries.get(agent.name)
        if entry is None or entry.agent != agent.address:
            return False
        return agent.name in self.in_service

    def count_places(self, agents):
        """Return the number of places and staged requests that the pool may have.

        :param agents: iterable of :class:`AgentState`.
        """
        n_reported = {agent.name: agent.n_capacity for agent in agents}
        return sum(
            max(entry.max_places, n_reported.get(name, 0))
            for name, entry in self.entries.items()
        )


class OpenServers:
    """Backend servers with open tickets.

    :param servers: :class:`PoolServers`.
    :param suspects: fingerprints that must not start because they are in flight or
        blocked; changed in place.
    :param rng: ``random.Random`` that breaks ties between servers.
    """

    def __init__(self, servers, suspects, rng):
        self.servers = servers
        self.suspects = suspects
        self.rng = rng
        self.agents = {}
        self.tickets = {}
        self.by_target = {}

    def add(self, agent, numbers):
        """Add an agent with its open tickets.

        :param numbers: ticket numbers, consumed from the end.
        """
        self.agents[agent.name] = agent
        self.tickets[agent.name] = numbers
        for target in self.get_targets(agent.name):
            self.by_target.setdefault(target, set()).add(agent.name)

    def get_targets(self, name):
        """Return the targets that a server serves."""
        return self.servers.entries[name].serves

    def list_servers(self, demand_class):
        """Return names of the servers that can accept a request of a class now."""
        names = self.by_target.get(demand_class.target)
        if not names:
            return ()
        if demand_class.required:
            names = names & {demand_class.required}
        if not demand_class.suspect:
            return names
        # At most one suspect per server and one server per suspect, because a caller
        # may send the crashing request many times at once.
        if demand_class.suspect in self.suspects:
            return ()
        return [name for name in names if not self.agents[name].list_suspects()]

    def choose_server(self, names, preferred):
        """Choose a server: those with a free place first, then the preferred one.

        Of the others, the server with the fewest targets goes first, so that the rest
        stay open for requests that need them, then the one with the most free places.
        """
        free = [name for name in names if self.agents[name].n_free_places > 0]
        candidates = free or names
        if preferred in candidates:
            return preferred
        return min(sorted(candidates), key=self.compute_sort_key)

    def compute_sort_key(self, name):
        """Return the sort key of a server; the smallest key is chosen."""
        n_free_places = self.agents[name].n_free_places
        return (len(self.get_targets(name)), -n_free_places, self.rng.random())

    def take_ticket(self, name, suspect):
        """Remove the next ticket of a server.

        :param suspect: fingerprint to exclude from further grants, empty for none.
        :returns: ticket number.
        """
        number = self.tickets[name].pop()
        if suspect:
            self.suspects.add(suspect)
        if not self.tickets[name]:
            del self.tickets[name]
            for target in self.get_targets(name):
                self.by_target[target].discard(name)
        return number
