"""Tickets that have lately been granted to this router."""

from collections import OrderedDict

# Longer than a ticket is valid, so that a second grant of it is recognised.
TICKET_RETENTION_S = 5.0
MAX_TICKETS = 8192


class RecentTickets:
    """Recent tickets by agent, incarnation and number.

    Two dispatchers may grant the same ticket; only the first grant counts.
    """

    def __init__(self):
        self.seen_at = OrderedDict()

    def record(self, grant, now):
        """Note a granted ticket.

        :param grant: :class:`GrantEntry`.
        :returns: whether it is granted for the first time.
        """
        self.remove_expired(now)
        key = (grant.agent, grant.agent_incarnation, grant.ticket)
        if key in self.seen_at:
            return False
        self.seen_at[key] = now
        return True

    def remove_expired(self, now):
        """Drop tickets that are no longer valid, and the oldest above the bound."""
        while self.seen_at:
            seen_at = next(iter(self.seen_at.values()))
            is_old = now - seen_at > TICKET_RETENTION_S
            if not is_old and len(self.seen_at) < MAX_TICKETS:
                return
            self.seen_at.popitem(last=False)
