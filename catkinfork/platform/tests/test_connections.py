"""Integration tests of forwarder processes with many connections of callers."""

import asyncio
import resource

import pytest

from catkinfork.platform.tests.standins import (
    KEY,
    build_config,
    read_head,
    run_platform,
)

pytestmark = pytest.mark.processes

# Descriptors that the forwarder may open.
N_DESCRIPTORS = 200
REQUEST = (
    "GET /read/ HTTP/1.1\r\nHost: site.example\r\nX-Catkinfork-Request-Id: r%d\r\n"
    f"Authorization: Bearer {KEY}\r\nX-Catkinfork-Deadline-Ms: 3000\r\n\r\n"
)


def test_connections_that_stay_open_do_not_cost_others_their_answer(tmp_path):
    """Guards against requests that are closed unread as no descriptor is left.

    Load pattern: callers open a connection for each request and leave it open.
    """

    async def test(platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (N_DESCRIPTORS, limits[1]))
        try:
            (forwarder,) = await platform.add_forwarders()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        await platform.wait_ready()
        writers = []
        for number in range(2 * N_DESCRIPTORS):
            reader, writer = await asyncio.open_connection(
                forwarder.ip, forwarder.ports[0]
            )
            writers.append(writer)
            writer.write((REQUEST % number).encode())
            status_line, _ = await read_head(reader)
            assert status_line == "HTTP/1.1 200 OK", number
        for writer in writers:
            writer.close()

    run_platform(test, tmp_path)
