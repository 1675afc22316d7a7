"""A fleet of real processes with callers, for tests of faults."""

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

# Only ends a test that hangs; the bounds that matter are in the tests.
WAIT_S = 20.0
CHAT = "/v1/chat/completions"
RESERVATIONS = "/services/ledger/reservations"
MODEL = "contract-draft"
# Executions long enough for a fault to meet some of them.
LEDGER_OPTIONS = ("--execute-ms", "60")


def wait_until(check, detail, timeout_s=WAIT_S):
    """Wait for a condition and return the seconds that it took."""
    began = time.monotonic()
    while not check():
        waited_s = time.monotonic() - began
        assert waited_s < timeout_s, f"{detail} after {waited_s:.1f} s"
        time.sleep(0.02)
    return time.monotonic() - began


def make_key():
    """Return a UUID of version 7 for now."""
    data = bytearray(int(time.time() * 1000).to_bytes(6, "big") + os.urandom(10))
    data[6] = 0x70 | data[6] & 0x0F
    data[8] = 0x80 | data[8] & 0x3F
    return str(uuid.UUID(bytes=bytes(data)))


class Answer(NamedTuple):
    """What a caller received.

    :param status: HTTP status, 0 for none.
    :param headers: response headers.
    :param body: response body as far as it arrived.
    :param error: failure of the connection, empty for none.
    :param seconds: time from the request to the end.
    """

    status: int
    headers: dict
    body: bytes
    error: str
    seconds: float

    def __repr__(self):
        end = self.body[-300:]
        return f"Answer({self.status}, {self.error!r}, {self.seconds:.2f} s, {end!r})"

    @property
    def refusal(self):
        """The error object of a refusal, empty for another response."""
        if self.error or self.status < 400:
            return {}
        return json.loads(self.body)["error"]

    @property
    def outcome(self):
        """``done``, or the outcome of a refusal, or ``broken``."""
        if self.error:
            return "broken"
        return self.refusal["outcome"] if self.status >= 400 else "done"


class Call:
    """A request of a caller that runs in the background.

    :param method: HTTP method.
    :param url: whole URL.
    :param headers: request headers.
    :param body: JSON body.
    """

    def __init__(self, method, url, headers, body):
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.began = threading.Event()
        self.future = Future()
        self.task = None

    async def run(self, client):
        """Send the request and keep what arrives."""
        status, headers, body, error = 0, {}, b"", ""
        start = time.monotonic()
        try:
            async with client.stream(
                self.method, self.url, json=self.body, headers=self.headers
            ) as response:
                status, headers = response.status_code, dict(response.headers)
                async for data in response.aiter_raw():
                    body += data
                    self.began.set()
        except httpx.HTTPError as failure:
            error = f"{type(failure).__name__}: {failure}"
        except BaseException:
            error = "cancelled by the caller"
            raise
        finally:
            self.began.set()
            seconds = time.monotonic() - start
            self.future.set_result(Answer(status, headers, body, error, seconds))

    def cancel(self):
        """Disconnect from the router."""
        self.task.cancel()

    def wait_begun(self):
        """Wait for the first byte of the response."""
        assert self.began.wait(WAIT_S), f"no response from {self.url}"

    def finish(self):
        """Return the :class:`Answer` once the response has ended."""
        return self.future.result(WAIT_S * 2)


class DraftCall(Call):
    """A streamed chat completion."""

    def check_whole(self):
        """Fail unless the response is complete and this request's own."""
        answer = self.finish()
        assert (answer.status, answer.error) == (200, ""), answer
        assert answer.body.endswith(b"data: [DONE]\n\n"), answer
        text = ""
        for line in answer.body.splitlines():
            if line.startswith(b"data: {"):
                choice = json.loads(line[6:])["choices"][0]
                text += choice["delta"].get("content", "")
        assert is_whole_answer(self.body["messages"], text), answer


class CalledFleet(LocalFleet):
    """A local fleet with callers and the record of what its servers executed."""

    def __init__(self, directory):
        servers = tuple(
            server._replace(options=LEDGER_OPTIONS)
            if server.pool == "ledger"
            else server
            for server in SMALL_LAYOUT.servers
        )
        layout = SMALL_LAYOUT._replace(servers=servers)
        overrides = {
            # Opaque keys must not become usable while a test repeats them.
            ("execution", "quiet_time_s"): 60.0,
            # Peers on loopback answer at once, and the tests restart many processes.
            ("platform", "startup_wait_s"): 0.3,
        }
        super().__init__(directory, layout, overrides)
        self.version = 1
        self.frozen = set()
        self.n_drafts = 0

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        self.portal_context = start_blocking_portal()
        self.portal = self.portal_context.__enter__()
        self.client = self.portal.call(self.make_client)
        return self

    def __exit__(self, *details):
        try:
            self.portal.call(self.client.aclose)
            self.portal_context.__exit__(None, None, None)
        finally:
            self.stop()

    async def make_client(self):
        """Return the HTTP client of all callers."""
        return httpx.AsyncClient(
            timeout=WAIT_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    # Callers.

    def begin(self, call):
        """Send a request in the background and return the call."""
        call.task = self.portal.start_task_soon(call.run, self.client)
        return call

    def draft(self, router, workspace="dealers", max_tokens=20, text=None):
        """Begin a streamed chat completion with a text of its own."""
        self.n_drafts += 1
        messages = [{"role": "user", "content": text or f"draft {self.n_drafts}"}]
        body = {"model": MODEL, "messages": messages, "max_tokens": max_tokens}
        return self.begin(
            DraftCall(
                "POST",
                self.find_url(f"{router}/callers") + CHAT,
                {"Authorization": f"Bearer {self.api_keys[workspace]}"},
                body | {"stream": True},
            )
        )

    def reserve(self, router, key, timeout_s=10.0):
        """Begin a reservation with a key."""
        headers = {
            "Authorization": f"Bearer {self.api_keys['dealers']}",
            "Idempotency-Key": key,
            "X-Request-Timeout": str(timeout_s),
        }
        url = self.find_url(f"{router}/callers") + RESERVATIONS
        return self.begin(Call("POST", url, headers, {"item": key}))

    # Records of the backend servers.

    def read_executions(self, server):
        """Return a backend server's record of executions, once it is up."""
        url = self.find_url(server) + "/control/executions"
        deadline = time.monotonic() + WAIT_S
        while True:
            try:
                return httpx.get(url, timeout=WAIT_S).json()["executions"]
            except httpx.TransportError:
                assert time.monotonic() < deadline, f"{server} does not answer"
                time.sleep(0.05)

    def count_executions(self, server):
        """Return how many executions a backend server has begun."""
        executions = self.read_executions(server)
        if isinstance(executions, dict):
            return sum(executions.values())
        return len(executions)

    def count_key_runs(self):
        """Return how often the ledgers executed each key."""
        runs = {}
        for server in self.layout.servers:
            if server.pool == "ledger":
                for entry in self.read_executions(server.name):
                    runs[entry["key"]] = runs.get(entry["key"], 0) + 1
        return runs

    def count_running(self, router):
        """Return how many requests the agents run."""
        servers = self.read_status(router)["backend_servers"]
        return sum(entry["n_running"] for entry in servers)

    # Operators.

    def publish_next(self, out=()):
        """Publish the next version of the document and return its number."""
        self.version += 1
        self.publish(self.build_document(self.version, out))
        return self.version

    def list_versions(self, member):
        """Return the versions in force, as a member sees them; 0 for unreachable."""
        processes = self.read_status(member)["processes"]
        return {entry["version"] if entry["is_reachable"] else 0 for entry in processes}

    def is_whole(self):
        """Return whether every member is ready with the latest document."""
        return all(self.is_ready(name) for name in self.list_members()) and all(
            self.list_versions(router) == {self.version} for router in self.routers
        )

    def freeze(self, name):
        super().freeze(name)
        self.frozen.add(name)

    def thaw(self, name):
        super().thaw(name)
        self.frozen.discard(name)

    def repair(self):
        """Undo every fault, so that the next test starts from a whole fleet."""
        for name in list(self.frozen):
            self.thaw(name)
        for name in ("configuration", "hosts"):
            self.set_mode(name, "ok")
        for name, process in list(self.processes.items()):
            if process.poll() is not None:
                self.restart(name)
        if self.leaving:
            self.leaving = set()
            self.publish_hosts()
        self.publish_next()
        wait_until(self.is_whole, "the fleet is not whole again")
