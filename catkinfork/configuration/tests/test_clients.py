"""Clients of the platform: malformed responses, timeouts, outages and backoff."""

import anyio
import pytest

from catkinfork.configuration import (
    Host,
    HttpConfigurationSource,
    HttpHostList,
    SourceTimeout,
    SourceUnreachable,
    UnexpectedResponse,
    ValueNotFound,
)
from catkinfork.configuration._http import BACKOFF_MAX_S, BACKOFF_MIN_S, Backoff
from catkinfork.configuration.tests.support import (
    LIVE_HOST,
    Recorder,
    make_rng,
    make_settings,
    run_raw_server,
    run_services,
)

pytestmark = pytest.mark.anyio
OK = b"HTTP/1.1 200 OK\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
HOST = Host("10.0.0.5:7000", "router", "gasabo", "live")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_source(address, recorder, uses_long_polling=True, **changes):
    settings = make_settings(address, **changes)
    return HttpConfigurationSource(
        settings, uses_long_polling, make_rng(), recorder.record_event
    )


def make_hosts(address, recorder):
    settings = make_settings(address, hosts_interval_s=0.1)
    return HttpHostList(settings, make_rng(), recorder.record_event)


def make_large(n_bytes):
    return OK + b"X-Revision: 1\r\n" + b"Content-Length: %d\r\n\r\n" % n_bytes


COMMON_FAULTS = [
    (None, SourceTimeout),
    (b"", SourceUnreachable),
    (b"not HTTP at all\r\n\r\n", SourceUnreachable),
    (OK + b"X-Revision: 1\r\nContent-Length: 9\r\n\r\nshort", SourceUnreachable),
    (OK + b"X-Revision: 1\r\nContent-Length: 9\r\n\r\n", SourceUnreachable),
    (b"HTTP/1.1 503 Busy\r\n" + EMPTY, UnexpectedResponse),
    (b"HTTP/1.1 302 Found\r\nLocation: /x\r\n" + EMPTY, UnexpectedResponse),
]
SOURCE_FAULTS = [
    (b"HTTP/1.1 404 Not Found\r\n" + EMPTY, ValueNotFound),
    (b"HTTP/1.1 304 Not Modified\r\n\r\n", UnexpectedResponse),
    (OK + EMPTY, UnexpectedResponse),
    (OK + b"X-Revision: one\r\n" + EMPTY, UnexpectedResponse),
    (OK + b"X-Revision: -1\r\n" + EMPTY, UnexpectedResponse),
    (OK + b"X-Revision: 99999999999999999999\r\n" + EMPTY, UnexpectedResponse),
    (make_large(1048577) + b"x" * 1048577, UnexpectedResponse),
]
HOSTS_FAULTS = [
    (b"HTTP/1.1 404 Not Found\r\n" + EMPTY, UnexpectedResponse),
    (OK + EMPTY, UnexpectedResponse),
    (OK + b"Content-Length: 2\r\n\r\n[]", UnexpectedResponse),
    (OK + b"Content-Length: 12\r\n\r\n" + b'{"hosts":{}}', UnexpectedResponse),
    (make_large(5000000) + b"x" * 5000000, UnexpectedResponse),
]


@pytest.mark.parametrize(
    ("make_client", "response", "error"),
    [(make_source, *fault) for fault in COMMON_FAULTS + SOURCE_FAULTS]
    + [(make_hosts, *fault) for fault in COMMON_FAULTS + HOSTS_FAULTS],
)
async def test_invalid_response_is_a_typed_error(make_client, response, error):
    """Guards against an exception or a value in place of an error result."""
    async with run_raw_server(response) as (address, _):
        result = await make_client(address, Recorder()).read_once()
    assert type(result.err()) is error
    assert result.err().detail


@pytest.mark.parametrize("make_client", [make_source, make_hosts])
async def test_closed_port_is_unreachable(make_client):
    """Guards against an exception if the connection is refused."""
    async with run_raw_server(b"") as (address, _):
        pass
    result = await make_client(address, Recorder()).read_once()
    assert type(result.err()) is SourceUnreachable


async def test_long_poll_delivers_at_once_with_one_call_pending():
    """Guards against polling in place of long polling, and against a busy loop."""
    recorder = Recorder()
    async with (
        run_services() as (service, address, _, _),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(make_source(address, recorder).run, recorder.record_value)
        await recorder.wait_for(b"one")
        await anyio.sleep(0.3)
        assert (service.n_calls, service.n_pending) == (2, 1)
        service.publish("production", b"two")
        await recorder.wait_for(b"two", timeout_s=0.5)
        await anyio.sleep(0.5)
        assert recorder.values == [b"one", b"two"]
        assert (service.n_calls, service.n_pending) == (3, 1)
        tasks.cancel_scope.cancel()


async def test_poll_transfers_only_changes():
    """Guards against agents that transfer the unchanged value at each poll."""
    recorder = Recorder()
    async with (
        run_services() as (service, address, _, _),
        anyio.create_task_group() as tasks,
    ):
        source = make_source(address, recorder, False, poll_interval_s=0.1)
        tasks.start_soon(source.run, recorder.record_value)
        await recorder.wait_for(b"one")
        service.publish("production", b"two")
        await recorder.wait_for(b"two")
        await anyio.sleep(0.5)
        assert recorder.values == [b"one", b"two"]
        assert 4 <= service.n_calls <= 12
        tasks.cancel_scope.cancel()


async def test_unresponsive_connections_are_replaced_within_two_seconds():
    """Guards against waiting forever on an open connection that delivers no bytes."""
    values, hosts_seen = Recorder(), Recorder()
    leaving = LIVE_HOST | {"state": "leaving"}
    async with (
        run_services() as (service, address, hosts, hosts_address),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(make_source(address, values).run, values.record_value)
        tasks.start_soon(
            make_hosts(hosts_address, hosts_seen).run, hosts_seen.record_value
        )
        await values.wait_for(b"one")
        await hosts_seen.wait_for((HOST,))
        await anyio.sleep(0.2)
        for stand_in in (service, hosts):
            stand_in.set_mode(b'{"mode": "silent", "scope": "open"}')
        started_at = anyio.current_time()
        service.publish("production", b"two")
        hosts.set_hosts([leaving], started_at)
        await values.wait_for(b"two")
        await hosts_seen.wait_for((HOST._replace(state="leaving"),))
        assert values.times[-1] - started_at < 2.0
        assert hosts_seen.times[-1] - started_at < 2.0
        assert "configuration_source_failed" in values.events
        tasks.cancel_scope.cancel()


async def test_unchanged_host_list_is_not_sent_again():
    """Guards against transferring the list at every read, and missing a change."""
    seen = Recorder()
    statuses = []
    async with (
        run_services() as (_, _, hosts, hosts_address),
        anyio.create_task_group() as tasks,
    ):
        respond = hosts.answer

        async def record(request):
            response = await respond(request)
            statuses.append(response.status)
            return response

        hosts.answer = record
        tasks.start_soon(make_hosts(hosts_address, seen).run, seen.record_value)
        await seen.wait_for((HOST,))
        await anyio.sleep(0.5)
        leaving = LIVE_HOST | {"state": "leaving"}
        hosts.set_hosts([leaving], anyio.current_time())
        await seen.wait_for((HOST._replace(state="leaving"),))
        tasks.cancel_scope.cancel()
    assert statuses.count(200) == 2
    assert statuses.count(304) >= 2


async def test_outage_is_logged_once_and_calls_back_off():
    """Guards against repeated calls and log lines without backoff during an outage."""
    values, hosts_seen = Recorder(), Recorder()
    async with (
        run_services() as (service, address, hosts, hosts_address),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(make_source(address, values).run, values.record_value)
        tasks.start_soon(
            make_hosts(hosts_address, hosts_seen).run, hosts_seen.record_value
        )
        await values.wait_for(b"one")
        await hosts_seen.wait_for((HOST,))
        for stand_in in (service, hosts):
            stand_in.set_mode(b'{"mode": "down"}')
            stand_in.n_calls = 0
        service.publish("production", b"two")
        await anyio.sleep(0.8)
        assert service.n_calls <= 8
        assert hosts.n_calls <= 8
        for stand_in in (service, hosts):
            stand_in.set_mode(b'{"mode": "ok"}')
        await values.wait_for(b"two", timeout_s=BACKOFF_MAX_S + 1.0)
        await anyio.sleep(0.5)
        assert values.values == [b"one", b"two"]
        assert hosts_seen.values == [(HOST,)]
        for name, recorder in (
            ("configuration_source", values),
            ("host_list", hosts_seen),
        ):
            assert recorder.events == [f"{name}_failed", f"{name}_recovered"]
        tasks.cancel_scope.cancel()


async def test_service_with_restarted_revisions_is_read():
    """Guards against waiting for a revision that a reinstalled service reaches late."""
    recorder = Recorder()
    async with (
        run_services() as (service, address, _, _),
        anyio.create_task_group() as tasks,
    ):
        service.revision = 99
        service.publish("production", b"old")
        source = make_source(address, recorder, False, poll_interval_s=0.1)
        tasks.start_soon(source.run, recorder.record_value)
        await recorder.wait_for(b"old")
        service.revision = 0
        service.publish("production", b"new")
        await recorder.wait_for(b"new", timeout_s=1.0)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 304 Not Modified\r\nX-Revision: 1\r\n\r\n",
        OK + b"X-Revision: 1\r\nContent-Length: 1\r\n\r\nx",
    ],
)
async def test_long_poll_that_returns_at_once_is_rate_limited(response):
    """Guards against a busy loop if the service responds to a long poll at once."""
    recorder = Recorder()
    async with run_raw_server(response) as (address, requests):
        source = make_source(address, recorder)
        source.revision, source.next_full_read_at = 1, float("inf")
        with anyio.move_on_after(0.7):
            await source.run(recorder.record_value)
    assert len(requests) == 1


async def test_malformed_host_entries_are_ignored():
    """Guards against one malformed entry that makes the whole list unusable."""
    recorder = Recorder()
    malformed = [7, {}, LIVE_HOST | {"state": "gone"}, LIVE_HOST | {"address": None}]
    async with run_services() as (_, _, hosts, address):
        hosts.set_hosts([*malformed, LIVE_HOST | {"rack": 4}], 0.0)
        result = await make_hosts(address, recorder).read_once()
    assert result.ok() == (HOST,)
    assert recorder.events == ["host_entry_ignored"] * 4


def test_backoff_delays_grow_to_a_maximum():
    """Guards against delays that stay short or exceed the 6 s allowed for a change."""
    backoff = Backoff(make_rng())
    delays = [backoff.next_delay() for _ in range(50)]
    assert BACKOFF_MIN_S / 2 <= delays[0] <= BACKOFF_MIN_S
    assert all(BACKOFF_MAX_S / 2 <= delay <= BACKOFF_MAX_S for delay in delays[10:])
    assert len(set(delays)) > 10
    backoff.reset()
    assert backoff.next_delay() <= BACKOFF_MIN_S
