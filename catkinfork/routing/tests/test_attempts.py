"""Attempts under late, duplicate, reordered and lost messages, and restarts."""

import pytest

from catkinfork.document import OUT, rank_key_servers
from catkinfork.membership import ReplaceConnection
from catkinfork.protocol import (
    Cancel,
    ResponseAck,
    Resume,
    Sender,
    Start,
    StartRefused,
)
from catkinfork.routing import NOT_RUN, UNKNOWN, Refuse
from catkinfork.routing.tests.fixtures import (
    AGENTS,
    DISPATCHERS,
    list_answers,
    list_demands,
    list_messages,
    make_grant,
    make_part,
    make_request,
    make_router,
    make_view,
    start_one,
)

AGENT = AGENTS["runner-1"]
NEWER = AGENT._replace(incarnation=6000)
OWNED_KEY = next(
    key
    for key in "abcdefgh"
    if rank_key_servers(make_view(), "dealers", key, "draft")[0] == "runner-1"
)
IDEMPOTENT = {}
UNSAFE = {"is_idempotent": False}
KEYED = {"key": OWNED_KEY}

PART_SERIES = {
    "in order": ([0, 1, 2], "0.1.2.", 0),
    "duplicate": ([0, 0, 1, 1, 0, 2], "0.1.2.", 0),
    "reordered": ([1, 0, 2, 1, 2], "0.1.2.", 2),
    "missing": ([0, 2, 3], "0.", 1),
    "resent after a gap": ([0, 2, 1, 2], "0.1.2.", 1),
}


@pytest.mark.parametrize("name", PART_SERIES)
def test_parts_pass_in_order(name):
    """Guards against a response with missing, duplicate or reordered parts."""
    series, data, n_resumes = PART_SERIES[name]
    core = make_router()
    start = start_one(core, make_request("a"))
    actions = []
    for sequence in series:
        actions += core.handle(AGENT, make_part(start, sequence), 0.1)
    parts = list_answers(actions)
    assert b"".join(part.data for part in parts).decode() == data
    resumes = list_messages(actions, Resume)
    assert len(resumes) == n_resumes
    assert all(item.agent_incarnation == AGENT.incarnation for item in resumes)
    assert (ReplaceConnection(AGENT.name) in actions) == (n_resumes > 0)


def test_part_reaches_only_its_own_request():
    """Guards against a response that is sent to another caller.

    Parts may carry the id of another router, an earlier incarnation of this one, or
    come from an agent that does not run the attempt.
    """
    core = make_router()
    first = start_one(core, make_request("a"))
    second = start_one(core, make_request("b"), 2)
    foreign = first.attempt._replace(router="10.0.0.9:7000")
    old = first.attempt._replace(incarnation=1)
    stray = [
        (AGENT, make_part(first, 0, attempt=foreign)),
        (AGENT, make_part(first, 0, attempt=old)),
        (AGENTS["runner-2"], make_part(first, 0)),
        (NEWER._replace(incarnation=4000), make_part(first, 0)),
    ]
    for sender, part in stray:
        assert list_answers(core.handle(sender, part, 0.1)) == []
    [answer] = list_answers(core.handle(AGENT, make_part(second, 0), 0.2))
    assert answer.request_id == "b"


def test_acknowledgements_are_sent_in_time():
    """Guards against an agent that keeps parts, or considers the router lost."""
    core = make_router()
    start = start_one(core, make_request("a"))
    actions = []
    for sequence in range(70):
        actions += core.handle(AGENT, make_part(start, sequence), 0.1)
    acks = list_messages(actions, ResponseAck)
    assert [ack.next_sequence for ack in acks] == [32, 64]
    [ack] = list_messages(core.tick(0.65), ResponseAck)
    assert ack == ResponseAck(start.attempt, 70)
    last = make_part(start, 70, is_last=True)
    assert len(list_messages(core.handle(AGENT, last, 0.7), ResponseAck)) == 1
    [again] = list_messages(core.handle(AGENT, last, 0.8), ResponseAck)
    assert again.next_sequence == 71


@pytest.mark.parametrize(
    ("changes", "has_activity", "n_starts"),
    [(IDEMPOTENT, False, 1), (KEYED, False, 1), (UNSAFE, False, 0), (KEYED, True, 0)],
)
def test_silent_attempt_is_resumed(changes, has_activity, n_starts):
    """Guards against an attempt on a dead link, and against a second execution."""
    core = make_router()
    start = start_one(core, make_request("a", **changes))
    if has_activity:
        core.handle(AGENT, make_part(start, 0, is_keepalive=True), 0.0)
    assert ReplaceConnection(AGENT.name) not in core.tick(1.4)
    actions = core.tick(1.6)
    assert ReplaceConnection(AGENT.name) in actions
    assert list_messages(actions, Resume) == [
        Resume(start.attempt, 0, AGENT.incarnation)
    ]
    repeated = list_messages(actions, Start)
    assert len(repeated) == n_starts
    for other in repeated:
        assert (other.attempt, other.ticket) == (start.attempt, start.ticket)
        assert other.deadline_ms < start.deadline_ms


def test_lost_resume_is_repeated():
    """Guards against an attempt that stalls while keepalives still arrive."""
    core = make_router()
    start = start_one(core, make_request("a"))
    n_resumes = 0
    for step in range(1, 9):
        part = make_part(start, 3, is_keepalive=True)
        n_resumes += len(list_messages(core.handle(AGENT, part, step / 2), Resume))
    assert n_resumes == 4


def end_by_newer_incarnation(core, start, now):
    part = make_part(start, 0, is_keepalive=True)
    return core.handle(NEWER, part, now)


def end_by_refusal_of_newer(core, start, now):
    refusal = StartRefused(start.attempt, "ticket_invalid", NOT_RUN, True)
    return core.handle(NEWER, refusal, now)


def end_by_drop(core, start, now):
    return core.drop_agent(AGENT.name, now)


def end_by_failure(core, start, now):
    sequence = core.state.attempts.live[start.attempt].next_sequence
    failure = make_part(start, sequence, failure="backend_crashed")
    return core.handle(AGENT, failure, now)


def end_by_silence(core, start, now):
    actions = []
    for step in range(1, 80):
        actions += core.tick(now + step / 10)
    return actions


ENDS = [
    end_by_newer_incarnation,
    end_by_refusal_of_newer,
    end_by_drop,
    end_by_failure,
    end_by_silence,
]
KINDS = [(IDEMPOTENT, 0), (IDEMPOTENT, 1), (UNSAFE, 0), (KEYED, 0), (KEYED, 1)]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(("changes", "n_parts"), KINDS)
def test_lost_attempt_is_retried_only_if_that_is_safe(end, changes, n_parts):
    """Guards against a second execution, mixed responses and a wrong ``not_run``."""
    core = make_router()
    start = start_one(core, make_request("a", **changes))
    for sequence in range(n_parts):
        core.handle(AGENT, make_part(start, sequence), 0.1)
    actions = end(core, start, 2.0)
    answers = list_answers(actions)
    late = core.handle(AGENT, make_part(start, n_parts, is_last=True), 12.0)
    assert list_answers(late) == []
    granted = core.handle(
        DISPATCHERS[0], make_grant(2, suspect=start.fingerprint), 12.0
    )
    if changes is IDEMPOTENT and n_parts == 0:
        assert answers == []
        [again] = list_messages(granted, Start)
        assert again.attempt != start.attempt
        return
    [answer] = answers
    assert isinstance(answer, Refuse)
    assert answer.refusal.outcome == UNKNOWN
    assert list_messages(granted, Start) == []
    assert core.n_open == 0


def test_retried_request_that_does_not_start_again_may_have_run():
    """Guards against ``not_run`` for a request whose first attempt ran."""
    core = make_router()
    start = start_one(core, make_request("a", deadline=5.0))
    end_by_failure(core, start, 1.0)
    [answer] = list_answers(core.tick(5.0))
    assert answer.refusal.outcome == UNKNOWN


def test_request_of_crashed_server_waits_as_suspect():
    """Guards against a crashing request that runs next to others again."""
    core = make_router()
    start = start_one(core, make_request("a"))
    [demand, _] = list_demands(end_by_failure(core, start, 1.0))
    assert demand.entries[0].suspect == start.fingerprint


def test_recent_start_survives_loss_of_its_agent():
    """Guards against failing a new attempt because its agent was idle before."""
    core = make_router()
    start_one(core, make_request("a"), now=5.0)
    assert list_messages(core.drop_agent(AGENT.name, 5.1), Cancel) == []
    assert len(list_messages(core.drop_agent(AGENT.name, 6.6), Cancel)) == 1


REFUSALS = [
    (IDEMPOTENT, ("ticket_invalid", NOT_RUN, True), None),
    (UNSAFE, ("ticket_invalid", NOT_RUN, True), None),
    (KEYED, ("ticket_invalid", UNKNOWN, True), None),
    (UNSAFE, ("target_not_served", NOT_RUN, False), NOT_RUN),
    (UNSAFE, ("attempt_forgotten", UNKNOWN, True), UNKNOWN),
    (KEYED, ("key_closed", NOT_RUN, False), NOT_RUN),
    (KEYED, ("key_too_old", UNKNOWN, False), UNKNOWN),
]


@pytest.mark.parametrize(("changes", "refusal", "outcome"), REFUSALS)
def test_refused_start_is_queued_again_or_final(changes, refusal, outcome):
    """Guards against a lost request, and an outcome that the agent did not report."""
    core = make_router()
    start = start_one(core, make_request("a", **changes))
    core.submit(make_request("b", **changes), 0.1)
    refused = StartRefused(start.attempt, *refusal)
    answers = list_answers(core.handle(AGENT, refused, 0.2))
    assert list_answers(core.handle(AGENT, refused, 0.3)) == []
    if outcome is not None:
        assert [answer.refusal.outcome for answer in answers] == [outcome]
        return
    assert answers == []
    [again] = list_messages(core.handle(DISPATCHERS[0], make_grant(2), 0.4), Start)
    assert again.request_id == "a"


def test_redirect_leads_to_the_key_record():
    """Guards against a keyed request that runs at its owner after it ran elsewhere."""
    core = make_router()
    start = start_one(core, make_request("a", **KEYED))
    redirect = StartRefused(start.attempt, "key_released", UNKNOWN, True, "runner-2")
    core.handle(AGENT, redirect, 0.1)
    granted = core.handle(DISPATCHERS[0], make_grant(2), 0.2)
    assert list_messages(granted, Start) == []
    granted = core.handle(DISPATCHERS[0], make_grant(3, server="runner-2"), 0.3)
    assert len(list_messages(granted, Start)) == 1


ATTEMPT_LIMITS = [
    (1, 1, "retries_exhausted"),
    (2, 2, "request_blocked"),
    (3, 2, "request_blocked"),
]


@pytest.mark.parametrize(("max_attempts", "n_attempts", "code"), ATTEMPT_LIMITS)
def test_attempts_are_limited(max_attempts, n_attempts, code):
    """Guards against a request that crashes more servers than allowed.

    The router stops retrying after two crashes, because the dispatcher may grant a
    third attempt before it learns of the second crash.
    """
    core = make_router(max_attempts=max_attempts)
    start = start_one(core, make_request("a"))
    answers = []
    for number in range(2, 6):
        answers += list_answers(end_by_failure(core, start, 1.0))
        if answers:
            break
        grant = make_grant(number, suspect=start.fingerprint)
        [start] = list_messages(core.handle(DISPATCHERS[0], grant, 1.0), Start)
    assert [answer.refusal.code for answer in answers] == [code]
    assert core.counters.n_attempts == n_attempts


def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load of an overloaded pool."""
    core = make_router(max_attempts=1000)
    for number in range(200):
        request = make_request(f"r{number}", body=b"same")
        start = start_one(core, request, 2 * number + 1, 1.0)
        end_by_failure(core, start, 1.0)
        suspect = start.fingerprint
        grant = make_grant(2 * number + 2, suspect=suspect)
        core.handle(DISPATCHERS[0], grant, 1.0)
        core.abandon(f"r{number}", 1.0)
    assert 10 <= core.counters.n_retries <= 10 + 0.1 * 200


LIMITS = [
    ("first_byte_timeout", 0, 10.1, 60.0),
    ("deadline_exceeded", 1, 60.1, 60.0),
    ("deadline_exceeded", 0, 5.1, 5.0),
]


@pytest.mark.parametrize(("code", "n_parts", "until_s", "deadline"), LIMITS)
def test_running_request_ends_in_time(code, n_parts, until_s, deadline):
    """Guards against a running request that exceeds a time limit."""
    core = make_router()
    start = start_one(core, make_request("a", deadline=deadline, **UNSAFE))
    keepalive = make_part(start, n_parts, is_keepalive=True)
    for sequence in range(n_parts):
        core.handle(AGENT, make_part(start, sequence), 0.0)
    actions = []
    for step in range(1, int(until_s * 10) + 1):
        actions += core.handle(AGENT, keepalive, step / 10) + core.tick(step / 10)
    [answer] = list_answers(actions)
    assert (answer.refusal.code, answer.refusal.outcome) == (code, UNKNOWN)
    assert list_messages(actions, Cancel)[0] == Cancel(start.attempt)


def test_abandoned_request_is_cancelled():
    """Guards against work and answers for a caller that has disconnected."""
    core = make_router()
    start = start_one(core, make_request("a"))
    core.submit(make_request("b"), 0.1)
    assert list_messages(core.abandon("a", 0.2), Cancel) == [Cancel(start.attempt)]
    core.abandon("b", 0.2)
    assert (core.n_open, core.n_waiting) == (0, 0)
    assert core.abandon("a", 0.3) == []
    late = core.handle(AGENT, make_part(start, 0, is_last=True), 0.4)
    assert list_answers(late) == []
    assert list_messages(late, Cancel) == [Cancel(start.attempt)]


def test_drain_lets_open_requests_finish():
    """Guards against a planned stop that interrupts requests."""
    core = make_router()
    start = start_one(core, make_request("a"))
    core.submit(make_request("b"), 0.1)
    core.drain(0.2)
    [second] = list_messages(core.handle(DISPATCHERS[0], make_grant(2), 0.3), Start)
    for item in (start, second):
        core.handle(AGENT, make_part(item, 0, is_last=True), 0.4)
    assert core.n_open == 0
    assert core.counters.n_answered == 2


def test_sender_may_carry_a_document_version():
    """Guards against comparing senders including their document version."""
    core = make_router()
    start = start_one(core, make_request("a"))
    sender = Sender(AGENT.name, AGENT.incarnation, 7, "digest")
    assert len(list_answers(core.handle(sender, make_part(start, 0), 0.1))) == 1


def test_redirect_to_server_out_of_service_is_retried():
    """Guards against a refusal while an agent still has the previous document."""
    core = make_router()
    core.adopt(make_view(2, states=[("runner-2", OUT)]), 0.0)
    start = start_one(core, make_request("a", **KEYED))
    redirect = StartRefused(start.attempt, "not_owner", NOT_RUN, True, "runner-2")
    assert list_answers(core.handle(AGENT, redirect, 0.1)) == []
    [again] = list_messages(core.handle(DISPATCHERS[0], make_grant(2), 0.2), Start)
    assert again.request_id == "a"


def test_open_key_is_not_refused_as_not_run():
    """Guards against a caller that repeats a request of which a copy may still run."""
    core = make_router()
    core.submit(make_request("a", **KEYED), 0.0)
    answers = []
    for number in range(1, 40):
        granted = core.handle(DISPATCHERS[0], make_grant(number), 0.1)
        for start in list_messages(granted, Start):
            refused = StartRefused(start.attempt, "ticket_invalid", NOT_RUN, True)
            answers += list_answers(core.handle(AGENT, refused, 0.1))
    assert [answer.refusal.outcome for answer in answers] == [UNKNOWN]
