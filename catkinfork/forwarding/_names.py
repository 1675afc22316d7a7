"""Names of the headers that a forwarder reads and sets."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lowercase, as callers and backend servers use them.

    :param request_id: id of a request, unique for each attempt of a caller.
    :param deadline_ms: milliseconds that the caller, or the forwarder, still waits.
    :param workspace: name of the workspace, set by the forwarder.
    :param expected_backend: id of the backend server that shall run the request.
    :param seal: signature of a backend server's response.
    :param not_run: marks a response to a request that has not run.
    :param prompt_parts: parts of the prompt as ``ID:TOKENS`` entries, separated by
        commas.
    :param token_counts: prompt tokens and greatest number of output tokens.
    :param length_hint: the caller's estimate of the output tokens.
    :param last_event_id: id of the last event that the caller has.
    :param reserved: headers that callers may not set.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    workspace: bytes = b"x-workspace"
    expected_backend: bytes = b"x-expected-backend"
    seal: bytes = b"x-response-seal"
    not_run: bytes = b"x-not-run"
    prompt_parts: bytes = b"x-prompt-parts"
    token_counts: bytes = b"x-token-counts"
    length_hint: bytes = b"x-length-hint"
    last_event_id: bytes = b"last-event-id"
    reserved: frozenset = frozenset()
