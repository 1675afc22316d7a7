"""Reports to the dispatcher of the pool."""

from catkinfork.protocol import AgentReport, Send

REPORT_INTERVAL_S = 0.25
MIN_REPORT_GAP_S = 0.005


class Reporter:
    """Numbers the reports and decides when the next one is due.

    :param meter: :class:`ServiceMeter`.
    """

    def __init__(self, meter):
        self.meter = meter
        self.dispatcher = ""
        self.dispatcher_incarnation = 0
        self.sequence = 0
        self.acked = 0
        self.needs_whole = True
        self.first_whole = 0
        self.sent_at = float("-inf")
        self.sent_view = None

    def set_dispatcher(self, address):
        """Set the address that gets the reports, empty for none.

        :returns: whether it has changed.
        """
        if address == self.dispatcher:
            return False
        self.dispatcher = address
        self.dispatcher_incarnation = 0
        self.sent_at = float("-inf")
        self.ask_whole()
        return True

    def ask_whole(self):
        """Send whole reports from now on until one is acknowledged."""
        self.needs_whole = True
        self.first_whole = self.sequence + 1

    def is_due(self, view, now):
        """Return whether a report is to be sent.

        :param view: the values that are sent at once when they change.
        """
        if not self.dispatcher:
            return False
        since_s = now - self.sent_at
        if since_s >= REPORT_INTERVAL_S:
            return True
        return view != self.sent_view and since_s >= MIN_REPORT_GAP_S

    def report(self, view, now, **values):
        """Return the send of the next report.

        :param view: the values of :meth:`is_due`.
        :param values: the fields of the report that are not kept here.
        """
        self.sequence += 1
        self.sent_at = now
        self.sent_view = view
        delivered = self.meter.list_delivered(self.needs_whole)
        self.meter.note_sent(self.sequence)
        report = AgentReport(
            sequence=self.sequence,
            delivered=delivered,
            is_whole=self.needs_whole,
            **values,
        )
        return Send(self.dispatcher, report)

    def is_from_dispatcher(self, sender, ack):
        """Return whether an acknowledgement is the dispatcher's own and not late."""
        return sender.name == self.dispatcher and (
            self.acked <= ack.sequence <= self.sequence
        )

    def take_ack(self, sender, ack):
        """Take an acknowledgement that passed :meth:`is_from_dispatcher`.

        :returns: whether the dispatcher process is another one than before, so that
            it does not know which tickets were granted.
        """
        known = self.dispatcher_incarnation
        self.dispatcher_incarnation = sender.incarnation
        self.acked = ack.sequence
        if known not in (0, sender.incarnation):
            self.ask_whole()
            return True
        if self.needs_whole and ack.sequence < self.first_whole:
            return False
        self.needs_whole = False
        self.meter.note_acked(ack.sequence)
        if ack.wants_whole:
            self.ask_whole()
        return False
