"""Adoption of documents, conflicts, and requests to peers."""

import pytest

from catkinfork.configuration import AdoptDocument, ConfigurationState
from catkinfork.document.tests.samples import encode_document, make_document
from catkinfork.observability import LogEvent
from catkinfork.protocol import DocumentReply, DocumentRequest, Send, Sender


def make_content(version, region="rw-central", environment="production"):
    document = make_document()
    document |= {"version": version, "region": region, "environment": environment}
    return encode_document(document)


def make_state(version=12):
    state = ConfigurationState("production")
    state.offer(make_content(version), "service", 0.0)
    return state


def list_events(actions):
    return [action.event.name for action in actions if isinstance(action, LogEvent)]


def list_sends(actions):
    return [action for action in actions if isinstance(action, Send)]


def order_by_digest(*contents):
    """Sort documents of one version by digest."""
    states = []
    for content in contents:
        state = ConfigurationState("production")
        state.offer(content, "service", 0.0)
        states.append((state.identity, content))
    return [content for _, content in sorted(states)]


@pytest.mark.parametrize(
    ("content", "version", "events"),
    [
        (make_content(13), 13, ["document_adopted"]),
        (make_content(12), 12, []),
        (make_content(11), 12, ["document_older"]),
        (make_content(0), 12, ["document_rejected"]),
        (make_content(13, environment="staging"), 12, ["document_rejected"]),
        (b"", 12, ["document_rejected"]),
        (b"{", 12, ["document_rejected"]),
    ],
)
def test_offer_adopts_only_a_greater_valid_document(content, version, events):
    """Guards against adopting an older or invalid document, or a foreign one."""
    state = make_state()
    actions = state.offer(content, "service", 1.0)
    assert state.view.version == version
    assert list_events(actions) == events
    adopted = [action.view for action in actions if isinstance(action, AdoptDocument)]
    assert adopted == ([state.view] if version > 12 else [])
    assert list_events(state.offer(content, "service", 2.0)) == []


def test_same_version_greater_digest_wins_in_any_order():
    """Guards against a split fleet after two concurrent publications."""
    low, high = order_by_digest(make_content(12, "rw-a"), make_content(12, "rw-b"))
    for first, second in ((low, high), (high, low)):
        state = ConfigurationState("production")
        state.offer(first, "service", 0.0)
        assert not state.has_conflict
        assert "document_conflict" in list_events(state.offer(second, "service", 1.0))
        assert state.view.content == high
        assert state.has_conflict
    state.offer(make_content(13), "service", 2.0)
    assert not state.has_conflict


def test_conflict_is_detected_from_a_version_hint():
    """Guards against a conflict that only the process with the lower digest detects."""
    state = make_state()
    actions = state.hear(Sender("10.0.0.9:1", 1, 12, "0" * 64), 1.0)
    assert list_events(actions) == ["document_conflict"]
    assert list_sends(actions) == []
    assert state.has_conflict


def test_requests_to_one_peer_are_rate_limited():
    """Guards against a request for each message of a peer with a newer document."""
    state = make_state()
    newer_peer = Sender("10.0.0.9:1", 1, 13, "f" * 64)
    times = [step / 100 for step in range(1000, 1300)]
    requested_at = []
    for now in times:
        if list_sends(state.hear(newer_peer, now)):
            requested_at.append(now)
        state.tick(now)
    assert requested_at == [10.0, 11.0, 12.0]


def test_requests_to_all_peers_are_rate_limited():
    """Guards against receiving the same document from hundreds of peers at once."""
    state = make_state()
    peers = [Sender(f"10.0.1.{number}:1", 1, 13, "f" * 64) for number in range(200)]
    n_requests = sum(len(list_sends(state.hear(peer, 10.0))) for peer in peers)
    n_requests += sum(len(list_sends(state.hear(peer, 10.5))) for peer in peers)
    assert n_requests == 2


def test_rejected_document_is_not_requested_again():
    """Guards against repeated transfers of a document that is always rejected."""
    state = make_state()
    foreign = ConfigurationState("staging")
    foreign.offer(make_content(13, environment="staging"), "service", 0.0)
    state.handle(Sender("a:1", 1), DocumentReply(foreign.view.content), 1.0)
    assert list_sends(state.hear(Sender("a:1", 1, *foreign.identity), 9.0)) == []


@pytest.mark.parametrize(
    ("request_version", "is_sent"), [(0, True), (11, True), (12, False), (13, False)]
)
def test_request_is_answered_with_a_newer_document_only(request_version, is_sent):
    """Guards against replies without a newer document, and against no reply at all."""
    state = make_state()
    digest = state.view.digest if request_version == 12 else ""
    request = DocumentRequest(request_version, digest)
    content = state.view.content if is_sent else b""
    expected = [Send("10.0.0.9:1", DocumentReply(content))]
    assert state.handle(Sender("10.0.0.9:1", 1), request, 1.0) == expected


def test_reply_of_service_or_peer_is_recorded():
    """Guards against a process that takes work before any source has replied."""
    state = ConfigurationState("production")
    assert state.build_document_requests(["a:1"]) == [
        Send("a:1", DocumentRequest(0, ""))
    ]
    state.handle(Sender("a:1", 1), DocumentRequest(0, ""), 0.0)
    assert not state.has_reply
    state.handle(Sender("a:1", 1), DocumentReply(b""), 0.0)
    assert state.has_reply
    assert state.view is None
    assert make_state().has_reply
