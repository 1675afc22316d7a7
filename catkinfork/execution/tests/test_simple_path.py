"""The path of one request from ticket to answer."""

from catkinfork.execution import BackendData, BackendEnd, BackendHead, RunRequest
from catkinfork.execution.tests._support import Bench, list_kind, list_sent
from catkinfork.protocol import ResponseAck, ResponsePart


def test_request_runs_with_a_reported_ticket():
    """Guards against a ticket that is never reported or a part that is lost."""
    bench = Bench()
    assert [ticket.number for ticket in bench.report.tickets] == bench.tickets
    start, actions = bench.start()
    assert list_kind(actions, RunRequest) == [RunRequest(start)]
    sent = bench.observe(BackendHead(start.attempt, 200, [("a", "b")]))
    sent += bench.observe(BackendData(start.attempt, b"x" * 70000, 3))
    sent += bench.observe(BackendEnd(start.attempt, 5))
    parts = list_sent(sent, ResponsePart)
    assert [part.sequence for part in parts] == [0, 1, 2, 3]
    assert [len(part.data) for part in parts] == [0, 65536, 4464, 0]
    assert (parts[0].status, parts[0].headers) == (200, [("a", "b")])
    assert (parts[-1].is_last, parts[-1].units) == (True, 5)
    bench.handle(ResponseAck(start.attempt, 4))
    bench.run_for(0.3)
    delivered = bench.report.delivered[0]
    assert (delivered.units, delivered.n_in_flight, delivered.n_finished) == (5, 0, 1)
