"""Forwarder processes beside odd items that another writer left in the store."""

import json

import pytest

from catkinfork.platform.tests.standins import (
    Platform,
    build_config,
    run_platform,
    wait_until,
)
from catkinfork.platform.tests.test_odd_documents import NESTED

pytestmark = pytest.mark.processes

ODD_FIELDS = {
    "nested": ("other", NESTED),
    "name with an empty label": ("address", '"a..b:8000"'),
    "name with a long label": ("address", '"' + "x" * 70 + ':8000"'),
    "port out of range": ("address", '"127.0.0.1:65536"'),
    "slots beyond a float": ("slots", "9" * 400),
    "start beyond 64 bit": ("born", str(2**64)),
    "sequence beyond 64 bit": ("sequence", str(2**64)),
}


def build_odd_entry(runner, field, value):
    """Return the entry of a runner as JSON, with a field given as JSON."""
    entry = json.dumps(runner.build_entry())
    return (entry[:-1] + f',"{field}":{value}}}').encode()


@pytest.mark.parametrize("name", ODD_FIELDS)
def test_process_goes_on_beside_an_odd_entry(tmp_path, name):
    """Guards against an odd entry that ends the processes, or stops their updates."""

    async def test(platform: Platform):
        platform.store.put("op/config", build_config(kind="safe"))
        runner = await platform.add_runner("i-1")
        # The one with the odd entry would be preferred.
        platform.store.put("servers/i-1", runner.build_entry(zone="kicukiro"))
        await platform.add_forwarders(2)
        await platform.wait_ready()
        platform.store.put("servers/i-2", build_odd_entry(runner, *ODD_FIELDS[name]))
        for forwarder in platform.forwarders:
            await wait_until(lambda f=forwarder: f.list_events("entry_ignored"))
            for _ in range(8):
                assert await forwarder.call() == (200, b"i-1")
        platform.store.put("servers/i-2", None)
        await platform.add_runner("i-3")
        platform.store.put("servers/i-1", runner.build_entry("draining"))
        for forwarder in platform.forwarders:

            async def is_followed(forwarder=forwarder):
                return await forwarder.call() == (200, b"i-3")

            await wait_until(is_followed)
            assert forwarder.process.returncode is None
            (ignored,) = forwarder.list_events("entry_ignored")
            assert ignored["key"] == "servers/i-2"
            assert not forwarder.list_events("callback_failed")
            assert (await forwarder.get("/status"))[0] == 200
            assert (await forwarder.get("/state"))[0] == 200

    run_platform(test, tmp_path)


def test_process_starts_beside_odd_items(tmp_path):
    """Guards against a start that ends, or knows nothing, for one odd item."""

    async def test(platform: Platform):
        platform.store.put("op/config", build_config())
        runner = await platform.add_runner("i-1")
        for number, (field, value) in enumerate(ODD_FIELDS.values()):
            entry = build_odd_entry(runner, field, value)
            platform.store.put(f"servers/odd-{number}", entry)
        platform.store.put("servers/", runner.build_entry())
        platform.store.put("servers/a\r\nx-other: 1", runner.build_entry())
        platform.store.put("op/evacuate/", {})
        (forwarder,) = await platform.add_forwarders()
        await platform.wait_ready()
        for _ in range(8):
            assert await forwarder.call() == (200, b"i-1")
        platform.store.put("op/config", NESTED.encode())
        await wait_until(lambda: len(forwarder.list_events("configuration_rejected")))
        platform.store.put("op/config", build_config(5, prefixes=("/new/",)))

        async def is_followed():
            return await forwarder.call("/new/") == (200, b"i-1")

        await wait_until(is_followed)
        n_ignored = len(ODD_FIELDS) + 2
        assert len(forwarder.list_events("entry_ignored")) == n_ignored
        assert len(forwarder.list_events("configuration_rejected")) == 2

    run_platform(test, tmp_path)
