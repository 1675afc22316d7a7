"""Connections of callers, and what they see of each request."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from catkinfork.platform.tests.soak.records import (
    COMPLETE,
    CUT,
    HALF_CLOSED,
    LEFT,
    NO_RESPONSE,
    NOT_CONNECTED,
    WRONG,
    Request,
)
from catkinfork.platform.tests.soak.servers import (
    DIGEST_HEADER,
    build_content,
    digest,
    read_body,
)
from catkinfork.platform.tests.soak.settings import SITE
from catkinfork.platform.tests.standins import read_head

CONNECT_S = 1.0
# Callers wait this much longer than their deadline before they close.
PATIENCE_S = 2.0
PIECE_BYTES = 16_384


class Call(NamedTuple):
    """A request that a caller sends.

    :param piece_gap_s: time between pieces of the body.
    :param leave_s: time after which the caller closes the connection, if any.
    :param pause_s: time for which it pauses while it reads the response.
    """

    id: str
    kind: str
    method: str
    target: str
    deadline_s: float
    body: bytes = b""
    headers: tuple[str, ...] = ()
    piece_gap_s: float = 0.0
    leave_s: float | None = None
    pause_s: float = 0.0

    def build_head(self):
        """Return the bytes of the head."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {SITE}",
            f"X-Catkinfork-Request-Id: {self.id}",
            f"X-Catkinfork-Deadline-Ms: {round(1000 * self.deadline_s)}",
            f"{DIGEST_HEADER}: {digest(self.body)}",
            f"Content-Length: {len(self.body)}",
            *self.headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode()


class Progress:
    """What the caller has seen of a request so far."""

    def __init__(self, began_at):
        self.began_at = began_at
        self.sent_at = None
        self.status = 0
        self.headers = {}


class Connection:
    """A connection that a caller keeps open.

    :param host: host that took it.
    """

    def __init__(self, host, records, reader, writer):
        self.host = host
        self.records = records
        self.reader = reader
        self.writer = writer
        self.n_requests = 0
        self.is_open = True
        self.is_announced = False
        writer.transport.set_write_buffer_limits(high=0)

    def close(self):
        """Close the connection."""
        self.is_open = False
        self.writer.close()

    async def exchange(self, call, read=None):
        """Send a request, read its response and record both.

        :param read: coroutine function that reads a body of a 200 in place of the
            check for the body of a plain server; returns whether it was whole.
        :returns: the record.
        """
        progress = Progress(self.records.now())
        sending = asyncio.create_task(self.send(call, progress))
        request = await self.receive(call, progress, read or self.read_plain)
        if not sending.done():
            sending.cancel()
            self.is_open = False
        with suppress(asyncio.CancelledError, ConnectionError):
            await sending
        if not self.is_open:
            self.close()
        return request

    async def exchange_half_closed(self, call):
        """Send a request, close this half of the connection and read the response."""
        progress = Progress(self.records.now())
        self.writer.write(call.build_head() + call.body)
        with suppress(OSError):
            await self.writer.drain()
            self.writer.write_eof()
            progress.sent_at = self.records.now()
        await self.receive(call, progress, self.read_plain, HALF_CLOSED)
        self.close()

    async def send(self, call, progress):
        """Send a request, its body in pieces."""
        try:
            self.writer.write(call.build_head())
            n_piece = PIECE_BYTES if call.piece_gap_s else max(1, len(call.body))
            for start in range(0, len(call.body), n_piece):
                if call.piece_gap_s:
                    await asyncio.sleep(call.piece_gap_s)
                self.writer.write(call.body[start : start + n_piece])
                await self.writer.drain()
            await self.writer.drain()
            progress.sent_at = self.records.now()
        except ConnectionError:
            pass

    async def receive(self, call, progress, read, ending_of_cut=CUT):
        """Read the response to a request, and record it."""
        wait_s = call.deadline_s + PATIENCE_S if call.leave_s is None else call.leave_s
        ending = COMPLETE
        try:
            async with asyncio.timeout(wait_s):
                status_line, progress.headers = await read_head(self.reader)
                progress.status = int(status_line.split(" ")[1])
                is_whole = await read(call, progress)
                ending = COMPLETE if is_whole else WRONG
        except TimeoutError:
            ending = NO_RESPONSE if call.leave_s is None else LEFT
        except (asyncio.IncompleteReadError, ConnectionError):
            ending = ending_of_cut
        except (ValueError, IndexError):
            ending = WRONG
        return self.record(call, progress, ending)

    def record(self, call, progress, ending):
        """Add the record of a request, and close the connection if it is of no use."""
        self.n_requests += 1
        position, is_announced = self.n_requests, self.is_announced
        request = make_record(self.host, call, progress, self.records.now(), ending)
        request = request._replace(position=position, after_close=is_announced)
        self.records.requests.append(request)
        self.is_announced = progress.headers.get("connection", "").lower() == "close"
        if ending != COMPLETE or self.is_announced:
            self.is_open = False
        return request

    async def read_plain(self, call, progress):
        """Read a body; return whether a 200 has that of the server for this request."""
        if call.pause_s:
            await asyncio.sleep(call.pause_s)
        body = await read_body(self.reader, progress.headers)
        if progress.status != 200:
            return True
        has_seal = "x-catkinfork-response-seal" in progress.headers
        return has_seal and body == build_content(call.id, call.body, len(body))

    async def pipeline(self, calls):
        """Send requests in one piece and read their responses in order."""
        began_at = self.records.now()
        sent_at = None
        for call in calls:
            self.writer.write(call.build_head() + call.body)
        with suppress(ConnectionError):
            await self.writer.drain()
            sent_at = self.records.now()
        for call in calls:
            progress = Progress(began_at)
            progress.sent_at = sent_at
            request = await self.receive(call, progress, self.read_plain)
            if request.ending != COMPLETE:
                break
        if not self.is_open:
            self.close()


async def connect(host, records, call):
    """Open a connection to a host, or record that it was not possible."""
    began_at, writer = records.now(), None
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*host.front)
            if host.link is not None:
                await host.link.wait_connected(writer.get_extra_info("sockname"))
            return Connection(host, records, reader, writer)
    except (OSError, TimeoutError):
        if writer is not None:
            writer.close()
        progress = Progress(began_at)
        records.requests.append(
            make_record(host, call, progress, records.now(), NOT_CONNECTED)
        )
        return None


def make_record(host, call, progress, ended_at, ending):
    """Return the record of a request that was the first of its connection."""
    return Request(
        id=call.id,
        kind=call.kind,
        host=host.name,
        position=1,
        began_at=progress.began_at,
        sent_at=progress.sent_at,
        ended_at=ended_at,
        deadline_at=progress.began_at + call.deadline_s + call.pause_s,
        status=progress.status,
        ending=ending,
    )
