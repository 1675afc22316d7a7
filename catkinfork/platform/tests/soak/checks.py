"""Checks of the promises, decided from the records of callers, servers and processes.

Each excuse is what the platform's rules allow; it stands beside its check.
"""

from collections import Counter
from itertools import pairwise
from typing import NamedTuple

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.facts import Facts
from catkinfork.platform.tests.soak.settings import (
    CONFIG_S,
    CONTACT_S,
    GRACE_S,
    LATE_S,
    LOSS_SLACK_S,
)

# Statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}
# Streams with events of two versions that break no rule.
MAX_JOINED = 2
MIN_RESUMED = 12
MIN_SERVERS = 2
# Responses that end this shortly before the deadline end at it.
DEADLINE_SLACK_S = 0.05
# A stop may cut what runs in the last sixth of the grace and was sent soon enough.
LAST_PART_S = GRACE_S * 5 / 6
SENT_EARLY_S = 3.0
AFTER_GRACE_S = 1.0
INTERPRETER_START_S = 0.1


class Violation(NamedTuple):
    """A broken promise.

    :param id: request or stream, if there is one.
    :param hosts: hosts whose logs tell more.
    """

    rule: str
    at: float
    id: str
    hosts: tuple[str, ...]
    text: str


def break_by(rule, request, text):
    """Return the violation of a rule by a request."""
    return Violation(rule, request.ended_at, request.id, (request.host,), text)


def find_violations(records):
    """Return all broken promises in order of time."""
    facts = Facts(records)
    found = [
        *find_lost(facts),
        *find_repeated(facts),
        *find_false_refusals(facts),
        *find_wrong(facts),
        *find_late(facts),
        *find_bad_exits(facts),
        *find_disordered(facts),
        *find_lost_streams(facts),
    ]
    return sorted(found, key=lambda violation: violation.at)


def find_lost(facts):
    """Return the whole requests whose connection ended without a complete response."""
    return [
        describe_lost(facts, request)
        for request in list_cut(facts.records)
        if not find_excuse(facts, request)
    ]


def list_cut(records):
    """Return the whole requests whose connection ended without a complete response."""
    return [
        request
        for request in records.requests
        if request.ending == r.CUT and request.sent_at is not None
    ]


def count_excuses(records):
    """Return how many requests of :func:`list_cut` each excuse holds for."""
    facts = Facts(records)
    excuses = [find_excuse(facts, request) for request in list_cut(records)]
    return Counter(excuse for excuse in excuses if excuse)


def find_excuse(facts, request):
    """Return why the rules allow that a request got no complete response, or ""."""
    runs = facts.runs[request.id]
    store = facts.list_spans(
        (r.STORE,),
        {request.host, r.ALL_HOSTS},
        request.began_at - CONTACT_S,
        request.ended_at,
    )
    excuses = {
        "an unplanned disruption, from contact_ms before it": facts.is_disturbed(
            request
        ),
        # No caller is idle for long, so only a stop closes without saying so.
        "it crossed the close and was not passed on": not runs
        and request.ended_at - request.sent_at <= LOSS_SLACK_S
        and (request.after_close or is_beside_stop(facts, request)),
        "the server broke off": any(run.outcome == r.CRASHED for run in runs),
        "its deadline was reached": request.ended_at
        >= request.deadline_at - DEADLINE_SLACK_S,
        # Disruption of the store excuses nothing for requests without a key.
        "a disruption of the store, with a key": request.kind == r.STREAM
        and bool(store),
        "it outlasted the grace of a stop": any(
            outlasts_grace(facts, span, request) for span in facts.spans[r.STOP]
        ),
    }
    return next((text for text, holds in excuses.items() if holds), "")


def is_beside_stop(facts, request):
    """Return whether the process that took a request had been asked to stop."""
    return any(
        span.target == request.host
        and span.began_at <= request.ended_at
        and request.began_at <= find_end(facts, span)
        for span in facts.spans[r.STOP]
    )


def find_end(facts, stop):
    """Return when the process that was asked to stop had ended at the latest."""
    exits = [one for one in facts.records.exits if one.host == stop.target]
    ends = [one.ended_at for one in exits if one.ended_at >= stop.began_at]
    return min([*ends, stop.began_at + GRACE_S + AFTER_GRACE_S])


def outlasts_grace(facts, stop, request):
    """Return whether a stop may cut a request.

    The server was still at work on it in the last sixth of the grace, and it was sent
    no later than 3 s after the SIGTERM. A driver that is late sees the cut later.
    """
    last_part_at = stop.began_at + LAST_PART_S
    cut_at = facts.find_earliest(request.ended_at)
    return (
        stop.target == request.host
        and request.sent_at <= stop.began_at + SENT_EARLY_S
        and request.ended_at >= last_part_at
        and cut_at <= stop.began_at + GRACE_S + AFTER_GRACE_S
        and any(
            run.began_at <= last_part_at <= run.ended_at
            for run in facts.runs[request.id]
        )
    )


def describe_lost(facts, request):
    """Return the violation of a lost request, with the planned work beside it."""
    runs = facts.runs[request.id]
    seen = ", ".join(
        f"{run.server} {run.began_at:.3f} to {run.ended_at:.3f} {run.outcome}"
        for run in runs
    )
    beside = [
        span.kind
        for kind, after_s in (
            (r.STOP, GRACE_S + AFTER_GRACE_S),
            (r.RELOAD, CONFIG_S),
            (r.CONFIGURATION, CONFIG_S + AFTER_GRACE_S),
        )
        for span in facts.spans[kind]
        if span.target in (request.host, r.ALL_HOSTS)
        and span.began_at <= request.ended_at
        and request.began_at <= max(span.ended_at, span.began_at + after_s)
    ]
    place = ", ".join(sorted(set(beside))) or "nothing planned"
    text = (
        f"{request.kind}, request {request.position} of its connection, begun at "
        f"{request.began_at:.3f}, sent at {request.sent_at:.3f}, cut with status "
        f"{request.status}, beside {place}; servers: {seen or 'none'}"
    )
    return break_by("LOST", request, text)


def find_repeated(facts):
    """Return the unsafe requests that ran more than once. Nothing excuses it."""
    return [
        break_by("TWICE", request, f"ran at {facts.list_servers(request)}")
        for request in facts.records.requests
        if request.kind == r.UNSAFE and len(facts.runs[request.id]) > 1
    ]


def find_false_refusals(facts):
    """Return the unsafe requests that were refused and ran. Nothing excuses it."""
    return [
        break_by(
            "REFUSED",
            request,
            f"status {request.status}, ran at {facts.list_servers(request)}",
        )
        for request in facts.records.requests
        if request.kind == r.UNSAFE
        and request.status in PROMISES
        and facts.runs[request.id]
    ]


def find_wrong(facts):
    """Return the responses and requests whose body was changed. Nothing excuses it."""
    found = [
        break_by("MIXED", one, f"status {one.status}")
        for one in facts.records.requests
        if one.ending == r.WRONG
    ]
    found += [
        Violation("UNASKED", run.began_at, run.id, (), f"changed, at {run.server}")
        for run in facts.records.runs
        if run.outcome == r.CHANGED
    ]
    return found


def find_late(facts):
    """Return the requests without a final response shortly after their deadline."""
    endings = (r.COMPLETE, r.CUT, r.NO_RESPONSE)
    return [
        break_by(
            "LATE",
            request,
            f"{request.kind}, status {request.status}, {request.ending} "
            f"{request.ended_at - request.deadline_at:.3f} s after the deadline",
        )
        for request in facts.records.requests
        if request.ending in endings
        and request.ended_at > request.deadline_at + LATE_S
        # The host stood still, was killed or cut off; or the callers were late.
        and not facts.is_disturbed(request)
        and not facts.list_spans(
            (r.DRIVER,), {r.ALL_HOSTS}, request.began_at, request.ended_at
        )
    ]


def find_bad_exits(facts):
    """Return the processes that ended by themselves, or badly in a planned stop."""
    return [
        Violation(
            "EXIT",
            one.ended_at,
            "",
            (one.host,),
            f"exit code {one.code}, {one.ended_at - one.started_at:.3f} s after the "
            "start; " + ", ".join(f"{s.name} at {s.at:.3f}" for s in one.signals[-4:]),
        )
        for one in facts.records.exits
        if not is_exit_proper(one)
    ]


def is_exit_proper(one):
    """Return whether a process ended as its signals demand."""
    names = [signal.name for signal in one.signals]
    if any(one.code < 0 and is_too_early(one, signal) for signal in one.signals):
        # No program handles a signal before its interpreter runs.
        return True
    if "SIGKILL" in names or "SIGSTOP" in names:
        # A kill or a freeze is no planned stop.
        return True
    return one.code == 0 and ("SIGTERM" in names or "SIGINT" in names)


def is_too_early(one, signal):
    """Return whether a signal came before a process could handle it."""
    return signal.is_early or signal.at - one.started_at < INTERPRETER_START_S


def find_disordered(facts):
    """Return the streams with missing or doubled events, or joined versions."""
    found, joined = [], []
    for stream in facts.records.streams:
        numbers = [0, *(event.number for event in stream.events)]
        gaps = [pair for pair in pairwise(numbers) if pair[1] != pair[0] + 1]
        if gaps:
            found.append(describe_stream(stream, f"numbers {gaps}"))
        elif stream.is_whole and numbers[-1] != stream.n_expected:
            found.append(describe_stream(stream, f"ends after {numbers[-1]} events"))
        if len({event.version for event in stream.events}) > 1:
            joined.append(describe_stream(stream, "joined from two versions"))
    # More than two streams with events of two versions break the rule.
    return found + (joined if len(joined) > MAX_JOINED else [])


def describe_stream(stream, text):
    """Return the violation of a stream."""
    tries = ", ".join(
        f"{one.request_id} at {one.host} from {one.n_before} brought {one.n_events}"
        for one in stream.tries
    )
    hosts = tuple(dict.fromkeys(one.host for one in stream.tries))
    at = stream.tries[-1].began_at
    return Violation("ORDER", at, stream.name, hosts, f"{text}; {tries}")


def find_lost_streams(facts):
    """Return that too few of the streams that were taken up again went on."""
    new, resumed = [], []
    for stream in facts.records.streams:
        for one in stream.tries:
            if not facts.is_in_touch(one.host, one.began_at):
                continue
            if not one.n_before:
                new.append(one)
            elif one.n_before < stream.n_expected and has_servers(facts, stream, one):
                resumed.append(one)
    if len(resumed) < MIN_RESUMED:
        return []
    share_new = sum(one.n_events > 0 for one in new) / max(1, len(new))
    failed = [one for one in resumed if not one.n_events]
    if 1.0 - len(failed) / len(resumed) >= share_new / 2:
        return []
    hosts = tuple(dict.fromkeys(one.host for one in failed))
    text = (
        f"{len(failed)} of {len(resumed)} streams that were taken up again did not go "
        f"on; new ones begin in {share_new:.2f}: {[one.request_id for one in failed]}"
    )
    return [Violation("LOST streams", failed[0].began_at, "", hosts, text)]


def has_servers(facts, stream, one):
    """Return whether two servers of a stream's version serve when it is taken up."""
    version = stream.events[0].version
    counts = [
        count.n_servers
        for count in facts.records.version_counts
        if count.version == version and count.at <= one.began_at
    ]
    return bool(counts) and counts[-1] >= MIN_SERVERS


def find_unreported_runs(records):
    """Return the posts that ran to their end and were answered 504: no broken rule."""
    facts = Facts(records)
    return [
        request
        for request in records.requests
        if request.kind == r.UNSAFE
        and request.status == 504
        and any(run.outcome == r.ANSWERED for run in facts.runs[request.id])
    ]
