"""Tickets, each of which permits the start of one request."""

from catkinfork.protocol import Ticket


class TicketTable:
    """Open tickets of one incarnation of the agent.

    :param settings: :class:`ExecutionSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.issued_at = {}
        self.n_issued = 0

    def issue(self, now):
        """Issue one more ticket."""
        self.n_issued += 1
        self.issued_at[self.n_issued] = now

    def compute_age_s(self, number, now):
        """Return the age of a ticket in seconds, or None if it is not valid."""
        issued_at = self.issued_at.get(number)
        if issued_at is None:
            return None
        age_s = now - issued_at
        return age_s if age_s < self.settings.ticket_lifetime_s else None

    def redeem(self, number, now):
        """Redeem a ticket.

        :returns: its age in seconds, or None if it is unknown, redeemed, revoked or
            expired.
        """
        age_s = self.compute_age_s(number, now)
        self.issued_at.pop(number, None)
        return age_s

    def revoke(self, numbers):
        """Revoke tickets; numbers that are not open are ignored."""
        for number in numbers:
            self.issued_at.pop(number, None)

    def remove_expired(self, now):
        """Remove the tickets whose lifetime has expired."""
        self.revoke(
            [
                number
                for number in self.issued_at
                if self.compute_age_s(number, now) is None
            ]
        )

    def resize(self, n_wanted, now):
        """Issue tickets, or revoke the newest, until ``n_wanted`` of them are open."""
        while len(self.issued_at) > n_wanted:
            self.issued_at.popitem()
        while len(self.issued_at) < n_wanted:
            self.issue(now)

    def revoke_all(self):
        """Revoke all tickets."""
        self.issued_at.clear()

    def list_open(self, now):
        """Return the open tickets with their ages, oldest first."""
        return [
            Ticket(number, int((now - issued_at) * 1000))
            for number, issued_at in self.issued_at.items()
        ]

    @property
    def n_open(self):
        """Number of open tickets."""
        return len(self.issued_at)
