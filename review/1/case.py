"""The forwarders restart in turn while the only runner of a version is taken away."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import TROUBLE, run_case
from sessions import begin_sessions, is_open, restart_in_turn
from streams import build_configuration

N_SESSIONS = 7
DRAIN_S = 2.0
# Streams that may hold events of two versions.
MAX_JOINED = 2


async def leave(fleet, runner):
    """Drain a runner. It exits after drain_ms and more, once its streams have ended."""
    runner.state = "draining"
    runner.publish()
    fleet.record.write(f"runner {runner.name} reports draining")
    ends_at = time.monotonic() + DRAIN_S + 0.2
    while time.monotonic() < ends_at or runner.running:
        await asyncio.sleep(0.02)
    runner.end("has drained and exits")
    fleet.store.put(f"servers/{runner.name}", None)


async def case(fleet):
    fleet.store.put("op/config", build_configuration())
    second, tries = await begin_sessions(
        fleet, fleet.forwarders[0], N_SESSIONS, n_old=5, n_new=1, n_others=50
    )
    leaving = asyncio.create_task(leave(fleet, fleet.runners[-1]))
    if TROUBLE:
        await restart_in_turn(fleet)
    await asyncio.gather(*tries)
    await leaving
    # The clients take their streams up again, at any machine.
    for _ in range(3):
        left = [one for one in second if is_open(one)]
        if not left:
            break
        await asyncio.gather(
            *(one.attempt(fleet.forwarders[n % 4]) for n, one in enumerate(left))
        )
        await asyncio.sleep(0.8)
    joined = [one for one in second if len(one.versions) > 1]
    for one in second:
        fleet.record.write(
            f"{one.name}: tries {one.n_tries}, whole {one.is_whole}, "
            + " ".join(f"{number}:{text}" for number, text in one.events)
        )
    fleet.record.write(
        f"streams with events of two versions: {len(joined)}, at most {MAX_JOINED}"
    )
    return len(joined) > MAX_JOINED


run_case(Path(__file__).parent, 4, case)
