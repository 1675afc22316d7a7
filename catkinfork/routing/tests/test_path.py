"""Processing of a request without faults."""

from catkinfork.protocol import ResponseAck, Start
from catkinfork.routing import Respond
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
)


def test_request_is_queued_started_and_answered():
    """Guards against a missing step between submission and complete response."""
    core = make_router()
    actions = core.submit(make_request("a"), 0.01)
    assert [demand.entries[0].n_waiting for demand in list_demands(actions)] == [1]
    actions = core.handle(DISPATCHERS[0], make_grant(1), 0.02)
    [start] = list_messages(actions, Start)
    assert (start.request_id, start.ticket, start.body) == ("a", 1, b"a")
    actions += core.tick(0.6)
    assert [demand.grants_seen for demand in list_demands(actions)] == [1, 0]
    agent = AGENTS["runner-1"]
    actions = core.handle(agent, make_part(start, 0), 0.03)
    assert list_answers(actions) == [Respond("a", 200, [], b"0.", False)]
    actions = core.handle(agent, make_part(start, 1, is_last=True), 0.04)
    assert list_answers(actions) == [Respond("a", 0, [], b"1.", True)]
    assert list_messages(actions, ResponseAck) == [ResponseAck(start.attempt, 2)]
    assert core.n_open == 0
