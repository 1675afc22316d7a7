"""Keyed requests: records, claims, floors, lost servers and bounds."""

import pytest

from catkinfork.document import rank_key_servers
from catkinfork.execution import (
    BackendData,
    BackendEnd,
    BackendHead,
    RunRequest,
)
from catkinfork.execution.tests._support import (
    OTHER_ROUTER,
    AgentHarness,
    get_agent_address,
    list_actions,
    list_messages,
    make_view,
)
from catkinfork.protocol import (
    AttemptId,
    Claim,
    ClaimReply,
    ResponsePart,
    StartRefused,
)

FIRST_SERVER_OUT = {"dc-ledger-2": "out"}
ORDER = ("ledger-2", "ledger-1", "ledger-3")


def make_harness(**values):
    """Return an agent that has run long enough to admit new keys."""
    harness = AgentHarness(**values)
    harness.core.capacity.limiter.limit = 4
    harness.run_for(3)
    return harness


def submit(harness, key, **values):
    """Submit a key with the same body each time; return the start and its result."""
    start, actions = harness.start(key=key, fingerprint=b"f", **values)
    refusals = list_messages(actions, StartRefused)
    if refusals:
        return start, (refusals[0].code, refusals[0].outcome)
    return start, "runs" if list_actions(actions, RunRequest) else "waits"


def finish(harness, start, data=b"done"):
    """End a request with an answer and return the actions."""
    actions = harness.observe(BackendHead(start.attempt, 200, []))
    actions += harness.observe(BackendData(start.attempt, data, 1))
    actions += harness.observe(BackendEnd(start.attempt, 1))
    harness.run_for(0.1)
    return actions


AGES = [
    (3.0, 0.0, "runs"),
    (3.0, 0.9, "runs"),
    (3.0, 1.1, ("key_too_old", "unknown")),
    (3.0, 60.0, ("key_too_old", "unknown")),
    (1.0, 0.0, ("key_too_old", "unknown")),
    (9.0, -1.9, "runs"),
    (9.0, -2.1, ("key_in_future", "unknown")),
]


@pytest.mark.parametrize(("wait_s", "age_s", "expected"), AGES)
def test_age_of_time_ordered_key_after_an_empty_start(wait_s, age_s, expected):
    """Guards against running a key that the previous process may have run."""
    harness = AgentHarness()
    harness.run_for(wait_s)
    assert submit(harness, harness.make_key(age_s))[1] == expected


def test_opaque_key_waits_for_the_quiet_time():
    """Guards against running an opaque key that the previous process may have run."""
    harness = AgentHarness(quiet_time_s=10.0)
    keys = (f"order-{number}" for number in range(1000))
    owned = [key for key in keys if is_owned(key)]
    harness.run_for(9.8)
    assert submit(harness, owned[0])[1] == ("key_quiet_time", "unknown")
    harness.run_for(0.4)
    assert submit(harness, owned[0])[1] == "runs"


def is_owned(key):
    """Return whether ``ledger-1`` is the owner of a key."""
    return rank_key_servers(make_view(), "w", key, "entry")[0] == "ledger-1"


def test_resent_key_attaches_and_then_gets_the_recorded_answer():
    """Guards against a second run, and against parts of another attempt."""
    harness = make_harness()
    key = harness.make_key()
    first, result = submit(harness, key)
    assert result == "runs"
    harness.observe(BackendHead(first.attempt, 200, []))
    harness.run_for(0.5)
    second, result = submit(harness, key, attempt=AttemptId(OTHER_ROUTER, 1, 1))
    assert result == "waits"
    actions = harness.observe(BackendData(first.attempt, b"done", 1))
    actions += harness.observe(BackendEnd(first.attempt, 1))
    for start in (first, second):
        parts = [
            p
            for p in list_messages(actions, ResponsePart)
            if p.attempt == start.attempt
        ]
        assert [part.data for part in parts] == [b"done", b""]
    harness.run_for(100)
    third, actions = harness.start(key=key, fingerprint=b"f")
    parts = list_messages(actions, ResponsePart)
    assert not list_actions(actions, RunRequest)
    assert {part.attempt for part in parts} == {third.attempt}
    assert b"".join(part.data for part in parts) == b"done"
    assert [part.sequence for part in parts] == [0, 1, 2]


@pytest.mark.parametrize(
    ("data", "values", "expected"),
    [
        (b"x" * 262145, {}, ("answer_not_kept", "unknown")),
        (b"x" * 262144, {}, "waits"),
        (b"x", {"fingerprint": b"g"}, ("key_reused", "unknown")),
    ],
)
def test_answer_of_a_resent_key(data, values, expected):
    """Guards against unbounded memory, and a replayed answer of another request."""
    harness = make_harness()
    key = harness.make_key()
    finish(harness, submit(harness, key)[0], data)
    _, actions = harness.start(**{"key": key, "fingerprint": b"f", **values})
    refusals = [(r.code, r.outcome) for r in list_messages(actions, StartRefused)]
    assert refusals == ([] if expected == "waits" else [expected])


def claim_key(harness, key, server="ledger-1", number=7):
    """Let ``ledger-3`` claim a key and return the verdict."""
    claim = Claim(number, "ledger-3", "w", key, server)
    actions = harness.handle(claim, get_agent_address("ledger-3"))
    return list_messages(actions, ClaimReply)[0].verdict


def test_claim_verdicts():
    """Guards against the release of a key that may have run or may still run."""
    harness = make_harness()
    running = harness.make_key()
    start, _ = submit(harness, running)
    assert claim_key(harness, running) == "ran"
    assert claim_key(harness, harness.make_key(60)) == "unknown"
    assert claim_key(harness, "order-1") == "unknown"
    free = harness.make_key()
    assert claim_key(harness, free, "ledger-2") == "unknown"
    assert claim_key(harness, free) == "released"
    assert claim_key(harness, free) == "released"
    finish(harness, start)
    harness.run_for(0.3)
    _, actions = harness.start(key=free)
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.code, refusal.redirect) == ("key_released", "ledger-3")
    assert claim_key(harness, running) == "ran"


REPLIES = [
    (["released"], "runs"),
    (["ran"], ("key_ran_elsewhere", "unknown")),
    (["unknown"], ("owner_unreachable", "unknown")),
    ([], ("owner_unreachable", "unknown")),
]


@pytest.mark.parametrize(("replies", "expected"), REPLIES)
def test_acting_owner_runs_only_released_keys(replies, expected):
    """Guards against a second run after a data centre was taken out of service."""
    harness = make_harness(view=make_view(data_centre_states=FIRST_SERVER_OUT))
    key = harness.make_key(order=ORDER)
    harness.actions.clear()
    start, result = submit(harness, key)
    assert result == "waits"
    claim = list_messages(harness.actions, Claim)[0]
    assert claim.backend_server == "ledger-2"
    wrong = ClaimReply(claim.claim, "ledger-3", "released")
    other = ClaimReply(claim.claim - 1, "ledger-2", "released")
    for reply in (wrong, other):
        assert not list_actions(harness.handle(reply), RunRequest)
    actions = []
    for verdict in replies:
        actions += harness.handle(ClaimReply(claim.claim, "ledger-2", verdict))
    actions += harness.run_for(0.6)
    if expected == "runs":
        assert list_actions(actions, RunRequest) == [RunRequest(start)]
        return
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.code, refusal.outcome) == expected
    late = ClaimReply(claim.claim, "ledger-2", "released")
    assert not list_actions(harness.handle(late), RunRequest)


def test_claim_numbers_differ_between_processes():
    """Guards against a late reply that releases another key after a restart."""
    numbers = []
    for now in (1000.0, 1000.001):
        harness = make_harness(
            view=make_view(data_centre_states=FIRST_SERVER_OUT), now=now
        )
        submit(harness, harness.make_key(order=ORDER))
        numbers.append(list_messages(harness.actions, Claim)[0].claim)
    assert numbers[0] != numbers[1]


def test_waiting_key_is_released_to_the_claimant():
    """Guards against a run of a key that was released while it waited."""
    harness = make_harness(view=make_view(data_centre_states=FIRST_SERVER_OUT))
    key = harness.make_key(order=ORDER)
    start, _ = submit(harness, key)
    number = list_messages(harness.actions, Claim)[0].claim
    assert claim_key(harness, key) == "released"
    late = ClaimReply(number, "ledger-2", "released")
    assert not list_actions(harness.handle(late), RunRequest)
    refusal = list_messages(harness.actions, StartRefused)[-1]
    assert (refusal.attempt, refusal.redirect) == (start.attempt, "ledger-3")


def test_key_of_another_owner_is_redirected():
    """Guards against a run by a server that is not the acting owner."""
    harness = make_harness()
    _, actions = harness.start(key=harness.make_key(order=("ledger-2",)))
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.code, refusal.is_retryable) == ("not_owner", True)
    assert refusal.redirect == "ledger-2"


KEY_SERVER_CHANGES = [
    ({"ledger-2": "lost"}, 2.5, "runs"),
    ({"ledger-2": "lost"}, 1.5, ("key_too_old", "unknown")),
    ({"ledger-2": "missing"}, 7.5, ("key_too_old", "unknown")),
    ({"ledger-2": "missing"}, 8.5, "runs"),
    ({"ledger-2": "out"}, 0.5, "runs"),
]


@pytest.mark.parametrize(("states", "wait_s", "expected"), KEY_SERVER_CHANGES)
def test_floor_after_a_change_of_key_servers(states, wait_s, expected):
    """Guards against running a key that its previous owner may have run."""
    harness = make_harness()
    harness.call(harness.core.adopt, make_view(2, states))
    harness.run_for(wait_s)
    assert submit(harness, harness.make_key())[1] == expected


def test_lost_server_refuses_keys_until_a_new_process():
    """Guards against a run on a lost server after others took over its keys."""
    harness = make_harness()
    key = harness.make_key()
    harness.call(harness.core.adopt, make_view(2, {"ledger-1": "lost"}))
    assert harness.tickets == []
    assert claim_key(harness, key) == "unknown"
    harness.call(harness.core.adopt, make_view(3))
    harness.run_for(20)
    assert submit(harness, harness.make_key())[1] == ("server_lost", "unknown")


def test_closed_key_never_runs():
    """Guards against a run of a key that was reported as not run."""
    harness = make_harness()
    harness.core.capacity.limiter.limit = 1
    harness.core.capacity.handover.count_staged = lambda n_places, now: 1
    harness.run_for(0.1)
    running, _ = harness.start(deadline_ms=90000)
    key = harness.make_key()
    _, result = submit(harness, key, deadline_ms=500)
    assert result == "waits"
    refusal = list_messages(harness.run_for(0.6), StartRefused)[0]
    assert (refusal.outcome, refusal.is_retryable) == ("not_run", False)
    harness.observe(BackendEnd(running.attempt, 1))
    harness.run_for(0.3)
    assert submit(harness, key)[1] == ("key_closed", "not_run")
    assert claim_key(harness, key) == "unknown"


def test_evicted_key_is_unknown():
    """Guards against a second run of a key whose record was evicted."""
    harness = make_harness(max_key_records=3)
    keys = []
    for _ in range(4):
        keys.append(harness.make_key())
        finish(harness, submit(harness, keys[-1])[0])
    assert submit(harness, keys[0])[1] == ("key_too_old", "unknown")
    assert submit(harness, keys[3])[1] == "waits"


def test_young_opaque_records_are_not_evicted():
    """Guards against a second run of an opaque key within the quiet time."""
    harness = make_harness(max_key_records=2, quiet_time_s=2.0)
    owned = [key for key in map(str, range(1000)) if is_owned(key)]
    for key in owned[:2]:
        finish(harness, submit(harness, key)[0])
    assert submit(harness, owned[2])[1] == ("key_records_full", "unknown")
    assert submit(harness, owned[0])[1] == "waits"
    harness.run_for(2.1)
    assert submit(harness, owned[2])[1] == "runs"


def test_opaque_key_that_waited_past_the_quiet_time_is_refused():
    """Guards against a second run of an opaque key after a restart of the agent.

    A router accepts the repeated request within the quiet time, but the request
    reaches the restarted agent after it. Seen in ``make soak-decisions``, seed 9 of the
    machine of the agents.
    """
    harness = AgentHarness(quiet_time_s=10.0)
    harness.run_for(12.0)
    key = next(key for key in map(str, range(100)) if is_owned(key))
    start, actions = harness.start(key=key, is_idempotent=False, age_ms=3000)
    [refusal] = list_messages(actions, StartRefused)
    assert (refusal.code, refusal.outcome) == ("key_quiet_time", "unknown")
    start, actions = harness.start(key=key, is_idempotent=False, age_ms=1000)
    assert [run.start for run in list_actions(actions, RunRequest)] == [start]
