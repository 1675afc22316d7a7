"""Hosts: forwarder processes that are started, signalled and started again."""

import asyncio
import os
import random
import re
import signal
import socket
import sys
from contextlib import suppress

from catkinfork.platform.tests.soak.records import START, Exit, Signal
from catkinfork.platform.tests.soak.settings import (
    BOUNDS,
    ZONE,
)
from catkinfork.platform.tests.standins import (
    catches,
    read_head,
    read_processor_time_s,
    send_signal,
)

READY_CHECK_S = 1.0
# Questions in a row without a 200 that take a host out.
N_MISSED_CHECKS = 2
N_SEEDS = 3
# Processor time in which a process has to set its handlers, seconds. The interpreter
# and the first modules take half of it.
START_S = 0.1
PORT_NAMES = ("front", "ready", "control", "metrics", "peers")


def find_ports(ips):
    """Return ports that are unused at all addresses, for TCP and UDP.

    They are below those that the system gives to connections.
    """
    found = []
    for port in random.sample(range(20_000, 32_000), 12_000):
        if all(is_unused(ip, port) for ip in ips):
            found.append(port)
        if len(found) == len(PORT_NAMES):
            return dict(zip(PORT_NAMES, found, strict=True))
    raise OSError("no unused ports")


def is_unused(ip, port):
    """Return whether a port can be bound for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as one:
                one.bind((ip, port))
    except OSError:
        return False
    return True


class Host:
    """A host with its forwarder process, which is started again whenever it ends.

    :param settings: settings of the run.
    :param records: records to which the ends of the process are added.
    :param folder: folder of the settings file and of a log for each start.
    :param store_address: address of the store, or of the proxy before it.

    ``front`` is the address at which callers connect, and ``link`` the :class:`Link`
    that listens there, or None.
    """

    def __init__(self, settings, records, folder, ip, ports, seeds, store_address):
        self.name = f"host-{ip.rsplit('.', 1)[1]}"
        self.source = settings.source
        self.restart_delay_s = settings.restart_delay_s
        self.records = records
        self.folder = folder
        self.ip = ip
        self.ports = ports
        self.front = (ip, ports["front"])
        self.link = None
        self.values = {
            "node_name": self.name,
            "listen_addrs.front": f"{ip}:{ports['front']}",
            "listen_addrs.ready": f"{ip}:{ports['ready']}",
            "listen_addrs.control": f"{ip}:{ports['control']}",
            "zone": ZONE,
            "internal_ports.0": ports["peers"],
            "seeds": ",".join(seeds),
            "platform.address": store_address,
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}
        self.path = folder / f"{self.name}.ini"
        self.process = None
        self.n_starts = 0
        self.is_wanted = True
        self.is_in_rotation = False
        self.signals = []
        self.started_at = 0.0

    def write_settings(self):
        """Write the settings file from the template of the checkout."""
        template = (self.source / "deploy" / "forwarder.ini.template").read_text()
        text = re.sub(r"\{\{(.*?)\}\}", lambda m: str(self.values[m[1]]), template)
        port = self.ports["metrics"]
        self.path.write_text(re.sub(r"(metrics_port) = \d+", rf"\1 = {port}", text))

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def supervise(self):
        """Start the process again whenever it ends, until the host is not wanted."""
        while self.is_wanted:
            await self.start()
            code = await self.process.wait()
            self.is_in_rotation = False
            times = (self.started_at, self.records.now())
            one = Exit(self.name, *times, code, tuple(self.signals))
            self.records.exits.append(one)
            await asyncio.sleep(self.restart_delay_s)

    async def start(self):
        """Start the process with a log of its own."""
        self.write_settings()
        self.n_starts += 1
        self.signals = []
        self.started_at = self.records.now()
        self.records.add_span(START, self.name, self.started_at)
        words = ["-m", "catkinfork", "forwarder", "--settings", str(self.path)]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(self.source),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}-{self.n_starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                cwd=self.source,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def signal(self, name, note=""):
        """Send a signal to the process, if it runs; return whether it was sent."""
        if not self.is_running:
            return False
        with suppress(ProcessLookupError):
            is_early = self.is_starting()
            send_signal(self.process, getattr(signal, name))
            self.signals.append(Signal(self.records.now(), name + note, is_early))
        return True

    def is_starting(self):
        """Return whether the process has had no time yet to set its handlers."""
        try:
            used_s = read_processor_time_s(self.process)
            return used_s < START_S and not catches(self.process, signal.SIGTERM)
        except OSError:
            return False

    async def is_ready(self):
        """Return whether the process responds 200 at its ready address."""
        writer = None
        try:
            async with asyncio.timeout(READY_CHECK_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports["ready"]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                status_line, _ = await read_head(reader)
                return status_line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def check_ready(self):
        """Ask the process once a second, and take it out after two misses."""
        n_missed = N_MISSED_CHECKS
        while True:
            n_missed = 0 if await self.is_ready() else n_missed + 1
            self.is_in_rotation = n_missed < N_MISSED_CHECKS
            await asyncio.sleep(READY_CHECK_S)

    async def end(self):
        """Kill the process, and do not start it again."""
        self.is_wanted = False
        if self.signal("SIGKILL"):
            await self.process.wait()


def choose_host(hosts, rng):
    """Choose the host of a new connection, as the load balancer does.

    If none is in rotation, all are used.
    """
    ready = [host for host in hosts if host.is_in_rotation]
    return rng.choice(ready or hosts)
