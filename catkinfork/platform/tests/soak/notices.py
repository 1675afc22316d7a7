"""What backend servers ask for in their answers, and the checks on it."""

from bisect import bisect_right
from collections import defaultdict
from itertools import groupby

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.checks import Violation
from catkinfork.platform.tests.soak.settings import CONTACT_S, DRAIN_S

# A host obeys a limit, or a pause, this long after the answer that names it, seconds.
NOTICE_SLACK_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
N_LIMIT_SLACK = 5
# Requests that may reach a server in a pause that it has asked for.
MAX_IN_PAUSE = 2
# Disruptions of a host after which it need not know what it was told before.
FORGETTING = (r.START, r.KILL, r.PAUSE, r.LINK)


def find_notice_violations(facts):
    """Return the broken promises on what servers ask for."""
    requests = {request.id: request for request in facts.records.requests}
    arrivals = defaultdict(list)
    for one in facts.records.arrivals:
        if one.id in requests:
            arrivals[one.server].append((one, requests[one.id]))
    found = []
    for server, pairs in arrivals.items():
        found += find_over_limit(facts, server, pairs)
        found += find_after_leaving(facts, server, pairs)
        found += find_in_pause(facts, server, pairs)
    return found


def find_notice(facts, notices, host, before, at):
    """Return when a host was told what it has to know at a time, or None.

    :param notices: times at which each host had passed on an answer, in order.
    :param before: only answers that were passed on no later count.
    """
    index = bisect_right(notices[host], before)
    told_at = notices[host][index - 1] if index else None
    if told_at is None or facts.list_spans(FORGETTING, {host}, told_at, at):
        return None
    return told_at


def list_notices(pairs):
    """Return the times at which each host had passed on an answer, in order."""
    notices = defaultdict(list)
    for _, request in pairs:
        if request.ending == r.COMPLETE:
            notices[request.host].append(request.ended_at)
    for times in notices.values():
        times.sort()
    return notices


def find_over_limit(facts, server, pairs):
    """Return that a server got more requests than the limit that it names allows.

    Where the limit changes, the highest one since ``contact_ms`` before is allowed.
    """
    answered = [pair for pair in pairs if pair[0].answered_at is not None]
    answered.sort(key=lambda pair: pair[0].answered_at)
    for is_limited, group in groupby(answered, lambda pair: pair[0].limit > 0.0):
        if not is_limited:
            continue
        phase = list(group)
        begin = phase[0][0].answered_at + CONTACT_S
        end = phase[-1][0].answered_at
        notices = list_notices(phase)
        counted = sorted(
            one.arrived_at
            for one, request in pairs
            if begin <= one.arrived_at <= end
            and find_notice(
                facts,
                notices,
                request.host,
                one.arrived_at - NOTICE_SLACK_S,
                one.arrived_at,
            )
        )
        for number, at in enumerate(counted):
            until = at + LIMIT_WINDOW_S
            n_requests = sum(one <= until for one in counted[number:])
            limit = max(
                one.limit
                for one, _ in phase
                if at - CONTACT_S <= one.answered_at <= until
            )
            n_allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + N_LIMIT_SLACK
            if n_requests > n_allowed:
                text = f"{server} got {n_requests} in 4 s, {n_allowed:.1f} are allowed"
                return [Violation("LIMIT", at, "", tuple(sorted(notices)), text)]
    return []


def find_after_leaving(facts, server, pairs):
    """Return the requests that reach a server which has said that it leaves."""
    notices = list_notices([pair for pair in pairs if pair[0].is_leaving])
    found = []
    for one, request in pairs:
        before = request.began_at - DRAIN_S
        told_at = find_notice(facts, notices, request.host, before, one.arrived_at)
        if told_at is not None and before > told_at:
            text = (
                f"sent at {request.began_at:.3f}, reaches {server}, which had said "
                f"through this host at {told_at:.3f} that it leaves"
            )
            place = (request.host,)
            found.append(Violation("DRAIN", one.arrived_at, request.id, place, text))
    return found


def find_in_pause(facts, server, pairs):
    """Return that a host sends to a server that has asked it for a pause."""
    for one, request in pairs:
        end = (one.answered_at or 0.0) + one.pause_s
        if not one.pause_s or request.ended_at < one.answered_at:
            continue
        begin = one.answered_at + NOTICE_SLACK_S
        late = [
            later.id
            for later, sent in pairs
            if sent.host == request.host and begin < later.arrived_at < end
        ]
        spans = facts.list_spans(FORGETTING, {request.host}, one.answered_at, end)
        if len(late) > MAX_IN_PAUSE and not spans:
            text = f"{server} asked for {one.pause_s:.1f} s and got {late}"
            return [Violation("BUDGET", begin, one.id, (request.host,), text)]
    return []
