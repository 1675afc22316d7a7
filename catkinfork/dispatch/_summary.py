"""Summaries of a pool that the dispatcher sends to routers."""

from catkinfork.dispatch._agents import SERVING_STATES
from catkinfork.protocol import PoolSummary, WorkspaceSummary

SUMMARY_INTERVAL_S = 0.5
# Only routers that have sent a demand within this time receive summaries.
ROUTER_LIVENESS_TIMEOUT_S = 3.0
# A workspace stays in the summary for this long after its last grant.
GRANT_RETENTION_S = 5.0
# Weight of the newest interval in the exponential moving averages of rates.
SMOOTHING_FACTOR = 0.2
# An entry takes about 40 bytes and a control frame holds 64 KiB.
MAX_LISTED_WORKSPACES = 1000
MAX_WAIT_MS = 3600 * 1000


class RateMeter:
    """Moving averages: grants of each workspace and units of the pool per second."""

    def __init__(self):
        self.n_grants = {}
        self.grant_rates = {}
        self.granted_at = {}
        self.unit_rate = 0.0
        self.n_units = 0

    def record_grant(self, workspace, now):
        self.n_grants[workspace] = self.n_grants.get(workspace, 0) + 1
        self.granted_at[workspace] = now

    def update(self, n_units, interval_s, now):
        """Update the moving averages with the counts of an interval.

        :param n_units: service units that the pool has delivered so far.
        :param interval_s: length of the interval in seconds.
        """
        for workspace, granted_at in list(self.granted_at.items()):
            rate = self.n_grants.get(workspace, 0) / interval_s
            old = self.grant_rates.get(workspace, rate)
            self.grant_rates[workspace] = old + SMOOTHING_FACTOR * (rate - old)
            if now - granted_at > GRANT_RETENTION_S:
                del self.granted_at[workspace]
                del self.grant_rates[workspace]
        self.n_grants.clear()
        rate = (n_units - self.n_units) / interval_s
        self.unit_rate += SMOOTHING_FACTOR * (rate - self.unit_rate)
        self.n_units = n_units


def estimate_wait_ms(n_waiting, rate, oldest_wait_s):
    """Return the expected wait of a request that arrives now, in milliseconds.

    The rate is raised to at least one start per age of the oldest waiting request.
    Otherwise rates measured while the pool was cold or idle would cause refusals of
    requests that could be served at once.

    :param n_waiting: waiting requests of the workspace.
    :param rate: requests of the workspace that start per second.
    :param oldest_wait_s: age of its oldest waiting request in seconds.
    """
    rate = max(rate, 1 / max(oldest_wait_s, SUMMARY_INTERVAL_S))
    return min(MAX_WAIT_MS, round(n_waiting / rate * 1000))


def filter_summary(summary, names):
    """Return a summary restricted to some workspaces.

    A router needs only the expected waits of its own workspaces. Traffic of complete
    summaries would grow with the product of routers and workspaces.

    :param summary: :class:`PoolSummary`.
    :param names: names of the workspaces to keep.
    """
    kept = [entry for entry in summary.workspaces if entry.workspace in names]
    return summary._replace(workspaces=kept)


class SummaryBuilder:
    """Builds the summaries of one pool.

    :param pool: pool name.
    :param rates: :class:`RateMeter`.
    :param counters: :class:`ServiceCounters`.
    :param estimates: :class:`CostEstimates`.
    """

    def __init__(self, pool, rates, counters, estimates):
        self.pool = pool
        self.rates = rates
        self.counters = counters
        self.estimates = estimates
        self.sequence = 0

    def build(self, demand, agents, suspects, now):
        """Return the next :class:`PoolSummary`.

        :param demand: :class:`DemandTable`.
        :param agents: live :class:`AgentState` objects.
        :param suspects: :class:`SuspectTable`.
        """
        self.sequence += 1
        names = self.list_workspaces(demand)
        min_counter = min(map(self.counters.get_value, names), default=0.0)
        backlogged = demand.list_backlogged()
        total_share = sum(map(self.counters.get_share, backlogged))
        workspaces = [
            self.build_entry(name, demand, min_counter, total_share, now)
            for name in names
        ]
        return PoolSummary(
            self.pool,
            self.sequence,
            workspaces,
            suspects.list_suspects(now),
            suspects.list_blocked(),
            sum(agent.report.n_places for agent in agents),
            sorted(
                agent.name for agent in agents if agent.report.state in SERVING_STATES
            ),
        )

    def list_workspaces(self, demand):
        """Return waiting workspaces, then those with recent grants, newest first."""
        granted_at = self.rates.granted_at
        waiting = sorted(demand.workspaces)
        recent = sorted(
            (name for name in granted_at if name not in demand.workspaces),
            key=lambda name: (-granted_at[name], name),
        )
        return (waiting + recent)[:MAX_LISTED_WORKSPACES]

    def build_entry(self, workspace, demand, min_counter, total_share, now):
        """Return the :class:`WorkspaceSummary` of a workspace."""
        n_waiting = demand.count_open(workspace)
        share = self.counters.get_share(workspace)
        estimate = max(1.0, self.estimates.estimate(workspace))
        fair_rate = self.rates.unit_rate * share / max(share, total_share) / estimate
        rate = max(fair_rate, self.rates.grant_rates.get(workspace, 0.0))
        waits = [
            item.estimate_wait(now) for item in demand.list_open_classes(workspace)
        ]
        oldest_wait_s = max(waits, default=0.0)
        return WorkspaceSummary(
            workspace,
            round(self.counters.get_value(workspace) - min_counter, 1),
            n_waiting,
            estimate_wait_ms(n_waiting, rate, oldest_wait_s),
        )
