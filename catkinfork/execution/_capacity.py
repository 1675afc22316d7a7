"""How much work the backend server takes now, and the tickets for it."""

from catkinfork.execution._handover import HandoverMeter
from catkinfork.execution._limiter import Limiter
from catkinfork.execution._tickets import TicketBook
from catkinfork.protocol import check_invariant

OUT = "out"
LEAVING = "leaving"
DOWN = "down"
COLD = "cold"
WARM = "warm"

# After a refused connection the next requests would be refused as well and use up
# their retries; health checks are at least this frequent.
REFUSED_PAUSE_S = 0.5
COLD_HOLD_S = 120.0


class Capacity:
    """Places, staged requests and open tickets of one backend server.

    The server counts as down until the first health check has succeeded.

    :param settings: :class:`ExecutionSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.limiter = Limiter()
        self.tickets = TicketBook(settings)
        self.handover = HandoverMeter()
        self.is_in_service = False
        self.is_leaving = False
        self.is_up = False
        self.is_reported_cold = False
        self.cold_since = float("-inf")
        self.was_open = False
        self.paused_until = float("-inf")
        self.n_staged = 0
        self.staged_until = float("-inf")
        self.n_running_before = 0

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
        """Return how many requests may run, none just after a refused connection."""
        return self.n_places if now >= self.paused_until else 0

    def note_success(self, started_at, now):
        """Count a success; a server that reports a cold start stays at its limit.

        Growth would probe for the load that makes it fall over. A server that never
        stops reporting it is probed after a while all the same.
        """
        if self.is_reported_cold and now - self.cold_since < COLD_HOLD_S:
            return
        self.limiter.note_success(started_at)

    def note_all_producing(self, n_running, now):
        """Note that all running requests produce; see :class:`Limiter`."""
        if not self.is_reported_cold:
            self.limiter.note_all_producing(n_running, now)

    def note_health(self, is_up, is_cold, now):
        """Take the result of a health check."""
        if is_up and is_cold and not self.is_reported_cold:
            self.limiter.reset(now)
            self.cold_since = now
        self.is_up = is_up
        self.is_reported_cold = is_up and is_cold

    def note_refused_connection(self, started_at, now):
        """Fall to one place and open no ticket for a moment."""
        self.limiter.note_lost_connection(started_at, now)
        self.paused_until = now + REFUSED_PAUSE_S

    def reopen(self, now):
        """Follow a change between open and closed.

        :returns: whether it has changed.
        """
        if self.is_open == self.was_open:
            return False
        self.was_open = self.is_open
        if self.is_open:
            self.limiter.reset(now)
        return True

    def refill(self, n_running, n_pending, now):
        """Open and void tickets so that they fit the places that are left."""
        self.tickets.expire(now)
        if not self.is_open or now < self.paused_until:
            self.tickets.void()
            return
        self.measure_staged(now)
        n_left = self.n_places + self.n_staged - n_running - n_pending
        self.tickets.resize(max(0, n_left), now)

    def measure_staged(self, now):
        """Follow the hand-over meter, upwards at once and downwards slowly.

        A lower value voids tickets, so it is held for a ticket's lifetime.
        """
        n_staged = self.handover.count_staged(self.n_places, now)
        if n_staged < self.n_staged and now < self.staged_until:
            return
        self.n_staged = n_staged
        self.staged_until = now + self.settings.ticket_lifetime_s

    def check_invariants(self, n_running, n_pending):
        """Check the bounds of section 5.

        Running requests may exceed the places after the limit has fallen, but their
        number must not rise then.

        :raises InvariantError: if a bound does not hold.
        """
        n_places = self.n_places
        check_invariant(
            n_running <= max(n_places, self.n_running_before),
            "running_within_places",
            f"{n_running} running, {self.n_running_before} before, {n_places} places",
        )
        self.n_running_before = n_running
        n_open = self.tickets.n_open
        n_total = n_running + n_pending + n_open
        bound = n_places + self.n_staged
        check_invariant(
            n_open == 0 or n_total <= bound,
            "tickets_within_places",
            f"{n_running} running, {n_pending} staged, {n_open} tickets, bound {bound}",
        )
