"""Totals of the service delivered to each workspace."""

from catkinfork.protocol import Delivered

# A report must fit into a control frame of 64 KiB, with room for tickets and suspects.
MAX_DELIVERED_BYTES = 48 * 1024
# Array header and five integers of at most 9 bytes; the name comes on top.
ENTRY_BYTES = 50


class ServiceMeter:
    """Grow-only totals of one incarnation of the agent.

    ``changed_in`` holds, for each workspace, the number of the first report that shows
    its latest change; an acknowledgement of that report makes it clean.
    """

    def __init__(self):
        self.totals = {}
        self.changed_in = {}
        self.next_report = 1

    def change(self, workspace, units=0, n_in_flight=0, n_finished=0, units_open=0):
        """Add to the totals of a workspace."""
        total = self.totals.pop(workspace, None)
        if total is None:
            total = Delivered(workspace, 0, 0, 0, 0)
        self.totals[workspace] = Delivered(
            workspace,
            total.units + units,
            total.n_in_flight + n_in_flight,
            total.n_finished + n_finished,
            total.units_in_flight + units_open,
        )
        # Moved to the end, so that the oldest changes are reported first.
        self.changed_in.pop(workspace, None)
        self.changed_in[workspace] = self.next_report

    def note_start(self, workspace):
        """Count a request that starts to run."""
        self.change(workspace, n_in_flight=1)

    def note_units(self, workspace, units):
        """Count service delivered to a running request."""
        if units > 0:
            self.change(workspace, units=units, units_open=units)

    def note_end(self, workspace, units_noted, units_total):
        """Count the end of a request.

        :param workspace: workspace name.
        :param units_noted: units that were counted while it ran.
        :param units_total: units of the whole request; totals never fall.
        """
        units = max(0, units_total - units_noted)
        self.change(workspace, units, -1, 1, -units_noted)

    def note_sent(self, sequence):
        """Note that a report was sent; later changes belong to the next one."""
        self.next_report = sequence + 1

    def note_acked(self, sequence):
        """Drop the changes that an acknowledged report has shown."""
        for workspace, changed_in in list(self.changed_in.items()):
            if changed_in <= sequence:
                del self.changed_in[workspace]

    def list_delivered(self, is_whole):
        """Return the totals that changed, or all of them.

        Changes that do not fit into the report stay for the next one. A whole list
        that does not fit loses the entries that were unchanged for longest.
        """
        if is_whole:
            return self.list_whole()
        delivered, n_bytes = [], 0
        for workspace in list(self.changed_in):
            n_bytes += ENTRY_BYTES + len(workspace)
            if n_bytes > MAX_DELIVERED_BYTES:
                self.changed_in[workspace] = self.next_report + 1
            else:
                delivered.append(self.totals[workspace])
        return delivered

    def list_whole(self):
        """Return all totals, the latest changes first, as far as they fit."""
        delivered, n_bytes = [], 0
        for workspace in reversed(self.totals):
            n_bytes += ENTRY_BYTES + len(workspace)
            if n_bytes > MAX_DELIVERED_BYTES:
                break
            delivered.append(self.totals[workspace])
        return delivered
