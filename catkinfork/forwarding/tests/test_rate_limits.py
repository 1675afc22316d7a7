"""Backend servers that name the request rate that they take from all forwarders."""

import anyio
import pytest

from catkinfork.forwarding._numbers import parse_decimal
from catkinfork.forwarding.tests.scripted import answer, in_turn
from catkinfork.forwarding.tests.world import run_world


def limited(value, **options):
    """Return a script that answers and names a limit."""
    return answer(extra=f"x-rate-limit: {value}\r\n", **options)


def test_limit_is_logged_when_it_is_named_and_lifted():
    """Guards against logs that do not show which limit was in force."""

    async def test(world):
        script = in_turn(limited("40"), limited("40"), answer())
        await world.start("plain", script)
        await world.call("/read/")
        (line,) = world.list_events("backend_limited")
        assert line["backend_server"] == "plain-0"
        assert (line["limit_per_s"], line["previous_per_s"]) == (40.0, None)
        world.registry.rate_limits.logged_at.clear()
        for _ in range(3):
            await world.call("/read/")
        line = world.list_events("backend_limited")[-1]
        assert (line["limit_per_s"], line["previous_per_s"]) == (None, 40.0)

    run_world(test)


def test_limit_that_changes_with_each_response_is_logged_rarely():
    """Guards against a line for each response of a server."""

    async def test(world):
        await world.start("plain", in_turn(*[limited(90 + n) for n in range(20)]))
        for _ in range(20):
            await world.call("/read/")
        (line,) = world.list_events("backend_limited")
        assert line["limit_per_s"] == 90.0
        entry = world.registry.backends["plain-0"].entry
        assert world.registry.rate_limits.find(entry).rate == 109.0
        assert world.registry.rate_limits.n_unlogged == 19

    run_world(test)


def test_limited_backend_gets_what_it_allows():
    """Guards against a server that gets more than the limit that it has named (LIMIT).

    Load pattern: callers send as fast as they are answered, and another server is free.
    """

    async def test(world):
        script = limited("8", body=b"first")
        first, second = await world.start("plain", script, answer(body=b"second"))
        ends_at = world.loop.time() + 2.5

        async def call_often():
            while world.loop.time() < ends_at:
                assert (await world.call("/read/", body=b"")).status == 200

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(call_often)
        assert len(first.requests) <= 8 * 2.5 + 5
        assert len(second.requests) > 100

    run_world(test)


@pytest.mark.parametrize("value", ["-1", "soon", "nan", "inf", "1e9", "1, 2", ""])
def test_invalid_limit_is_ignored(value):
    """Guards against a value that takes a server out, or lifts its limit."""

    async def test(world):
        await world.start("plain", in_turn(limited("50"), limited(value)))
        await world.call("/read/")
        world.registry.rate_limits.logged_at.clear()
        assert (await world.call("/read/")).status == 200
        entry = world.registry.backends["plain-0"].entry
        assert world.registry.rate_limits.find(entry).rate == 50.0
        (line,) = world.list_events("rate_limit_ignored")
        assert line["value"] == value

    run_world(test)


@pytest.mark.parametrize(
    "prefix",
    [
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nx-request-id: other\r\ncontent-length: 0\r\n\r\n",
    ],
)
def test_interim_or_late_response_lifts_no_limit(prefix):
    """Guards against a limit that is lifted by a response without a word on it."""

    async def test(world):
        async def script(request, writer, index):
            if index:
                writer.write(prefix.encode())
            await limited("50")(request, writer, index)

        await world.start("plain", script)
        for _ in range(3):
            assert (await world.call("/read/")).status == 200
        assert len(world.list_events("backend_limited")) == 1
        assert world.registry.rate_limits.n_unlogged == 0

    run_world(test)


def test_fraction_of_any_length_is_parsed():
    """Guards against a limit that is lost as it is written with many digits."""
    assert parse_decimal(b"9." + b"3" * 40) == pytest.approx(28 / 3)
