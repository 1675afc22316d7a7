"""Graceful shutdown of a forwarder."""

import time

import anyio

from catkinfork.balancing import StopPlan
from catkinfork.forwarding import DRAIN_STARTED, FORWARDER_STOPPED
from catkinfork.observability import log_event

# Time after SIGTERM for which new connections are accepted, seconds: the load balancer
# removes a host after two failed readiness checks, one second apart.
ACCEPT_PERIOD_S = 2.6
# Maximum time for which waiting connections are still accepted after it, seconds.
BACKLOG_PERIOD_S = 1.0
# Time before the forced termination at which requests in flight are ended, seconds.
FORCED_STOP_MARGIN_S = 0.7
# Fraction of the grace at its end in which requests in progress may be ended.
LAST_FRACTION = 1 / 6
# Time before the forced termination at which the process exits at the latest, seconds.
EXIT_MARGIN_S = 0.15
POLL_INTERVAL_S = 0.05


async def drain_on_signal(process):
    """Drain and stop the process once it is asked to.

    :param process: :class:`ForwarderProcess`.
    """
    await process.stop_requested.wait()
    await drain(process, process.stop_signalled_at, process.stop_handled_at)
    process.stop()


async def drain(process, signalled_at, handled_at=None):
    """Report the process as not ready, then wait until all requests are answered.

    Those that are in progress shortly before the forced termination are ended. What is
    sent until then counts from the signal, which a busy host may see late.

    :param process: :class:`ForwarderProcess`.
    :param signalled_at: earliest monotonic time of the signal to stop, seconds.
    :param handled_at: monotonic time at which it was handled, seconds, if later.
    """
    # The clock of the event loop has whole milliseconds, that of the signal has not.
    signal_age_s = max(0.0, anyio.current_time() - signalled_at)
    server = process.server
    grace_s = process.settings.forwarder.grace_s
    ends_at = compute_end(signalled_at, handled_at or signalled_at, grace_s)
    accept_s = min(ACCEPT_PERIOD_S, 0.4 * grace_s)
    server.is_draining = True
    server.stop_signalled_at = signalled_at
    server.balancer.begin_stop(StopPlan(signalled_at + accept_s, ends_at))
    handover = process.peer_exchange.begin_leaving(int(time.time() * 1000))
    process.log.write(
        log_event(
            DRAIN_STARTED,
            n_requests=len(server.exchanges),
            n_connections=len(server.callers),
            grace_s=grace_s,
            signal_age_s=round(signal_age_s, 3),
        )
    )
    # The load balancer learns of the stop only now, however old the signal is.
    await anyio.sleep(max(0.0, min(accept_s, ends_at - anyio.current_time())))
    # Closing the socket resets connections that were not accepted yet.
    backlog_s = min(BACKLOG_PERIOD_S, ends_at - anyio.current_time())
    with anyio.move_on_after(max(0.0, backlog_s)):
        while server.has_backlog():
            await anyio.sleep(0)
    server.close_listener()
    server.balancer.streams.tell_again(anyio.current_time())
    await finish_requests(server, ends_at)
    n_requests_left = len(server.exchanges)
    handover_s = await wait_for_successor(handover, ends_at)
    server.end_requests()
    await flush(server, ends_at + FORCED_STOP_MARGIN_S - EXIT_MARGIN_S)
    process.log.write(
        log_event(
            FORWARDER_STOPPED,
            n_requests_left=n_requests_left,
            waited_s=round(anyio.current_time() - signalled_at, 3),
            handover_s=round(handover_s, 3),
        )
    )


def compute_end(signalled_at, handled_at, grace_s):
    """Return when requests in progress are ended, monotonic seconds.

    Load pattern: a host without processor time for a second is stopped. It cannot tell
    when in that time the signal came. The forced termination counts from the signal,
    and whoever works on a request up to the last part of the grace may not be cut.

    :param signalled_at: earliest monotonic time of the signal to stop, seconds.
    :param handled_at: monotonic time at which it was handled, seconds.
    """
    max_early_s = max(0.0, LAST_FRACTION * grace_s - FORCED_STOP_MARGIN_S)
    early_s = min(handled_at - signalled_at, max_early_s)
    return handled_at + grace_s - FORCED_STOP_MARGIN_S - early_s


async def finish_requests(server, ends_at):
    """Wait until all requests are answered, or the time is over.

    :param server: :class:`ForwardingServer`.
    :param ends_at: monotonic time up to which to wait, seconds.
    """
    while anyio.current_time() < ends_at:
        # Connections that were just accepted are not known before.
        await anyio.sleep(POLL_INTERVAL_S)
        server.close_idle_callers()
        if not server.has_requests():
            return


async def wait_for_successor(handover, ends_at):
    """Wait until another forwarder has what this one knows, or the time is over.

    :param handover: :class:`HandoverPlan`.
    :param ends_at: monotonic time up to which to wait, seconds.
    :returns: time waited, seconds.
    """
    started_at = anyio.current_time()
    while anyio.current_time() < ends_at:
        if not handover.must_stay(anyio.current_time()):
            break
        await anyio.sleep(POLL_INTERVAL_S)
    return anyio.current_time() - started_at


async def flush(server, ends_at):
    """Wait until the callers have the last responses: an exit would cut them.

    Requests that arrive meanwhile are refused.

    :param server: :class:`ForwardingServer`.
    :param ends_at: monotonic time up to which to wait, seconds.
    """
    while server.callers and anyio.current_time() < ends_at:
        await anyio.sleep(POLL_INTERVAL_S)
        server.end_requests()
        server.close_idle_callers()
