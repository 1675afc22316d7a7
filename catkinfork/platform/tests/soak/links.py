"""Links: a proxy on loopback that delays, resets, silences and cuts connections."""

import asyncio
from contextlib import suppress

from catkinfork.platform.tests.standins import serve_port

DELAY_S = 0.15
POLL_S = 0.01
READ_BYTES = 65_536
IN, OUT = "in", "out"
SILENT = {
    "silence_in": {IN},
    "silence_out": {OUT},
    "cut": {IN, OUT},
}


class Link:
    """A proxy before an address. Bytes that it holds up are passed on afterwards.

    :param target: host and port that it connects to.

    ``fault`` names the disruption in force, or is empty. ``connected`` has a future for
    each connection, by the address of its caller: a proxy accepts before it knows
    whether its target does.
    """

    def __init__(self, target):
        self.target = target
        self.fault = ""
        self.writers = set()
        self.address = None
        self.connected = {}

    async def open(self):
        """Listen, and return the address."""
        server = await serve_port(self.serve)
        self.address = server.sockets[0].getsockname()
        return self.address

    def find_connected(self, address):
        """Return the future that is set once a connection has reached the target."""
        loop = asyncio.get_running_loop()
        return self.connected.setdefault(address, loop.create_future())

    async def wait_connected(self, address):
        """Wait until a connection has reached the target.

        :param address: host and port of the caller.
        :raises OSError: if the target has refused it, as it would have the caller.
        """
        try:
            await self.find_connected(address)
        finally:
            self.connected.pop(address, None)

    async def reach_target(self, address):
        """Connect to the target, once that is possible, and tell the caller."""
        connected = self.find_connected(address)
        while self.fault == "cut":
            await asyncio.sleep(POLL_S)
        try:
            streams = await asyncio.open_connection(*self.target)
        except OSError as error:
            if not connected.done():
                connected.set_exception(error)
                # Nobody waits at the links of hosts to servers and store.
                connected.exception()
            raise
        if not connected.done():
            connected.set_result(None)
        return streams

    async def disturb(self, fault, duration_s):
        """Put a fault in force for a time, or reset all connections."""
        if fault == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
            return
        self.fault = fault
        await asyncio.sleep(duration_s)
        self.fault = ""

    async def serve(self, reader, writer):
        """Connect to the target, and pass bytes on in both directions."""
        self.writers.add(writer)
        other = None
        try:
            address = writer.get_extra_info("peername")
            other_reader, other = await self.reach_target(address)
            self.writers.add(other)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, other, IN))
                group.create_task(self.pump(other_reader, writer, OUT))
        except* OSError:
            for one in filter(None, (writer, other)):
                one.transport.abort()
        finally:
            self.writers -= {writer, other}
            if other is not None:
                other.close()

    async def pump(self, reader, writer, direction):
        """Pass the bytes of one direction on, and its end."""
        while True:
            data = await reader.read(READ_BYTES)
            while direction in SILENT.get(self.fault, ()):
                await asyncio.sleep(POLL_S)
            if self.fault == "delay":
                await asyncio.sleep(DELAY_S)
            if not data:
                with suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
