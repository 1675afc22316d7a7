"""Stand-ins on loopback for the scripts of this review: store, runners, clients.

Standard library only. The forwarders are the project's own program, started with the
command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
HOST = "site.example"
P = "X-Catkinfork-"
# Bounds of the site file of kmmsa-route, as its settings file has them.
BOUNDS = {
    "grace_s": 8,
    "quota_window_s": 4,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
}
CONTACT_S = 3.0


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in ``record.txt`` of the case."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def write(self, text):
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


async def read_head(reader):
    """Return the start line and the headers, names in lowercase."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.split(":", 1) for line in lines]
    return start_line, {name.lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Return a body with a length, in chunks or, for responses, up to the end."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            n_bytes = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(n_bytes)
            await reader.readexactly(2)
            if not n_bytes:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Endpoint:
    """A listener that can end like a killed process: all connections are reset.

    ``generation`` counts the starts, so that a connection of an earlier one is closed.
    """

    def __init__(self):
        self.listener = None
        self.writers = set()
        self.tasks = set()
        self.port = 0
        self.generation = 0

    async def open(self):
        """Listen on a free port."""
        self.generation += 1
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener, self.accept)

    def accept(self):
        """Accept the connections that wait."""
        with suppress(BlockingIOError):
            while True:
                connection, _ = self.listener.accept()
                connection.setblocking(False)
                task = asyncio.create_task(self.guard(connection, self.generation))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def guard(self, connection, generation):
        """Serve a connection, unless the process that accepted it has ended."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, connection)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        if generation != self.generation:
            transport.abort()
            return
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def crash(self):
        """Stop listening and reset all connections."""
        self.generation += 1
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Endpoint):
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 10
        self.is_silent = False

    def put(self, key, value):
        """Write an item as JSON, or remove it if the value is None."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["removed"] = True
        else:
            data = json.dumps(value).encode()
            item |= {
                "value": base64.b64encode(data).decode(),
                "created": self.revision,
                "lease": 0,
            }
            self.items[key] = item
        self.events.append(item)

    async def serve(self, reader, writer):
        while True:
            start_line, _ = await read_head(reader)
            target = urlsplit(start_line.split(" ")[1])
            query = {name: one[0] for name, one in parse_qs(target.query).items()}
            status, body = 404, {}
            if target.path == "/kv-range":
                status, body = 200, self.list_range(query)
            elif target.path == "/kv-watch":
                status, body = await self.watch(query)
            while self.is_silent:
                await asyncio.sleep(0.05)
            data = json.dumps(body).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
            )

    def list_range(self, query):
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        return {
            "items": [self.items[key] for key in keys[:50]],
            "more_pages": len(keys) > 50,
            "current_rev": self.revision,
        }

    async def watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while time.monotonic() < ends_at:
            found = [one for one in self.events if one["revision"] > after]
            if found:
                return 200, {"events": found, "current_rev": self.revision}
            await asyncio.sleep(0.01)
        return 200, {"events": [], "current_rev": self.revision}


class Runner(Endpoint):
    """A runner of a service; subclasses answer the requests.

    ``started`` has the request ids in the order in which it began to run them.
    """

    def __init__(self, fleet, name, service, version="v1", zone="gasabo", slots=6):
        super().__init__()
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = slots
        self.born = 0
        self.sequence = 0
        self.is_up = False
        self.state = "ready"
        self.started = []
        self.beat = None

    async def start(self):
        """Start at a free port, and write the entry at once."""
        await self.open()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_up = True
        self.record.write(
            f"runner {self.name} starts, version {self.version}, port {self.port}"
        )
        self.publish()
        if self.beat is None:
            self.beat = asyncio.create_task(self.send_heartbeats())

    def publish(self):
        """Write the entry, unless the store does not answer."""
        if self.fleet.store.is_silent:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.fleet.store.put(f"servers/{self.name}", entry)

    async def send_heartbeats(self):
        """Write the entry every heartbeat; without any for three, it is removed."""
        n_missed = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                n_missed = 0
                self.publish()
                continue
            n_missed += 1
            key = f"servers/{self.name}"
            if n_missed >= 3 and key in self.fleet.store.items:
                self.fleet.store.put(key, None)

    def end(self, why):
        """End like a crashed process."""
        self.is_up = False
        self.record.write(f"runner {self.name} ends: {why}")
        self.crash()

    async def serve(self, reader, writer):
        while True:
            start_line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = start_line.split(" ")
            if target in ("/healthz", "/report", "/kv-list"):
                await self.answer_admin(target, writer)
                continue
            expected = headers.get(f"{P}Expect-Instance".lower())
            request_id = headers[f"{P}Request-Id".lower()]
            if expected not in (None, self.name):
                send(writer, 421, request_id, [f"{P}Instance-Id: {self.name}"])
                continue
            await self.answer(method, target, headers, body, reader, writer)

    async def answer_admin(self, target, writer):
        """Answer a health check, or a request for the state."""
        if target == "/healthz":
            send(writer, 200, None, [f"{P}Instance-Id: {self.name}"])
            return
        send(writer, 404, None, [])

    async def answer(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


def send(writer, status, request_id, headers, body=b""):
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    if request_id is not None:
        lines.append(f"{P}Request-Id: {request_id}")
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


class Forwarder:
    """A process of the role ``forwarder``.

    :param ip: loopback address of the machine.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.process = None
        self.started_at = 0.0
        self.is_stopping = False
        self.path = fleet.folder / f"{self.name}.ini"
        self.log = fleet.folder / f"{self.name}.log"

    async def start(self):
        """Start the process and wait until it says that it is ready."""
        self.path.write_text(self.fleet.fill_template(self))
        words = self.fleet.command.split()
        words = [str(self.path) if "boot.yaml" in word else word for word in words]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CATKINFORK_BOOT": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.started_at = time.monotonic()
        ends_at = self.started_at + 15.0
        while not await self.is_ready():
            if time.monotonic() > ends_at or self.process.returncode is not None:
                raise CannotRunError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)
        self.is_stopping = False
        self.fleet.record.write(f"{self.name} is ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.fleet.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            start_line, _ = await asyncio.wait_for(read_head(reader), 2.0)
            return start_line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.is_stopping = True
        self.process.send_signal(number)

    async def wait_end(self):
        await self.process.wait()
        self.fleet.record.write(f"{self.name} has ended ({self.process.returncode})")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Store, runners and forwarders of a case."""

    def __init__(self, record, n_forwarders):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.runners = []
        self.forwarders = [Forwarder(self, number) for number in range(n_forwarders)]
        ips = [one.ip for one in self.forwarders]
        names = ("front", "ready", "control", "metrics", "peers")
        self.ports = dict(zip(names, find_ports(ips, len(names)), strict=True))
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = role["roles"]["forwarder"]
        self.command = role["run"]
        self.template = (ROOT / role["template"]).read_text()

    def fill_template(self, forwarder):
        """Return the settings file of a forwarder, filled in as the platform does."""
        ports = self.ports
        seeds = [f"{one.ip}:{ports['control']}" for one in self.forwarders[:3]]
        values = {
            "node_name": forwarder.name,
            "listen_addrs.front": f"{forwarder.ip}:{ports['front']}",
            "listen_addrs.ready": f"{forwarder.ip}:{ports['ready']}",
            "listen_addrs.control": f"{forwarder.ip}:{ports['control']}",
            "zone": "gasabo",
            "internal_ports.0": ports["peers"],
            "seeds": ",".join(seeds),
            "platform.address": f"127.0.0.1:{self.store.port}",
        }
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        text = re.sub(r"\{\{(.*?)\}\}", lambda m: str(values[m[1]]), self.template)
        return text.replace("metrics_port = 9464", f"metrics_port = {ports['metrics']}")

    async def start(self):
        for forwarder in self.forwarders:
            await forwarder.start()

    async def close(self):
        for forwarder in self.forwarders:
            await forwarder.end()
        for runner in self.runners:
            if runner.beat is not None:
                runner.beat.cancel()
            if runner.is_up:
                runner.crash()
        self.store.crash()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def find_ports(ips, n_ports):
    """Return ports that are free at all addresses, for TCP and UDP.

    They are below those that the system gives to connections.
    """
    found = []
    candidates = list(range(20_000, 32_000))
    random.shuffle(candidates)
    for port in candidates:
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == n_ports:
            return found
    raise CannotRunError("no free ports")


def build_configuration(version, routes, services, tenants=()):
    """Return a configuration as the operator publishes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 130000,
        },
        "tenants": list(tenants),
    }


def build_plain_service(name):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
    }


def build_engine_service(name):
    return build_plain_service(name) | {
        "max_connections": 360,
        "engine": {"slots": 64, "kv_capacity": 558069, "models": [{"name": "m"}]},
    }


async def call(forwarder, request_line, request_id, headers, body=b"", timeout_s=15.0):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 if the connection ends without a complete answer.
    """
    port = forwarder.fleet.ports["front"]
    try:
        reader, writer = await asyncio.open_connection(forwarder.ip, port)
    except OSError as error:
        return 0, {}, repr(error).encode()
    try:
        lines = [
            f"{request_line} HTTP/1.1",
            f"Host: {HOST}",
            f"{P}Request-Id: {request_id}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        async with asyncio.timeout(timeout_s):
            start_line, fields = await read_head(reader)
            answer = await read_body(reader, fields)
        return int(start_line.split(" ")[1]), fields, answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return 0, {}, repr(error).encode()
    finally:
        writer.close()


class SoundCallers:
    """Clients that stay, each with one request after the other on new connections.

    :param request_line: method and target.
    :param n_callers: number of clients.

    ``answers`` counts the answers by status, 0 for a connection without one.
    """

    def __init__(self, fleet, request_line, n_callers):
        self.fleet = fleet
        self.request_line = request_line
        self.answers = {}
        self.tasks = [
            asyncio.create_task(self.run(number)) for number in range(n_callers)
        ]

    async def run(self, number):
        n_sent = 0
        while True:
            n_sent += 1
            forwarder = self.fleet.forwarders[(number + n_sent) % 4]
            if forwarder.process.returncode is None and not forwarder.is_stopping:
                status, _, _ = await call(
                    forwarder,
                    self.request_line,
                    f"sound-{number}-{n_sent}",
                    [f"{P}Deadline-Ms: 3000"],
                    f"sound {number}-{n_sent}".encode(),
                )
                self.answers[status] = self.answers.get(status, 0) + 1
                if status != 200:
                    self.fleet.record.write(
                        f"sound-{number}-{n_sent} at {forwarder.name}: {status}"
                    )
            await asyncio.sleep(0.2)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.fleet.record.write(
            f"answers to sound requests by status: {dict(sorted(self.answers.items()))}"
        )


def run_case(folder, n_forwarders, case, limit_s=115.0):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param case: coroutine function that takes a :class:`Fleet` and returns whether the
        rule was broken.
    """

    async def main():
        record = Record(folder)
        record.write(f"trouble={int(TROUBLE)}")
        fleet = Fleet(record, n_forwarders)
        try:
            await fleet.store.open()
            async with asyncio.timeout(limit_s):
                is_broken = await case(fleet)
            record.write("the rule was BROKEN" if is_broken else "the rule held")
            return int(is_broken)
        except (CannotRunError, OSError, TimeoutError) as error:
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            with suppress(Exception):
                await fleet.close()

    sys.exit(asyncio.run(main()))
