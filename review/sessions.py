"""Sessions whose first request one version of a runner serves, and another the next."""

import asyncio
import signal

import common
from streams import ModelRunner, Stream

# Streams of the sessions last for 9 s, of the 12 s that their clients wait.
N_EVENTS = 90
N_FIRST_EVENTS = 24
N_OTHER_EVENTS = 40
ROLL_GAP_S = 1.0
RESTART_DELAY_S = 0.3


async def begin_sessions(fleet, carrier, n_sessions, n_old, n_new, n_others):
    """Start runners of v1, then those of v2, and the requests of the sessions.

    The first request of each session is served whole by v1. Streams of others then keep
    the runners of v1 busy, and the next request of each session goes to v2.

    :param carrier: forwarder that gets the next requests of the sessions.
    :returns: these streams, and their tasks.
    """
    old = [ModelRunner(fleet, f"i-old-{number}", "v1") for number in range(n_old)]
    new = [ModelRunner(fleet, f"i-new-{number}", "v2") for number in range(n_new)]
    fleet.runners += old + new
    for runner in old:
        await runner.start()
    await fleet.start()
    await asyncio.sleep(0.5)
    parts = [f"e4402b{number:02x}:60" for number in range(n_sessions)]
    first = [
        Stream(fleet, f"first{n}", part, N_FIRST_EVENTS) for n, part in enumerate(parts)
    ]
    await asyncio.gather(
        *(one.attempt(fleet.forwarders[n % 4]) for n, one in enumerate(first))
    )
    if not all(one.is_whole for one in first):
        raise common.CannotRunError("the first streams are not served")
    others = [
        Stream(fleet, f"other{n}", f"91bd{n:04x}:60", N_OTHER_EVENTS)
        for n in range(n_others)
    ]
    await begin(others, fleet.forwarders)
    for runner in new:
        await runner.start()
    await asyncio.sleep(0.8)
    second = [Stream(fleet, f"second{n}", p, N_EVENTS) for n, p in enumerate(parts)]
    tries = await begin(second, [carrier])
    await asyncio.sleep(0.6)
    at_new = [one for one in second if one.versions == ["v2"]]
    fleet.record.write(f"second requests of sessions that run at v2: {len(at_new)}")
    return second, tries


async def begin(streams, forwarders):
    """Start the first attempts of streams one after the other; return their tasks."""
    tasks = []
    for number, one in enumerate(streams):
        forwarder = forwarders[number % len(forwarders)]
        tasks.append(asyncio.create_task(one.attempt(forwarder)))
        await asyncio.sleep(0.03)
    return tasks


async def restart_in_turn(fleet):
    """Stop all forwarders with SIGTERM, one each ``ROLL_GAP_S``, and start them again.

    The one that carries the streams is the first.
    """
    restarts = []
    for forwarder in fleet.forwarders:
        restarts.append(asyncio.create_task(restart(forwarder)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*restarts)


async def restart(forwarder):
    """Stop a forwarder with SIGTERM, and with SIGKILL after the grace, and start it."""
    forwarder.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(common.BOUNDS["grace_s"]):
            await forwarder.wait_end()
    except TimeoutError:
        await forwarder.end()
    await asyncio.sleep(RESTART_DELAY_S)
    await forwarder.start()


def is_open(stream):
    """Return whether a client has a part of a stream, and wants the rest."""
    return bool(stream.events) and not stream.is_whole
