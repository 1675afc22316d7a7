"""Planned stop of a process."""

import signal
import time

import anyio

from catkinfork.observability import log_event
from catkinfork.processes._events import PROCESS_STOPPED, STOP_REQUESTED
from catkinfork.processes._server import GRACEFUL_TIMEOUT_S

READINESS_DELAY_S = 1.0
LAST_MESSAGES_S = 0.3
# Cancelling the HTTP server in its shutdown raises; it takes GRACEFUL_TIMEOUT_S.
SERVERS_END_S = GRACEFUL_TIMEOUT_S + 2.0


async def watch_signals(process, scope):
    """Drain and end on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    await drain(process)
    scope.cancel()


async def drain(process):
    """Stop taking work, wait for what is open, within the bound."""
    started_at = time.monotonic()
    process.is_draining = True
    process.peers.is_leaving = True
    process.log.write(
        log_event(STOP_REQUESTED, role=process.role, n_open=process.count_open())
    )
    await anyio.sleep(READINESS_DELAY_S)
    now = time.monotonic()
    process.apply(process.start_drain(now), now)
    with anyio.move_on_after(process.drain_timeout_s()):
        while process.count_open():
            await anyio.sleep(0.02)
    await anyio.sleep(LAST_MESSAGES_S)
    process.stop.set()
    process.log.write(
        log_event(
            PROCESS_STOPPED,
            role=process.role,
            n_left=process.count_open(),
            waited_s=time.monotonic() - started_at,
        )
    )
    with anyio.move_on_after(SERVERS_END_S):
        while process.n_servers:
            await anyio.sleep(0.02)
