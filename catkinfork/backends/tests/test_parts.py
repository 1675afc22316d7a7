import json

from hypothesis import given
from hypothesis import strategies as st

from catkinfork.backends._headers import build_request_headers, strip_hop_by_hop
from catkinfork.backends._sse import (
    add_usage_option,
    count_generated_choices,
    split_events,
)
from catkinfork.backends.tests.support import build_start


@given(st.lists(st.integers(0, 120)))
def test_events_do_not_depend_on_the_cuts(cuts):
    """Guards against events that are lost where TCP happens to cut a stream."""
    text = b'data: {"a": 1}\n\n: note\n\ndata: two\r\n\r\ndata: a\ndata: b\n\nrest'
    edges = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
    events, rest = [], b""
    for begin, end in zip(edges, edges[1:], strict=False):
        more, rest = split_events(rest + text[begin:end])
        events += more
    assert (events, rest) == split_events(text)
    assert len(events) == 4


def test_hop_by_hop_headers_are_removed():
    """Guards against hop-by-hop headers that are forwarded to the next connection."""
    headers = [
        ("Connection", "close, X-Trace"),
        ("X-Trace", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]
    assert strip_hop_by_hop(headers) == [("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")]


def test_caller_cannot_set_the_fence_or_the_id():
    """Guards against a caller that sets the fencing token or the request id."""
    headers = [("x-fencing-token", "9"), ("X-Request-Id", "other"), ("A", "b")]
    start = build_start("GET", "/", None, headers=headers)
    assert build_request_headers(start, 5) == [
        ("A", "b"),
        ("X-Request-Id", start.request_id),
        ("X-Fencing-Token", "5"),
        ("X-Request-Timeout", "10.000"),
    ]


def test_usage_is_asked_for_only_in_streams():
    """Guards against changed bodies and against hiding a usage that was requested."""
    for body in (b"", b"[1]", b"{", b'{"stream": false}'):
        assert add_usage_option(body) == (body, False, False)
    asked = b'{"stream": true, "stream_options": {"include_usage": true}}'
    assert add_usage_option(asked) == (asked, True, False)
    body, is_streamed, hides_usage = add_usage_option(
        b'{"stream": true, "stream_options": {"x": 1}}'
    )
    assert (is_streamed, hides_usage) == (True, True)
    assert json.loads(body)["stream_options"] == {"x": 1, "include_usage": True}


def test_only_generated_text_is_counted():
    """Guards against units for chunks without generated text, such as a role only."""
    empty = [{"role": "assistant"}, {"content": ""}, {"content": None}, {}]
    chunk = {
        "choices": [
            {"delta": {name: json.dumps(value).encode()}}
            for delta in empty
            for name, value in delta.items()
        ]
    }
    assert count_generated_choices(chunk) == 0
    assert count_generated_choices({"choices": [{"delta": {"content": b'"x"'}}]}) == 1
