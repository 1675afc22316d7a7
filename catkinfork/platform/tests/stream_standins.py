"""Stand-ins for streams on loopback: runners of several versions and their callers."""

import asyncio
import json
import signal
from contextlib import asynccontextmanager

from catkinfork.platform.tests.standins import (
    KEY,
    Runner,
    build_config,
    read_head,
    wait_until,
)

PATH = "/draft/"
DEADLINE_MS = 20_000
# Events that a runner sends of a new stream before it waits, and of a resumed one.
N_FIRST_EVENTS = 4
N_EVENTS = 9
# Prompt of a stream, and its last part, which belongs to this stream alone.
LAST_PART = "b2"
N_LAST_TOKENS = 10
PROMPT = f"a1:20,{LAST_PART}:{N_LAST_TOKENS}"
OTHER_PROMPT = "c3:20,d4:10"


def build_stream_config():
    """Build a configuration with a route of resumable streams and prompts."""
    config = build_config(prefixes=(PATH,), kind="streaming")
    config["routes"][0] |= {
        "timeout_ms": DEADLINE_MS,
        "aim_ms": 4000,
        "gap_target_ms": 4000,
        "max_attempts": 3,
        "sticky": True,
        "resumable": True,
    }
    config["services"][0]["engine"] = {"slots": 16, "kv_capacity": 100_000}
    return config


class StreamRunner(Runner):
    """A runner whose streams state its version in each event.

    A new stream stays open after its first events until its caller leaves; a resumed
    one is completed.

    :param version: version of its software.
    :param zone: data centre; the forwarders are in ``gasabo`` and prefer that.

    ``kept`` has the tokens that it keeps by part, with what it generated after the last
    one, and ``lists_kept`` states whether it tells them.
    """

    def __init__(self, name, version, zone="gasabo"):
        super().__init__(name)
        self.version = version
        self.zone = zone
        self.kept = {}
        self.lists_kept = False

    def build_entry(self, state="ready", **options):
        options = {"version": self.version, "zone": self.zone, "slots": 16} | options
        return super().build_entry(state, **options)

    async def serve(self, reader, writer):
        while True:
            start_line, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            if start_line.split(" ")[1] == "/kv-list":
                self.list_kept(writer)
                continue
            self.requests.append((start_line, headers))
            await self.stream(headers, reader, writer)

    def list_kept(self, writer):
        """Respond with the parts that are kept, or state that there is no such path."""
        held = [["", name, n_tokens, "m"] for name, n_tokens in self.kept.items()]
        body = json.dumps({"epoch": 1, "next": 1, "held": held}).encode()
        status = 200 if self.lists_kept else 404
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def stream(self, headers, reader, writer):
        """Send the events after the last one that the caller has received."""
        parts = headers["x-catkinfork-prefix-hash"].split(",")
        tokens = {name: int(count) for name, count in (p.split(":") for p in parts)}
        self.kept |= tokens
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Catkinfork-Request-Id: %s\r\nX-Catkinfork-Response-Seal: seal\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % headers["x-catkinfork-request-id"].encode()
        )
        n_received = int(headers.get("last-event-id", 0))
        n_last = N_EVENTS if n_received else N_FIRST_EVENTS
        last_part = list(tokens)[-1]
        for number in range(n_received + 1, n_last + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.kept[last_part] = tokens[last_part] + number
        if n_received:
            writer.write(b"0\r\n\r\n")
        else:
            await reader.read()
            raise asyncio.IncompleteReadError(b"", None)


async def add_stream_runner(platform, *arguments, **options):
    """Start a :class:`StreamRunner` and let all forwarders that run know it."""
    runner = StreamRunner(*arguments, **options)
    await runner.open()
    await publish(platform, runner)
    return runner


async def publish(platform, runner, **options):
    """Write the next entry of a runner, and wait until all forwarders know it."""
    entry = runner.build_entry(**options)
    platform.store.put(f"servers/{runner.name}", entry)
    for forwarder in platform.forwarders:
        await wait_until(lambda f=forwarder: knows(f, runner.name, entry["version"]))


async def knows(forwarder, name, version):
    """Return whether a forwarder knows a runner as of a version."""
    backends = (await read_status(forwarder))["backend_servers"]
    return (name, version) in [(one["name"], one["version"]) for one in backends]


async def read_status(forwarder):
    """Return the status of a forwarder."""
    _, body = await forwarder.get("/status")
    return json.loads(body)


async def count_in_flight(forwarder):
    """Return the number of requests in flight that a forwarder counts in the fleet."""
    backends = (await read_status(forwarder))["backend_servers"]
    return sum(one["n_all_in_flight"] for one in backends)


async def hears_peer(forwarder):
    """Return whether a forwarder has fresh state of a peer."""
    return any(peer["is_fresh"] for peer in (await read_status(forwarder))["peers"])


async def wait_in_touch(platform):
    """Wait until all forwarders are ready and hear their peers."""
    await platform.wait_ready()
    for forwarder in platform.forwarders:
        await wait_until(lambda f=forwarder: hears_peer(f))


async def kill(forwarder):
    """Kill a forwarder with SIGKILL."""
    forwarder.signal(signal.SIGKILL)
    await forwarder.process.wait()


async def restart(forwarder):
    """Start a forwarder again that was killed."""
    forwarder.output.write_text("")
    await forwarder.start()


class StreamCaller:
    """The connection of a caller of a stream.

    ``events`` has the number and the version of each event that was received.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.status = 0
        self.events = []

    async def send(self, request_id, prompt, headers=()):
        """Send a request and read the head of its response."""
        lines = [
            f"GET {PATH} HTTP/1.1",
            "Host: site.example",
            f"Authorization: Bearer {KEY}",
            f"X-Catkinfork-Request-Id: {request_id}",
            f"X-Catkinfork-Deadline-Ms: {DEADLINE_MS}",
            "X-Catkinfork-Model-Id: m",
            "X-Catkinfork-Token-Usage: 30,20",
            f"X-Catkinfork-Prefix-Hash: {prompt}",
            *headers,
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())
        status_line, _ = await read_head(self.reader)
        self.status = int(status_line.split(" ")[1])

    async def read(self, n_events=None):
        """Read until a number of events was received, or until the end."""
        while n_events is None or len(self.events) < n_events:
            n_bytes = int(await self.reader.readline(), 16)
            chunk = await self.reader.readexactly(n_bytes)
            await self.reader.readexactly(2)
            if not n_bytes:
                return
            for event in chunk.decode().split("\n\n")[:-1]:
                number, version = (line.split(": ")[1] for line in event.split("\n"))
                self.events.append((int(number), version))


@asynccontextmanager
async def connect(forwarder):
    """Open the connection of a caller, and close it at the end."""
    reader, writer = await asyncio.open_connection(forwarder.ip, forwarder.ports[0])
    try:
        yield StreamCaller(reader, writer)
    finally:
        writer.close()


async def break_off(forwarder, request_id, prompt=PROMPT):
    """Begin a stream, lose its connection and return the events received."""
    async with connect(forwarder) as caller:
        await caller.send(request_id, prompt)
        await caller.read(N_FIRST_EVENTS)
        return caller.events


async def resume(forwarder, resumed_id, prompt=PROMPT):
    """Take a stream up after its first events.

    :returns: status and the events received.
    """
    headers = [f"Last-Event-Id: {N_FIRST_EVENTS}", f"Resumes: {resumed_id}"]
    async with connect(forwarder) as caller:
        await caller.send(f"{resumed_id}-again", prompt, headers)
        if caller.status == 200:
            await caller.read()
        return caller.status, caller.events


def list_events(version, first, last):
    """Return the events that a runner of a version sends."""
    return [(number, version) for number in range(first, last + 1)]


async def stop(forwarder):
    """Stop a forwarder with SIGTERM, as planned."""
    forwarder.signal(signal.SIGTERM)
    await forwarder.process.wait()
