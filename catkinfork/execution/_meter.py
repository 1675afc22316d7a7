"""Counters of the service delivered to each workspace."""

from catkinfork.protocol import Delivered

# A report must fit into a control frame of 64 KiB together with tickets and suspects.
MAX_DELIVERED_BYTES = 48 * 1024
# Array header and five integers of at most 9 bytes, without the workspace name.
ENTRY_OVERHEAD_BYTES = 50


class ServiceMeter:
    """Cumulative counters of one incarnation of the agent.

    ``changed_in_report`` maps each workspace with an unacknowledged change to the
    sequence number of the first report that contains its latest change. The entry is
    removed when that report is acknowledged.
    """

    def __init__(self):
        self.totals = {}
        self.changed_in_report = {}
        self.next_report = 1

    def update_total(
        self, workspace, units=0, n_in_flight=0, n_finished=0, units_in_flight=0
    ):
        """Add to the counters of a workspace."""
        total = self.totals.pop(workspace, None)
        if total is None:
            total = Delivered(workspace, 0, 0, 0, 0)
        self.totals[workspace] = Delivered(
            workspace,
            total.units + units,
            total.n_in_flight + n_in_flight,
            total.n_finished + n_finished,
            total.units_in_flight + units_in_flight,
        )
        # Moved to the end, so that the oldest changes are reported first.
        self.changed_in_report.pop(workspace, None)
        self.changed_in_report[workspace] = self.next_report

    def note_start(self, workspace):
        """Count a request that starts to run."""
        self.update_total(workspace, n_in_flight=1)

    def note_units(self, workspace, units):
        """Count service delivered to a running request."""
        if units > 0:
            self.update_total(workspace, units=units, units_in_flight=units)

    def note_end(self, workspace, units_recorded, units_total):
        """Count the end of a request; the counters never decrease.

        :param workspace: workspace name.
        :param units_recorded: units that were counted while it ran.
        :param units_total: units of the whole request.
        """
        units = max(0, units_total - units_recorded)
        self.update_total(workspace, units, -1, 1, -units_recorded)

    def record_sent(self, sequence):
        """Record a sent report; later changes belong to the next one."""
        self.next_report = sequence + 1

    def record_acked(self, sequence):
        """Clear the changes that an acknowledged report contained."""
        for workspace, report_number in list(self.changed_in_report.items()):
            if report_number <= sequence:
                del self.changed_in_report[workspace]

    def list_delivered(self, is_whole):
        """Return the totals with unacknowledged changes, or all totals.

        Changes that do not fit into the report are deferred to the next one. If all
        totals do not fit, those that changed least recently are left out.
        """
        if is_whole:
            return self.list_all()
        delivered, n_bytes = [], 0
        for workspace in list(self.changed_in_report):
            n_bytes += ENTRY_OVERHEAD_BYTES + len(workspace)
            if n_bytes > MAX_DELIVERED_BYTES:
                self.changed_in_report[workspace] = self.next_report + 1
            else:
                delivered.append(self.totals[workspace])
        return delivered

    def list_all(self):
        """Return as many totals as fit, most recently changed first."""
        delivered, n_bytes = [], 0
        for workspace in reversed(self.totals):
            n_bytes += ENTRY_OVERHEAD_BYTES + len(workspace)
            if n_bytes > MAX_DELIVERED_BYTES:
                break
            delivered.append(self.totals[workspace])
        return delivered
