"""Dispatcher of a pool: assigns free places to waiting requests."""

from catkinfork.dispatch._agents import AGENT_SILENCE_TIMEOUT_S, AgentState, AgentTable
from catkinfork.dispatch._charges import Charges
from catkinfork.dispatch._demand import DemandTable
from catkinfork.dispatch._events import (
    AGENT_RESTARTED,
    AGENT_SILENT,
    DISPATCHER_ACTIVE,
    DISPATCHER_PASSIVE,
    FINGERPRINT_BLOCKED,
    GRANTS_UNSEEN,
    ROUTER_SILENT,
    WORKSPACE_LIFTED,
)
from catkinfork.dispatch._order import FairOrder
from catkinfork.dispatch._round import GrantRound
from catkinfork.dispatch._servers import OpenServers, PoolServers
from catkinfork.dispatch._summary import (
    ROUTER_LIVENESS_TIMEOUT_S,
    SUMMARY_INTERVAL_S,
    RateMeter,
    SummaryBuilder,
    filter_summary,
)
from catkinfork.dispatch._suspects import SuspectTable
from catkinfork.fairness import BoundTerms, CostEstimates, ServiceCounters
from catkinfork.observability import log_event
from catkinfork.protocol import AgentReport, BaseCore, Demand, ReportAck, Send

# Timeouts are 1 s and longer, so scanning for expired state on every tick would cost
# more than it gains.
SCAN_INTERVAL_S = 0.05
# Agents time a dispatcher out after 1.5 s without a message.
ACK_INTERVAL_S = 0.25
# For this long after a takeover, a workspace that was backlogged at the previous
# dispatcher counts as continuously backlogged even if its demand arrives late.
TAKEOVER_WINDOW_S = 1.5


class Dispatcher(BaseCore):
    """Assigns the free places of a pool to waiting requests in fair order.

    A dispatcher is passive until an agent reports to it. It holds soft state only:
    routers and agents resend theirs after a restart.

    :param pool: pool name.
    :param identity: :class:`Sender` of this process.
    :param rng: ``random.Random`` that breaks ties between servers.
    """

    def __init__(self, pool, identity, rng):
        self.pool = pool
        self.identity = identity
        self.rng = rng
        self.servers = None
        self.is_active = False
        self.active_at = 0.0
        self.received_summary = None
        self.received_summary_at = 0.0
        self.backlogged_before_takeover = frozenset()
        self.next_scan_at = 0.0
        self.next_summary_at = 0.0
        self.standbys = ()
        self.summary_sent_at = 0.0
        self.has_deferred_grants = False
        self.largest_cost = 0
        self.peak_n_places = 0
        self.n_violations = 0
        self.overtaken = {}
        self.counters = ServiceCounters()
        self.estimates = CostEstimates(0)
        self.charges = Charges(self.counters, self.estimates)
        self.order = FairOrder(self.counters)
        self.demand = DemandTable(identity.incarnation)
        self.agents = AgentTable()
        self.suspects = SuspectTable()
        self.rates = RateMeter()
        self.summaries = SummaryBuilder(pool, self.rates, self.counters, self.estimates)

    def adopt(self, view, now):
        """Apply an environment document.

        :param view: :class:`DocumentView`.
        :returns: list of actions.
        """
        self.servers = PoolServers(self.pool, view)
        if self.pool in view.pools:
            self.estimates.max_cost = view.pools[self.pool].max_cost
            self.largest_cost = max(self.largest_cost, self.estimates.max_cost)
        shares = {name: entry.share for name, entry in view.workspaces.items()}
        self.counters.set_shares(shares)
        for workspace in list(self.counters.values):
            if workspace not in shares and workspace not in self.demand.workspaces:
                self.counters.remove(workspace)
                self.estimates.remove(workspace)
        self.demand.changed.update(self.demand.workspaces)
        return self.match(now)

    def record_summary(self, summary, now):
        """Store a summary from which this process can take over as the dispatcher.

        :param summary: :class:`PoolSummary` that this process received as a router.
        """
        if not self.is_active and summary.pool == self.pool:
            self.received_summary = summary
            self.received_summary_at = now

    def handle(self, sender, message, now):
        if isinstance(message, Demand) and message.pool == self.pool:
            if self.demand.handle_demand(sender, message, now):
                return self.match(now)
        elif isinstance(message, AgentReport) and message.pool == self.pool:
            return self.handle_report(sender, message, now)
        return []

    def tick(self, now):
        if now < self.next_scan_at and not self.has_deferred_grants:
            return []
        self.next_scan_at = now + SCAN_INTERVAL_S
        actions = self.remove_silent(now) + self.remove_expired_grants(now)
        self.suspects.remove_expired(now)
        self.prune_overtaken()
        actions += self.match(now)
        if self.is_active and now >= self.next_summary_at:
            self.next_summary_at = now + SUMMARY_INTERVAL_S
            actions += self.send_summary(now)
        return actions

    def handle_report(self, sender, report, now):
        """Record an agent's report, acknowledge it and grant newly open tickets."""
        actions = []
        if self.agents.is_newer(sender, report):
            if not self.is_active:
                actions += self.activate(sender, now)
            agent, restarted = self.get_or_create_agent(sender, report)
            agent.record_report(report, now)
            self.charges.record_report(agent, now)
            actions += restarted + self.record_suspects(sender, report, now)
        wants_whole = not self.agents.agents[sender.name].has_full_report
        acks = self.build_acks(sender, report, wants_whole, now)
        return [*acks, *actions, *self.match(now)]

    def build_acks(self, sender, report, wants_whole, now):
        """Return the acknowledgement of a report if one is due.

        Agents repeat totals until these are acknowledged, so a few acknowledgements
        per second suffice. A full report, a missing one or a changed list of blocked
        fingerprints is acknowledged at once.
        """
        agent = self.agents.agents[sender.name]
        blocked = self.suspects.list_blocked()
        has_news = wants_whole or report.is_whole or blocked != agent.acked_blocked
        if not has_news and now - agent.acked_at < ACK_INTERVAL_S:
            return []
        agent.acked_at = now
        agent.acked_blocked = blocked
        return [Send(sender.name, ReportAck(report.sequence, wants_whole, blocked))]

    def set_standbys(self, addresses):
        """Set the standby dispatchers, which receive unfiltered summaries.

        :param addresses: internal addresses of the routers.
        """
        self.standbys = tuple(addresses)

    def get_or_create_agent(self, sender, report):
        """Return the state of an agent and events; a new incarnation starts empty."""
        agent = self.agents.agents.get(sender.name)
        if agent is not None and agent.incarnation == sender.incarnation:
            return agent, []
        events = []
        if agent is not None:
            self.charges.close_agent(agent)
            event = log_event(
                AGENT_RESTARTED,
                pool=self.pool,
                backend_server=report.backend_server,
                agent=sender.name,
                old_incarnation=agent.incarnation,
                incarnation=sender.incarnation,
            )
            events.append(event)
        agent = AgentState(sender.name, sender.incarnation)
        self.agents.agents[sender.name] = agent
        return agent, events

    def record_suspects(self, sender, report, now):
        """Record the crash suspects of a report; log and announce new blocks."""
        blocked = self.suspects.record_suspects(
            sender.name, sender.incarnation, report.suspects, now
        )
        events = [
            log_event(
                FINGERPRINT_BLOCKED,
                pool=self.pool,
                fingerprint=fingerprint,
                n_crashes=self.suspects.count_crashes(fingerprint, now),
            )
            for fingerprint in blocked
        ]
        return events + (self.notify_agents(sender.name) if blocked else [])

    def notify_agents(self, reporter):
        """Return messages with the blocked fingerprints for all other live agents.

        A copy of the request may arrive through another router within milliseconds,
        and only the agents can reliably refuse it.
        """
        blocked = self.suspects.list_blocked()
        sends = []
        for agent in self.agents.list_live():
            if agent.address != reporter:
                agent.acked_blocked = blocked
                ack = ReportAck(
                    agent.report.sequence, not agent.has_full_report, blocked
                )
                sends.append(Send(agent.address, ack))
        return sends

    def activate(self, sender, now):
        """Become the active dispatcher, starting from the last summary, if any."""
        self.is_active = True
        self.active_at = now
        self.next_summary_at = now
        self.summary_sent_at = now
        age_s = None
        if self.received_summary is not None:
            age_s = now - self.received_summary_at
            self.load_summary(now)
        event = log_event(
            DISPATCHER_ACTIVE,
            pool=self.pool,
            agent=sender.name,
            n_counters=len(self.counters.values),
            summary_age_s=age_s,
        )
        return [event]

    def load_summary(self, now):
        """Initialise the state from the summary of the previous dispatcher.

        Its counters already include the service that agents have delivered so far, so
        the accounts of the agents are reset.
        """
        summary = self.received_summary
        self.received_summary = None
        entries = summary.workspaces
        self.counters.restore({entry.workspace: entry.counter for entry in entries})
        self.backlogged_before_takeover = {
            entry.workspace for entry in entries if entry.n_waiting > 0
        }
        self.suspects.load_inherited(summary.suspects, summary.blocked, now)
        self.agents.agents.clear()
        self.order.reset()
        self.demand.changed.update(self.demand.workspaces)

    def remove_silent(self, now):
        """Remove the state of silent routers and agents."""
        actions = []
        for agent in self.agents.mark_silent(now):
            event = log_event(
                AGENT_SILENT,
                pool=self.pool,
                backend_server=agent.name,
                agent=agent.address,
                silent_s=now - agent.heard_at,
                n_tickets=len(agent.issued_at),
            )
            actions.append(event)
        for agent in self.agents.remove_expired(now):
            self.charges.close_agent(agent)
        if self.is_active and not self.agents.list_live():
            self.is_active = False
            actions.append(log_event(DISPATCHER_PASSIVE, pool=self.pool))
        for router, n_waiting in self.demand.remove_silent(now):
            event = log_event(
                ROUTER_SILENT,
                pool=self.pool,
                router=router.address,
                silent_s=now - router.heard_at,
                n_waiting=n_waiting,
            )
            actions.append(event)
        return actions

    def remove_expired_grants(self, now):
        """Remove grants that were not confirmed in time and log them as lost."""
        return [
            log_event(
                GRANTS_UNSEEN,
                pool=self.pool,
                router=router.address,
                first_number=grants[0].number,
                n_grants=len(grants),
            )
            for router, grants in self.demand.remove_expired_grants(now)
        ]

    def prune_overtaken(self):
        """Remove overtake counts of classes that no longer wait."""
        for router, key in list(self.overtaken):
            if self.demand.find_demand(router, key) is None:
                del self.overtaken[router, key]

    def match(self, now):
        """Grant the open tickets that can serve a waiting request.

        :returns: list of actions, with at most one :class:`Grant` for each router.
        """
        self.has_deferred_grants = False
        if self.servers is None or not self.is_active:
            return []
        actions = self.update_order(now)
        if not self.order.usable_servers:
            return actions
        servers = self.list_open_servers(now)
        if servers.tickets:
            round_ = GrantRound(self, servers, self.compute_bound_terms(), now)
            actions += round_.run()
            self.has_deferred_grants = round_.has_deferred_grants
            actions += self.update_order(now)
        return actions

    def update_order(self, now):
        """Update the fair order and lift workspaces that have returned from idle."""
        if not self.demand.changed:
            return []
        changes = {name: self.list_usable_servers(name) for name in self.demand.changed}
        self.demand.changed.clear()
        is_takeover = now - self.active_at < TAKEOVER_WINDOW_S
        exempt = self.backlogged_before_takeover if is_takeover else frozenset()
        lifts = self.order.update(changes, exempt)
        return [
            log_event(
                WORKSPACE_LIFTED,
                pool=self.pool,
                workspace=workspace,
                counter=self.counters.get_value(workspace),
                lift=lift,
            )
            for workspace, lift in lifts
        ]

    def list_usable_servers(self, workspace):
        """Return the servers that a workspace can use, None if it is not backlogged."""
        kinds = self.demand.list_open_kinds(workspace)
        return self.servers.list_usable(kinds) if kinds else None

    def list_open_servers(self, now):
        """Return the :class:`OpenServers` with the tickets that may be granted now."""
        suspects = set(self.suspects.blocked)
        for agent in self.agents.agents.values():
            suspects.update(agent.list_suspects())
        servers = OpenServers(self.servers, suspects, self.rng)
        for agent in self.agents.agents.values():
            numbers = agent.list_open_tickets(now)
            if numbers and self.servers.is_eligible(agent):
                servers.add(agent, numbers)
        return servers

    def compute_bound_terms(self):
        """Return the :class:`BoundTerms` of the pool."""
        n_places = self.servers.count_places(self.agents.agents.values())
        self.peak_n_places = max(self.peak_n_places, n_places)
        return BoundTerms(
            self.largest_cost,
            self.peak_n_places,
            self.rates.unit_rate,
            AGENT_SILENCE_TIMEOUT_S,
        )

    def send_summary(self, now):
        """Return messages with the summary for standbys and recently active routers."""
        interval_s = max(SUMMARY_INTERVAL_S, now - self.summary_sent_at)
        self.summary_sent_at = now
        self.rates.update(self.charges.n_units, interval_s, now)
        agents = self.agents.list_live()
        summary = self.summaries.build(self.demand, agents, self.suspects, now)
        heard = self.demand.list_recent_routers(now, ROUTER_LIVENESS_TIMEOUT_S)
        sends = [Send(address, summary) for address in self.standbys]
        for address in heard:
            if address not in self.standbys:
                names = self.demand.list_router_workspaces(address)
                sends.append(Send(address, filter_summary(summary, names)))
        return sends
