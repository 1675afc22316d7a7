"""Carries out the steps of a plan on a fleet, and records what it does."""

import asyncio

from catkinfork.platform.tests.soak.records import (
    ALL_HOSTS,
    AWAY,
    CONFIGURATION,
    KILL,
    LEAVING,
    LIMIT,
    LINK,
    PAUSE,
    RELOAD,
    STOP,
    STORE,
    TROUBLE,
)
from catkinfork.platform.tests.soak.settings import DRAIN_S, GRACE_S

# Name of the signal with which the platform ends a process after its grace.
LATE_KILL = " after the grace"
REPLACEMENT_S = 0.3
# Time for which a server that does not say that it leaves serves on, beyond what it has
# to, seconds.
WITHDRAWAL_S = 1.0
# A service keeps this many servers when others leave.
MIN_SERVERS = 2


class Disruptions:
    """Carries out steps; a step without a target that fits is left out.

    :param fleet: fleet with hosts, servers and the store.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.records = fleet.records
        self.rng = fleet.rng

    async def run(self, plan):
        """Carry out a plan; steps overlap."""
        tasks = []
        for step in plan:
            await asyncio.sleep(max(0.0, step.at_s - self.records.now()))
            action = getattr(self, step.action)
            tasks.append(asyncio.create_task(action(step)))
        await asyncio.gather(*tasks)

    def choose(self, targets, step):
        """Return the target of a step, or None if there is none."""
        return targets[step.target % len(targets)] if targets else None

    def list_plain_servers(self):
        """Return the servers of whole responses."""
        return [one for one in self.fleet.list_servers() if one.service != "lm"]

    async def stop(self, step):
        """Stop a host as the platform does; it is started again."""
        host = self.choose(self.fleet.hosts, step)
        await self.stop_host(host, step.detail, step.duration_s)

    async def stop_host(self, host, second_signal="", delay_s=0.0):
        """Send SIGTERM, perhaps a second signal, and SIGKILL after the grace."""
        began_at = self.records.now()
        if not host.signal("SIGTERM"):
            return
        process = host.process
        if second_signal:
            await asyncio.sleep(delay_s)
            if host.process is process:
                host.signal(second_signal)
        left_s = began_at + GRACE_S - self.records.now()
        try:
            await asyncio.wait_for(process.wait(), left_s)
        except TimeoutError:
            if host.process is process:
                host.signal("SIGKILL", LATE_KILL)
            await process.wait()
        self.records.add_span(STOP, host.name, began_at)

    async def replace_host(self, step):
        """Stop a host for good and start one at another address."""
        host = self.choose(self.fleet.hosts, step)
        if not host.is_running:
            return
        host.is_wanted = False
        self.fleet.hosts.remove(host)
        await self.fleet.add_host()
        await self.stop_host(host, step.detail, step.duration_s)

    async def reload(self, step):
        """Write the settings file of a host again and send SIGHUP."""
        host = self.choose(self.fleet.hosts, step)
        host.write_settings()
        began_at = self.records.now()
        if host.signal("SIGHUP"):
            self.records.add_span(RELOAD, host.name, began_at)

    async def configure(self, step):
        """Publish another configuration."""
        began_at = self.records.now()
        await self.fleet.store.publish_config(self.rng)
        self.records.add_span(CONFIGURATION, ALL_HOSTS, began_at)

    async def drain_server(self, step):
        """Let a backend server leave, and start another one in its place."""
        server = self.choose(self.fleet.list_servers(), step)
        if not self.may_leave(server):
            return
        await self.let_leave(server, step.detail == "announced", step.duration_s)

    async def withdraw_server(self, step):
        """Remove the entry of a plain server; watches are cut before and at that."""
        server = self.choose(self.list_plain_servers(), step)
        if not self.may_leave(server):
            return
        server.is_withdrawn = True
        await self.cut_watches(step)
        leaving = self.let_leave(server, is_announced=False, extra_s=WITHDRAWAL_S)
        leaving = asyncio.create_task(leaving)
        while server.state != "removed":
            await asyncio.sleep(0)
        self.fleet.store.cut_watches()
        await leaving

    async def let_leave(self, server, is_announced, extra_s):
        """Let a backend server leave, and start another one in its place.

        :param extra_s: time for which it serves longer than it has to, seconds.
        """
        began_at = self.records.now()
        leaving = asyncio.create_task(server.leave(is_announced, extra_s))
        self.fleet.count_versions()
        await asyncio.sleep(REPLACEMENT_S)
        await self.fleet.add_server(server.service, server.version)
        await leaving
        self.records.add_span(LEAVING, server.name, began_at)

    async def announce_leaving(self, step):
        """Let a plain server say in its answers that it leaves, and leave later."""
        server = self.choose(self.list_plain_servers(), step)
        if not self.may_leave(server):
            return
        began_at = self.records.now()
        server.says_leaving = True
        await asyncio.sleep(REPLACEMENT_S)
        await self.fleet.add_server(server.service, server.version)
        await asyncio.sleep(DRAIN_S + step.duration_s)
        await server.leave(is_announced=True, extra_s=0.0)
        self.records.add_span(LEAVING, server.name, began_at)

    def may_leave(self, server):
        """Return whether a server stays so far, and enough others of its kind do."""
        group = self.fleet.list_servers(server.service, server.version)
        n_staying = sum(one.stays for one in group)
        return server.stays and n_staying > MIN_SERVERS

    async def kill_host(self, step):
        """Kill a host; it is started again.

        The kernel may take seconds until the sockets of a killed process are closed.
        """
        host = self.choose(self.fleet.hosts, step)
        began_at, process = self.records.now(), host.process
        if host.signal("SIGKILL"):
            await process.wait()
            self.records.add_span(KILL, host.name, began_at)

    async def pause_host(self, step):
        """Stop a process for a time with SIGSTOP."""
        host = self.choose(self.fleet.hosts, step)
        began_at = self.records.now()
        if not host.signal("SIGSTOP"):
            return
        process = host.process
        await asyncio.sleep(step.duration_s)
        if host.process is process:
            host.signal("SIGCONT")
        self.records.add_span(PAUSE, host.name, began_at)

    async def crash_server(self, step):
        """Kill a backend server; one starts later, at times under the same name."""
        server = self.choose(self.fleet.list_servers(), step)
        if server is None:
            return
        server.crash()
        await self.fleet.replace_crashed(server, step.duration_s, step.target % 2)

    async def disturb_server(self, step):
        """Let a plain server be silent, lose, truncate or add responses, or refuse."""
        server = self.choose(self.list_plain_servers(), step)
        if server is None or server.trouble:
            return
        began_at = self.records.now()
        server.trouble = step.detail
        await asyncio.sleep(step.duration_s)
        server.trouble = ""
        self.records.add_span(TROUBLE, server.name, began_at)

    async def limit_server(self, step):
        """Let a plain server name a limit that changes, and then none."""
        server = self.choose(self.list_plain_servers(), step)
        if server is None or server.limit:
            return
        began_at = self.records.now()
        limits = [float(word) for word in step.detail.split(" ")]
        for limit in limits:
            server.limit = limit
            await asyncio.sleep(step.duration_s / len(limits))
        server.limit = 0.0
        self.records.add_span(LIMIT, server.name, began_at)

    async def turn_away(self, step):
        """Let a plain server refuse all requests, and ask for a pause."""
        server = self.choose(self.list_plain_servers(), step)
        if server is None or server.pause_s:
            return
        began_at = self.records.now()
        server.pause_s = float(step.detail)
        await asyncio.sleep(step.duration_s)
        server.pause_s = 0.0
        self.records.add_span(AWAY, server.name, began_at)

    async def silence_store(self, step):
        """Let the store respond to nobody, or not to one host."""
        store = self.fleet.store
        began_at = self.records.now()
        host = self.choose(self.fleet.hosts, step)
        is_all = step.detail == "all"
        ports = set(store.servers) if is_all else {host.store_port}
        ports -= store.silent_ports
        store.silent_ports |= ports
        await asyncio.sleep(step.duration_s)
        store.silent_ports -= ports
        self.records.add_span(STORE, ALL_HOSTS if is_all else host.name, began_at)

    async def cut_watches(self, step):
        """Close the connections of waiting watches, several times in a row."""
        ends_at = self.records.now() + step.duration_s
        while self.records.now() < ends_at:
            self.fleet.store.cut_watches()
            await asyncio.sleep(self.rng.uniform(0.05, 0.8))

    async def restore_store(self, step):
        """Let the store come back from a copy some seconds old."""
        began_at = self.records.now()
        await self.fleet.store.go_back(step.duration_s)
        self.records.add_span(STORE, ALL_HOSTS, began_at)

    async def disturb_link(self, step):
        """Disturb a link between callers, hosts, the store and servers."""
        place, fault = step.detail.split(" ")
        began_at = self.records.now()
        host = self.choose(self.fleet.hosts, step)
        name = {"caller": host.name, "store": host.ip}.get(place)
        if place == "server":
            server = self.choose(self.fleet.list_servers(), step)
            name = server.name if server else ""
        link = self.fleet.links[place].get(name)
        if link is None:
            return
        await link.disturb(fault, step.duration_s)
        kind, target = (STORE, host.name) if place == "store" else (LINK, name)
        self.records.add_span(kind, target, began_at)
