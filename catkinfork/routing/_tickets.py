"""Detection of tickets that are granted to this router more than once."""

from collections import OrderedDict

# Longer than a ticket is valid, so that a second grant of it is always detected.
TICKET_RETENTION_S = 5.0
MAX_TICKETS = 8192


class RecentTickets:
    """Recently granted tickets by agent, incarnation and number.

    Two dispatchers may grant the same ticket; only the first grant counts.
    """

    def __init__(self):
        self.seen_at = OrderedDict()

    def record(self, grant, now):
        """Record a granted ticket.

        :param grant: :class:`GrantEntry`.
        :returns: whether this is the first grant of the ticket.
        """
        self.remove_expired(now)
        key = (grant.agent, grant.agent_incarnation, grant.ticket)
        if key in self.seen_at:
            return False
        self.seen_at[key] = now
        return True

    def remove_expired(self, now):
        """Remove tickets past their retention, and the oldest above ``MAX_TICKETS``."""
        while self.seen_at:
            seen_at = next(iter(self.seen_at.values()))
            is_old = now - seen_at > TICKET_RETENTION_S
            if not is_old and len(self.seen_at) < MAX_TICKETS:
                return
            self.seen_at.popitem(last=False)
