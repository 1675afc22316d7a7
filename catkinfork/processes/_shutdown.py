"""Graceful shutdown of a process."""

import signal
import time

import anyio

from catkinfork.observability import log_event
from catkinfork.processes._events import PROCESS_STOPPED, STOP_REQUESTED
from catkinfork.processes._server import GRACEFUL_TIMEOUT_S

READINESS_DELAY_S = 1.0
FINAL_MESSAGES_DELAY_S = 0.3
# Cancelling an HTTP server during its shutdown raises, so this exceeds the
# GRACEFUL_TIMEOUT_S that the shutdown may take.
SERVER_SHUTDOWN_TIMEOUT_S = GRACEFUL_TIMEOUT_S + 2.0


async def watch_signals(process, scope):
    """Drain the process on SIGTERM or SIGINT, then cancel its tasks.

    :param process: :class:`BaseProcess`.
    :param scope: cancel scope of the tasks.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    await drain(process)
    scope.cancel()


async def drain(process):
    """Stop accepting work and wait for open requests, up to the drain timeout.

    Readiness fails at once; the drain starts after ``READINESS_DELAY_S``.
    """
    started_at = time.monotonic()
    process.is_draining = True
    process.peers.is_leaving = True
    process.log.write(
        log_event(
            STOP_REQUESTED, role=process.role, n_open=process.count_open_requests()
        )
    )
    await anyio.sleep(READINESS_DELAY_S)
    now = time.monotonic()
    process.execute_actions(process.start_drain(now), now)
    with anyio.move_on_after(process.drain_timeout_s()):
        while process.count_open_requests():
            await anyio.sleep(0.02)
    await anyio.sleep(FINAL_MESSAGES_DELAY_S)
    process.stop.set()
    process.log.write(
        log_event(
            PROCESS_STOPPED,
            role=process.role,
            n_left=process.count_open_requests(),
            waited_s=time.monotonic() - started_at,
        )
    )
    with anyio.move_on_after(SERVER_SHUTDOWN_TIMEOUT_S):
        while process.n_servers:
            await anyio.sleep(0.02)
