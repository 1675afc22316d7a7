"""Backend servers on loopback that crash on some requests, and come back."""

import asyncio
import time

from catkinfork.platform.tests.standins import KEY, Runner, read_head, serve_port

# Time after a crash until a server is back, seconds.
DOWN_S = 1.5


class CrashingServer(Runner):
    """A server that resets all connections and stops to listen, then starts anew.

    :param store: :class:`Store` with its entry.
    :param entry: fields of its entry that differ from the defaults.

    ``crashed_at`` has the monotonic times of its crashes, seconds.
    """

    def __init__(self, name, store, **entry):
        super().__init__(name)
        self.store = store
        self.entry = entry
        self.writers = set()
        self.crashed_at = []
        self.is_up = False
        self.tasks = set()

    async def open(self):
        """Listen at a new port, and write the entry of a new start."""
        self.server = await serve_port(self.serve)
        self.is_up = True
        self.sequence = 0
        entry = self.build_entry(born=int(time.time() * 1000), **self.entry)
        self.store.put(f"servers/{self.name}", entry)

    def crash(self):
        """End as a crashed process does, and start again after a time."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashed_at.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        task = asyncio.create_task(self.return_later())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def return_later(self):
        """Start again."""
        await asyncio.sleep(DOWN_S)
        await self.open()

    async def serve(self, reader, writer):
        if not self.is_up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while self.is_up:
                start_line, headers = await read_head(reader)
                n_bytes = int(headers.get("content-length", 0))
                body = await reader.readexactly(n_bytes)
                await self.answer(start_line.split(" ")[1], headers, body, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, target, headers, body, writer):
        """Respond to a request, or crash."""
        raise NotImplementedError


class CrashingEngine(CrashingServer):
    """An engine that crashes as it begins to write an answer on one prompt part."""

    crashing_part = "c0ffee"
    prefill_s = 0.03
    event_s = 0.1
    n_events = 10

    def __init__(self, name, store):
        super().__init__(name, store, slots=64)
        self.arrived_at = []

    async def answer(self, target, headers, body, writer):
        parts = headers.get("x-catkinfork-prefix-hash")
        if parts is None:
            writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return
        is_crashing = self.crashing_part in parts
        if is_crashing:
            self.arrived_at.append(time.monotonic())
        await asyncio.sleep(self.prefill_s)
        if is_crashing:
            self.crash()
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Catkinfork-Request-Id: %s\r\nX-Catkinfork-Response-Seal: seal\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % headers["x-catkinfork-request-id"].encode()
        )
        for number in range(1, self.n_events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


class CrashingLedger(CrashingServer):
    """A plain server that works on one body for a while, then crashes."""

    crashing_body = b"crash"
    work_s = 0.25

    def __init__(self, name, store):
        super().__init__(name, store)
        self.arrived_at = []

    async def answer(self, target, headers, body, writer):
        if body == self.crashing_body:
            self.arrived_at.append(time.monotonic())
            await asyncio.sleep(self.work_s)
            self.crash()
            return
        request_id = headers["x-catkinfork-request-id"].encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Catkinfork-Request-Id: %s\r\n"
            b"X-Catkinfork-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
            % request_id
        )


async def add_servers(platform, server_type, n_servers):
    """Start servers and write their entries."""
    for number in range(n_servers):
        server = server_type(f"i-{number}", platform.store)
        await server.open()
        platform.runners.append(server)
    return platform.runners


async def send(
    forwarder,
    target,
    request_id,
    headers=(),
    body=b"",
    patience_s=3.0,
    leaves_at_event=False,
):
    """Send a request on a new connection; leave after a time.

    :param patience_s: time that the caller waits for the whole response, seconds.
    :param leaves_at_event: whether it leaves at the first bytes of the body.
    :returns: status, 0 if the caller left or the connection ended before the head, and
        the body up to its end, or up to the close.
    """
    status, data = 0, b""
    lines = [
        f"POST {target} HTTP/1.1",
        "Host: site.example",
        f"Authorization: Bearer {KEY}",
        f"X-Catkinfork-Request-Id: {request_id}",
        "X-Catkinfork-Deadline-Ms: 3000",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    ]
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(
                forwarder.ip, forwarder.ports[0]
            )
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            status_line, _ = await read_head(reader)
            status = int(status_line.split(" ")[1])
            while piece := await reader.read(1000):
                data += piece
                if leaves_at_event:
                    break
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return status, data
