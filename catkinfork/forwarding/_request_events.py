"""Log events of requests and their attempts."""

from catkinfork.forwarding._events import (
    ATTEMPT_ENDED,
    REQUEST_CUT,
    REQUEST_FINISHED,
)
from catkinfork.observability import log_event

MAX_LOGGED_BYTES = 64


def build_request_event(exchange, outcome, detail, now):
    """Return the log event of a finished request.

    :param exchange: :class:`Exchange` that has ended.
    :param outcome: outcome or refusal code.
    :param now: monotonic seconds.
    """
    job = exchange.job
    arrived_at = exchange.request.received_at
    placement = exchange.first_placement
    request_id = exchange.request.find_header(exchange.server.names.request_id) or b""
    return log_event(
        REQUEST_FINISHED,
        request_id=request_id.decode("latin-1"),
        workspace=job.workspace if job else "",
        route=job.route.name if job else "",
        service=job.service if job else "",
        status=exchange.status,
        outcome=outcome,
        detail=detail,
        backend_servers=",".join(job.tried_backends) if job else "",
        backend_version=placement.backend.entry.version if placement else "",
        resumes=find_resumed_id(exchange),
        version_source=exchange.resumption.source if exchange.resumption else "",
        n_runs=job.n_runs if job else 0,
        framing=exchange.framing,
        waited_s=round((exchange.placed_at or now) - arrived_at, 4),
        first_s=round((exchange.first_data_at or now) - arrived_at, 4),
        total_s=round(now - arrived_at, 4),
        max_pause_s=round(exchange.max_pause_s, 4),
        n_tokens=job.n_service_tokens if job else 0,
        cost=round(placement.cost, 1) if placement else 0,
        n_missing_tokens=placement.n_missing_tokens if placement else 0,
        n_candidates=placement.n_candidates if placement else 0,
        news_age_s=round(placement.peer_state_age_s, 4) if placement else 0,
        configuration=exchange.server.version,
        transfer_source=find_transfer_source(placement),
        n_transfer_tokens=count_transfer_tokens(placement),
    )


def build_attempt_event(exchange, placement, outcome, detail, is_repeated, now):
    """Return the log event of an attempt that failed.

    :param is_repeated: whether the request is retried.
    """
    last_event_id = getattr(exchange.relay, "last_event_id", b"")
    return log_event(
        ATTEMPT_ENDED,
        request_id=exchange.job.request_id,
        backend_server=placement.backend.name,
        backend_version=placement.backend.entry.version,
        outcome=outcome,
        detail=detail,
        framing=exchange.framing,
        attempt_s=round(now - placement.placed_at, 4),
        is_repeated=is_repeated,
        last_event_id=last_event_id.decode("latin-1"),
        transfer_source=find_transfer_source(placement),
        n_transfer_tokens=count_transfer_tokens(placement),
    )


def build_cut_event(exchange, signalled_at, now):
    """Return the log event of a request that a planned stop ends.

    :param exchange: :class:`Exchange` that was placed and has not ended.
    :param signalled_at: monotonic time of the signal to stop, seconds.
    """
    job = exchange.job
    return log_event(
        REQUEST_CUT,
        request_id=job.request_id,
        sent_s=round(job.arrived_at - signalled_at, 3),
        cut_s=round(now - signalled_at, 3),
        placed_s=round(exchange.placed_at - signalled_at, 3),
        head_s=round(exchange.request.received_at - signalled_at, 3),
        has_begun=exchange.has_response_started,
        route=job.route.name,
        backend_servers=",".join(job.tried_backends),
    )


def find_transfer_source(placement):
    """Return the name of the engine that prompt tokens come from, empty if none."""
    if placement is None or placement.transfer is None:
        return ""
    return placement.transfer.source.name


def count_transfer_tokens(placement):
    """Return the number of prompt tokens that an engine was to fetch."""
    if placement is None or placement.transfer is None:
        return 0
    return placement.transfer.n_tokens


def find_resumed_id(exchange):
    """Return the id of the request whose stream a request resumes, empty if none."""
    value = exchange.request.find_header(exchange.server.names.resumed_id) or b""
    return value[:MAX_LOGGED_BYTES].decode("latin-1")
