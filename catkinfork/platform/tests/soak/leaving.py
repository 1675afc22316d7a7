"""The check on servers that the store has let go."""

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.checks import Violation
from catkinfork.platform.tests.soak.settings import DRAIN_S


def find_after_withdrawal(facts):
    """Return the requests that reach a server too late after it was withdrawn.

    They were sent by callers later than ``drain_ms`` after the store had accepted that
    the server leaves, through hosts in touch. A driver that stood still meanwhile
    excuses them: the store and the server run in it.
    """
    requests = {request.id: request for request in facts.records.requests}
    found = []
    for span in facts.spans[r.WITHDRAWN]:
        for run in facts.records.runs:
            request = requests.get(run.id)
            if run.server != span.target or run.outcome == r.REJECTED or not request:
                continue
            sent_at = request.began_at
            if not span.began_at + DRAIN_S < sent_at <= span.ended_at:
                continue
            stalls = facts.list_spans(
                (r.DRIVER,), {r.ALL_HOSTS}, span.began_at, run.began_at
            )
            if stalls or not facts.is_in_touch(request.host, run.began_at):
                continue
            text = (
                f"sent at {sent_at:.3f}, reaches {run.server}, which the store had let "
                f"go at {span.began_at:.3f}"
            )
            place = (request.host,)
            found.append(Violation("DRAIN", run.began_at, request.id, place, text))
    return found
