"""Names of the HTTP headers that a forwarder reads and sets."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lowercase, as used by callers and backend servers.

    :param request_id: id of a request, unique for each attempt of a caller.
    :param deadline_ms: time left until the deadline of the request, milliseconds.
    :param workspace: name of the workspace, set by the forwarder.
    :param expected_backend: name of the backend server that the request is meant for.
    :param seal: signature of the backend server on its response.
    :param leaving: ``1`` in the responses of a backend server that is about to stop.
    :param rate_limit: requests per second that a backend server takes from all
        forwarders together, a decimal number.
    :param not_run: marks a response to a request that was not executed.
    :param prompt_parts: parts of the prompt as comma-separated ``ID:TOKENS`` entries.
    :param token_counts: number of prompt tokens and maximum number of output tokens.
    :param length_hint: the caller's estimate of the number of output tokens.
    :param last_event_id: id of the last event that the caller has received.
    :param resumed_id: id of the request that brought the first event of the stream that
        a caller resumes.
    :param transfer_source: address of the backend server from which the receiving one
        fetches cached parts of the prompt, set by the forwarder.
    :param reserved: headers that are removed from the requests of callers.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    workspace: bytes = b"x-workspace"
    expected_backend: bytes = b"x-expected-backend"
    seal: bytes = b"x-response-seal"
    leaving: bytes = b"x-leaving"
    rate_limit: bytes = b"x-rate-limit"
    not_run: bytes = b"x-not-run"
    prompt_parts: bytes = b"x-prompt-parts"
    token_counts: bytes = b"x-token-counts"
    length_hint: bytes = b"x-length-hint"
    last_event_id: bytes = b"last-event-id"
    resumed_id: bytes = b"resumes"
    transfer_source: bytes = b"x-transfer-source"
    reserved: frozenset = frozenset()
