"""Small stand-ins for the scripts of the second review, on loopback addresses.

They speak what the users' pages say and use the standard library alone.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
KEY = "key-of-a"
ZONE = "nyarugenge"
START_TIMEOUT_S = 20.0
# Time after which a script gives up and ends all processes, seconds.
MAX_S = 112.0
# Bounds of kmmsa-route.
BOUNDS = {
    "grace_s": 8,
    "quota_window_s": 4,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
}
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2


class Record:
    """Times and texts, written to a file at the end.

    :param folder: folder of ``record.txt``.
    """

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.began_at = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, text):
        """Add a line with the time."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def find_ports(ips, n_ports):
    """Return port numbers that are unused for TCP and UDP at all addresses."""
    found = []
    for port in range(20000 + os.getpid() % 9000, 32000):
        if all(is_unused(ip, port) for ip in ips):
            found.append(port)
        if len(found) == n_ports:
            return found
    raise OSError("no unused ports")


def is_unused(ip, port):
    """Return whether a port can be bound."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as one:
                one.bind((ip, port))
    except OSError:
        return False
    return True


async def read_head(reader):
    """Return the start line and the headers, with names in lowercase."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.split(":", 1) for line in lines]
    return start_line, {name.lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        n_bytes = int(line.split(b";")[0], 16)
        parts.append(await reader.readexactly(n_bytes))
        await reader.readexactly(2)
        if not n_bytes:
            return b"".join(parts)


def build_config(version, routes, services, **limits):
    """Return a configuration.

    :param routes: dictionaries with the fields that differ from the defaults.
    :param services: the same for services.
    """
    route = {
        "host": "site.example",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "aim_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_target_ms": 0,
    }
    service = {
        "health_path": "/healthz",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
    }
    return {
        "version": version,
        "routes": [route | {"name": f"r{one['prefix']}"} | one for one in routes],
        "services": [service | one for one in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 130000,
        }
        | limits,
        "tenants": [{"name": "a", "api_keys": [KEY], "priority": 1}],
    }


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    page = 50

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.is_silent = False
        self.n_cuts = 0
        self.waiting = set()
        self.server = None

    async def open(self):
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def put(self, key, value):
        """Write an item, or remove it if the value is None."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            data = base64.b64encode(json.dumps(value).encode()).decode()
            event |= {"value": data, "created": created, "lease": 0}
            self.items[key] = event
        self.events.append(event)

    def cut_watches(self):
        """Cut the watches that are waiting; return how many there were."""
        cut, self.waiting = self.waiting, set()
        for writer in cut:
            writer.close()
        return len(cut)

    async def handle(self, reader, writer):
        try:
            while True:
                start_line, _ = await read_head(reader)
                await self.respond(start_line.split(" ")[1], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def respond(self, target, writer):
        """Answer one call."""
        path, _, query = target.partition("?")
        words = dict(one.split("=", 1) for one in query.split("&") if one)
        prefix = words.get("prefix", "").replace("%2F", "/")
        if path == "/kv-range":
            status, body = 200, self.list_range(prefix, words.get("after", ""))
        else:
            status, body = await self.watch(prefix, words, writer)
        while self.is_silent:
            await asyncio.sleep(0.01)
        if body is None:
            raise ConnectionResetError
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )

    def list_range(self, prefix, after):
        """Return a page of items."""
        after = after.replace("%2F", "/")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[: self.page]],
            "more_pages": len(keys) > self.page,
            "current_rev": self.revision,
        }

    async def watch(self, prefix, words, writer):
        """Return the events after a revision, or None if the watch was cut."""
        after = int(words["after"])
        ends_at = time.monotonic() + int(words["wait_ms"]) / 1000
        self.waiting.add(writer)
        try:
            while True:
                if writer.is_closing():
                    return 0, None
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                if found or time.monotonic() >= ends_at:
                    return 200, {"events": found, "current_rev": self.revision}
                await asyncio.sleep(0.005)
        finally:
            self.waiting.discard(writer)


class Server:
    """A runner of a plain service.

    :param work_s: time that a request takes, seconds.
    """

    def __init__(self, name, service, record, store, work_s=0.05, n_slots=6):
        self.name = name
        self.service = service
        self.record = record
        self.store = store
        self.work_s = work_s
        self.n_slots = n_slots
        self.slots = asyncio.Semaphore(n_slots)
        self.n_waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.zone = ZONE
        self.cold_until = 0.0
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.listener = None
        self.address = None
        self.is_up = False
        self.beats = None
        self.version = "v1"
        self.written = None
        self.arrivals = []
        self.runs = []

    async def open(self, address=("127.0.0.1", 0)):
        """Listen; the entry is written apart."""
        self.listener = await asyncio.start_server(self.handle, *address)
        self.address = self.listener.sockets[0].getsockname()[:2]
        self.is_up = True

    def publish(self):
        """Write the entry, which changes when more than ``sequence`` changes."""
        self.sequence += 1
        cold_s = max(0.0, self.cold_until - time.monotonic())
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.n_slots,
            "state": self.state,
            "cold_remaining_ms": int(1000 * cold_s),
            "born": self.born,
        }
        if entry != self.written:
            self.written = entry
            self.store.put(f"servers/{self.name}", entry | {"sequence": self.sequence})

    def start_beats(self):
        """Write the entry now and then every heartbeat."""
        self.beats = asyncio.ensure_future(self.send_beats())

    async def send_beats(self):
        while self.is_up:
            if not self.store.is_silent:
                self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """End as a killed process does: all connections are reset."""
        self.is_up = False
        self.listener.close()
        if self.beats is not None:
            self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, reader, writer):
        if not self.is_up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while self.is_up:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        """Serve one request."""
        start_line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        request_id = headers.get("x-catkinfork-request-id", "")
        target = start_line.split(" ")[1]
        if target == "/healthz":
            cold_s = max(0.0, self.cold_until - time.monotonic())
            extra = [
                f"X-Catkinfork-Instance-Id: {self.name}",
                f"X-Catkinfork-Cold-Remaining-Ms: {int(1000 * cold_s)}",
            ]
            self.send(writer, 200 if self.state == "ready" else 503, "", extra)
            return
        if headers.get("x-catkinfork-expect-instance", self.name) != self.name:
            self.send(writer, 421, request_id, ["X-Catkinfork-Not-Executed: 1"])
            return
        self.arrivals.append((time.monotonic(), request_id))
        await self.answer(target, request_id, headers, body, writer)

    async def answer(self, target, request_id, headers, body, writer):
        """Run a request and answer it."""
        if self.n_waiting >= 4 * self.n_slots:
            self.send(writer, 503, request_id, ["X-Catkinfork-Not-Executed: 1"])
            return
        self.n_waiting += 1
        try:
            async with self.slots:
                self.runs.append((time.monotonic(), request_id))
                self.record.add(f"{self.name} runs {request_id}")
                await asyncio.sleep(self.work_s)
        finally:
            self.n_waiting -= 1
        if self.is_up:
            seal = [f"X-Catkinfork-Response-Seal: {self.name}"]
            self.send(writer, 200, request_id, seal, f"{self.name} {request_id}")

    def send(self, writer, status, request_id, extra=(), body=""):
        """Write a response."""
        data = body.encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}", *extra]
        if request_id:
            lines.append(f"X-Catkinfork-Request-Id: {request_id}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)


class Engine(Server):
    """A model runner, whose streams have events that name its software version.

    ``n_events`` is the length of a stream and ``event_s`` the time between two events.
    """

    n_events = 40
    event_s = 0.1

    async def answer(self, target, request_id, headers, body, writer):
        n_before = int(headers.get("last-event-id", 0))
        self.runs.append((time.monotonic(), request_id))
        self.record.add(
            f"{self.name} {self.version} runs {request_id} after event {n_before}"
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Catkinfork-Request-Id: %b\r\nX-Catkinfork-Response-Seal: seal\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % request_id.encode()
        )
        for number in range(n_before + 1, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            if not self.is_up or writer.is_closing():
                return
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


class Host:
    """A forwarder process, started with the command of the deploy file.

    :param folder: folder of the settings file and the log.
    """

    def __init__(self, folder, record, ip, ports, seeds, store_address):
        self.name = f"edge-{ip.rsplit('.', 1)[1]}"
        self.record = record
        self.folder = folder
        self.ip = ip
        self.front, self.ready, self.control, self.peers, self.metrics = ports
        self.process = None
        self.path = folder / f"{self.name}.ini"
        values = {
            "node_name": self.name,
            "listen_addrs.front": f"{ip}:{self.front}",
            "listen_addrs.ready": f"{ip}:{self.ready}",
            "listen_addrs.control": f"{ip}:{self.control}",
            "zone": ZONE,
            "internal_ports.0": self.peers,
            "seeds": ",".join(seeds),
            "platform.address": store_address,
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}
        template = (ROOT / "deploy" / "forwarder.ini.template").read_text()
        text = re.sub(r"\{\{(.*?)\}\}", lambda m: str(values[m[1]]), template)
        # Each host of the platform has this port of its own.
        text = re.sub(r"(metrics_port) = \d+", rf"\1 = {self.metrics}", text)
        self.path.write_text(text)

    async def start(self):
        """Start the process."""
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        words = re.search(r'run = "python3 (.*)"', deploy)[1].split()
        words = [str(self.path) if "/boot.yaml" in word else word for word in words]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.record.add(f"{self.name} starts")

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)
            self.record.add(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ip, self.ready, "GET /readyz", {}), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self):
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def read_log(self):
        """Return the log of all starts."""
        return (self.folder / f"{self.name}.log").read_text()


async def call(ip, port, request_line, headers, body=b"", timeout_s=15.0):
    """Send a request on a new connection; return status, headers and body."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        lines = [f"{request_line} HTTP/1.1", "Host: site.example"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        async with asyncio.timeout(timeout_s):
            status_line, fields = await read_head(reader)
            content = await read_body(reader, fields)
        return int(status_line.split(" ")[1]), fields, content
    finally:
        writer.close()


class Try(NamedTuple):
    """One attempt of a client at a stream.

    :param status: status, 0 if the connection ended without one.
    :param events: pairs of number and version.
    :param is_whole: whether the stream came to its end.
    :param retry_after_s: value of ``Retry-After``, seconds.
    """

    status: int
    events: list
    is_whole: bool
    retry_after_s: float = 0.0


async def open_stream(host, path, request_id, headers, body):
    """Ask a forwarder for a stream, and return the :class:`Try` at its end."""
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    status, fields, data, is_whole = 0, {}, b"", False
    try:
        lines = [f"POST {path} HTTP/1.1", "Host: site.example"]
        lines.append(f"X-Catkinfork-Request-Id: {request_id}")
        lines.append(f"Authorization: Bearer {KEY}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        status_line, fields = await read_head(reader)
        status = int(status_line.split(" ")[1])
        while "chunked" in fields.get("transfer-encoding", "") and not is_whole:
            n_bytes = int(await reader.readuntil(b"\r\n"), 16)
            data += await reader.readexactly(n_bytes)
            await reader.readexactly(2)
            is_whole = not n_bytes
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    events = re.findall(r"id: (\d+)\ndata: (\S+)", data.decode())
    return Try(status, events, is_whole, float(fields.get("retry-after", 0.0)))


class Fleet:
    """Store, servers and forwarders of one script.

    :param folder: folder of the case, for ``record.txt``.
    """

    def __init__(self, folder, n_hosts):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.n_hosts = n_hosts
        self.hosts = []
        self.servers = []
        self.sent = {}

    async def add_server(self, name, service, kind=Server, **options):
        """Start a server that writes heartbeats."""
        server = kind(name, service, self.record, self.store, **options)
        await server.open()
        server.start_beats()
        self.servers.append(server)
        return server

    async def start_hosts(self):
        """Start all forwarders and wait until they are ready."""
        address = await self.store.open()
        ips = [f"127.0.{os.getpid() % 200 + 30}.{2 + n}" for n in range(self.n_hosts)]
        ports = find_ports(ips, 5)
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for ip in ips:
            self.hosts.append(Host(self.folder, self.record, ip, ports, seeds, address))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def send(self, host, path, request_id, method="POST", body=b"x", **headers):
        """Send a request to a host; return the status, 0 for a closed connection."""
        fields = {
            "X-Catkinfork-Request-Id": request_id,
            "X-Catkinfork-Deadline-Ms": 3000,
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        sent_at = time.monotonic()
        self.sent[request_id] = sent_at
        try:
            status, _, content = await call(
                host.ip, host.front, f"{method} {path}", fields, body
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status, content = 0, type(error).__name__.encode()
        took_s = time.monotonic() - sent_at
        text = content[:60].decode("latin-1")
        self.record.add(
            f"{request_id} to {host.name} answered {status} after {took_s:.3f} s {text}"
        )
        return status

    async def close(self):
        """End all processes and write the record."""
        for host in self.hosts:
            await host.kill()
        for server in self.servers:
            if server.is_up:
                server.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write()


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, folder):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if it failed."""
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(folder), MAX_S))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
