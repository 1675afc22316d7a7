"""Round of grants that results from one message or tick."""

from catkinfork.dispatch._events import BOUND_EXCEEDED, GRANT_SENT
from catkinfork.dispatch._matching import OVERTAKEN, Matcher
from catkinfork.fairness import FairnessError
from catkinfork.observability import log_event
from catkinfork.protocol import Grant, GrantEntry, Send


class GrantRound:
    """Matches requests with tickets, commits the matches and collects messages.

    :param dispatcher: :class:`Dispatcher`.
    :param servers: :class:`OpenServers` with the tickets that may be granted.
    :param terms: :class:`BoundTerms`.
    :param now: monotonic time in seconds.
    """

    def __init__(self, dispatcher, servers, terms, now):
        self.dispatcher = dispatcher
        self.servers = servers
        self.terms = terms
        self.now = now
        self.matcher = Matcher(
            dispatcher.demand,
            servers,
            dispatcher.counters,
            dispatcher.overtaken,
            terms.max_cost,
            now,
        )
        self.entries = {}
        self.events = []

    @property
    def has_deferred_grants(self):
        """Whether grants were deferred to the next round."""
        return self.matcher.has_deferred_grants

    def run(self):
        """Grant the open tickets that can serve a waiting request.

        :returns: list of actions: one :class:`Grant` for each router, then log events.
        """
        self.matcher.run(self.commit)
        grants = [
            Send(router, Grant(self.dispatcher.pool, entries))
            for router, entries in self.entries.items()
        ]
        return [*grants, *self.events]

    def commit(self, match):
        """Charge a match, subtract it from the demand and add it to a message."""
        dispatcher = self.dispatcher
        agent = match.agent
        key = match.demand.demand_class
        self.check(match)
        counter = dispatcher.counters.get_value(key.workspace)
        wait_ms = round(match.demand.estimate_wait(self.now) * 1000)
        dispatcher.order.record_grant(key.workspace, agent.name)
        dispatcher.rates.record_grant(key.workspace, self.now)
        estimate = dispatcher.charges.open_grant(agent, key.workspace, match.ticket)
        agent.record_grant(match.ticket, key.suspect)
        number = dispatcher.demand.add_grant(match.demand, self.now)
        entry = GrantEntry(
            number, match.ticket, agent.name, agent.address, agent.incarnation, *key
        )
        self.entries.setdefault(match.demand.router, []).append(entry)
        event = log_event(
            GRANT_SENT,
            pool=dispatcher.pool,
            workspace=key.workspace,
            target=key.target,
            backend_server=agent.name,
            router=match.demand.router,
            number=number,
            ticket=match.ticket,
            reason=match.reason,
            placement=match.placement,
            counter=counter,
            next_counter=match.next_counter,
            estimate=estimate,
            wait_ms=wait_ms,
            n_waiting=match.demand.n_open,
            n_candidates=match.n_candidates,
        )
        self.events.append(event)

    def check(self, match):
        """Check the fair order and the fairness bound before a grant.

        A violation is logged as an error but the grant proceeds: stopping the
        dispatcher would leave every workspace worse off.
        """
        order = self.dispatcher.order
        workspace = match.demand.demand_class.workspace
        allowed_excess = 0.0
        if match.reason == OVERTAKEN:
            share = self.dispatcher.counters.get_share(workspace)
            allowed_excess = self.terms.max_cost / share
        try:
            order.check_grant(
                workspace,
                allowed_excess,
                lambda other: self.can_use(other, match.agent.name),
            )
            order.check_bound(workspace, self.terms)
        except FairnessError as error:
            self.dispatcher.n_violations += 1
            event = log_event(
                BOUND_EXCEEDED,
                pool=self.dispatcher.pool,
                error=type(error).__name__,
                detail=str(error),
            )
            self.events.append(event)

    def can_use(self, workspace, server):
        """Return whether a workspace has a request that a server could accept now."""
        return any(
            server in self.servers.list_servers(demand.demand_class)
            for demand in self.matcher.list_classes(workspace)
        )
