"""Open tickets and totals of the agents of a pool."""

from catkinfork.fairness import Account

TICKET_LIFETIME_S = 1.0
# Time for the report, the grant and the start to arrive. A ticket lies idle for this
# time at the end of its life, so the margin is short. A start that arrives too late is
# refused and sent again.
TICKET_EXPIRY_MARGIN_S = 0.05
AGENT_SILENCE_TIMEOUT_S = 1.5
AGENT_RETENTION_S = 10.0
SERVING_STATES = frozenset({"cold", "warm"})


class AgentState:
    """Last report of one incarnation of an agent.

    :param address: inner address of the agent.
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
        """Take a newer report: tickets that it does not list are no longer valid."""
        self.report = report
        self.heard_at = now
        self.is_silent = False
        known = self.issued_at
        # A late report makes a ticket look younger than it is; the earliest estimate
        # of the time of issue is the closest.
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
        """Return the tickets that can be granted, oldest first."""
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
        """Mark a ticket as granted; it is never granted again."""
        self.granted[number] = suspect

    @property
    def n_free_places(self):
        """Places that are neither running a request nor promised to one."""
        report = self.report
        return report.n_places - report.n_running - len(self.granted)

    @property
    def n_capacity(self):
        """Places and staged requests."""
        report = self.report
        return max(report.n_places, report.n_running + len(report.tickets))

    def list_suspects(self):
        """Return fingerprints of the suspects that run here or may start here."""
        suspects = [suspect for suspect in self.granted.values() if suspect]
        if self.report.running_suspect:
            suspects.append(self.report.running_suspect)
        return suspects

    def get_account(self, workspace):
        """Return the account of a workspace, opened on first use."""
        if workspace not in self.accounts:
            self.accounts[workspace] = Account(has_base=self.has_full_report)
        return self.accounts[workspace]


class AgentTable:
    """Agents that report to this dispatcher, by inner address."""

    def __init__(self):
        self.agents = {}

    def is_newer(self, sender, report):
        """Return whether a report is newer than what is known of the agent."""
        agent = self.agents.get(sender.name)
        if agent is None or sender.incarnation > agent.incarnation:
            return True
        if sender.incarnation < agent.incarnation:
            return False
        return report.sequence > agent.report.sequence

    def mark_silent(self, now):
        """Return agents that have just become silent and mark their tickets void."""
        silent = [
            agent
            for agent in self.agents.values()
            if not agent.is_silent and now - agent.heard_at >= AGENT_SILENCE_TIMEOUT_S
        ]
        for agent in silent:
            agent.is_silent = True
        return silent

    def remove_expired(self, now):
        """Remove and return agents that have been silent for long."""
        forgotten = [
            agent
            for agent in self.agents.values()
            if now - agent.heard_at >= AGENT_RETENTION_S
        ]
        for agent in forgotten:
            del self.agents[agent.address]
        return forgotten

    def list_live(self):
        """Return the agents whose tickets are not void."""
        return [agent for agent in self.agents.values() if not agent.is_silent]
