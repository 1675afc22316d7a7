"""Reports to the dispatcher of the pool."""

from catkinfork.protocol import AgentReport, Send

REPORT_INTERVAL_S = 0.25
MIN_REPORT_INTERVAL_S = 0.005


class Reporter:
    """Assigns sequence numbers to reports and decides when the next one is due.

    :param meter: :class:`ServiceMeter`.
    """

    def __init__(self, meter):
        self.meter = meter
        self.dispatcher = ""
        self.dispatcher_incarnation = 0
        self.sequence = 0
        self.acked_sequence = 0
        self.needs_whole = True
        self.first_whole_sequence = 0
        self.sent_at = float("-inf")
        self.sent_urgent_values = None

    def set_dispatcher(self, address):
        """Set the address that receives the reports, empty for none.

        :returns: whether the address has changed.
        """
        if address == self.dispatcher:
            return False
        self.dispatcher = address
        self.dispatcher_incarnation = 0
        self.sent_at = float("-inf")
        self.ask_whole()
        return True

    def ask_whole(self):
        """Send full reports until one of them is acknowledged."""
        self.needs_whole = True
        self.first_whole_sequence = self.sequence + 1

    def is_due(self, urgent_values, now):
        """Return whether a report is due.

        :param urgent_values: values whose change is reported without waiting for
            ``REPORT_INTERVAL_S``.
        """
        if not self.dispatcher:
            return False
        since_s = now - self.sent_at
        if since_s >= REPORT_INTERVAL_S:
            return True
        return (
            urgent_values != self.sent_urgent_values
            and since_s >= MIN_REPORT_INTERVAL_S
        )

    def build_report(self, urgent_values, now, **values):
        """Build the next report and return the action that sends it.

        :param urgent_values: see :meth:`is_due`.
        :param values: the other fields of the report.
        """
        self.sequence += 1
        self.sent_at = now
        self.sent_urgent_values = urgent_values
        delivered = self.meter.list_delivered(self.needs_whole)
        self.meter.record_sent(self.sequence)
        report = AgentReport(
            sequence=self.sequence,
            delivered=delivered,
            is_whole=self.needs_whole,
            **values,
        )
        return Send(self.dispatcher, report)

    def is_from_dispatcher(self, sender, ack):
        """Return whether an acknowledgement is current and from the dispatcher."""
        return sender.name == self.dispatcher and (
            self.acked_sequence <= ack.sequence <= self.sequence
        )

    def handle_ack(self, sender, ack):
        """Handle an acknowledgement that passed :meth:`is_from_dispatcher`.

        :returns: whether the dispatcher has restarted and does not know which tickets
            were granted.
        """
        known = self.dispatcher_incarnation
        self.dispatcher_incarnation = sender.incarnation
        self.acked_sequence = ack.sequence
        if known not in (0, sender.incarnation):
            self.ask_whole()
            return True
        if self.needs_whole and ack.sequence < self.first_whole_sequence:
            return False
        self.needs_whole = False
        self.meter.record_acked(ack.sequence)
        if ack.wants_whole:
            self.ask_whole()
        return False
