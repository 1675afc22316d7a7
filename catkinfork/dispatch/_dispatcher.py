"""Dispatcher of a pool: which waiting request receives which free place."""

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
from catkinfork.dispatch._summary import (
    ROUTER_HEARD_TIMEOUT_S,
    SUMMARY_INTERVAL_S,
    RateMeter,
    SummaryBuilder,
)
from catkinfork.dispatch._suspects import SuspectTable
from catkinfork.fairness import (
    BoundTerms,
    CostEstimates,
    ServiceCounters,
)
from catkinfork.observability import log_event
from catkinfork.protocol import (
    AgentReport,
    BaseCore,
    Demand,
    ReportAck,
    Send,
)


class Dispatcher(BaseCore):
    """Matches the waiting requests of a pool with its free places in fair order.

    It is passive until agents report to it. All of its state can be lost: routers and
    agents send theirs again.

    :param pool: pool name.
    :param identity: :class:`Sender` of this process.
    :param rng: ``random.Random`` that chooses among equal servers.
    """

    def __init__(self, pool, identity, rng):
        self.pool = pool
        self.identity = identity
        self.rng = rng
        self.view = None
        self.is_active = False
        self.summary = None
        self.summary_at = None
        self.next_summary_at = 0.0
        self.updated_at = None
        self.n_places_seen = 0
        self.n_violations = 0
        self.overtaken = {}
        self.counters = ServiceCounters()
        self.estimates = CostEstimates(1)
        self.charges = Charges(self.counters, self.estimates)
        self.order = FairOrder(self.counters)
        self.demand = DemandTable(identity.incarnation)
        self.agents = AgentTable()
        self.suspects = SuspectTable()
        self.rates = RateMeter()
        self.summaries = SummaryBuilder(pool, self.rates, self.counters, self.estimates)

    def adopt(self, view, now):
        """Put a document in force.

        :param view: :class:`DocumentView`.
        :returns: list of actions.
        """
        self.view = view
        if self.pool in view.pools:
            self.estimates.max_cost = view.pools[self.pool].max_cost
        shares = {name: entry.share for name, entry in view.workspaces.items()}
        self.counters.set_shares(shares)
        kept = set(shares) | set(self.demand.by_workspace)
        for workspace in list(self.counters.values):
            if workspace not in kept:
                self.counters.forget(workspace)
                self.estimates.forget(workspace)
        return self.match(now)

    def seed(self, summary, now):
        """Keep a summary to start from if this process becomes the dispatcher.

        :param summary: :class:`PoolSummary` that this process heard as a router.
        """
        if self.is_active or summary.pool != self.pool:
            return
        self.summary = summary
        self.summary_at = now

    def handle(self, sender, message, now):
        if isinstance(message, Demand) and message.pool == self.pool:
            if self.demand.take(sender, message, now):
                return self.match(now)
        elif isinstance(message, AgentReport) and message.pool == self.pool:
            return self.take_report(sender, message, now)
        return []

    def tick(self, now):
        actions = self.drop_silent(now)
        self.suspects.drop_old(now)
        actions += self.match(now)
        if self.is_active and now >= self.next_summary_at:
            self.next_summary_at = now + SUMMARY_INTERVAL_S
            actions += self.send_summary(now)
        return actions

    def take_report(self, sender, report, now):
        """Take a report, acknowledge it and grant what it makes possible."""
        actions = []
        if self.agents.is_newer(sender, report):
            if not self.is_active:
                actions += self.activate(sender, now)
            agent, restarted = self.find_agent(sender, report)
            actions += restarted
            agent.take(report, now)
            self.charges.take_report(agent, now)
            actions += self.take_suspects(sender, report, now)
        agent = self.agents.agents[sender.name]
        wants_whole = not agent.has_whole
        blocked = self.suspects.list_blocked(now)
        ack = ReportAck(report.sequence, wants_whole, blocked)
        return [Send(sender.name, ack), *actions, *self.match(now)]

    def find_agent(self, sender, report):
        """Return the state of an agent and actions; a new incarnation starts empty."""
        actions = []
        agent = self.agents.agents.get(sender.name)
        if agent is not None and agent.incarnation == sender.incarnation:
            return agent, actions
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
            actions.append(event)
        agent = AgentState(sender.name, sender.incarnation)
        self.agents.agents[sender.name] = agent
        return agent, actions

    def take_suspects(self, sender, report, now):
        """Take the crash suspects of a report and log those that are blocked now."""
        blocked = self.suspects.take(
            sender.name, sender.incarnation, report.suspects, now
        )
        return [
            log_event(
                FINGERPRINT_BLOCKED,
                pool=self.pool,
                fingerprint=fingerprint,
                n_crashes=self.suspects.count_crashes(fingerprint, now),
            )
            for fingerprint in blocked
        ]

    def activate(self, sender, now):
        """Become the dispatcher, from the last summary if there is a newer one."""
        self.is_active = True
        self.next_summary_at = now
        self.updated_at = now
        age_s = -1.0
        if self.summary is not None:
            age_s = now - self.summary_at
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
        """Start from the counters of the previous dispatcher.

        What agents delivered until now is in these counters, so the agents' accounts
        start anew.
        """
        summary = self.summary
        self.summary = None
        self.counters.load(
            {item.workspace: item.counter for item in summary.workspaces}
        )
        self.suspects.inherit(summary.suspects, summary.blocked, now)
        self.agents.agents.clear()
        waited = {item.workspace for item in summary.workspaces if item.n_waiting > 0}
        self.order.restart()
        self.order.update(self.find_usable(), exempt=waited)

    def drop_silent(self, now):
        """Drop what silent routers and agents have sent."""
        actions = []
        for agent in self.agents.find_silent(now):
            event = log_event(
                AGENT_SILENT,
                pool=self.pool,
                backend_server=agent.name,
                agent=agent.address,
                silent_s=now - agent.heard_at,
                n_tickets=len(agent.issued_at),
            )
            actions.append(event)
        for agent in self.agents.pop_forgotten(now):
            self.charges.close_agent(agent)
        if self.is_active and not self.agents.list_live():
            self.is_active = False
            actions.append(log_event(DISPATCHER_PASSIVE, pool=self.pool))
        for router, n_waiting in self.demand.drop_silent(now):
            event = log_event(
                ROUTER_SILENT,
                pool=self.pool,
                router=router.address,
                silent_s=now - router.heard_at,
                n_waiting=n_waiting,
            )
            actions.append(event)
        return actions

    def drop_lost_grants(self, now):
        """Count grants that a router has not confirmed in time as lost."""
        return [
            log_event(
                GRANTS_UNSEEN,
                pool=self.pool,
                router=router.address,
                first_number=grants[0].number,
                n_grants=len(grants),
            )
            for router, grants in self.demand.drop_lost(now)
        ]

    def match(self, now):
        """Grant every open ticket that can serve a waiting request.

        :returns: list of actions, with at most one :class:`Grant` for each router.
        """
        if self.view is None:
            return []
        actions = self.drop_lost_grants(now)
        if not self.is_active:
            return actions
        actions += self.update_order()
        round_ = GrantRound(self, now)
        round_.run()
        self.order.update(self.find_usable())
        return actions + round_.list_actions()

    def update_order(self):
        """Lift workspaces that have returned from idle."""
        lifts = self.order.update(self.find_usable())
        return [
            log_event(
                WORKSPACE_LIFTED,
                pool=self.pool,
                workspace=workspace,
                counter=self.counters.value_of(workspace),
                lift=lift,
            )
            for workspace, lift in lifts
        ]

    def find_usable(self):
        """Return the servers that each backlogged workspace can use."""
        if self.view is None:
            return {}
        by_target = {}
        for entry in self.view.list_pool(self.pool):
            if self.view.is_in_service(entry.name):
                for target in entry.serves:
                    by_target.setdefault(target, set()).add(entry.name)
        usable = {}
        for workspace in self.demand.list_backlogged():
            servers = set()
            for demand in self.demand.list_open(workspace):
                names = by_target.get(demand.demand_class.target, set())
                required = demand.demand_class.required
                servers |= names & {required} if required else names
            usable[workspace] = frozenset(servers)
        return usable

    def list_granting(self, now):
        """Return live agents whose backend server is in service in the document."""
        granting = []
        for agent in self.agents.list_live():
            entry = self.view.backend_servers.get(agent.name)
            if entry is None or entry.agent != agent.address:
                continue
            is_silent = now - agent.heard_at >= AGENT_SILENCE_TIMEOUT_S
            if is_silent or entry.pool != self.pool:
                continue
            if self.view.is_in_service(agent.name):
                granting.append(agent)
        return granting

    def compute_terms(self):
        """Return the :class:`BoundTerms` of the pool."""
        agents = {agent.name: agent.n_capacity for agent in self.agents.agents.values()}
        n_places = sum(
            max(entry.max_places, agents.get(entry.name, 0))
            for entry in self.view.list_pool(self.pool)
        )
        self.n_places_seen = max(self.n_places_seen, n_places)
        return BoundTerms(
            self.estimates.max_cost,
            self.n_places_seen,
            self.rates.unit_rate,
            AGENT_SILENCE_TIMEOUT_S,
        )

    def send_summary(self, now):
        """Return the summary for all routers heard lately."""
        interval_s = max(SUMMARY_INTERVAL_S, now - self.updated_at)
        self.updated_at = now
        self.rates.update(self.charges.n_units, interval_s, now)
        agents = self.agents.list_live()
        summary = self.summaries.build(self.demand, agents, self.suspects, now)
        routers = self.demand.list_heard(now, ROUTER_HEARD_TIMEOUT_S)
        return [Send(address, summary) for address in routers]
