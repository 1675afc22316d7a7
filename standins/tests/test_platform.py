"""Stand-ins of the platform: protocol, fault injection and call counts."""

import socket
import subprocess
import sys
import time
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import anyio
import httpx
import pytest

from standins.configuration_service import ConfigurationService
from standins.host_list import HostList

pytestmark = pytest.mark.anyio
VALUE = "/v1/values/production"
HOSTS = [{"address": "10.0.0.5:7000", "role": "router", "state": "live"}]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def run_stand_in(stand_in):
    """Run a stand-in and yield a client for it."""
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(stand_in.run, "127.0.0.1:0")
        async with httpx.AsyncClient(
            base_url=f"http://{address}", timeout=3.0
        ) as client:
            yield client
        tasks.cancel_scope.cancel()


async def read_call_counts(client):
    return (await client.get("/control/calls")).json()


async def test_value_has_a_revision_that_grows():
    """Guards against a service that differs from docs/platform.md."""
    async with run_stand_in(ConfigurationService()) as client:
        assert (await client.get(VALUE)).status_code == 404
        for number in (1, 2):
            await client.post("/control/values/production", content=b"%d" % number)
            response = await client.get(VALUE)
            assert response.content == b"%d" % number
            assert response.headers["X-Revision"] == str(number)
        older = await client.get(VALUE, params={"after": 1, "wait": 5})
        assert (older.status_code, older.content) == (200, b"2")
        same = await client.get(VALUE, params={"after": 2, "wait": 0})
        assert (same.status_code, same.headers["X-Revision"]) == (304, "2")
        assert (await client.get(VALUE, params={"after": "x"})).status_code == 400


async def test_waiting_watch_counts_as_one_call():
    """Guards against call counts that count a waiting watch more than once."""
    async with run_stand_in(ConfigurationService()) as client:
        await client.post("/control/values/production", content=b"1")
        responses = []

        async def watch():
            responses.append(await client.get(VALUE, params={"after": 1, "wait": 2}))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            await anyio.sleep(0.2)
            assert await read_call_counts(client) == {"calls": 1, "pending": 1}
            await client.post("/control/values/production", content=b"2")
        assert responses[0].content == b"2"
        assert await read_call_counts(client) == {"calls": 1, "pending": 0}


async def test_modes_of_the_configuration_service():
    """Guards against fault modes that have no effect."""
    async with run_stand_in(ConfigurationService()) as client:
        await client.post("/control/values/production", content=b"1")
        await client.post("/control/mode", json={"mode": "stale"})
        await client.post("/control/values/production", content=b"2")
        assert (await client.get(VALUE)).content == b"1"
        watch = await client.get(VALUE, params={"after": 1, "wait": 0.1})
        assert watch.status_code == 304
        await client.post("/control/mode", json={"mode": "down"})
        assert (await client.get(VALUE)).status_code == 503
        await client.post("/control/mode", json={"mode": "silent"})
        with pytest.raises(httpx.ReadTimeout):
            await client.get(VALUE, timeout=0.2)
        await client.post("/control/mode", json={"mode": "ok"})
        assert (await client.get(VALUE)).content == b"2"


async def test_scope_open_silences_only_open_connections():
    """Guards against a silent connection that works again, or a silent new one."""
    async with run_stand_in(HostList(HOSTS)) as client:
        await client.get("/hosts")
        await client.post("/control/mode", json={"mode": "silent", "scope": "open"})
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/hosts", timeout=0.2)
        assert (await client.get("/hosts")).json() == {"hosts": HOSTS}


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/control/mode", b"{"),
        ("POST", "/control/mode", b'{"mode": "other"}'),
        ("POST", "/control/mode", b'{"mode": "silent", "scope": "other"}'),
        ("PUT", "/control/hosts", b"[]"),
        ("PUT", "/control/hosts", b'{"hosts": [1]}'),
    ],
)
async def test_wrong_command_is_refused(method, path, body):
    """Guards against an invalid control request that is accepted without effect."""
    async with run_stand_in(HostList()) as client:
        response = await client.request(method, path, content=body)
        assert response.status_code == 400


async def test_host_list_lags():
    """Guards against a change that is visible before the lag has passed."""
    async with run_stand_in(HostList(HOSTS, lag_s=0.3)) as client:
        await client.put("/control/hosts", json={"hosts": []})
        assert (await client.get("/hosts")).json() == {"hosts": HOSTS}
        await anyio.sleep(0.4)
        assert (await client.get("/hosts")).json() == {"hosts": []}


@contextmanager
def run_module(name, *arguments):
    """Run a stand-in as a process, yield its URL, and stop it with SIGTERM."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    bind = f"127.0.0.1:{port}"
    command = [sys.executable, "-m", name, "--bind", bind, *arguments]
    process = subprocess.Popen(command, cwd=Path(__file__).parents[2])
    try:
        yield f"http://{bind}"
    finally:
        process.terminate()
        assert process.wait(5.0) == 0


def read_until(url, content):
    """Poll a URL until it returns the given content."""
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        try:
            if httpx.get(url).content == content:
                return
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"{url} did not return {content!r} within 5 s")


@pytest.mark.processes
def test_configuration_service_reads_its_file_again(tmp_path):
    """Guards against a changed file that is not published."""
    path = tmp_path / "document.json"
    path.write_bytes(b"1")
    with run_module("standins.configuration_service", "--file", str(path)) as url:
        read_until(url + VALUE, b"1")
        path.write_bytes(b"22")
        read_until(url + VALUE, b"22")


@pytest.mark.processes
def test_host_list_starts_by_hand(tmp_path):
    """Guards against command-line options that do not work."""
    path = tmp_path / "hosts.json"
    path.write_bytes(b'{"hosts": []}')
    arguments = ["--file", str(path), "--lag-s", "1"]
    with run_module("standins.host_list", *arguments) as url:
        read_until(f"{url}/hosts", b'{"hosts":[]}')
