"""A planned stop of the server of a world, and requests that meet it."""

from types import SimpleNamespace

import anyio

from catkinfork.forwarder._drain import drain
from catkinfork.forwarding.tests.world import KEY
from catkinfork.peering import HandoverPlan, PeerDirectory
from catkinfork.topology import CallerLimits

GRACE_S = 2.0
# Limits that allow slow uploads.
PATIENT = CallerLimits(4096, 10_000, 10.0, 10.0, 100_000.0)
HEAD = (
    b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: late\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\n" % KEY.encode()
)


CHAT_HEAD = (
    b"POST /chat/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: late\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: 4\r\n"
    b"X-Token-Counts: 100,20\r\nX-Prompt-Parts: a1:60,b2:40\r\n\r\n" % KEY.encode()
)


def begin_leaving(leaving_since):
    """Return the plan of a forwarder that has no peers."""
    directory = PeerDirectory("10.0.0.1", [], 0.0)
    return HandoverPlan(directory, leaving_since)


async def stop(world, grace_s=GRACE_S, signal_age_s=0.0):
    """Drain the server of a world as a process does on SIGTERM.

    :param signal_age_s: time from the signal to the begin of the drain, seconds.
    """
    forwarder = SimpleNamespace(grace_s=grace_s)
    process = SimpleNamespace(
        server=world.server,
        settings=SimpleNamespace(forwarder=forwarder),
        peer_exchange=SimpleNamespace(begin_leaving=begin_leaving),
        log=SimpleNamespace(write=world.events.append),
    )
    await drain(process, anyio.current_time() - signal_age_s)
    # The process exits here: whatever has not left it is lost.
    for caller in list(world.server.callers):
        caller.transport.abort()


async def call_during_stop(world, path, headers=()):
    """Send a request just before a stop and return the :class:`Reply`."""
    caller = await world.connect()
    await caller.send(path, headers=headers)
    await anyio.sleep(0.1)
    replies = []

    async def read():
        replies.append(await caller.read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await stop(world)
    return replies[0]
