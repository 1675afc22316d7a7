"""Stand-ins for the platform on loopback, for the scripts of the third review.

They need the standard library alone. The store and the runners follow the users' pages;
forwarders are started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shlex
import signal
import socket
import sys
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SETTINGS_PATH = "/etc/catkinfork/boot.yaml"
HOST = "site.example"
SEAL = "3e1b.07.5a2"
# What a runner says in all its answers once it leaves.
LEAVING = [("Server-Leaving", "1")]
# Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A forwarder that does not start in this time makes the case impossible, seconds.
START_TIMEOUT_S = 15.0
# Longest time of a script, seconds.
MAX_RUN_S = 110.0
READ_LIMIT_BYTES = 1 << 23
# History of the store, seconds, and limits of a page of a list.
HISTORY_S = 20.0
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1 << 20
# Tokens that an event of a stream holds.
TOKENS_PER_EVENT = 8
# Time between two looks at the memory of a process, and time after which a process that
# has ended is started again, seconds.
MEMORY_INTERVAL_S = 0.002
RESTART_S = 0.5
# Rule Fault: as many ends on as many machines.
FAULT_ENDS, FAULT_MACHINES = 3, 2
# All processes that were started, so that none is left behind.
PROCESSES = []
PLACEHOLDER = re.compile(r"\{\{([a-z_0-9.]+)\}\}")
# Bounds of the smallest deployment's site file.
BOUNDS = {
    "grace_s": 8,
    "quota_window_s": 4,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
}


class Record:
    """Record of what was sent, answered and run, with the time of each line.

    :param path: path of the file.
    """

    def __init__(self, path):
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        """Write a line."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f"{elapsed_s:8.3f} s  {text}\n")
        self.file.flush()


def list_free_ports(n_ports):
    """Return free ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_head(reader):
    """Return the start line and the headers of a message, with lowercase names."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.split(":", 1) for line in lines)
    return start_line, {name.lower(): value.strip() for name, value in pairs}


def encode_head(status, n_bytes, headers):
    """Return the head of a response whose body has a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {n_bytes}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_response(status, body, headers=()):
    """Return a response with a length as bytes."""
    return encode_head(status, len(body), headers) + body


class Link:
    """A network link that all connections of a process share.

    :param bytes_per_s: its rate, bytes/s.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.is_free_at = 0.0

    async def carry(self, n_bytes):
        """Wait until the link has carried some bytes."""
        now = time.monotonic()
        self.is_free_at = max(now, self.is_free_at) + n_bytes / self.bytes_per_s
        await asyncio.sleep(self.is_free_at - now)


class Listener:
    """Accepts connections, and closes all of them as a process that ends does."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def open(self, host, port):
        """Start to accept connections."""
        self.server = await asyncio.start_server(
            self.accept, host, port, limit=READ_LIMIT_BYTES
        )

    async def accept(self, reader, writer):
        """Serve a connection until it ends."""
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve a connection."""
        raise NotImplementedError

    def crash(self):
        """Close the listener and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Event(NamedTuple):
    """A write in the history of the store.

    :param at: monotonic time, seconds.
    :param data: the item as JSON.
    """

    revision: int
    at: float
    data: bytes


class Store(Listener):
    """The platform's store.

    ``is_down`` states whether it leaves every call unanswered, reads and writes, and
    ``silent`` has the connections on which nothing is answered any more.

    :param link: :class:`Link` that carries its answers, or None.
    """

    def __init__(self, link=None):
        super().__init__()
        self.link = link
        self.items = {}
        self.events = []
        self.dropped_revision = 0
        self.revision = 1
        self.is_down = False
        self.silent = set()
        self.watch_arrived = asyncio.Event()

    def silence_connections(self):
        """Let all open connections go silent for good, without a reset."""
        self.silent |= self.writers

    async def put(self, key, value):
        """Write an item, or remove it if the value is None, once the store is up."""
        while self.is_down:
            await asyncio.sleep(0.02)
        if value is not None:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.put_encoded(key, base64.b64encode(raw))
            return
        self.revision += 1
        self.items.pop(key, None)
        item = {"key": key, "revision": self.revision, "removed": True}
        data = json.dumps(item).encode()
        self.events.append(Event(self.revision, time.monotonic(), data))

    def put_encoded(self, key, value):
        """Write an item whose value is base64 already, so that it takes no time."""
        self.revision += 1
        data = b'{"key":"%b","revision":%d,"value":"%b","created":%d,"lease":0}' % (
            key.encode(),
            self.revision,
            value,
            self.revision,
        )
        self.items[key] = Event(self.revision, time.monotonic(), data)
        self.events.append(self.items[key])

    def drop_history(self):
        """Drop the events that are older than the history."""
        while self.events and self.events[0].at < time.monotonic() - HISTORY_S:
            self.dropped_revision = self.events.pop(0).revision

    async def serve(self, reader, writer):
        while True:
            start_line, _ = await read_head(reader)
            target = urlsplit(start_line.split(" ")[1])
            query = {name: one[0] for name, one in parse_qs(target.query).items()}
            status, pieces = await self.answer(target.path, query)
            while self.is_down or writer in self.silent:
                await asyncio.sleep(0.02)
            headers = [("Content-Type", "application/json"), ("Store-Era", 1)]
            n_bytes = sum(len(piece) for piece in pieces)
            writer.write(encode_head(status, n_bytes, headers))
            for piece in pieces:
                writer.write(piece)
                if self.link is not None:
                    await self.link.carry(len(piece))
                    await writer.drain()

    async def answer(self, path, query):
        """Return the status and the body, in pieces, for a call."""
        if path == "/kv-range":
            return 200, self.list_page(query.get("prefix", ""), query.get("after", ""))
        self.watch_arrived.set()
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while time.monotonic() < ends_at and (self.revision <= after or self.is_down):
            await asyncio.sleep(0.01)
        self.drop_history()
        if after < self.dropped_revision:
            return 410, [b"{}"]
        events = [event for event in self.events if event.revision > after]
        return 200, self.encode(b"events", events)

    def list_page(self, prefix, after):
        """Return a page of the items with a prefix."""
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        items = []
        n_bytes = 0
        for key in keys:
            item = self.items[key]
            n_bytes += len(item.data)
            if items and (n_bytes > MAX_PAGE_BYTES or len(items) == MAX_PAGE_ITEMS):
                break
            items.append(item)
        more = b"true" if len(items) < len(keys) else b"false"
        return self.encode(b"items", items, b',"more_pages":' + more)

    def encode(self, name, events, others=b""):
        """Return a document with events or items, in pieces of bytes."""
        pieces = [b'{"%b":[' % name]
        for event in events:
            pieces += [event.data, b","]
        if events:
            pieces.pop()
        return [*pieces, b'],"current_rev":%d%b}' % (self.revision, others)]


class Runner(Listener):
    """A runner, which may crash and start again under its id and at its address.

    :param store: :class:`Store`.
    :param record: :class:`Record`.
    :param name: its id.
    :param service: name of its service.

    ``runs`` has the pairs of request id and version of all runs, and ``kept`` the
    tokens that it keeps by id of the part of a prompt. What it generates counts with
    the last part. A new start holds nothing.
    """

    def __init__(self, store, record, name, service, slots):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.port = 0
        self.version = ""
        self.born = 0
        self.sequence = 0
        self.runs = []
        self.kept = {}
        self.is_leaving = False
        self.heartbeat = None

    async def start(self, version):
        """Start with a version of its software, and register in the store."""
        await self.open("127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.kept = {}
        self.heartbeat = asyncio.create_task(self.write_entries())
        self.record.write(f"runner {self.name} starts, version {version}")

    async def write_entries(self):
        """Write the entry with every heartbeat."""
        while True:
            self.sequence += 1
            await self.store.put(f"servers/{self.name}", self.build_entry())
            await asyncio.sleep(1.2)

    def build_entry(self):
        """Return the next entry for the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "nyarugenge",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def leave(self):
        """Remove the entry, which was never ``draining``, and serve on.

        All answers say from then on that it leaves.
        """
        self.is_leaving = True
        self.heartbeat.cancel()
        await self.store.put(f"servers/{self.name}", None)
        self.record.write(f"the entry of runner {self.name} is removed")

    def crash(self):
        self.heartbeat.cancel()
        super().crash()
        self.record.write(f"runner {self.name} ends, version {self.version}")

    async def serve(self, reader, writer):
        while True:
            start_line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            expected = headers.get("x-catkinfork-expect-instance", self.name)
            if expected != self.name:
                writer.write(encode_response(421, b""))
            elif start_line.startswith("GET /healthz"):
                status = 503 if self.is_leaving else 200
                instance = ("X-Catkinfork-Instance-Id", self.name)
                writer.write(encode_response(status, b"", [instance]))
            elif start_line.startswith("GET /kv-list"):
                held = [["", part, n, "m"] for part, n in self.kept.items()]
                self.record.write(f"runner {self.name} lists its {len(held)} parts")
                document = {
                    "epoch": self.born,
                    "born": self.born,
                    "next": 1,
                    "held": held,
                }
                writer.write(encode_response(200, json.dumps(document).encode()))
            elif "x-catkinfork-request-id" not in headers:
                not_run = ("X-Catkinfork-Not-Executed", "1")
                writer.write(encode_response(400, b"", [not_run]))
            else:
                request_id = headers["x-catkinfork-request-id"]
                self.runs.append((request_id, self.version))
                self.record.write(
                    f"runner {self.name} version {self.version} runs {request_id} "
                    f"after event {headers.get('last-event-id', 0)}"
                )
                await self.run(writer, request_id, headers, body)

    def build_headers(self, request_id):
        """Return the headers of the answer to a request that was run."""
        headers = [
            ("X-Catkinfork-Request-Id", request_id),
            ("X-Catkinfork-Response-Seal", SEAL),
        ]
        return [*headers, *LEAVING] if self.is_leaving else headers

    async def run(self, writer, request_id, headers, body):
        """Run a request and write its answer."""
        writer.write(encode_response(200, b"done", self.build_headers(request_id)))


class StreamRunner(Runner):
    """A runner that answers with a stream of events, which name its version.

    :param n_events: events of a stream.
    :param pause_s: pause between two of them, seconds.
    """

    def __init__(self, store, record, name, service, slots, n_events, pause_s):
        super().__init__(store, record, name, service, slots)
        self.n_events = n_events
        self.pause_s = pause_s

    async def run(self, writer, request_id, headers, body):
        version = self.version
        last_part = self.keep_parts(headers)
        first = int(headers.get("last-event-id", 0)) + 1
        head = (
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *(f"{name}: {value}" for name, value in self.build_headers(request_id)),
        )
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, self.n_events + 1):
            event = f"id: {number}\ndata: {self.name} {version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            self.kept[last_part] = self.kept.get(last_part, 0) + TOKENS_PER_EVENT
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")

    def keep_parts(self, headers):
        """Keep the parts of a prompt, and return the id of the last one."""
        part = ""
        for entry in headers.get("x-catkinfork-prefix-hash", "0:0").split(","):
            part, _, n_tokens = entry.partition(":")
            self.kept[part] = max(int(n_tokens), self.kept.get(part, 0))
        return part


class Forwarder:
    """A forwarder process, started as the deploy file says.

    :param folder: folder for its settings and its log.
    :param ip: loopback address of its own.
    :param ports: front, ready, control, and peer port, the same at all forwarders.
    :param store_port: port of the store.
    :param seeds: control addresses of other forwarders.
    """

    def __init__(self, folder, ip, ports, store_port, seeds):
        self.ip = ip
        self.front_port, self.ready_port, control_port, peer_port = ports
        self.settings_path = folder / f"{ip}.ini"
        self.log_path = folder / f"{ip}.log"
        fields = {
            "node_name": f"edge-{ip}",
            "listen_addrs": {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{control_port}",
            },
            "zone": "nyarugenge",
            "bounds": BOUNDS,
            "internal_ports": [peer_port],
            "seeds": seeds,
            "platform": {"address": f"127.0.0.1:{store_port}"},
        }
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["forwarder"]
        template = (ROOT / role["template"]).read_text()
        self.settings_path.write_text(fill_in(template, fields))
        command = role["run"].replace(SETTINGS_PATH, str(self.settings_path))
        self.command = shlex.split(command)
        self.process = None

    async def start(self):
        """Start the process."""
        path = os.environ["PATH"]
        environment = {
            "PATH": path,
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        PROCESSES.append(self.process)

    async def wait_ready(self):
        """Wait until it reports itself as ready.

        :raises TimeoutError: if it does not.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether it reports itself as ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            start_line, _ = await read_head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        finally:
            writer.close()
        return start_line.split(" ")[1] == "200"

    async def end(self):
        """Kill the process if it runs, as a loss of power does."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            # It may have ended without asyncio having noticed.
            os.kill(self.process.pid, signal.SIGKILL)
        await self.process.wait()


class Machine:
    """A machine that ends a process above its memory, and starts it again.

    :param forwarder: :class:`Forwarder` that runs there.
    :param memory_mb: memory of the process, MB; only what is resident counts.

    ``n_ends`` is the number of times, and ``peak_mb`` the most memory seen.
    """

    def __init__(self, forwarder, record, memory_mb):
        self.forwarder = forwarder
        self.record = record
        self.memory_mb = memory_mb
        self.n_ends = 0
        self.peak_mb = 0.0
        self.is_watching = False
        self.task = None

    def watch(self):
        """Start to watch the memory of the process."""
        self.is_watching = True
        self.task = asyncio.create_task(self.watch_memory())

    async def stop_watching(self):
        """Stop to watch; a process that is being started is there afterwards."""
        self.is_watching = False
        await self.task

    async def watch_memory(self):
        """Watch the memory of the process."""
        while self.is_watching:
            await asyncio.sleep(MEMORY_INTERVAL_S)
            used_mb = read_memory_mb(self.forwarder.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb <= self.memory_mb:
                continue
            await self.forwarder.end()
            self.n_ends += 1
            self.record.write(
                f"machine {self.forwarder.ip} ends the process at {used_mb:.0f} MB"
            )
            await asyncio.sleep(RESTART_S)
            await self.forwarder.start()


def read_memory_mb(pid):
    """Return the resident memory of a process in MB, 0 if it has ended."""
    try:
        n_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return n_pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def has_fault(machines, record):
    """Return whether processes have ended as often as the rule Fault says.

    :param machines: all :class:`Machine` objects.
    """
    for machine in machines:
        record.write(
            f"machine {machine.forwarder.ip}: {machine.n_ends} ends, at most "
            f"{machine.peak_mb:.0f} MB"
        )
    n_machines = sum(machine.n_ends >= FAULT_ENDS for machine in machines)
    return n_machines >= FAULT_MACHINES


def fill_in(template, fields):
    """Return a template of settings with its placeholders filled in."""

    def find(match):
        value = fields
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return ",".join(value) if isinstance(value, list) else str(value)

    return PLACEHOLDER.sub(find, template)


def build_configuration(version, routes, services, keys=()):
    """Return the operator's configuration.

    :param keys: keys of the only tenant; without any, there is none.
    """
    tenants = [{"name": "hule930", "api_keys": list(keys), "priority": 1}]
    return {
        "tenants": tenants if keys else [],
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
    }


def has_trouble():
    """Return whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def end_processes():
    """End the processes that still run."""
    for process in PROCESSES:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)


def run_script(play, folder):
    """Play a case within a time limit and exit with its code.

    :param play: coroutine function that takes a :class:`Record` and returns whether
        the rule was kept.
    :param folder: folder of the case.
    """
    record = Record(folder / "record.txt")
    try:
        is_kept = asyncio.run(asyncio.wait_for(play(record), MAX_RUN_S))
    except Exception as error:
        record.write(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    finally:
        end_processes()
    record.write("the rule was kept" if is_kept else "the rule was broken")
    sys.exit(HELD if is_kept else BROKEN)
