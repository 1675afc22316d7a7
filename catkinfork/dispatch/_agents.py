"""State of the agents of a pool: reports, tickets and accounts."""

from catkinfork.fairness import Account

TICKET_LIFETIME_S = 1.0
# Allows for the latency of report, grant and start. Tickets are not granted in this
# last part of their lifetime, so the margin is short; a start that arrives after expiry
# is refused and retried.
TICKET_EXPIRY_MARGIN_S = 0.05
AGENT_SILENCE_TIMEOUT_S = 1.5
AGENT_RETENTION_S = 10.0
SERVING_STATES = frozenset({"cold", "warm"})


class AgentState:
    """State of one incarnation of an agent.

    :param address: internal address of the agent.
    :param incarnation: incarnation of the agent.
    """

    def __init__(self, address, incarnation):
        self.address = address
        self.incarnation = incarnation
        self.report = None
        self.heard_at = 0.0
        self.has_full_report = False
        self.is_silent = False
        self.issued_at = {}
        self.granted = {}
        self.accounts = {}
        self.charged_workspaces = set()
        self.acked_at = float("-inf")
        self.acked_blocked = []

    @property
    def name(self):
        """Name of the backend server."""
        return self.report.backend_server

    def record_report(self, report, now):
        """Record a newer report; tickets that it does not list become invalid."""
        self.report = report
        self.heard_at = now
        self.is_silent = False
        known = self.issued_at
        # A delayed report makes a ticket look younger than it is, so the earliest
        # estimate of its time of issue is the most accurate.
        self.issued_at = {
            ticket.number: min(
                now - ticket.age_ms / 1000, known.get(ticket.number, float("inf"))
            )
            for ticket in report.tickets
        }
        self.granted = {
            number: suspect
            for number, suspect in self.granted.items()
            if number in self.issued_at
        }

    def list_open_tickets(self, now):
        """Return the numbers of the tickets that can be granted, oldest first."""
        if self.is_silent or self.report.state not in SERVING_STATES:
            return []
        if len(self.granted) == len(self.issued_at):
            return []
        if now - self.heard_at >= AGENT_SILENCE_TIMEOUT_S:
            return []
        oldest = now - TICKET_LIFETIME_S + TICKET_EXPIRY_MARGIN_S
        numbers = [
            number
            for number, issued_at in self.issued_at.items()
            if number not in self.granted and issued_at > oldest
        ]
        numbers.sort(key=lambda number: (self.issued_at[number], number))
        return numbers

    def record_grant(self, number, suspect):
        """Mark a ticket as granted so that it is not granted again.

        :param suspect: fingerprint of the request if it is a crash suspect, else empty.
        """
        self.granted[number] = suspect

    @property
    def n_free_places(self):
        """Places without a running request or an outstanding grant."""
        report = self.report
        return report.n_places - report.n_running - len(self.granted)

    @property
    def n_capacity(self):
        """Capacity including staged requests."""
        report = self.report
        return max(report.n_places, report.n_running + len(report.tickets))

    def list_suspects(self):
        """Return fingerprints of suspects that are running or granted at this agent."""
        suspects = [suspect for suspect in self.granted.values() if suspect]
        if self.report.running_suspect:
            suspects.append(self.report.running_suspect)
        return suspects

    def get_account(self, workspace):
        """Return the account of a workspace, created on first use."""
        if workspace not in self.accounts:
            self.accounts[workspace] = Account(has_baseline=self.has_full_report)
        return self.accounts[workspace]


class AgentTable:
    """Agents that report to this dispatcher, keyed by internal address."""

    def __init__(self):
        self.agents = {}

    def is_newer(self, sender, report):
        """Return whether a report is newer than the last one of its agent."""
        agent = self.agents.get(sender.name)
        if agent is None or sender.incarnation > agent.incarnation:
            return True
        if sender.incarnation < agent.incarnation:
            return False
        return report.sequence > agent.report.sequence

    def mark_silent(self, now):
        """Mark agents silent after the timeout; return those newly marked."""
        silent = [
            agent
            for agent in self.agents.values()
            if not agent.is_silent and now - agent.heard_at >= AGENT_SILENCE_TIMEOUT_S
        ]
        for agent in silent:
            agent.is_silent = True
        return silent

    def remove_expired(self, now):
        """Remove and return agents that have been silent for the retention time."""
        forgotten = [
            agent
            for agent in self.agents.values()
            if now - agent.heard_at >= AGENT_RETENTION_S
        ]
        for agent in forgotten:
            del self.agents[agent.address]
        return forgotten

    def list_live(self):
        """Return the agents that are not marked silent."""
        return [agent for agent in self.agents.values() if not agent.is_silent]
