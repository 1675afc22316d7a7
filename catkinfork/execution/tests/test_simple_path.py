"""Path of one request from ticket to answer."""

from catkinfork.execution import BackendData, BackendEnd, BackendHead, RunRequest
from catkinfork.execution.tests._support import (
    AgentHarness,
    list_actions,
    list_messages,
)
from catkinfork.protocol import ResponseAck, ResponsePart


def test_request_runs_with_a_reported_ticket():
    """Guards against a ticket that is never reported or a part that is lost."""
    harness = AgentHarness()
    assert [ticket.number for ticket in harness.report.tickets] == harness.tickets
    start, actions = harness.start()
    assert list_actions(actions, RunRequest) == [RunRequest(start)]
    sent = harness.observe(BackendHead(start.attempt, 200, [("a", "b")]))
    sent += harness.observe(BackendData(start.attempt, b"x" * 70000, 3))
    sent += harness.observe(BackendEnd(start.attempt, 5))
    parts = list_messages(sent, ResponsePart)
    assert [part.sequence for part in parts] == [0, 1, 2, 3]
    assert [len(part.data) for part in parts] == [0, 65536, 4464, 0]
    assert (parts[0].status, parts[0].headers) == (200, [("a", "b")])
    assert (parts[-1].is_last, parts[-1].units) == (True, 5)
    harness.handle(ResponseAck(start.attempt, 4))
    harness.run_for(0.3)
    delivered = harness.report.delivered[0]
    assert (delivered.units, delivered.n_in_flight, delivered.n_finished) == (5, 0, 1)
