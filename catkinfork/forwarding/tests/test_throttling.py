"""Backend servers that reject requests and ask for a pause."""

import anyio
import pytest

from catkinfork.forwarding._numbers import parse_decimal
from catkinfork.forwarding.tests.scripted import answer, in_turn
from catkinfork.forwarding.tests.world import run_world

NOT_RUN = "x-not-run: 1\r\n"


def reject(pause, extra=NOT_RUN):
    """Return a script that rejects a request and asks for a pause."""
    return answer(503, extra=f"retry-after: {pause}\r\n{extra}")


@pytest.mark.parametrize("path", ["/read/", "/order/"])
def test_throttled_backend_gets_nothing_during_the_pause(path):
    """Guards against requests, retries or probes to a server that asked for a pause."""

    async def test(world):
        script = in_turn(reject("0.6"), answer(body=b"first"))
        first, second = await world.start("plain", script, answer(body=b"second"))
        ends_at = world.loop.time() + 0.6
        while world.loop.time() < ends_at - 0.05:
            assert (await world.call(path)).body == b"second"
            await anyio.sleep(0.01)
        assert len(first.requests) == 1
        # Remote, so that the other one is preferred once it may be used again.
        world.registry.backends["plain-1"].data_centre = "remote"
        await anyio.sleep(0.1)
        with anyio.fail_after(1.0):
            while (await world.call(path)).body != b"first":
                await anyio.sleep(0.02)
        health = world.balancer.pools["plain"].find("plain-0").health
        assert health.n_ejections == 0
        assert health.failure_rate == 0.0
        assert not world.list_events("backend_left_out")
        (line,) = world.list_events("backend_throttled")
        assert (line["value"], line["pause_s"]) == ("0.6", 0.6)

    run_world(test)


def test_request_is_refused_if_all_backends_are_throttled():
    """Guards against requests that wait although no server may be used in time."""

    async def test(world):
        await world.start("plain", reject("2"), reject("1.5"))
        await world.call("/order/")
        started_at = world.loop.time()
        reply = await world.call("/order/")
        assert world.loop.time() - started_at < 0.1
        assert reply.status == 503
        assert 1.3 <= float(reply.headers["retry-after"]) <= 1.8
        line = world.list_events("request_finished")[-1]
        assert line["outcome"] == "backend_servers_throttled"

    run_world(test)


def test_waiting_requests_are_refused_if_all_backends_are_throttled():
    """Guards against queued requests that are held until their deadline."""

    async def test(world):
        script = in_turn(*[answer(delay_s=0.2)] * 10, reject("3"))
        await world.start("plain", script)
        statuses = []

        async def call():
            statuses.append((await world.call("/order/")).status)

        with anyio.fail_after(1.5):
            async with anyio.create_task_group() as tasks:
                for _ in range(16):
                    tasks.start_soon(call)
        assert sorted(set(statuses)) == [200, 503]
        assert statuses.count(200) == 10

    run_world(test)


def test_load_comes_back_slowly_after_a_pause():
    """Guards against a server that gets all waiting requests as its pause ends."""

    async def test(world):
        script = in_turn(reject("0.3"), answer())
        first, _ = await world.start("plain", script, answer(delay_s=0.05))
        await world.call("/read/", body=b"")
        world.registry.backends["plain-1"].data_centre = "remote"
        ends_at = world.loop.time() + 0.3

        async def call_often():
            while world.loop.time() < ends_at + 0.5:
                await world.call("/read/", body=b"")

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(call_often)
        assert 1 < len(first.requests) <= 1 + 20 * 0.5 + 2

    run_world(test)


def test_pause_holds_for_an_entry_that_came_back():
    """Guards against a pause that is set on an entry that is no longer in use.

    The entry is removed and published again between two looks at the connections.
    """

    async def test(world):
        script = in_turn(answer(), reject("0.6"), answer())
        first, _ = await world.start("plain", script, answer())
        world.registry.backends["plain-1"].data_centre = "remote"
        await world.call("/read/", body=b"")
        entry = world.registry.backends["plain-0"].entry
        now = world.loop.time()
        world.registry.remove("plain-0", now, now)
        world.registry.apply_entry(entry, now, "test")
        await world.call("/read/", body=b"")
        assert len(first.requests) == 2
        for _ in range(4):
            await world.call("/read/", body=b"")
        assert len(first.requests) == 2

    run_world(test)


@pytest.mark.parametrize("pause", ["-1", "soon", "Fri, 04 Dec 2026 14:00:00 GMT", "0"])
def test_invalid_pause_is_ignored(pause):
    """Guards against a value that takes a server out, or stops the process."""

    async def test(world):
        script = in_turn(reject(pause), answer(body=b"first"))
        first, _ = await world.start("plain", script, answer(body=b"second"))
        assert (await world.call("/read/", body=b"")).status == 200
        assert not world.registry.backends["plain-0"].is_throttled(world.loop.time())
        (line,) = world.list_events("backend_throttled")
        assert (line["value"], line["pause_s"]) == (pause, 0.0)

    run_world(test)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_pause_of_another_status_is_ignored(status):
    """Guards against a header that is meant for the caller."""

    async def test(world):
        script = answer(status, extra="retry-after: 5\r\n")
        await world.start("plain", script)
        await world.call("/order/")
        assert not world.registry.backends["plain-0"].is_throttled(world.loop.time())

    run_world(test)


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0." + b"3" * 40, 1 / 3),
        (b"1000000000", 1e9),
        (b"9" * 400, 1e18),
        (b"-1", None),
        (b"1e3", None),
        (b"nan", None),
        (b"inf", None),
        (b"", None),
        (b".5", None),
    ],
)
def test_pause_is_parsed(value, pause_s):
    """Guards against values that are not seconds."""
    assert parse_decimal(value) == pause_s
