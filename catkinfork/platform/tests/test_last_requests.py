"""Requests on open connections up to the end of a forwarder process."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

import pytest

from catkinfork.platform.tests.standins import (
    KEY,
    Platform,
    build_config,
    read_head,
    run_platform,
    wait_until,
)

pytestmark = pytest.mark.processes

N_CLIENTS_OF_A_KIND = 6
# Time after the last byte of a request up to which a connection may end unannounced.
LOSS_SLACK_S = 0.25


class LostRequest(NamedTuple):
    """A whole request without an answer.

    :param waited_s: time from its last byte to the end of the connection.
    """

    request_id: str
    waited_s: float


class Client:
    """A caller that uses each connection until it ends, and then opens the next.

    :param name: prefix of the ids of its requests.
    :param n_ahead: requests that are sent together.
    :param pause_s: maximum pause within a body, seconds.
    """

    def __init__(self, forwarder, rng, name, n_ahead=1, pause_s=0.0):
        self.forwarder = forwarder
        self.rng = rng
        self.name = name
        self.n_ahead = n_ahead
        self.pause_s = pause_s
        self.n_sent = 0
        self.statuses = []
        self.lost = []

    async def run(self):
        """Send requests until no connection is accepted any more."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.forwarder.ip, self.forwarder.ports[0]
                )
            except OSError:
                return
            try:
                while await self.exchange(reader, writer):
                    await asyncio.sleep(self.rng.random() * 0.004)
            except ConnectionError:
                # A part of the requests was not sent.
                pass
            writer.transport.abort()

    async def exchange(self, reader, writer):
        """Send requests and read the answers; return whether the connection is open."""
        ids = [f"{self.name}-{self.n_sent + number}" for number in range(self.n_ahead)]
        self.n_sent += self.n_ahead
        *first, last = (self.encode(request_id) for request_id in ids)
        writer.write(b"".join(first) + last[:-3])
        if self.pause_s:
            await asyncio.sleep(self.rng.random() * self.pause_s)
        writer.write(last[-3:])
        await writer.drain()
        sent_at = time.monotonic()
        for number in range(len(ids)):
            try:
                status_line, headers = await read_head(reader)
                await reader.readexactly(int(headers["content-length"]))
            except (asyncio.IncompleteReadError, ConnectionError):
                waited_s = time.monotonic() - sent_at
                self.lost += [LostRequest(one, waited_s) for one in ids[number:]]
                return False
            self.statuses.append(int(status_line.split(" ")[1]))
            if headers.get("connection") == "close":
                return False
        return True

    def encode(self, request_id):
        """Return a request."""
        head = (
            "POST /read/ HTTP/1.1\r\nHost: site.example\r\nContent-Length: 9\r\n"
            f"Authorization: Bearer {KEY}\r\nX-Catkinfork-Request-Id: {request_id}\r\n"
        )
        return head.encode() + b"\r\nsome-body"


def build_clients(forwarder, rng):
    """Return clients of all kinds."""
    kinds = {
        "plain": {},
        "pipelined": {"n_ahead": 3},
        "brief-pause": {"pause_s": 0.02},
        "long-pause": {"pause_s": 1.0},
        "pipelined-pause": {"n_ahead": 2, "pause_s": 0.1},
    }
    return [
        Client(forwarder, rng, f"{kind}-{number}", **options)
        for kind, options in kinds.items()
        for number in range(N_CLIENTS_OF_A_KIND)
    ]


def find_unanswered(clients, runner):
    """Return the lost requests that were passed on, or read and held."""
    arrived = {
        headers["x-catkinfork-request-id"] for _, headers in list(runner.requests)
    }
    return [
        lost
        for client in clients
        for lost in client.lost
        if lost.request_id in arrived or lost.waited_s > LOSS_SLACK_S
    ]


@pytest.mark.parametrize("seed", range(4))
def test_requests_up_to_the_end_of_the_process_are_answered(tmp_path, seed):
    """Guards against whole requests that are read in the last moment and not answered.

    Clients use their connections until the process is gone.
    """

    async def test(platform: Platform):
        rng = random.Random(seed)
        platform.store.put("op/config", build_config())
        runner = await platform.add_runner("i-1", delay_s=0.005)
        (forwarder,) = await platform.add_forwarders()
        await platform.wait_ready()
        clients = build_clients(forwarder, rng)
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(0.5 + rng.random())
        forwarder.signal(signal.SIGTERM)
        await wait_until(lambda: forwarder.process.returncode is not None)
        await asyncio.wait_for(asyncio.gather(*tasks), 5.0)
        assert forwarder.process.returncode == 0
        assert find_unanswered(clients, runner) == []
        assert {200} <= {status for client in clients for status in client.statuses}
        assert not forwarder.list_events("callback_failed")

    run_platform(test, tmp_path)
