"""Model runners and clients of streams, for the scripts of this review."""

import asyncio
import json
import time

import common
from common import P, Runner

PATH = "/draft/"
DEADLINE_MS = 12_000
TOKENS_PER_EVENT = 8
EVENT_S = 0.1
KEY = "key-of-a"
SHARED_TOKENS = 100
SHARED = f"5c1e07a2:{SHARED_TOKENS}"


def build_configuration(version=7, **options):
    """Return a configuration with one route of streams that may be resumed."""
    route = {
        "name": "r-draft",
        "host": common.HOST,
        "prefix": PATH,
        "kind": "streaming",
        "timeout_ms": DEADLINE_MS,
        "aim_ms": 800,
        "priority": 1,
        "service": "lm",
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 250,
    }
    tenants = [{"name": "tenant-a", "api_keys": [KEY], "priority": 1}]
    return common.build_configuration(
        version, [route | options], [common.build_engine_service("lm")], tenants
    )


class ModelRunner(Runner):
    """A model runner. Its events state the version of its software.

    ``kept`` has the tokens that it keeps by part of a prompt, with those that it
    generated after the last one.
    """

    def __init__(self, fleet, name, version, zone="gasabo"):
        super().__init__(fleet, name, "lm", version, zone, slots=64)
        self.kept = {}
        self.running = set()

    async def start(self):
        self.kept = {}
        self.running = set()
        await super().start()

    async def answer_admin(self, target, writer):
        if target != "/kv-list":
            await super().answer_admin(target, writer)
            return
        held = [["", name, tokens, "m"] for name, tokens in self.kept.items()]
        body = json.dumps({"epoch": self.born, "next": 1, "held": held}).encode()
        common.send(writer, 200, None, [], body)

    async def answer(self, method, target, headers, body, reader, writer):
        request_id = headers[f"{P}Request-Id".lower()]
        after = int(headers.get("last-event-id", 0))
        n_events = int(body.split(b" ")[1])
        self.started.append((request_id, after))
        self.record.write(
            f"{self.name} ({self.version}) runs {request_id} after {after}"
        )
        parts = headers[f"{P}Prefix-Hash".lower()].split(",")
        for part in parts:
            name, tokens = part.split(":")
            self.kept[name] = max(self.kept.get(name, 0), int(tokens))
        name, tokens = parts[-1].split(":")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"{P}Request-Id: {request_id}\r\n".encode()
            + f"{P}Response-Seal: s.{self.name}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self.running.add(request_id)
        try:
            for number in range(after + 1, n_events + 1):
                await asyncio.sleep(EVENT_S)
                if writer.transport.is_closing() or reader.at_eof():
                    return
                event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.kept[name] = max(
                    self.kept[name], int(tokens) + TOKENS_PER_EVENT * number
                )
            writer.write(b"0\r\n\r\n")
        finally:
            self.running.discard(request_id)


class Stream:
    """A stream as its client sees it, over all of its tries.

    ``events`` has the number and the text of each event.
    """

    def __init__(self, fleet, name, last_part, n_events=40):
        self.fleet = fleet
        self.name = name
        self.last_part = last_part
        self.n_events = n_events
        self.first_id = None
        self.events = []
        self.is_whole = False
        self.n_tries = 0
        self.status = 0
        self.ends_at = None

    @property
    def versions(self):
        return sorted({text.split(" ")[0] for _, text in self.events})

    async def attempt(self, forwarder):
        """Send one client attempt and read it to its end; return the status.

        It goes on after the last event if there is one. The deadline of the client
        holds for all of its tries.
        """
        if self.ends_at is None:
            self.ends_at = time.monotonic() + DEADLINE_MS / 1000
        left_ms = int(1000 * (self.ends_at - time.monotonic()))
        if left_ms <= 0:
            return 0
        self.n_tries += 1
        request_id = f"{self.name}-{self.n_tries}"
        parts = getattr(self, "parts", None) or [SHARED, self.last_part]
        tokens = sum(int(part.split(":")[1]) for part in parts)
        headers = [
            f"POST {PATH}2f HTTP/1.1",
            f"Host: {common.HOST}",
            f"Authorization: Bearer {KEY}",
            f"{P}Request-Id: {request_id}",
            f"{P}Deadline-Ms: {left_ms}",
            f"{P}Model-Id: m",
            f"{P}Token-Usage: {tokens},320",
            f"{P}Prefix-Hash: {','.join(parts)}",
        ]
        if self.events:
            headers.append(f"Last-Event-Id: {self.events[-1][0]}")
            headers.append(f"Resumes: {self.first_id}")
        body = f"events {self.n_events} prompt of {self.name}".encode()
        headers.append(f"Content-Length: {len(body)}")
        n_before = len(self.events)
        self.status = 0
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                forwarder.ip, self.fleet.ports["front"]
            )
            writer.write("\r\n".join([*headers, "", ""]).encode() + body)
            async with asyncio.timeout(left_ms / 1000):
                start_line, fields = await common.read_head(reader)
                self.status = int(start_line.split(" ")[1])
                if self.status == 200:
                    await self.read(reader, request_id)
                else:
                    await common.read_body(reader, fields)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.fleet.record.write(
            f"{request_id} at {forwarder.name}: status {self.status}, "
            f"{len(self.events) - n_before} events, whole {self.is_whole}, "
            f"versions {self.versions}"
        )
        return self.status

    async def read(self, reader, request_id):
        """Read chunks of whole events up to the end."""
        text = ""
        while True:
            n_bytes = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(n_bytes)
            await reader.readexactly(2)
            if not n_bytes:
                self.is_whole = True
                return
            text += chunk.decode()
            while "\n\n" in text:
                event, text = text.split("\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.split("\n"))
                if not self.events:
                    self.first_id = request_id
                self.events.append((int(fields["id"]), fields["data"]))
