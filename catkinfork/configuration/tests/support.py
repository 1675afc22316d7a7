"""Servers and a recorder for tests of the platform's clients."""

import random
from contextlib import asynccontextmanager
from functools import partial

import anyio

from catkinfork.settings import PlatformSettings
from standins.configuration_service import ConfigurationService
from standins.host_list import HostList

LIVE_HOST = {
    "address": "10.0.0.5:7000",
    "role": "router",
    "data_centre": "gasabo",
    "state": "live",
}


class Recorder:
    """Records the values that a client delivers, their times, and its log events."""

    def __init__(self):
        self.values = []
        self.times = []
        self.events = []

    def record_value(self, value):
        self.values.append(value)
        self.times.append(anyio.current_time())

    def record_event(self, action):
        self.events.append(action.event.name)

    async def wait_for(self, value, timeout_s=5.0):
        """Wait until a value has been delivered."""
        with anyio.fail_after(timeout_s):
            while value not in self.values:
                await anyio.sleep(0.01)


def make_settings(address, **changes):
    """Return platform settings with both services at one address."""
    base = f"http://{address}"
    settings = PlatformSettings(base, "production", f"{base}/hosts")
    return settings._replace(**changes)


def make_rng():
    return random.Random(7)


@asynccontextmanager
async def run_services():
    """Run the stand-ins of both services; yield each with its address."""
    service, hosts = ConfigurationService(), HostList([LIVE_HOST])
    service.publish("production", b"one")
    async with anyio.create_task_group() as tasks:
        service_address = await tasks.start(service.run, "127.0.0.1:0")
        hosts_address = await tasks.start(hosts.run, "127.0.0.1:0")
        yield service, service_address, hosts, hosts_address
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def run_raw_server(response):
    """Respond to every request with raw bytes, or never if ``response`` is None.

    Yields the address and a list of the request lines received.
    """
    requests = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, partial(send_raw_response, response, requests))
        yield f"127.0.0.1:{port}", requests
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def send_raw_response(response, requests, stream):
    """Receive one request on a connection, respond and close."""
    async with stream:
        data = await stream.receive()
        requests.append(data.split(b"\r\n")[0])
        if response is None:
            await anyio.sleep_forever()
        await stream.send(response)
