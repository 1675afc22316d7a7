"""A forwarding server with scripted backend servers on loopback."""

import asyncio
import random
import time
from math import inf
from typing import NamedTuple

import anyio

from catkinfork.balancing import Balancer, BalancerSettings, RetryBudgetSettings
from catkinfork.forwarding import SWEEP_INTERVAL_S, ForwardingServer, HeaderNames
from catkinfork.forwarding.tests.scripted import (
    TEST_TIMEOUT_S,
    ScriptedBackend,
)
from catkinfork.topology import (
    READY,
    SAFE,
    STREAMING,
    UNSAFE,
    BackendEntry,
    BackendRegistry,
    CallerLimits,
    Configuration,
    Engine,
    Route,
    RouteTable,
    Service,
    TrafficShare,
    Workspace,
)
from catkinfork.topology._past import PastDepartures

KEY = "key-of-a"
# Headers of a request to an engine, with a shared part and one of its own.
PROMPT = ["X-Token-Counts: 100,20", "X-Prompt-Parts: a1:60,b2:40"]


class SingleForwarderDirectory:
    """Peer directory of a fleet with a single forwarder."""

    def count_fresh(self, now):
        """Return the number of forwarders with fresh state."""
        return 1

    def count_forwarders(self, now):
        """Return the number of forwarders."""
        return 1

    def compute_state_age_s(self, now):
        """Return the age of the oldest peer state."""
        return 0.0


def build_route(name, kind, **options):
    """Build a route whose path prefix is its name."""
    values = {"timeout_s": 5.0, "latency_target_s": 0.1, "max_attempts": 2} | options
    target = TrafficShare(values.pop("service", "plain"), 1.0)
    return Route(name, "site.example", f"/{name}/", kind, (target,), **values)


ROUTES = (
    build_route("read", SAFE),
    build_route("order", UNSAFE, max_attempts=1),
    build_route("open", SAFE, is_public=True),
    build_route("brief", SAFE, timeout_s=0.3, latency_target_s=0.05),
    build_route(
        "draft",
        STREAMING,
        is_resumable=True,
        service="engine",
        has_prompt=True,
        max_event_gap_s=0.25,
    ),
    build_route("chat", STREAMING, max_attempts=1, service="engine", has_prompt=True),
)


def build_configuration(limits=None, version=1, routes=ROUTES, keys=(KEY,)):
    """Build a configuration."""
    services = {
        "plain": Service("plain"),
        "engine": Service("engine", engine=Engine(8, 100_000)),
    }
    limits = limits or CallerLimits(4096, 10_000, 0.4, 0.6, 100_000.0)
    workspaces = (Workspace("a", tuple(keys)),)
    return Configuration(version, routes, services, limits, workspaces)


class World:
    """A forwarding server with its balancer, backend servers and log events."""

    def __init__(self, tasks, limits=None):
        self.loop = asyncio.get_running_loop()
        self.events = []
        self.registry = BackendRegistry(self.events.append)
        settings = BalancerSettings("gasabo", 4.0, RetryBudgetSettings(0.2, 20, 10.0))
        rng = random.Random(1)
        self.balancer = Balancer(
            self.registry, SingleForwarderDirectory(), settings, rng, self.events.append
        )
        self.server = ForwardingServer(
            self.balancer,
            HeaderNames(reserved=frozenset({b"x-system-only"})),
            self.loop,
            rng,
            self.events.append,
            tasks.start_soon,
        )
        self.server.apply_configuration(RouteTable(build_configuration(limits)))
        self.server.request_read = self.read_store
        self.server.request_past = self.read_past
        self.backends = []
        self.port = 0
        tasks.start_soon(self.sweep)

    async def sweep(self):
        """Sweep the server periodically."""
        while True:
            self.server.sweep()
            await anyio.sleep(SWEEP_INTERVAL_S)

    async def start(self, service, *scripts, version="v1"):
        """Start one backend server per script; placement prefers them in this order."""
        for script in scripts:
            backend = ScriptedBackend(script)
            await backend.open()
            name = f"{service}-{len(self.backends)}"
            entry = BackendEntry(
                name,
                service,
                backend.address,
                "gasabo",
                8,
                READY,
                0.0,
                1,
                version=version,
            )
            self.registry.apply_entry(entry, self.loop.time(), "test")
            self.backends.append(backend)
        if not self.port:
            await self.server.listen("127.0.0.1:0")
            self.port = self.server.listeners[0].sockets[0].getsockname()[1]
        return self.backends[-len(scripts) :]

    def read_store(self):
        """Let the store be read, which lists what the registry has."""
        self.registry.versions.record_read(time.monotonic())

    def read_past(self):
        """Let the history of the store be read, in which no server has left."""
        departures = PastDepartures([], has_unknown=False)
        self.registry.versions.record_past(departures, inf, time.monotonic())

    def set_long_running(self):
        """Let the forwarder know the versions and routes of a long time."""
        now = self.loop.time()
        history = self.registry.versions
        history.known_since, history.read_at = -inf, now
        for host in self.balancer.origins.targets:
            self.balancer.origins.targets_changed_at[host] = -inf

    async def connect(self):
        """Open a connection as a caller."""
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    async def call(self, path, **options):
        """Send one request on a new connection and return the :class:`Reply`."""
        caller = await self.connect()
        await caller.send(path, **options)
        reply = await caller.read()
        caller.close()
        return reply

    def list_events(self, name):
        """Return the fields of all log events with a name."""
        return [
            dict(zip(action.event.fields, action.values, strict=True))
            for action in self.events
            if action.event.name == name
        ]


class Reply(NamedTuple):
    """A response as received by a caller.

    :param is_whole: whether the response was complete according to its framing.
    """

    status: int
    headers: dict
    body: bytes
    is_whole: bool


class Caller:
    """A connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.n_sent = 0

    async def send(
        self, path, method="POST", body=b"body", key=KEY, request_id="", headers=()
    ):
        """Send one request."""
        self.n_sent += 1
        lines = [f"{method} {path} HTTP/1.1", "Host: site.example"]
        lines.append(f"X-Request-Id: {request_id or f'r{self.n_sent}'}")
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        lines += headers
        await self.send_raw("\r\n".join([*lines, "", ""]).encode() + body)

    async def send_raw(self, data):
        """Send raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read(self):
        """Return the next response."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b"", False)
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, value = line.split(": ", 1)
            headers[name.lower()] = value
        body, is_whole = await self.read_body(headers)
        return Reply(int(first.split(" ")[1]), headers, body, is_whole)

    async def read_body(self, headers):
        """Return the body and whether it is complete."""
        body = b""
        try:
            if "content-length" in headers:
                return await self.reader.readexactly(
                    int(headers["content-length"])
                ), True
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False

    async def read_some(self):
        """Return the data that has arrived."""
        return await self.reader.read(65536)

    def close(self):
        """Close the connection."""
        self.writer.close()


def collect_errors(world):
    """Return a list to which the errors that are reported from now on are added.

    Errors of tasks are those of callers and scripted backend servers.
    """
    errors = []

    def add(_, context):
        if "future" not in context:
            errors.append(context.get("exception"))

    world.loop.set_exception_handler(add)
    return errors


def run_world(test, **options):
    """Run a coroutine function that takes a :class:`World`."""

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await test(World(tasks, **options))
                tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
