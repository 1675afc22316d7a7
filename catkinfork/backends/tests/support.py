"""Test servers, requests and helpers for the tests of the clients."""

import json
from contextlib import asynccontextmanager
from itertools import count

import anyio

from catkinfork.backends import BackendData, EngineBackend, ServiceBackend
from catkinfork.protocol import AttemptId, Start
from catkinfork.settings import BackendSettings
from standins.engine import Engine, EngineSettings
from standins.ledger import FaultyServer, Ledger, LedgerSettings

INCARNATION = 1_700_000_000_000
# Much longer than any test takes; it only ends tests that hang.
TEST_TIMEOUT_S = 15.0
MESSAGES = [{"role": "user", "content": "Draft a notice for the depot"}]

attempt_numbers = count(1)


def build_start(method, path, body, **fields):
    """Build a ``Start`` message with a new attempt id."""
    number = next(attempt_numbers)
    defaults = {
        "attempt": AttemptId("10.0.0.1:7000", 1, number),
        "request_id": f"q-{number}",
        "ticket": 1,
        "agent_incarnation": INCARNATION,
        "workspace": "dealers",
        "target": "contract-draft",
        "method": method,
        "path": path,
        "headers": [("Content-Type", "application/json")],
        "body": json.dumps(body).encode() if body is not None else b"",
        "deadline_ms": 10_000,
        "key": "",
        "is_idempotent": True,
        "fingerprint": b"",
        "version": 1,
    }
    return Start(**defaults | fields)


def build_completion(**fields):
    """Build the ``Start`` of a chat completion with further fields in its body."""
    body = {"model": "contract-draft", "messages": MESSAGES, "max_tokens": 20}
    return build_start("POST", "/v1/chat/completions", body | fields)


def join_data(events):
    """Return the response body that the events contain."""
    return b"".join(event.data for event in events if isinstance(event, BackendData))


async def collect(backend, start):
    """Run an attempt and return its events."""
    events = []
    with anyio.fail_after(TEST_TIMEOUT_S):
        await backend.run(start, events.append)
    return events


async def wait_until(condition):
    """Poll a condition until it is true."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.002)


@asynccontextmanager
async def serve_engine(
    idle_timeout_s=TEST_TIMEOUT_S, max_response_bytes=1 << 20, **settings
):
    """Serve an engine and yield it together with a client."""
    engine = Engine(EngineSettings(**{"token_ms": 1.0} | settings))
    async with FaultyServer(engine, "127.0.0.1:0") as server:
        options = BackendSettings("runner-1", server.url, idle_timeout_s)
        backend = EngineBackend(options, INCARNATION, max_response_bytes)
        try:
            yield engine, backend
        finally:
            await backend.close()


@asynccontextmanager
async def serve_ledger(
    idle_timeout_s=TEST_TIMEOUT_S, max_response_bytes=1 << 20, **settings
):
    """Serve a ledger and yield it together with a client."""
    ledger = Ledger(LedgerSettings(**{"execute_ms": 1.0} | settings))
    async with FaultyServer(ledger, "127.0.0.1:0") as server:
        options = BackendSettings("ledger-1", server.url, idle_timeout_s)
        backend = ServiceBackend(options, INCARNATION, max_response_bytes)
        try:
            yield ledger, backend
        finally:
            await backend.close()
