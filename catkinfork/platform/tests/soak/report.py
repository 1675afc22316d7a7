"""Report of a soak run."""

from collections import Counter
from typing import NamedTuple

from catkinfork.platform.tests.soak.checks import (
    Violation,
    count_excuses,
    find_unreported_runs,
    find_violations,
)
from catkinfork.platform.tests.soak.crashing import find_crash_violations
from catkinfork.platform.tests.soak.facts import Facts
from catkinfork.platform.tests.soak.leaving import find_after_withdrawal
from catkinfork.platform.tests.soak.notices import find_notice_violations
from catkinfork.platform.tests.soak.records import (
    COMPLETE,
    CUT,
    LEFT,
    REJECTED,
    Request,
)


class Report(NamedTuple):
    """Result of a run.

    :param violations: broken promises.
    :param unreported: posts that ran to their end and were answered 504.
    :param responses: number of requests by kind and status, or ending.
    :param excuses: number of whole requests without a complete response by excuse.
    """

    violations: list[Violation]
    unreported: list[Request]
    responses: Counter
    excuses: Counter
    n_runs: int
    n_exits: int
    n_streams: int
    n_resumed: int
    n_disruptions: Counter

    def list_lines(self):
        """Return the report as lines of text."""
        lines = [
            f"disruptions: {dict(sorted(self.n_disruptions.items()))}",
            f"responses: {dict(sorted(self.responses.items()))}",
            f"excused: {dict(sorted(self.excuses.items()))}",
            f"{self.n_runs} runs at servers, {self.n_exits} ends of processes, "
            f"{self.n_streams} streams, {self.n_resumed} taken up again",
        ]
        lines += [
            f"finding: {one.id} at {one.host} answered 504 at {one.ended_at:.3f} after "
            "it ran to its end"
            for one in self.unreported
        ]
        lines += [
            f"BROKEN {one.rule} at {one.at:.3f} {one.id} {'/'.join(one.hosts)}: "
            f"{one.text}"
            for one in self.violations
        ]
        lines.append(f"{len(self.violations)} broken promises")
        return lines


def make_report(records):
    """Check the records of a run, and return its report."""
    return Report(
        find_all_violations(records),
        find_unreported_runs(records),
        Counter(describe_ending(request) for request in records.requests),
        count_excuses(records),
        sum(run.outcome != REJECTED for run in records.runs),
        len(records.exits),
        len(records.streams),
        sum(one.n_before > 0 for stream in records.streams for one in stream.tries),
        Counter(span.kind for span in records.spans),
    )


def find_all_violations(records):
    """Return all broken promises in order of time."""
    facts = Facts(records)
    found = [
        *find_violations(records),
        *find_crash_violations(facts),
        *find_notice_violations(facts),
        *find_after_withdrawal(facts),
    ]
    return sorted(found, key=lambda violation: violation.at)


def describe_ending(request):
    """Return the kind of a request with its status or its ending."""
    if request.ending == COMPLETE:
        return f"{request.kind} {request.status}"
    ending = request.ending
    if ending == CUT and request.sent_at is None:
        ending = "cut while it was sent"
    return f"{request.kind} {ending}" if ending != LEFT else f"{request.kind} left"
