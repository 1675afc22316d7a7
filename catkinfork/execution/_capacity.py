"""Admission capacity of the backend server and the tickets issued for it."""

from catkinfork.execution._handover import HandoverEstimator
from catkinfork.execution._limiter import ConcurrencyLimiter
from catkinfork.execution._tickets import TicketTable
from catkinfork.protocol import check_invariant

OUT = "out"
LEAVING = "leaving"
DOWN = "down"
COLD = "cold"
WARM = "warm"

# After a refused connection, further requests would be refused too and use up their
# retry budgets. Health checks are at least this frequent.
REFUSED_PAUSE_S = 0.5
COLD_HOLD_S = 120.0


class Capacity:
    """Places, staged requests and open tickets of one backend server.

    The server counts as down until the first health check has succeeded.

    :param settings: :class:`ExecutionSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.limiter = ConcurrencyLimiter()
        self.tickets = TicketTable(settings)
        self.handover = HandoverEstimator()
        self.is_in_service = False
        self.is_leaving = False
        self.is_up = False
        self.is_reported_cold = False
        self.cold_since = float("-inf")
        self.was_open = False
        self.paused_until = float("-inf")
        self.n_staged = 0
        self.staged_until = float("-inf")
        self.n_running_at_last_check = 0

    @property
    def state(self):
        """State in reports and status."""
        if not self.is_in_service:
            return OUT
        if self.is_leaving:
            return LEAVING
        if not self.is_up:
            return DOWN
        return COLD if self.limiter.is_cold else WARM

    @property
    def is_open(self):
        """Whether the server takes new work."""
        return self.is_in_service and self.is_up and not self.is_leaving

    @property
    def n_places(self):
        """Requests that may run at once."""
        return self.limiter.limit if self.is_open else 0

    def count_startable(self, now):
        """Return how many requests may run; 0 during the pause after a refusal."""
        return self.n_places if now >= self.paused_until else 0

    def record_success(self, started_at, now):
        """Count a success; the limit does not grow during a reported cold start.

        Growing the limit would overload the server while it warms up. After
        ``COLD_HOLD_S`` the limit grows again even if the server still reports cold.
        """
        if self.is_reported_cold and now - self.cold_since < COLD_HOLD_S:
            return
        self.limiter.record_success(started_at)

    def record_all_producing(self, n_running, now):
        """Record that all running requests produce; see :class:`ConcurrencyLimiter`."""
        if not self.is_reported_cold:
            self.limiter.record_all_producing(n_running, now)

    def record_health(self, is_up, is_cold, now):
        """Record the result of a health check; a cold start resets the limit."""
        if is_up and is_cold and not self.is_reported_cold:
            self.limiter.reset(now)
            self.cold_since = now
        self.is_up = is_up
        self.is_reported_cold = is_up and is_cold

    def record_refused_connection(self, started_at, now):
        """Reduce to one place and issue no tickets for ``REFUSED_PAUSE_S``."""
        self.limiter.record_lost_connection(started_at, now)
        self.paused_until = now + REFUSED_PAUSE_S

    def update_availability(self, now):
        """Detect a change of :attr:`is_open`; reset the limit when the server opens.

        :returns: whether :attr:`is_open` has changed.
        """
        if self.is_open == self.was_open:
            return False
        self.was_open = self.is_open
        if self.is_open:
            self.limiter.reset(now)
        return True

    def update_tickets(self, n_running, n_pending, now):
        """Issue or revoke tickets to match the places that are left."""
        self.tickets.remove_expired(now)
        if not self.is_open or now < self.paused_until:
            self.tickets.revoke_all()
            return
        self.update_staged(now)
        n_left = self.n_places + self.n_staged - n_running - n_pending
        self.tickets.resize(max(0, n_left), now)

    def update_staged(self, now):
        """Update the number of requests that may be staged.

        A higher estimate applies at once. A lower one would revoke tickets, so the
        value is held for the lifetime of a ticket first.
        """
        n_staged = self.handover.count_staged(self.n_places, now)
        if n_staged < self.n_staged and now < self.staged_until:
            return
        self.n_staged = n_staged
        self.staged_until = now + self.settings.ticket_lifetime_s

    def check_invariants(self, n_running, n_pending):
        """Check the bounds on running requests and open tickets.

        See docs/design.md section 5.

        After the limit has been reduced, more requests may run than there are places,
        but their number must not rise.

        :raises InvariantError: if a bound does not hold.
        """
        n_places = self.n_places
        check_invariant(
            n_running <= max(n_places, self.n_running_at_last_check),
            "running_within_places",
            f"{n_running} running, {self.n_running_at_last_check} before, "
            f"{n_places} places",
        )
        self.n_running_at_last_check = n_running
        n_open = self.tickets.n_open
        n_total = n_running + n_pending + n_open
        bound = n_places + self.n_staged
        check_invariant(
            n_open == 0 or n_total <= bound,
            "tickets_within_places",
            f"{n_running} running, {n_pending} staged, {n_open} tickets, bound {bound}",
        )
