import json

import anyio
import pytest

from catkinfork.backends import (
    BackendEnd,
    BackendFailure,
    BackendHead,
    BackendHealth,
    EngineBackend,
)
from catkinfork.backends.tests.support import (
    INCARNATION,
    MESSAGES,
    TEST_TIMEOUT_S,
    build_completion,
    collect,
    join_data,
    serve_engine,
    wait_until,
)
from catkinfork.settings import BackendSettings
from standins.engine import is_whole_answer

pytestmark = pytest.mark.anyio

FAULTS = {
    "none": None,
    "break at the first event": ("break", 1),
    "break in the middle": ("break", 6),
    "silent in the middle": ("silent", 6),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
@pytest.mark.parametrize("wants_usage", [False, True])
async def test_stream_is_whole_and_runs_once(fault, wants_usage):
    """Guards against lost, duplicated or changed bytes when a stream is resumed."""
    options = {"stream_options": {"include_usage": True}} if wants_usage else {}
    start = build_completion(stream=True, **options)
    is_silent = fault is not None and fault[0] == "silent"
    idle_timeout_s = 0.5 if is_silent else TEST_TIMEOUT_S
    async with serve_engine(idle_timeout_s) as (engine, backend):
        if fault is not None:
            engine.faults = {"kind": fault[0], "after_events": fault[1]}
        events = await collect(backend, start)
        stream = engine.streams[start.request_id]
    expected = [
        event for event in stream.events if wants_usage or b'"usage"' not in event
    ]
    assert engine.faults == {}
    assert events[0][:2] == (start.attempt, 200)
    assert join_data(events) == b"".join(expected)
    assert engine.executions == {start.request_id: 1}
    units = stream.n_prompt + 2 * len(stream.tokens)
    assert events[-1] == BackendEnd(start.attempt, units)
    assert sum(event.units for event in events[1:-1]) <= units


async def test_stream_is_charged_as_it_is_delivered():
    """Guards against service units that are counted only at the end of a stream."""
    async with serve_engine() as (engine, backend):
        events = await collect(backend, build_completion(stream=True))
        n_tokens = len(next(iter(engine.streams.values())).tokens)
    assert [event.units for event in events[1:-1]][:n_tokens] == [2] * n_tokens


async def test_plain_response_is_unchanged():
    """Guards against a changed body and against missing service units."""
    start = build_completion()
    async with serve_engine() as (engine, backend):
        events = await collect(backend, start)
        stream = engine.streams[start.request_id]
    answer = json.loads(join_data(events))
    assert answer == stream.build_answer()
    assert is_whole_answer(MESSAGES, answer["choices"][0]["message"]["content"])
    usage = answer["usage"]
    units = usage["prompt_tokens"] + 2 * usage["completion_tokens"]
    assert events[-1] == BackendEnd(start.attempt, units)


async def test_plain_response_may_take_longer_than_the_idle_timeout():
    """Guards against a timeout while the engine is still computing the response."""
    start = build_completion()
    async with serve_engine(idle_timeout_s=0.4, token_ms=60) as (engine, backend):
        events = await collect(backend, start)
        assert (
            json.loads(join_data(events))
            == engine.streams[start.request_id].build_answer()
        )
    assert engine.executions == {start.request_id: 1}


async def test_plain_response_survives_a_silent_connection():
    """Guards against a response that is lost when its connection hangs."""
    start = build_completion()
    async with serve_engine(idle_timeout_s=0.3, token_ms=5) as (engine, backend):
        events = []
        async with anyio.create_task_group() as group:
            group.start_soon(backend.run, start, events.append)
            await wait_until(lambda: engine.executions)
            engine.server.silence_all()
        assert isinstance(events[-1], BackendEnd)
    assert engine.executions == {start.request_id: 1}


@pytest.mark.parametrize("is_streamed", [False, True])
async def test_crash_is_not_taken_for_a_refusal(is_streamed):
    """Guards against ``refused``, hence ``not_run``, if the engine crashes.

    The connection is lost during execution, and the attempt to resume is refused.
    """
    messages = [{"role": "user", "content": "CRASH-ENGINE"}]
    start = build_completion(messages=messages, stream=is_streamed)
    async with serve_engine() as (engine, backend):
        events = await collect(backend, start)
        assert [(type(event), event.kind) for event in events] == [
            (BackendFailure, "reset")
        ]
        assert engine.executions == {start.request_id: 1}
        again = await collect(backend, build_completion())
        assert [event.kind for event in again] == ["refused"]


async def test_stream_that_cannot_be_resumed_fails():
    """Guards against a truncated stream that is reported as complete.

    The connection breaks after three events and the engine no longer has the stream.
    """
    async with serve_engine() as (engine, backend):
        engine.faults = {"kind": "break", "after_events": 3}
        start = build_completion(stream=True)
        events = []

        def emit(event):
            events.append(event)
            engine.streams.clear()

        await backend.run(start, emit)
    assert isinstance(events[0], BackendHead)
    assert events[-1].kind == "reset"


async def test_cold_engine_reports_overload():
    """Guards against an overload status that is forwarded to the caller."""
    async with serve_engine(cold_s=30, cold_batch=0) as (engine, backend):
        events = await collect(backend, build_completion())
    assert [event.kind for event in events] == ["overloaded"]
    assert engine.executions == {}


async def test_silent_backend_server_is_detected():
    """Guards against a request that hangs when the server never responds."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    settings = BackendSettings("runner-1", f"http://127.0.0.1:{port}", 0.2)
    backend = EngineBackend(settings, INCARNATION)
    async with listener:
        events = await collect(backend, build_completion(stream=True))
    await backend.close()
    assert [event.kind for event in events] == ["silent"]


@pytest.mark.parametrize("is_streamed", [False, True])
async def test_large_response_is_ended(is_streamed):
    """Guards against a response that exhausts the agent's memory."""
    start = build_completion(max_tokens=200, stream=is_streamed)
    async with serve_engine(max_response_bytes=500) as (_, backend):
        events = await collect(backend, start)
    assert events[-1].kind == "too_expensive"
    assert len(join_data(events)) <= 1000


async def test_cancel_stops_the_engine():
    """Guards against execution that continues after the attempt was cancelled."""
    start = build_completion(stream=True, max_tokens=100_000)
    async with serve_engine() as (engine, backend):
        events = []
        async with anyio.create_task_group() as group:
            group.start_soon(backend.run, start, events.append)
            await wait_until(lambda: len(events) > 3)
            group.cancel_scope.cancel()
        assert events[-1].kind == "cancelled"
        await wait_until(lambda: engine.count_present() == 0)
    assert engine.streams == {}


async def test_cancel_of_an_old_attempt_spares_the_new_one():
    """Guards against a late cancel that stops the next attempt of the same request.

    Both attempts use the same stream id at the engine.
    """
    first = build_completion(stream=True, max_tokens=100_000)
    second = build_completion(stream=True)._replace(request_id=first.request_id)
    async with serve_engine() as (engine, backend):
        old, new = [], []
        async with (
            anyio.create_task_group() as outer,
            anyio.create_task_group() as group,
        ):
            group.start_soon(backend.run, first, old.append)
            await wait_until(lambda: len(old) > 1)
            outer.start_soon(backend.run, second, new.append)
            await wait_until(lambda: len(new) > 1)
            group.cancel_scope.cancel()
    assert old[-1].kind == "cancelled"
    assert isinstance(new[-1], BackendEnd)


async def test_health_follows_the_engine(monkeypatch):
    """Guards against a crash or a cold start that the agent does not detect."""
    monkeypatch.setattr("catkinfork.backends._base.HEALTH_INTERVAL_S", 0.01)
    events = []
    async with (
        serve_engine() as (engine, backend),
        anyio.create_task_group() as group,
    ):
        group.start_soon(backend.watch_health, events.append)
        await wait_until(lambda: events == [BackendHealth(True, False)])
        engine.cold_until = float("inf")
        engine.note_load()
        await wait_until(lambda: events[1:] == [BackendHealth(True, True)])
        engine.server.crash(0.3)
        await wait_until(lambda: events[2:3] == [BackendHealth(False, False)])
        await wait_until(lambda: events[3:4] == [BackendHealth(True, True)])
        group.cancel_scope.cancel()


async def test_fence_of_the_engine_refuses_an_older_agent():
    """Guards against an agent that keeps executing after its replacement has started.

    The engine knows a higher fencing token and rejects the lower one with 409.
    """
    async with serve_engine(checks_fence=True) as (engine, backend):
        newer = EngineBackend(backend.settings, INCARNATION + 1)
        await collect(newer, build_completion())
        await newer.close()
        events = await collect(backend, build_completion())
    assert events[0].status == 409
    assert len(engine.executions) == 1
