"""Records of the connections of a soak."""

import asyncio
from types import SimpleNamespace

from catkinfork.platform.tests.soak.connections import Call, connect
from catkinfork.platform.tests.soak.records import CUT, SAFE, Records

DELAY_S = 0.3


def test_pipelined_request_was_sent_before_the_response_ahead():
    """Guards against a loss that looks as if the request had crossed the close."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(DELAY_S)
        writer.write(b"HTTP/1.1 404 Text\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host = SimpleNamespace(name="host-1", front=server.sockets[0].getsockname())
        records = Records()
        calls = [Call(f"r{n}", SAFE, "GET", "/read/a", 2.0) for n in range(2)]
        connection = await connect(host, records, calls[0])
        await connection.pipeline(calls)
        server.close()
        return records.requests

    first, second = asyncio.run(run())
    assert (first.status, second.ending) == (404, CUT)
    assert second.sent_at == first.sent_at
    assert second.ended_at - second.sent_at >= DELAY_S
