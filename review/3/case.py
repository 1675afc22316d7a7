"""The forwarders restart in turn while two versions of runners serve."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import CONTACT_S, TROUBLE, run_case
from sessions import begin, begin_sessions, is_open, restart_in_turn
from streams import Stream, build_configuration

N_SESSIONS = 16
# Streams that have to be taken up again before the rule judges.
MIN_RESUMED = 12


async def case(fleet):
    fleet.store.put("op/config", build_configuration())
    second, tries = await begin_sessions(
        fleet, fleet.forwarders[0], N_SESSIONS, n_old=2, n_new=2, n_others=30
    )
    if TROUBLE:
        await restart_in_turn(fleet)
    await asyncio.gather(*tries)
    # The clients come back at once, and again as the refusals allow, at the machines
    # that restarted first. Only the tries count that are made when these are in touch.
    machines = fleet.forwarders[1:]
    in_touch_at = max(one.started_at for one in machines) + CONTACT_S + 0.2
    while any(map(is_open, second)) and time.monotonic() < in_touch_at:
        await resume(second, machines)
        await asyncio.sleep(0.6)
    resumed = [one for one in second if is_open(one)]
    fleet.record.write(f"these machines are in touch, open streams: {len(resumed)}")
    n_before = [len(one.events) for one in resumed]
    new = [Stream(fleet, f"new{n}", f"55cc{n:04x}:60", 10) for n in range(N_SESSIONS)]
    new_tasks = await begin(new, machines)
    await resume(second, machines)
    await asyncio.gather(*new_tasks)
    n_gone_on = sum(
        len(one.events) > n for one, n in zip(resumed, n_before, strict=True)
    )
    n_whole = sum(one.is_whole for one in second)
    n_begun = sum(bool(one.events) for one in new)
    n_joined = sum(len(one.versions) > 1 for one in second)
    fleet.record.write(
        f"streams taken up again in touch: {len(resumed)}, gone on: {n_gone_on}; "
        f"new streams: {len(new)}, begun: {n_begun}; whole in the end: {n_whole} of "
        f"{len(second)}; joined from two versions: {n_joined}"
    )
    if len(resumed) < MIN_RESUMED:
        return False
    return n_gone_on / len(resumed) < 0.5 * n_begun / len(new)


async def resume(streams, machines):
    """Take the streams up that are not whole, each at another machine than before."""
    left = [one for one in streams if is_open(one)]
    await asyncio.gather(
        *(
            one.attempt(machines[(number + one.n_tries) % len(machines)])
            for number, one in enumerate(left)
        )
    )


run_case(Path(__file__).parent, 4, case)
