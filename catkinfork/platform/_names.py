"""Names of headers and paths on the platform."""

from catkinfork.forwarding import HeaderNames

HEADERS = HeaderNames(
    request_id=b"x-catkinfork-request-id",
    deadline_ms=b"x-catkinfork-deadline-ms",
    workspace=b"x-catkinfork-tenant-id",
    expected_backend=b"x-catkinfork-expect-instance",
    seal=b"x-catkinfork-response-seal",
    leaving=b"server-leaving",
    rate_limit=b"server-limit",
    not_run=b"x-catkinfork-not-executed",
    prompt_parts=b"x-catkinfork-prefix-hash",
    token_counts=b"x-catkinfork-token-usage",
    length_hint=b"x-catkinfork-length-hint",
    last_event_id=b"last-event-id",
    resumed_id=b"resumes",
    transfer_source=b"kv-fetch",
    reserved=frozenset(
        {
            b"x-catkinfork-kv-hold",
            b"x-catkinfork-pin-ms",
            b"x-catkinfork-kv-backup",
            b"kv-from",
            b"kv-fetch",
        }
    ),
)

# Path of the readiness check of the load balancer.
READY_PATH = "/readyz"
