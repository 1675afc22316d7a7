"""A fleet of real processes with HTTP callers, for tests of failures."""

import json
import os
import threading
import time
import uuid
from concurrent.futures import Future
from typing import NamedTuple

import httpx
from anyio.from_thread import start_blocking_portal

from standins.engine import is_whole_answer
from standins.local_fleet import SMALL_LAYOUT, LocalFleet

# Ends tests that hang; the bounds under test are in the tests themselves.
HANG_TIMEOUT_S = 20.0
CHAT = "/v1/chat/completions"
RESERVATIONS = "/services/ledger/reservations"
MODEL = "contract-draft"
# Executions take long enough that a fault interrupts some of them.
LEDGER_OPTIONS = ("--execute-ms", "60")


def wait_until(check, detail, timeout_s=HANG_TIMEOUT_S):
    """Wait for a condition and return the elapsed time in seconds."""
    started_at = time.monotonic()
    while not check():
        waited_s = time.monotonic() - started_at
        assert waited_s < timeout_s, f"{detail} after {waited_s:.1f} s"
        time.sleep(0.02)
    return time.monotonic() - started_at


def build_idempotency_key():
    """Return a new time-ordered idempotency key (UUID version 7)."""
    data = bytearray(int(time.time() * 1000).to_bytes(6, "big") + os.urandom(10))
    data[6] = 0x70 | data[6] & 0x0F
    data[8] = 0x80 | data[8] & 0x3F
    return str(uuid.UUID(bytes=bytes(data)))


class CallResult(NamedTuple):
    """Result of a call: the response or the failure.

    :param status: HTTP status, 0 if no response arrived.
    :param headers: response headers.
    :param body: received part of the response body.
    :param error: failure of the connection, empty for none.
    :param seconds: time from the request to the end of the response.
    """

    status: int
    headers: dict
    body: bytes
    error: str
    seconds: float

    def __repr__(self):
        end = self.body[-300:]
        return (
            f"CallResult({self.status}, {self.error!r}, {self.seconds:.2f} s, {end!r})"
        )

    @property
    def refusal(self):
        """Error object of a refusal; empty for other responses."""
        if self.error or self.status < 400:
            return {}
        return json.loads(self.body)["error"]

    @property
    def outcome(self):
        """``done``, ``broken`` or the outcome that a refusal states."""
        if self.error:
            return "broken"
        return self.refusal["outcome"] if self.status >= 400 else "done"


class Call:
    """An HTTP request of a caller that runs in the background.

    :param method: HTTP method.
    :param url: absolute URL.
    :param headers: request headers.
    :param body: JSON body.
    """

    def __init__(self, method, url, headers, body):
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.first_byte_received = threading.Event()
        self.future = Future()
        self.task = None

    async def run(self, client):
        """Send the request and store its result."""
        status, headers, body, error = 0, {}, b"", ""
        started_at = time.monotonic()
        try:
            async with client.stream(
                self.method, self.url, json=self.body, headers=self.headers
            ) as response:
                status, headers = response.status_code, dict(response.headers)
                async for data in response.aiter_raw():
                    body += data
                    self.first_byte_received.set()
        except httpx.HTTPError as failure:
            error = f"{type(failure).__name__}: {failure}"
        except BaseException:
            error = "cancelled by the caller"
            raise
        finally:
            self.first_byte_received.set()
            seconds = time.monotonic() - started_at
            self.future.set_result(CallResult(status, headers, body, error, seconds))

    def cancel(self):
        """Cancel the request by closing its connection."""
        self.task.cancel()

    def wait_for_first_byte(self):
        """Wait for the first byte of the response, or for its end."""
        assert self.first_byte_received.wait(HANG_TIMEOUT_S), (
            f"no response from {self.url}"
        )

    def result(self):
        """Wait for the end of the call and return its :class:`CallResult`."""
        return self.future.result(HANG_TIMEOUT_S * 2)


class StreamedCall(Call):
    """A streamed chat completion."""

    def check_complete(self):
        """Fail unless the response is complete and belongs to this request."""
        result = self.result()
        assert (result.status, result.error) == (200, ""), result
        assert result.body.endswith(b"data: [DONE]\n\n"), result
        text = ""
        for line in result.body.splitlines():
            if line.startswith(b"data: {"):
                choice = json.loads(line[6:])["choices"][0]
                text += choice["delta"].get("content", "")
        assert is_whole_answer(self.body["messages"], text), result


class FleetWithCallers(LocalFleet):
    """A local fleet with callers and access to the records of its servers."""

    def __init__(self, directory):
        servers = tuple(
            server._replace(options=LEDGER_OPTIONS)
            if server.pool == "ledger"
            else server
            for server in SMALL_LAYOUT.servers
        )
        layout = SMALL_LAYOUT._replace(servers=servers)
        overrides = {
            # An agent must not accept opaque keys while a test repeats them.
            ("execution", "quiet_time_s"): 60.0,
            # Peers on loopback respond at once, and the tests restart many processes.
            ("platform", "startup_wait_s"): 0.3,
        }
        super().__init__(directory, layout, overrides)
        self.version = 1
        self.suspended = set()
        self.n_completions = 0

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        self.portal_context = start_blocking_portal()
        self.portal = self.portal_context.__enter__()
        self.client = self.portal.call(self.build_client)
        return self

    def __exit__(self, *details):
        try:
            self.portal.call(self.client.aclose)
            self.portal_context.__exit__(None, None, None)
        finally:
            self.stop()

    async def build_client(self):
        """Return the HTTP client that all callers share."""
        return httpx.AsyncClient(
            timeout=HANG_TIMEOUT_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    # Callers.

    def start_call(self, call):
        """Start a call in the background and return it."""
        call.task = self.portal.start_task_soon(call.run, self.client)
        return call

    def start_completion(self, router, workspace="dealers", max_tokens=20, text=None):
        """Start a streamed chat completion; its default prompt is unique."""
        self.n_completions += 1
        messages = [{"role": "user", "content": text or f"draft {self.n_completions}"}]
        body = {"model": MODEL, "messages": messages, "max_tokens": max_tokens}
        return self.start_call(
            StreamedCall(
                "POST",
                self.find_url(f"{router}/callers") + CHAT,
                {"Authorization": f"Bearer {self.api_keys[workspace]}"},
                body | {"stream": True},
            )
        )

    def start_reservation(self, router, key, timeout_s=10.0):
        """Start a reservation with an idempotency key."""
        headers = {
            "Authorization": f"Bearer {self.api_keys['dealers']}",
            "Idempotency-Key": key,
            "X-Request-Timeout": str(timeout_s),
        }
        url = self.find_url(f"{router}/callers") + RESERVATIONS
        return self.start_call(Call("POST", url, headers, {"item": key}))

    # Records of the backend servers.

    def read_executions(self, server):
        """Return a backend server's record of executions; wait until it is up."""
        url = self.find_url(server) + "/control/executions"
        deadline = time.monotonic() + HANG_TIMEOUT_S
        while True:
            try:
                return httpx.get(url, timeout=HANG_TIMEOUT_S).json()["executions"]
            except httpx.TransportError:
                assert time.monotonic() < deadline, f"{server} does not respond"
                time.sleep(0.05)

    def count_executions(self, server):
        """Return the number of executions that a backend server has recorded."""
        executions = self.read_executions(server)
        if isinstance(executions, dict):
            return sum(executions.values())
        return len(executions)

    def count_key_executions(self):
        """Return how often the ledgers have executed each idempotency key."""
        counts = {}
        for server in self.layout.servers:
            if server.pool == "ledger":
                for entry in self.read_executions(server.name):
                    counts[entry["key"]] = counts.get(entry["key"], 0) + 1
        return counts

    def count_running(self, router):
        """Return how many requests run at the agents, as a router reports it."""
        servers = self.read_status(router)["backend_servers"]
        return sum(entry["n_running"] for entry in servers)

    # Operator actions.

    def publish_next(self, out=()):
        """Publish the next version of the document and return its number."""
        self.version += 1
        self.publish(self.build_document(self.version, out))
        return self.version

    def list_versions(self, member):
        """Return the versions in force that a member reports; 0 for unreachable."""
        processes = self.read_status(member)["processes"]
        return {entry["version"] if entry["is_reachable"] else 0 for entry in processes}

    def is_healthy(self):
        """Return whether all members are ready and have the latest document."""
        return all(self.is_ready(name) for name in self.list_members()) and all(
            self.list_versions(router) == {self.version} for router in self.routers
        )

    def suspend(self, name):
        super().suspend(name)
        self.suspended.add(name)

    def resume(self, name):
        super().resume(name)
        self.suspended.discard(name)

    def undo_faults(self):
        """Undo all faults, so that the next test starts with a healthy fleet."""
        for name in list(self.suspended):
            self.resume(name)
        for name in ("configuration", "hosts"):
            self.set_mode(name, "ok")
        for name, process in list(self.processes.items()):
            if process.poll() is not None:
                self.restart(name)
        if self.leaving:
            self.leaving = set()
            self.publish_hosts()
        self.publish_next()
        wait_until(self.is_healthy, "the fleet is not healthy again")
