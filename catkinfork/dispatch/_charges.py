"""Charges for grants, and their correction by the service that agents report."""


class Charges:
    """Updates the service counters from grants and reports.

    :param counters: :class:`ServiceCounters`.
    :param estimates: :class:`CostEstimates`.
    """

    def __init__(self, counters, estimates):
        self.counters = counters
        self.estimates = estimates
        self.n_units = 0

    def open_grant(self, agent, workspace, ticket):
        """Charge the estimated cost of a grant.

        :returns: the estimate in service units.
        """
        estimate = self.estimates.estimate(workspace)
        account = agent.get_account(workspace)
        agent.charged_workspaces.add(workspace)
        self.counters.charge(workspace, account.open_grant(ticket, estimate))
        return estimate

    def record_report(self, agent, now):
        """Correct the charges from an agent's newest report."""
        report = agent.report
        listed = agent.issued_at
        for workspace in agent.charged_workspaces:
            agent.accounts[workspace].record_tickets(listed, now)
        for entry in report.delivered:
            self.record_delivered(agent, entry)
        agent.has_full_report = agent.has_full_report or report.is_whole
        has_free_place = report.n_running < report.n_places
        for workspace in list(agent.charged_workspaces):
            account = agent.accounts[workspace]
            account.remove_unused_grants(now, has_free_place)
            self.counters.charge(workspace, account.update_charge())
            if not account.grants:
                agent.charged_workspaces.discard(workspace)

    def record_delivered(self, agent, entry):
        """Record the delivered totals of one workspace at one agent."""
        account = agent.get_account(entry.workspace)
        units_before = max(account.units, account.baseline_units)
        had_baseline = account.has_baseline
        units, n_ended = account.record_delivered(entry)
        if had_baseline:
            self.n_units += account.units - units_before
        if n_ended > 0:
            self.estimates.record_costs(entry.workspace, units, n_ended)
        self.counters.charge(entry.workspace, account.update_charge())

    def close_agent(self, agent):
        """Refund the charges for work that an agent will not report."""
        for workspace in agent.charged_workspaces:
            self.counters.charge(workspace, agent.accounts[workspace].close())
        agent.charged_workspaces.clear()
