"""Connections to the store that fall silent while it works."""

import asyncio

import pytest

from catkinfork.platform.tests.standins import build_config, run_platform, wait_until

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    ("age_s", "removed_s", "n_silences"),
    [(0.05, 0.2, 1), (0.05, 1.4, 1), (0.9, 0.05, 1), (1.1, 0.8, 2)],
)
def test_removal_is_followed_as_connections_fall_silent(
    tmp_path, age_s, removed_s, n_silences
):
    """Guards against the own timeout of a watch, taken for an outage of the store.

    Removals were held back after it, as entries of live servers may have expired.
    """

    async def test(platform):
        store = platform.store
        store.put("op/config", build_config())
        await platform.add_runner("i-1")
        for name in ("i-2", "i-3"):
            await platform.add_runner(name)
        forwarders = await platform.add_forwarders(3)
        await platform.wait_ready()
        # Removals are held in the first seconds of a process.
        await asyncio.sleep(2.0)
        for number in range(n_silences):
            name = f"i-{2 + number}"
            await wait_until(lambda: len(store.waiting) == 3)
            await asyncio.sleep(age_s)
            store.silence_connections()
            await asyncio.sleep(removed_s)
            store.put(f"servers/{name}", None)
            for forwarder in forwarders:
                await wait_until(lambda f=forwarder, n=name: has_left(f, n))
        for forwarder in forwarders:
            assert not forwarder.list_events("removal_held")
            assert forwarder.list_events("connection_replaced")

    run_platform(test, tmp_path)


def has_left(forwarder, name):
    """Return whether a forwarder has logged that a runner leaves."""
    events = forwarder.list_events("backend_leaving")
    return name in [event["backend_server"] for event in events]
