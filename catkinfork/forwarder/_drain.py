"""Planned stop of a forwarder."""

import signal

import anyio

from catkinfork.forwarding import DRAIN_STARTED, FORWARDER_STOPPED
from catkinfork.observability import log_event

# Time after SIGTERM for which new connections are accepted: the balancer takes a host
# out after two checks without a 200, one second apart.
ACCEPT_S = 2.6
# Time before the forced end at which requests in progress are given up.
MARGIN_S = 0.7
POLL_S = 0.05


async def watch_stop(process):
    """Drain and end on SIGTERM or SIGINT.

    :param process: :class:`ForwarderProcess`.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    await drain(process)
    process.stop()


async def drain(process):
    """Let the balancer turn to others, then end when no request is left."""
    server = process.server
    grace_s = process.settings.forwarder.grace_s
    started_at = anyio.current_time()
    ends_at = started_at + grace_s - MARGIN_S
    server.is_draining = True
    process.exchange.is_leaving = True
    process.log.write(
        log_event(
            DRAIN_STARTED,
            n_requests=len(server.exchanges),
            n_connections=len(server.callers),
            grace_s=grace_s,
        )
    )
    await anyio.sleep(min(ACCEPT_S, 0.4 * grace_s))
    server.close_listener()
    while anyio.current_time() < ends_at:
        server.close_idle_callers()
        if not server.exchanges:
            break
        await anyio.sleep(POLL_S)
    process.log.write(
        log_event(
            FORWARDER_STOPPED,
            n_requests_left=len(server.exchanges),
            waited_s=round(anyio.current_time() - started_at, 3),
        )
    )
