"""Read timeouts of attempts at backend servers."""

from math import inf

from catkinfork.topology import STREAMING

# Read timeout of an attempt, after which a retryable request moves to another backend
# server: a multiple of the latency aim of the route, with lower bounds in seconds.
READ_TIMEOUT_PER_AIM = 3.0
MIN_READ_TIMEOUT_S = 0.3
MIN_STREAM_READ_TIMEOUT_S = 1.5
# Read timeout within a response, as a multiple of the longest pause of the route.
READ_TIMEOUT_PER_MAX_PAUSE = 4.0


def compute_read_timeout_s(route, is_started):
    """Return the time without progress after which an attempt counts as silent.

    :param route: :class:`Route`.
    :param is_started: whether a part of the response was relayed.
    :returns: seconds; infinite if the request must not run again, as giving up the
        attempt would then gain nothing.
    """
    if not route.is_repeatable:
        return inf
    if is_started:
        return max(
            MIN_STREAM_READ_TIMEOUT_S,
            READ_TIMEOUT_PER_MAX_PAUSE * route.max_event_gap_s,
        )
    minimum_s = (
        MIN_STREAM_READ_TIMEOUT_S if route.kind == STREAMING else MIN_READ_TIMEOUT_S
    )
    return max(minimum_s, READ_TIMEOUT_PER_AIM * route.latency_target_s)
