"""Records of a soak with an index of what the checks look up."""

from collections import defaultdict

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.settings import CONTACT_S

# Delays of the driver that are this close together are one, seconds.
ADJACENT_S = 0.01


class Facts:
    """Records with an index of runs and disruptions."""

    def __init__(self, records):
        self.records = records
        self.runs = defaultdict(list)
        for run in records.runs:
            if run.outcome != r.REJECTED:
                self.runs[run.id].append(run)
        self.spans = defaultdict(list)
        for span in records.spans:
            self.spans[span.kind].append(span)

    def list_spans(self, kinds, targets, begin, end):
        """Return the disruptions of some kinds and targets that overlap a time."""
        return [
            span
            for kind in kinds
            for span in self.spans[kind]
            if span.target in targets
            and span.began_at <= end
            and span.ended_at >= begin
        ]

    def find_earliest(self, at):
        """Return the earliest time of what the driver has seen at a time."""
        for span in reversed(self.spans[r.DRIVER]):
            if span.began_at <= at <= span.ended_at + ADJACENT_S:
                at = span.began_at
        return at

    def list_servers(self, request):
        """Return the servers that ran a request."""
        return [run.server for run in self.runs[request.id]]

    def is_disturbed(self, request):
        """Return whether an unplanned disruption held for a request."""
        begin, end = request.began_at - CONTACT_S, request.ended_at
        servers = set(self.list_servers(request))
        return bool(
            self.list_spans((r.KILL, r.PAUSE, r.LINK), {request.host}, begin, end)
            or self.list_spans((r.CRASH, r.LINK), servers, begin, end)
        )

    def is_in_touch(self, host, at):
        """Return whether a host is in touch, for rules with a bound of time."""
        kinds = (r.START, r.STOP, r.KILL, r.PAUSE, r.LINK, r.STORE)
        targets = {host, r.ALL_HOSTS}
        return not self.list_spans(kinds, targets, at - CONTACT_S, at)
