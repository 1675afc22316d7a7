"""Tickets: rights to start one request each."""

from catkinfork.protocol import Ticket


class TicketBook:
    """Open tickets of one incarnation of the agent.

    :param settings: :class:`ExecutionSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.issued_at = {}
        self.n_issued = 0

    def issue(self, now):
        """Open one more ticket."""
        self.n_issued += 1
        self.issued_at[self.n_issued] = now

    def measure_age(self, number, now):
        """Return the age of a ticket in seconds, or None if it is not valid."""
        issued_at = self.issued_at.get(number)
        if issued_at is None:
            return None
        age_s = now - issued_at
        return age_s if age_s < self.settings.ticket_lifetime_s else None

    def take(self, number, now):
        """Use a ticket.

        :returns: its age in seconds, or None if it is unknown, used or expired.
        """
        age_s = self.measure_age(number, now)
        self.issued_at.pop(number, None)
        return age_s

    def withdraw(self, numbers):
        """Void some tickets; numbers that are not open are ignored."""
        for number in numbers:
            self.issued_at.pop(number, None)

    def expire(self, now):
        """Void the tickets that are too old."""
        self.withdraw(
            [
                number
                for number in self.issued_at
                if self.measure_age(number, now) is None
            ]
        )

    def resize(self, n_wanted, now):
        """Open or void tickets, newest first, until a number of them is open."""
        while len(self.issued_at) > n_wanted:
            self.issued_at.popitem()
        while len(self.issued_at) < n_wanted:
            self.issue(now)

    def void(self):
        """Void all tickets."""
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
