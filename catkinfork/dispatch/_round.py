"""Grants that follow from one message or tick."""

from catkinfork.dispatch._events import BOUND_EXCEEDED, GRANT_SENT
from catkinfork.dispatch._matching import Matcher, OpenServers
from catkinfork.fairness import FairnessError
from catkinfork.observability import log_event
from catkinfork.protocol import Grant, GrantEntry, Send


class GrantRound:
    """The grants that follow from one message or tick.

    :param dispatcher: :class:`Dispatcher`.
    :param now: monotonic time in seconds.
    """

    def __init__(self, dispatcher, now):
        self.dispatcher = dispatcher
        self.now = now
        self.servers = None
        self.entries = {}
        self.events = []

    def run(self):
        """Match, charge and subtract."""
        owner = self.dispatcher
        suspects = owner.suspects.list_blocked(self.now)
        for agent in owner.agents.agents.values():
            suspects += agent.list_suspects()
        agents = owner.list_granting(self.now)
        self.servers = OpenServers(agents, owner.view, suspects, owner.rng, self.now)
        max_cost = owner.estimates.max_cost
        matcher = Matcher(
            owner.demand,
            self.servers,
            owner.counters,
            owner.overtaken,
            max_cost,
            self.now,
        )
        matcher.run(self.commit)

    def commit(self, match):
        """Charge a match, subtract it from the demand and note the grant."""
        owner = self.dispatcher
        demand_class = match.demand.demand_class
        workspace = demand_class.workspace
        self.check(match)
        wait_ms = round(match.demand.estimate_wait(self.now) * 1000)
        owner.order.note_grant(workspace, match.agent.name)
        owner.rates.note_grant(workspace, self.now)
        estimate = owner.charges.open_grant(match.agent, workspace, match.ticket)
        match.agent.grant(match.ticket, demand_class.suspect)
        router = owner.demand.routers[match.demand.router]
        number = router.add_grant(demand_class, self.now)
        entry = GrantEntry(
            number,
            match.ticket,
            match.agent.name,
            match.agent.address,
            match.agent.incarnation,
            *demand_class,
        )
        self.entries.setdefault(router.address, []).append(entry)
        event = log_event(
            GRANT_SENT,
            pool=owner.pool,
            workspace=workspace,
            target=demand_class.target,
            backend_server=match.agent.name,
            router=router.address,
            number=number,
            ticket=match.ticket,
            reason=match.reason,
            placement=match.placement,
            counter=match.counter,
            next_counter=match.next_counter,
            estimate=estimate,
            wait_ms=wait_ms,
            n_waiting=match.demand.n_open,
            n_candidates=match.n_candidates,
        )
        self.events.append(event)

    def check(self, match):
        """Check the fair order and the bound before a grant.

        A violation is logged and does not stop the service.
        """
        owner = self.dispatcher
        workspace = match.demand.demand_class.workspace
        allowed = 0.0
        if match.reason == "overtaken":
            allowed = owner.estimates.max_cost / owner.counters.share_of(workspace)
        try:
            owner.order.check_grant(
                workspace,
                match.agent.name,
                allowed,
                lambda other: self.can_use(other, match.agent.name),
            )
            owner.order.check_bound(workspace, owner.compute_terms())
        except FairnessError as error:
            owner.n_violations += 1
            event = log_event(
                BOUND_EXCEEDED,
                pool=owner.pool,
                error=type(error).__name__,
                detail=str(error),
            )
            self.events.append(event)

    def can_use(self, workspace, server):
        """Return whether a workspace has a request that a server could take now."""
        return any(
            server in self.servers.list_servers(demand.demand_class)
            for demand in self.dispatcher.demand.list_open(workspace)
        )

    def list_actions(self):
        """Return the log events and one :class:`Grant` for each router."""
        pool = self.dispatcher.pool
        grants = [
            Send(router, Grant(pool, entries))
            for router, entries in self.entries.items()
        ]
        return [*grants, *self.events]
