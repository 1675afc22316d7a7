import json
import time
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from standins.engine import Engine, EngineSettings, build_tokens, is_whole_answer
from standins.ledger import FaultyServer, Ledger, LedgerSettings

pytestmark = pytest.mark.anyio
PATH = "/v1/chat/completions"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def connect(app):
    """Serve an application and yield a client."""
    async with (
        FaultyServer(app, "127.0.0.1:0") as server,
        httpx.AsyncClient(base_url=server.url, timeout=15, trust_env=False) as client,
    ):
        yield client


def build_body(**fields):
    messages = [{"role": "user", "content": "Draft a notice"}]
    return {"model": "contract-draft", "messages": messages, "max_tokens": 8} | fields


def test_cut_answer_is_not_whole():
    """Guards against a check that accepts a truncated response as complete."""
    messages = build_body()["messages"]
    text = "".join(build_tokens("Draft a notice", 30))
    assert is_whole_answer(messages, text)
    for wrong in ("", text[:-1], text[:-7], text[6:], text + text, "end-1x"):
        assert not is_whole_answer(messages, wrong)
    assert not is_whole_answer([{"content": "another"}], text)


async def test_engine_falls_over_when_it_is_loaded_while_cold():
    """Guards against a stand-in that tolerates overload during a cold start."""
    engine = Engine(EngineSettings(token_ms=100, cold_s=60, cold_batch=1))
    body = build_body(stream=True, max_tokens=10_000)
    async with connect(engine) as client:
        with anyio.fail_after(15):
            async with client.stream("POST", PATH, json=body) as open_stream:
                started_at = time.monotonic()
                codes = await post_until_broken(client)
                with pytest.raises(httpx.TransportError):
                    await open_stream.aread()
            with pytest.raises(httpx.ConnectError):
                await client.get("/health")
    assert codes == {503}
    assert time.monotonic() - started_at >= 1.0


async def post_until_broken(client):
    """Send requests until the connection breaks; return the statuses seen."""
    codes = set()
    while True:
        try:
            codes.add((await client.post(PATH, json=build_body())).status_code)
        except httpx.TransportError:
            return codes


async def test_tokens_slow_down_as_the_batch_grows():
    """Guards against a stand-in whose capacity is not limited by its batch."""
    engine = Engine(EngineSettings(token_ms=10, max_batch=4))
    async with connect(engine) as client, anyio.create_task_group() as group:
        body = build_body(max_tokens=1, messages=[{"content": "x"}])
        started_at = time.monotonic()
        for number in range(8):
            headers = {"X-Request-Id": str(number)}
            group.start_soon(
                lambda headers=headers: client.post(PATH, json=body, headers=headers)
            )
        while len(engine.streams) < 8 or engine.count_present():
            await anyio.sleep(0.002)
        # Two batches of four sequences, each token 30% slower than without a batch.
        assert time.monotonic() - started_at >= 2 * 0.010
        executions = (await client.get("/control/executions")).json()["executions"]
    assert executions == {str(number): 1 for number in range(8)}


async def test_load_report_lags():
    """Guards against a load report that shows a cold start without its lag."""
    async with connect(Engine(EngineSettings(cold_s=60))) as client:
        assert (await client.get("/v1/load")).json()["is_cold"] is True
    async with connect(Engine(EngineSettings())) as client:
        await client.post("/control/cold", json={"seconds": 60})
        assert (await client.get("/v1/load")).json()["is_cold"] is False
        with anyio.fail_after(15):
            while not (await client.get("/v1/load")).json()["is_cold"]:
                await anyio.sleep(0.01)


async def test_silent_connection_stays_silent_while_a_new_one_answers():
    """Guards against a fault that ends early or that affects new connections."""
    async with connect(Engine(EngineSettings())) as client:
        await client.get("/health")
        await client.post("/control/silent")
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/health", timeout=0.2)
        assert (await client.get("/health")).status_code == 200


@pytest.mark.parametrize(("checks_fence", "status"), [(True, 409), (False, 200)])
async def test_engine_order_with_an_old_token(checks_fence, status):
    """Guards against ignoring an outdated token, or refusing it without a check."""
    async with connect(Engine(EngineSettings(checks_fence=checks_fence))) as client:
        codes = []
        for token in ("5", "4"):
            headers = {"X-Fencing-Token": token}
            response = await client.post("/v1/orders", json={}, headers=headers)
            codes.append(response.status_code)
    assert codes == [200, status]


async def test_ledger_records_each_execution():
    """Guards against a record that omits a repeated execution or is lost in a crash."""
    async with connect(Ledger(LedgerSettings(execute_ms=1))) as client:
        body = {"item": "roof-tiles"}
        headers = {"X-Request-Id": "q", "Idempotency-Key": "k"}
        for _ in range(2):
            response = await client.post("/reservations", json=body, headers=headers)
            assert response.status_code == 201
        await client.post("/control/crash", json={"down_s": 0.05})
        with anyio.fail_after(15):
            while True:
                try:
                    listed = await client.get("/control/executions")
                    break
                except httpx.TransportError:
                    await anyio.sleep(0.01)
        stock = (await client.get("/stock/roof-tiles")).json()
    executions = listed.json()["executions"]
    assert [(entry["request_id"], entry["key"]) for entry in executions] == [
        ("q", "k")
    ] * 2
    assert [json.loads(entry["body"]) for entry in executions] == [body] * 2
    assert stock["reserved"] == 2
