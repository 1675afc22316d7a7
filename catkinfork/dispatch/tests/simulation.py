"""Simulation of a small fleet: fake routers and agents with real dispatchers.

Time advances in steps. Messages can be lost, duplicated, delayed and reordered.
"""

from collections import Counter, deque

from catkinfork.dispatch import Dispatcher
from catkinfork.dispatch.tests.builders import MAX_COST, POOL, list_grants
from catkinfork.protocol import (
    AgentReport,
    Delivered,
    Demand,
    DemandEntry,
    Grant,
    GrantEntry,
    PoolSummary,
    Send,
    Sender,
    Ticket,
)

STEP_S = 0.005


class FakeAgent:
    """Agent with places, tickets and totals; it delivers a unit per millisecond."""

    def __init__(self, server, incarnation, fleet):
        self.server, self.fleet = server, fleet
        self.sender = Sender(f"{server}:7100", incarnation)
        self.n_places = 4
        self.tickets, self.running, self.totals = {}, [], {}
        self.n_issued = self.sequence = 0
        self.reported = None

    def start(self, ticket, workspace, now):
        """Start a request on a ticket; return False if the ticket is invalid."""
        if now - self.tickets.pop(ticket, -9.0) >= 1.0:
            return False
        cost = self.fleet.rng.randint(*self.fleet.costs.get(workspace, (1, MAX_COST)))
        self.running.append([workspace, 0, cost])
        return True

    def step(self, now):
        """Deliver service, renew tickets and return a report if one is due."""
        totals = {}
        for request in self.running:
            units = min(round(STEP_S * 1000), request[2] - request[1])
            request[1] += units
            self.record_delivered(request[0], units, int(request[1] == request[2]))
        self.running = [item for item in self.running if item[1] < item[2]]
        for workspace, (units, n_finished) in self.totals.items():
            in_flight_units = [item[1] for item in self.running if item[0] == workspace]
            totals[workspace] = (
                workspace,
                units,
                len(in_flight_units),
                n_finished,
                sum(in_flight_units),
            )
        self.tickets = {n: at for n, at in self.tickets.items() if now - at < 1.0}
        while len(self.running) + len(self.tickets) < self.n_places:
            self.n_issued += 1
            self.tickets[self.n_issued] = now
        state = (tuple(self.tickets), len(self.running))
        if state == self.reported and round(now / STEP_S) % 50:
            return None
        self.reported = state
        self.sequence += 1
        tickets = [Ticket(n, int((now - at) * 1000)) for n, at in self.tickets.items()]
        delivered = [Delivered(*item) for item in totals.values()]
        values = (self.n_places, len(self.running), b"", tickets, delivered, True, [])
        return AgentReport(self.server, POOL, self.sequence, "warm", *values)

    def record_delivered(self, workspace, units, n_finished):
        """Add delivered service to the totals of the agent and of the fleet."""
        old = self.totals.get(workspace, (0, 0))
        self.totals[workspace] = (old[0] + units, old[1] + n_finished)
        self.fleet.delivered[workspace] += units


class FakeRouter:
    """Router with a queue of waiting requests for each workspace."""

    def __init__(self, name, incarnation):
        self.sender = Sender(name, incarnation)
        self.queues, self.seen, self.sent = {}, {}, {}
        self.sequence = 0

    def make_demand(self, dispatcher, now):
        """Return the demand for a dispatcher if it has changed or is due."""
        entries = [
            DemandEntry(
                name, "m", "", "", b"", len(queue), int((now - queue[0]) * 1000)
            )
            for name, queue in self.queues.items()
            if queue
        ]
        seen = self.seen.get(dispatcher, (0, 0))
        state = (seen, [entry[:6] for entry in entries])
        if self.sent.get(dispatcher) == state and round(now / STEP_S) % 50:
            return None
        self.sent[dispatcher] = state
        self.sequence += 1
        return Demand(POOL, self.sequence, seen[1], seen[0], entries)

    def handle_grant(self, sender, grant):
        """Return the new grant entries that have a waiting request."""
        used = []
        for entry in grant.entries:
            incarnation, number = self.seen.get(sender.name, (0, 0))
            number = number if incarnation == sender.incarnation else 0
            if entry.number <= number or not self.queues.get(entry.workspace):
                continue
            self.seen[sender.name] = (sender.incarnation, entry.number)
            self.queues[entry.workspace].popleft()
            used.append(entry)
        return used


class SimulatedFleet:
    """Fleet under simulation.

    :param backlog: mapping from workspace to its constant number of waiting requests
        at each router.
    """

    def __init__(self, view, rng, names, backlog, **faults):
        self.view, self.rng, self.backlog = view, rng, backlog
        self.faults = {"loss": 0.0, "doubling": 0.0, "delay_s": 0.002, "mix": False}
        self.faults |= faults
        self.costs = {}
        self.arrivals = Counter()
        (
            self.now,
            self.n_incarnations,
            self.n_duplicate_grants,
            self.n_out_of_service_grants,
        ) = 0.0, 0, 0, 0
        self.network, self.granted, self.delivered = deque(), set(), Counter()
        self.busy_steps = self.n_steps = 0
        self.dispatchers, self.agents, self.routers = {}, {}, {}
        self.report_to = {}
        for name in names:
            self.restart_router(name)
        for server in view.backend_servers:
            self.restart_agent(server)

    def allocate_incarnation(self):
        """Return a new incarnation."""
        self.n_incarnations += 1
        return self.n_incarnations

    def restart_agent(self, server):
        """Start an agent with empty state."""
        agent = FakeAgent(server, self.allocate_incarnation(), self)
        self.agents[agent.sender.name] = agent
        self.report_to.setdefault(agent.sender.name, next(iter(self.routers)))

    def restart_router(self, name):
        """Start a router and its dispatcher with empty state."""
        self.routers[name] = FakeRouter(name, self.allocate_incarnation())
        identity = self.routers[name].sender
        self.dispatchers[name] = Dispatcher(POOL, identity, self.rng)
        self.dispatchers[name].adopt(self.view, self.now)

    def adopt(self, view):
        """Apply a document at all dispatchers."""
        self.view = view
        for name, dispatcher in self.dispatchers.items():
            self.handle_actions(
                self.routers[name].sender, dispatcher.adopt(view, self.now)
            )

    def send(self, sender, destination, message):
        """Queue a message on the network, unless it is lost."""
        n_copies = 1 + (self.rng.random() < self.faults["doubling"])
        if self.rng.random() < self.faults["loss"]:
            return
        link = (sender.name, destination)
        for _ in range(n_copies):
            due = self.now + self.rng.random() * self.faults["delay_s"]
            if not self.faults["mix"]:
                due = max(due, self.arrivals[link])
            self.arrivals[link] = due
            self.network.append((due, sender, destination, message))

    def step(self):
        """Advance the simulation by one step."""
        self.now += STEP_S
        due = [item for item in self.network if item[0] <= self.now]
        self.network = deque(item for item in self.network if item[0] > self.now)
        for _, sender, destination, message in sorted(due, key=lambda item: item[0]):
            self.deliver(sender, destination, message)
        for name, dispatcher in self.dispatchers.items():
            self.handle_actions(self.routers[name].sender, dispatcher.tick(self.now))
        for agent in self.agents.values():
            report = agent.step(self.now)
            if report is not None:
                self.send(agent.sender, self.report_to[agent.sender.name], report)
        for router in self.routers.values():
            self.refill_queues(router)
            for dispatcher in self.dispatchers:
                message = router.make_demand(dispatcher, self.now)
                if message is not None:
                    self.send(router.sender, dispatcher, message)
        self.n_steps += 1
        self.busy_steps += sum(len(agent.running) for agent in self.agents.values())

    def refill_queues(self, router):
        """Refill the queues of a router up to the backlog."""
        for workspace, n_waiting in self.backlog.items():
            queue = router.queues.setdefault(workspace, deque())
            queue.extend([self.now] * (n_waiting - len(queue)))

    def deliver(self, sender, destination, message):
        """Deliver a message to its destination."""
        if isinstance(message, GrantEntry):
            agent = self.agents[destination]
            if agent.sender.incarnation == message.agent_incarnation:
                agent.start(message.ticket, message.workspace, self.now)
        elif isinstance(message, Grant):
            for entry in self.routers[destination].handle_grant(sender, message):
                self.send(sender, entry.agent, entry)
        elif isinstance(message, PoolSummary):
            self.dispatchers[destination].record_summary(message, self.now)
        elif destination in self.dispatchers:
            dispatcher = self.dispatchers[destination]
            identity = self.routers[destination].sender
            self.handle_actions(identity, dispatcher.handle(sender, message, self.now))

    def handle_actions(self, identity, actions):
        """Send the messages of a dispatcher and count invalid grants.

        These are tickets granted twice and grants at servers out of service.
        """
        for _, entry in list_grants(actions):
            key = (identity, entry.agent, entry.agent_incarnation, entry.ticket)
            self.n_duplicate_grants += key in self.granted
            self.n_out_of_service_grants += not self.view.is_in_service(
                entry.backend_server
            )
            self.granted.add(key)
        for action in actions:
            if isinstance(action, Send) and action.destination in self.routers:
                self.send(identity, *action)

    def measure_utilisation(self):
        """Return the average fraction of places in use."""
        n_places = sum(agent.n_places for agent in self.agents.values())
        return self.busy_steps / self.n_steps / n_places

    def count_violations(self):
        """Return the number of fairness violations that dispatchers detected."""
        return sum(item.n_violations for item in self.dispatchers.values())
