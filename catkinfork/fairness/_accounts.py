"""Service charges of one workspace at one agent."""

# A request whose ticket has been used may wait at a full agent for this long before its
# grant counts as unused.
UNUSED_GRANT_TIMEOUT_S = 2.0


class OpenGrant:
    """Grant whose request has not finished.

    :param estimate: service units charged at the time of the grant.
    """

    __slots__ = ("estimate", "ticket_gone_at", "has_started")

    def __init__(self, estimate):
        self.estimate = estimate
        self.ticket_gone_at = None
        self.has_started = False


class Account:
    """Charges to a workspace for service by one incarnation of an agent.

    The charge is ``finished + max(units in flight, estimates of open grants)``. It is
    computed from running totals, so lost or duplicated reports have no lasting effect.

    :param has_baseline: whether service in the first report is charged. Otherwise its
        totals are the baseline: service before this dispatcher took over the agent is
        already in the service counters that it took over.
    """

    __slots__ = (
        "baseline_units",
        "charged",
        "grants",
        "has_baseline",
        "n_finished",
        "n_started",
        "units",
        "units_in_flight",
    )

    def __init__(self, has_baseline):
        self.has_baseline = has_baseline
        self.baseline_units = 0
        self.units = 0
        self.units_in_flight = 0
        self.n_started = 0
        self.n_finished = 0
        self.grants = {}
        self.charged = 0.0

    def open_grant(self, ticket, estimate):
        """Add a grant and charge its estimate.

        :returns: change of the charge in service units.
        """
        self.grants[ticket] = OpenGrant(estimate)
        return self.update_charge()

    def record_delivered(self, entry):
        """Record the totals of a report.

        :param entry: :class:`Delivered`.
        :returns: service units and number of the requests that have finished since the
            previous report.
        """
        if not self.has_baseline:
            self.set_baseline(entry)
        finished_before = self.units - self.units_in_flight
        self.units = max(self.units, entry.units)
        self.units_in_flight = min(entry.units_in_flight, self.units)
        n_started = entry.n_finished + entry.n_in_flight
        self.mark_started(n_started - self.n_started)
        self.n_started = max(self.n_started, n_started)
        n_ended = max(0, entry.n_finished - self.n_finished)
        self.remove_ended_grants(n_ended)
        self.n_finished += n_ended
        finished = self.units - self.units_in_flight
        return max(0, finished - finished_before), n_ended

    def set_baseline(self, entry):
        """Record the totals of a first report as already charged."""
        self.has_baseline = True
        self.baseline_units = self.units = entry.units
        self.units_in_flight = min(entry.units_in_flight, entry.units)
        self.n_started = entry.n_finished + entry.n_in_flight
        self.n_finished = entry.n_finished

    def record_tickets(self, listed, now):
        """Record which granted tickets the agent no longer lists.

        :param listed: set of ticket numbers in the report.
        """
        for ticket, grant in self.grants.items():
            if grant.ticket_gone_at is None and ticket not in listed:
                grant.ticket_gone_at = now

    def remove_unused_grants(self, now, has_free_place):
        """Remove grants whose ticket is no longer listed but was not started on.

        :param has_free_place: whether the agent has a free place, which means that no
            request is waiting there for one.
        """
        for ticket, grant in list(self.grants.items()):
            if grant.ticket_gone_at is None or grant.has_started:
                continue
            if has_free_place or now - grant.ticket_gone_at > UNUSED_GRANT_TIMEOUT_S:
                del self.grants[ticket]

    def mark_started(self, n_started):
        """Mark the oldest grants with an unlisted ticket as started."""
        for grant in self.grants.values():
            if n_started <= 0:
                return
            if grant.ticket_gone_at is not None and not grant.has_started:
                grant.has_started = True
                n_started -= 1

    def remove_ended_grants(self, n_ended):
        """Remove the oldest started grants."""
        for ticket, grant in list(self.grants.items()):
            if n_ended <= 0:
                return
            if grant.has_started:
                del self.grants[ticket]
                n_ended -= 1

    def close(self):
        """Remove all grants, after the agent has restarted or was lost.

        :returns: change of the charge in service units.
        """
        self.grants.clear()
        return self.update_charge()

    def update_charge(self):
        """Update the charge; return its change since the last call, in units."""
        expected = sum(grant.estimate for grant in self.grants.values())
        finished = self.units - self.units_in_flight - self.baseline_units
        charge = finished + max(self.units_in_flight, expected)
        change = charge - self.charged
        self.charged = charge
        return change
