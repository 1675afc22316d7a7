"""The fleet of a soak: store, backend servers, hosts and callers."""

import asyncio
from contextlib import suppress
from itertools import count, cycle
from random import Random

from catkinfork.platform.tests.soak.bursts import N_CHAT_CALLERS, Bursts, ChatCaller
from catkinfork.platform.tests.soak.callers import PlainCaller, StreamCaller
from catkinfork.platform.tests.soak.crashing import CALLERS
from catkinfork.platform.tests.soak.disruptions import Disruptions
from catkinfork.platform.tests.soak.hosts import N_SEEDS, Host, find_ports
from catkinfork.platform.tests.soak.links import Link
from catkinfork.platform.tests.soak.plan import make_plan
from catkinfork.platform.tests.soak.records import (
    ALL_HOSTS,
    CRASH,
    DRIVER,
    Records,
    VersionCount,
)
from catkinfork.platform.tests.soak.servers import PlainServer, StreamServer
from catkinfork.platform.tests.soak.settings import GRACE_S, STREAM_DEADLINE_S
from catkinfork.platform.tests.soak.store import SoakStore
from catkinfork.platform.tests.standins import wait_until

IP_PREFIX = "127.0.77"
N_PLAIN_SERVERS = 4
N_ENGINES = 3
VERSIONS = ("v1", "v2")
PLAIN_SERVICES = ("ledger", "stock")
START_S = 20.0
# Time until a server that a request has crashed is back, seconds.
MIN_DOWN_S, MAX_DOWN_S = 0.5, 3.0
# Callers of a kind of run, besides those that all kinds have.
MORE_CALLERS = {"crashing": CALLERS, "bursts": (ChatCaller,) * N_CHAT_CALLERS}
# The driver counts as late from this lag on.
LAG_S = 0.1


class Fleet:
    """Everything that runs in a soak.

    :param settings: settings of the run.
    :param folder: folder of settings files and logs.
    """

    def __init__(self, settings, folder):
        self.settings = settings
        self.folder = folder
        self.records = Records()
        self.store = SoakStore()
        self.rng = Random(f"{settings.seed}-fleet")
        self.has_links = settings.kind == "links"
        self.bursts = None
        if settings.kind == "bursts":
            self.bursts = Bursts(settings.seed, settings.n_seconds)
        self.ips = [f"{IP_PREFIX}.{number}" for number in range(2, 254)]
        self.ports = find_ports(self.ips)
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in self.ips[:N_SEEDS]]
        self.unused_ips = cycle(self.ips)
        self.numbers = count(1)
        self.hosts = []
        self.all_hosts = []
        self.servers = []
        self.links = {"caller": {}, "store": {}, "server": {}}
        self.tasks = []
        self.takes_requests = True

    def create_task(self, coroutine):
        """Start a task that is cancelled at the end of the run."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def add_link(self, place, name, target):
        """Return the address of a target, that of a proxy if the run has links."""
        if not self.has_links:
            return target
        link = Link(target)
        self.links[place][name] = link
        return await link.open()

    async def add_host(self):
        """Add a host at an unused address and start it."""
        ip = next(self.unused_ips)
        store_port = await self.store.open()
        address = await self.add_link("store", ip, ("127.0.0.1", store_port))
        host = Host(
            self.settings,
            self.records,
            self.folder,
            ip,
            self.ports,
            self.seeds,
            f"{address[0]}:{address[1]}",
        )
        host.store_port = store_port
        host.front = await self.add_link("caller", host.name, host.front)
        host.link = self.links["caller"].get(host.name)
        self.hosts.append(host)
        self.all_hosts.append(host)
        self.create_task(host.supervise())
        self.create_task(host.check_ready())
        return host

    async def add_server(self, service, version="v1", name=None):
        """Start a backend server, under a new name unless one is given."""
        name = name or f"i-{service}-{next(self.numbers)}"
        kind = StreamServer if service == "lm" else PlainServer
        server = kind(
            name, service, self.records, self.store, self.settings.seed, version
        )
        server.on_crash = self.handle_crash
        server.bursts = self.bursts
        await server.open()
        server.address = await self.add_link("server", name, server.address)
        server.publish()
        self.servers.append(server)
        self.create_task(server.send_heartbeats())
        self.count_versions()

    async def replace_crashed(self, server, down_s, keeps_name):
        """Record a crash, and start a server later, under the same name or another."""
        self.records.add_span(CRASH, server.name, self.records.now())
        self.count_versions()
        await asyncio.sleep(down_s)
        name = server.name if keeps_name else None
        await self.add_server(server.service, server.version, name)

    def handle_crash(self, server):
        """Replace a server that a request has crashed."""
        down_s = self.rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
        keeps_name = self.rng.random() < 0.5
        self.create_task(self.replace_crashed(server, down_s, keeps_name))

    def list_servers(self, service=None, version=None):
        """Return the backend servers that serve, of a service and version if given."""
        return [
            server
            for server in self.servers
            if server.state == "ready"
            and server.is_up
            and service in (None, server.service)
            and version in (None, server.version)
        ]

    def count_versions(self):
        """Record how many engines of each version serve."""
        for version in VERSIONS:
            n_servers = len(self.list_servers("lm", version))
            now = self.records.now()
            self.records.version_counts.append(VersionCount(now, version, n_servers))

    async def start(self):
        """Start store, servers and hosts, and wait until all hosts take callers."""
        await self.store.publish_config(self.rng)
        for service in PLAIN_SERVICES:
            for _ in range(N_PLAIN_SERVERS):
                await self.add_server(service)
        for version in VERSIONS:
            for _ in range(N_ENGINES):
                await self.add_server("lm", version)
        for _ in range(self.settings.n_hosts):
            await self.add_host()
        self.create_task(self.store.maintain())
        await wait_until(lambda: all(h.is_in_rotation for h in self.hosts), START_S)
        self.create_task(self.watch_lag())

    async def watch_lag(self):
        """Record when this process itself is late."""
        while True:
            began_at = self.records.now()
            await asyncio.sleep(LAG_S)
            if self.records.now() - began_at > 2 * LAG_S:
                self.records.add_span(DRIVER, ALL_HOSTS, began_at)

    async def run(self):
        """Run the callers and the disruptions to their end, and stop all hosts."""
        settings = self.settings
        n_streams = max(1, round(settings.stream_share * settings.n_clients))
        callers = [
            (StreamCaller if number < n_streams else PlainCaller)(self, number)
            for number in range(settings.n_clients)
        ]
        more = MORE_CALLERS.get(settings.kind, ())
        callers += [
            kind(self, number) for number, kind in enumerate(more, settings.n_clients)
        ]
        tasks = [self.create_task(caller.run()) for caller in callers]
        plan = make_plan(
            settings.kind, settings.seed, settings.n_seconds, settings.n_hosts
        )
        disruptions = Disruptions(self)
        steps = self.create_task(disruptions.run(plan))
        await asyncio.sleep(settings.n_seconds)
        self.takes_requests = False
        _, late = await asyncio.wait([*tasks, steps], timeout=STREAM_DEADLINE_S + 4.0)
        for task in (*tasks, steps):
            if task in late or task.exception() is not None:
                task.print_stack()
        for host in self.hosts:
            host.is_wanted = False
        stops = [disruptions.stop_host(host) for host in self.hosts]
        await asyncio.wait_for(asyncio.gather(*stops), GRACE_S + 4.0)

    async def close(self):
        """End all processes that were started, and all tasks."""
        for host in self.all_hosts:
            host.is_wanted = False
        await asyncio.gather(*(host.end() for host in self.all_hosts))
        for server in self.servers:
            if server.is_up:
                server.crash()
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with suppress(asyncio.CancelledError, Exception):
                await task
