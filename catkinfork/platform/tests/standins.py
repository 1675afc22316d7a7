"""Stand-ins for the platform on loopback: store, runners and forwarder processes."""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
from bisect import bisect_right
from operator import itemgetter
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import anyio

ROOT = Path(__file__).parents[3]
KEY = "key-of-a"
# Limit for a test that hangs.
TEST_TIMEOUT_S = 40.0
SETTINGS = """
[forwarder]
name = {name}
address = {ip}:{ports[0]}
ready_address = {ip}:{ports[1]}
control_address = {ip}:{ports[2]}
metrics_port = {ports[3]}
data_centre = gasabo
grace_s = {grace_s}
[peers]
port = {peer_port}
seeds = {seeds}
[store]
address = 127.0.0.1:{store_port}
[balancing]
repeat_ratio = 0.2
n_repeat_slack = 20
[log]
format = json
"""


def list_unused_ports(n_ports):
    """Return unused ports."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_head(reader):
    """Return the start line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.split(": ", 1) for line in lines]
    return start_line, {name.lower(): value for name, value in pairs}


async def serve_port(handler, port=0):
    """Serve connections with a coroutine function; ignore disconnects."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(guarded, "127.0.0.1", port)


class Store:
    """The platform's store: items with revisions, ranges and watches.

    It states its era in all answers, and can be restored from a copy.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.dropped_revision = 0
        self.refused_ports = set()
        self.silent_ports = set()
        self.waiting = set()
        self.silent = set()
        self.writers = set()
        self.servers = {}

    async def open(self):
        """Listen on another port and return it."""
        server = await serve_port(self.serve)
        port = server.sockets[0].getsockname()[1]
        self.servers[port] = server
        return port

    def put(self, key, value):
        """Write an item as JSON, or remove it if the value is None."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["removed"] = True
        else:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            item |= {"value": base64.b64encode(data).decode(), "lease": 0}
            self.items[key] = item
        self.events.append(item)

    def drop_history(self, n_events):
        """Drop the oldest events."""
        if n_events:
            self.dropped_revision = self.events[n_events - 1]["revision"]
            del self.events[:n_events]

    def save(self):
        """Return a copy of the contents."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copied):
        """Go back to a copy and begin a new era."""
        items, events, self.revision = copied
        self.items = dict(items)
        self.events = list(events)
        self.dropped_revision = 0
        self.era += 1

    async def serve(self, reader, writer):
        """Serve one connection."""
        port = writer.get_extra_info("sockname")[1]
        self.writers.add(writer)
        while True:
            start_line, _ = await read_head(reader)
            target = urlsplit(start_line.split(" ")[1])
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            if port in self.refused_ports:
                status, body = 503, {}
            elif target.path == "/kv-range":
                status, body = 200, self.list_range(query)
            else:
                self.waiting.add(writer)
                status, body = await self.watch(query, port)
                self.waiting.discard(writer)
            if writer.is_closing():
                return
            while port in self.silent_ports or writer in self.silent:
                await asyncio.sleep(0.01)
            data = json.dumps(body).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                % (status, self.era, len(data))
                + data
            )

    def cut_watches(self):
        """Close the connections of all watches that wait."""
        waiting, self.waiting = self.waiting, set()
        for writer in waiting:
            writer.close()

    def silence_connections(self):
        """Let all open connections go silent for good, without a reset."""
        self.silent |= self.writers
        self.waiting.clear()

    def list_range(self, query):
        """Return a page of two items."""
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        return {
            "items": [self.items[key] for key in keys[:2]],
            "more_pages": len(keys) > 2,
            "current_rev": self.revision,
        }

    async def watch(self, query, port):
        """Return the events after a revision."""
        after = int(query["after"])
        era = self.era
        if not self.dropped_revision <= after <= self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while time.monotonic() < ends_at and port not in self.refused_ports:
            n_known = bisect_right(self.events, after, key=itemgetter("revision"))
            found = self.events[n_known:]
            if found or self.era != era:
                return 200, {"events": found, "current_rev": self.revision}
            await asyncio.sleep(0.01)
        if port in self.refused_ports:
            return 503, {}
        # A change during the last sleep is not skipped.
        n_known = bisect_right(self.events, after, key=itemgetter("revision"))
        return 200, {"events": self.events[n_known:], "current_rev": self.revision}


class Runner:
    """A runner that responds with its name.

    :param name: name of its entry in the store.
    :param delay_s: processing time of each request, seconds.
    """

    def __init__(self, name, delay_s=0.0):
        self.name = name
        self.delay_s = delay_s
        self.requests = []
        self.server = None
        self.sequence = 0

    async def open(self):
        """Start to accept connections."""
        self.server = await serve_port(self.serve)

    async def serve(self, reader, writer):
        """Serve one connection."""
        while True:
            start_line, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            self.requests.append((start_line, headers))
            await asyncio.sleep(self.delay_s)
            request_id = headers["x-catkinfork-request-id"]
            body = self.name.encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Catkinfork-Request-Id: %s\r\n"
                b"X-Catkinfork-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s"
                % (request_id.encode(), len(body), body)
            )

    def build_entry(self, state="ready", **options):
        """Build the next entry for the store."""
        self.sequence += 1
        host, port = self.server.sockets[0].getsockname()
        return {
            "service": "ledger",
            "address": f"{host}:{port}",
            "zone": "gasabo",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": 1000,
        } | options


def build_config(version=1, prefixes=("/read/",), keys=(KEY,), kind="unsafe"):
    """Build the configuration that operators publish."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{prefix}",
                "host": "site.example",
                "prefix": prefix,
                "kind": kind,
                "timeout_ms": 3000,
                "aim_ms": 300,
                "priority": 1,
                "service": "ledger",
                "max_attempts": 1,
                "public": False,
            }
            for prefix in prefixes
        ],
        "services": [
            {
                "name": "ledger",
                "health_path": "/healthz",
                "max_connections": 96,
                "protocol": "h1",
                "tls": False,
                "cold_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 1000,
        },
        "tenants": [{"name": "a", "api_keys": list(keys), "priority": 1}],
    }


class Forwarder:
    """A forwarder process.

    :param folder: folder of the settings file and the log.
    :param ip: loopback address that no other process uses.
    :param grace_s: time from SIGTERM to the forced termination, seconds.
    """

    module = "catkinfork"

    def __init__(self, folder, ip, ports, peer_port, store_port, seeds, grace_s=4):
        self.name = f"edge-{ip}"
        self.ip = ip
        self.ports = ports
        self.path = folder / f"{ip}.ini"
        self.output = folder / f"{ip}.log"
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=ip,
                ports=ports,
                peer_port=peer_port,
                store_port=store_port,
                seeds=", ".join(seeds),
                grace_s=grace_s,
            )
        )
        self.process = None

    async def launch(self):
        """Start the process."""
        arguments = ["-m", self.module, "forwarder", "--settings", str(self.path)]
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, cwd=ROOT, stdout=output, stderr=output
            )

    async def start(self):
        """Start the process and wait until its ports are open."""
        await self.launch()
        await wait_until(lambda: "forwarder_started" in self.read_log())

    def read_log(self):
        """Return the output of the process."""
        return self.output.read_text()

    def list_events(self, name):
        """Return the log lines of all events with a name."""
        lines = [line for line in self.read_log().splitlines() if line[:1] == "{"]
        events = [json.loads(line) for line in lines]
        return [event for event in events if event["name"] == name]

    async def get(self, path, port_index=2):
        """Return the status and the body of an admin path."""
        return await request(self.ip, self.ports[port_index], f"GET {path}", [])

    async def call(self, path="/read/", key=KEY, request_id="r1", deadline_ms=3000):
        """Send a request as a caller and return the status and the body."""
        headers = [
            f"X-Catkinfork-Request-Id: {request_id}",
            f"Authorization: Bearer {key}",
            f"X-Catkinfork-Deadline-Ms: {deadline_ms}",
        ]
        return await request(self.ip, self.ports[0], f"GET {path}", headers)

    async def is_ready(self):
        """Return whether the process reports itself as ready."""
        status, _ = await self.get("/readyz", port_index=1)
        return status == 200

    def signal(self, number):
        """Send a signal to the process."""
        send_signal(self.process, number)

    async def end(self):
        """Kill the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


def catches(process, number):
    """Return whether a process has a handler for a signal.

    :raises OSError: if the process has ended.
    """
    status = Path(f"/proc/{process.pid}/status").read_text()
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught >> (number - 1) & 1)


def read_processor_time_s(process):
    """Return the processor time that a process has used, seconds.

    :raises OSError: if the process has ended.
    """
    return int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e9


def send_signal(process, number):
    """Send a signal to a process of asyncio.

    ``Process.send_signal`` collects the exit status of a process that has just ended,
    at times before asyncio does, which then reports 255 in its place.

    :raises ProcessLookupError: if the process has ended.
    """
    if process.returncode is not None:
        raise ProcessLookupError
    os.kill(process.pid, number)


async def request(host, port, request_line, headers):
    """Send a request on a new connection and return the status and the body."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{request_line} HTTP/1.1", "Host: site.example", *headers, "", ""]
        writer.write("\r\n".join(lines).encode())
        status_line, fields = await read_head(reader)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(status_line.split(" ")[1]), body
    finally:
        writer.close()


async def wait_until(check, timeout_s=10.0):
    """Wait until a function or coroutine function is true; return the seconds."""
    started_at = time.monotonic()
    while True:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return time.monotonic() - started_at
        assert time.monotonic() - started_at < timeout_s, "condition not met in time"
        await asyncio.sleep(0.02)


class Platform:
    """Store, runners and forwarders of a test."""

    # Time from SIGTERM to the forced termination of the forwarders, seconds.
    grace_s = 4

    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.runners = []
        self.forwarders = []

    async def add_runner(self, name, delay_s=0.0):
        """Start a runner and write its entry to the store."""
        runner = Runner(name, delay_s)
        await runner.open()
        self.runners.append(runner)
        self.store.put(f"servers/{name}", runner.build_entry())
        return runner

    async def add_forwarders(self, n_forwarders=1):
        """Start forwarders, each with its own port of the store."""
        for forwarder in await self.create_forwarders(n_forwarders):
            await forwarder.start()
        return self.forwarders

    async def create_forwarders(self, n_forwarders=1):
        """Return new forwarders whose processes are not started yet."""
        ports = list_unused_ports(5)
        ips = [f"127.0.0.{2 + number}" for number in range(n_forwarders)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:2]]
        for ip in ips:
            store_port = await self.store.open()
            forwarder = Forwarder(
                self.folder,
                ip,
                ports[:4],
                ports[4],
                store_port,
                seeds,
                self.grace_s,
            )
            forwarder.store_port = store_port
            self.forwarders.append(forwarder)
        return self.forwarders

    async def wait_ready(self):
        """Wait until all forwarders are ready."""
        for forwarder in self.forwarders:
            await wait_until(forwarder.is_ready)


def run_platform(test, folder):
    """Run a coroutine function that takes a :class:`Platform`."""

    async def main():
        platform = Platform(folder)
        try:
            with anyio.fail_after(TEST_TIMEOUT_S):
                await test(platform)
        finally:
            for forwarder in platform.forwarders:
                await forwarder.end()

    anyio.run(main)
