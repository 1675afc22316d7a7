"""Runs a soak and reports it."""

import asyncio

from catkinfork.platform.tests.soak.fleet import START_S, Fleet
from catkinfork.platform.tests.soak.report import make_report
from catkinfork.platform.tests.soak.settings import GRACE_S, STREAM_DEADLINE_S


async def run_soak(settings, folder):
    """Run a soak with logs in a folder, and return its report.

    :raises TimeoutError: the run did not end in time; its processes are killed.
    """
    fleet = Fleet(settings, folder)
    limit_s = settings.n_seconds + START_S + STREAM_DEADLINE_S + 2 * GRACE_S
    try:
        async with asyncio.timeout(limit_s):
            await fleet.start()
            fleet.records.started_at += fleet.records.now()
            await fleet.run()
    finally:
        await fleet.close()
        fleet.records.write(folder / "records.txt")
    return make_report(fleet.records)
