"""Streams while backend servers of several versions serve."""

import anyio
import pytest

from catkinfork.balancing import PromptPart, StreamOrigin, compute_stream_key
from catkinfork.forwarding import BasePromptPartSource, CacheLookup
from catkinfork.forwarding.tests.scripted import event, in_turn, reset, stream
from catkinfork.forwarding.tests.test_streams import join
from catkinfork.forwarding.tests.world import (
    KEY,
    PROMPT,
    ROUTES,
    SingleForwarderDirectory,
    build_configuration,
    run_world,
)
from catkinfork.topology import RouteTable, TrafficShare, Workspace
from catkinfork.topology._past import PastDepartures


def test_log_states_versions():
    """Guards against a log that cannot tell which version began or resumed a stream."""

    async def test(world):
        await world.start("engine", stream(1, 3, then=reset), version="v1")
        world.set_long_running()
        headers = [*PROMPT, "Last-Event-Id: 1", "Resumes: r0"]
        await world.call("/draft/", headers=headers)
        (added,) = world.list_events("backend_added")
        (ended,) = world.list_events("attempt_ended")
        (finished,) = world.list_events("request_finished")
        assert added["version"] == ended["backend_version"] == "v1"
        assert (finished["backend_version"], finished["resumes"]) == ("v1", "r0")

    run_world(test)


def test_stream_is_resumed_at_its_version():
    """Guards against one answer with events from two versions of a backend server."""

    async def test(world):
        await world.start("engine", stream(1, 4, then=reset), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        (same,) = await world.start("engine", stream(1, 9), version="v1")
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 9), True)
        assert (len(newer.requests), len(same.requests)) == (0, 1)

    run_world(test)


def test_stream_without_backend_of_its_version_is_broken_off_at_once():
    """Guards against a wait, or another version, when no server can go on."""

    async def test(world):
        await world.start("engine", stream(1, 4, then=reset), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        with anyio.fail_after(1.0):
            reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 4), False)
        assert not newer.requests

    run_world(test)


def test_stream_without_event_is_retried_at_any_version():
    """Guards against a version that binds a stream before its first event."""

    async def test(world):
        await world.start("engine", reset, version="v1")
        await world.start("engine", stream(1, 9), version="v2")
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 9), True)

    run_world(test)


def test_caller_resumes_stream_at_its_version():
    """Guards against a caller whose stream goes on at another version.

    The backend server that began it has more load than one of another version.
    """

    async def test(world):
        older, newer = await start_versions(world)
        await break_off(world)
        world.balancer.pools["engine"].find("engine-0").load.n_pending_tokens += 5000
        reply = await resume(world, "Resumes: r-first")
        assert (reply.body, reply.is_whole) == (join(5, 9), True)
        assert (len(older.requests), len(newer.requests)) == (2, 0)

    run_world(test)


async def resume(world, *headers, path="/draft/", key=KEY):
    """Resume a stream after its fourth event."""
    headers = [*PROMPT, "Last-Event-Id: 4", *headers]
    return await world.call(path, headers=headers, key=key, request_id="r-again")


async def break_off(world):
    """Let a caller begin a stream and lose its connection."""
    caller = await world.connect()
    await caller.send("/draft/", headers=PROMPT, request_id="r-first")
    await caller.read_some()
    caller.close()


async def start_versions(world):
    """Start a backend server of v1, which placement prefers, and one of v2."""
    slow = stream(1, 99, gap_s=0.02)
    (older,) = await world.start("engine", in_turn(slow, stream(1, 9)), version="v1")
    (newer,) = await world.start("engine", stream(1, 9), version="v2")
    return older, newer


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ("Resumes: r-unknown",),
        ("Resumes: ",),
        ("Resumes: " + "x" * 300,),
        ("Resumes: r-first", "Resumes: r-other"),
        ("Resumes: r-first, r-other",),
    ],
    ids=["missing", "unknown", "empty", "overlong", "twice", "list"],
)
@pytest.mark.parametrize("path", ["/draft/", "/chat/"])
def test_stream_of_unknown_origin_is_refused_at_once(path, headers):
    """Guards against a stream that goes on at one of two versions by chance."""

    async def test(world):
        backends = await start_versions(world)
        world.set_long_running()
        await break_off(world)
        n_before = sum(len(backend.requests) for backend in backends)
        with anyio.fail_after(1.0):
            reply = await resume(world, *headers, path=path)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert sum(len(backend.requests) for backend in backends) == n_before
        assert world.list_events("request_finished")[-1]["version_source"] == "unknown"

    run_world(test)


def test_stream_of_another_workspace_is_not_resumed():
    """Guards against a caller that names a request of another workspace."""

    async def test(world):
        older, newer = await start_versions(world)
        world.set_long_running()
        await break_off(world)
        world.server.apply_configuration(build_two_workspaces())
        reply = await resume(world, "Resumes: r-first", key="key-of-b")
        assert reply.status == 503
        assert (len(older.requests), len(newer.requests)) == (1, 0)

    run_world(test)


def test_stream_whose_service_left_the_route_is_refused():
    """Guards against a stream that goes on at the new service of its route."""

    async def test(world):
        await start_versions(world)
        (other,) = await world.start("plain", stream(1, 9), version="v1")
        await break_off(world)
        moved = [
            route._replace(targets=(TrafficShare("plain", 1.0),))
            if route.name == "draft"
            else route
            for route in ROUTES
        ]
        configuration = build_configuration(version=2, routes=tuple(moved))
        world.server.apply_configuration(RouteTable(configuration))
        reply = await resume(world, "Resumes: r-first")
        assert reply.status == 503
        assert not other.requests

    run_world(test)


def test_resumed_stream_is_resumed_again_at_its_version():
    """Guards against a second resumption by the caller elsewhere.

    Three generations serve; each resumption names the request that began the stream.
    """

    async def test(world):
        scripts = [stream(1, 99, gap_s=0.02)] * 3
        (first,) = await world.start("engine", in_turn(*scripts), version="v1")
        others = []
        for version in ("v1.1", "v1.2"):
            others += await world.start("engine", stream(1, 99), version=version)
        await break_off(world)
        for number in range(2):
            world.balancer.pools["engine"].find(
                "engine-0"
            ).load.n_pending_tokens += 5000
            caller = await world.connect()
            await caller.send(
                "/draft/",
                headers=[*PROMPT, f"Last-Event-Id: {number + 4}", "Resumes: r-first"],
                request_id=f"r-again-{number}",
            )
            assert event(number + 5) in await caller.read_some()
            caller.close()
        assert len(first.requests) == 3
        assert not any(other.requests for other in others)

    run_world(test)


def test_stream_without_event_at_its_caller_is_begun_anew():
    """Guards against a caller that is bound although it has received no event."""

    async def test(world):
        await world.start("engine", stream(1, 9), version="v1")
        await world.start("engine", stream(1, 9), version="v2")
        headers = [*PROMPT, "Resumes: r-unknown"]
        reply = await world.call("/draft/", headers=headers)
        assert (reply.body, reply.is_whole) == (join(1, 9), True)

    run_world(test)


@pytest.mark.parametrize("is_known", [True, False])
def test_caller_resumes_at_another_host(is_known):
    """Guards against a host without a record that goes on at another version.

    The host asks its peers; it refuses the stream if none of them knows it.
    """

    async def test(world):
        older, newer = await start_versions(world)
        asked = world.balancer.streams.questions
        world.balancer.peers = TwoForwarders()
        headers = [*PROMPT, "Last-Event-Id: 4", "Resumes: r-first"]
        caller = await world.connect()
        await caller.send("/draft/", headers=headers)
        while not asked:
            await anyio.sleep(0.01)
        ((key, _),) = asked.items()
        assert key == compute_stream_key("a", b"r-first")
        if is_known:
            origin = StreamOrigin("engine", "v2")
            now = world.loop.time()
            world.balancer.streams.record_told(key, origin, 5.0, now)
        reply = await caller.read()
        if is_known:
            assert (reply.body, reply.is_whole) == (join(5, 9), True)
        else:
            assert reply.status == 503
        assert (len(older.requests), len(newer.requests)) == (0, int(is_known))

    run_world(test)


def test_caller_that_leaves_while_peers_are_asked_is_forgotten():
    """Guards against a request that is sent for a caller that has left."""

    async def test(world):
        older, newer = await start_versions(world)
        world.balancer.peers = TwoForwarders()
        caller = await world.connect()
        headers = [*PROMPT, "Last-Event-Id: 4", "Resumes: r-first"]
        await caller.send("/draft/", headers=headers)
        await anyio.sleep(0.05)
        caller.close()
        await anyio.sleep(0.6)
        assert not world.server.resumptions
        assert (len(older.requests), len(newer.requests)) == (0, 0)

    run_world(test)


class TwoForwarders(SingleForwarderDirectory):
    """Peer directory of a fleet with one more forwarder."""

    def count_fresh(self, now):
        """Return the number of forwarders with fresh state."""
        return 2


def build_two_workspaces():
    """Return the routes for two workspaces."""
    workspaces = (Workspace("a", (KEY,)), Workspace("b", ("key-of-b",)))
    configuration = build_configuration(version=2)._replace(workspaces=workspaces)
    return RouteTable(configuration)


def follow_versions(world):
    """Follow the versions of the backend servers, as after each read of the store."""
    versions = world.registry.list_versions()
    world.balancer.streams.follow_versions(versions, 0.0, world.loop.time())


@pytest.mark.parametrize("n_before", [0, 1])
def test_backend_starts_again_under_its_id_with_another_version(n_before):
    """Guards against a stream of the restarted server that counts for its former entry.

    The entry is read after the stream has begun. An earlier one is of the former
    version, and goes on.
    """

    async def test(world):
        slow = stream(1, 99, gap_s=0.02, then=reset)
        (first,) = await world.start("engine", slow, version="v1")
        (other,) = await world.start("engine", stream(1, 9), version="v1")
        follow_versions(world)
        await break_off(world)
        if n_before:
            recent = world.balancer.streams.recent["engine-0"]
            recent[0] = (recent[0][0], world.loop.time() - 30.0)
        entry = world.registry.backends["engine-0"].entry
        entry = entry._replace(version="v2", started_ms=5, sequence=1)
        world.registry.apply_entry(entry, world.loop.time(), "test")
        follow_versions(world)
        reply = await resume(world, "Resumes: r-first")
        assert reply.status == (200 if n_before else 503)
        assert len(other.requests) == n_before

    run_world(test)


def test_answer_of_uncertain_origin_is_not_resumed():
    """Guards against an answer that is resumed after a restart under the same id."""

    async def test(world):
        broken = stream(1, 20, gap_s=0.02, then=reset)
        await world.start("engine", broken, version="v1")
        (other,) = await world.start("engine", stream(1, 30), version="v1")
        follow_versions(world)
        caller = await world.connect()
        await caller.send("/draft/", headers=PROMPT)
        await anyio.sleep(0.1)
        entry = world.registry.backends["engine-0"].entry
        entry = entry._replace(version="v2", started_ms=5, sequence=1)
        world.registry.apply_entry(entry, world.loop.time(), "test")
        follow_versions(world)
        reply = await caller.read()
        assert not reply.is_whole
        assert not other.requests

    run_world(test)


class ListedParts(BasePromptPartSource):
    """Stand-in for engines that list the prompt parts that they keep.

    :param parts: tokens kept by id of the part, or None for no answer, by address.
    """

    def __init__(self, parts):
        self.parts = parts
        self.n_lists = 0

    async def list_parts(self, address):
        """Return the tokens that an engine keeps by id of the part."""
        self.n_lists += 1
        await anyio.sleep(0.02)
        return self.parts[address]


@pytest.mark.parametrize("n_callers", [1, 5])
def test_streams_go_on_after_all_hosts_lost_power(n_callers):
    """Guards against streams that are lost although the engines know their prompts.

    The host has just started, as all others have, while two versions serve.
    """

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        source = ListedParts(
            {older.address: {0xA1: 60}, newer.address: {0xA1: 60, 0xB2: 44}}
        )
        world.server.cache_lookup = CacheLookup(
            world.balancer, source, world.server.spawn
        )
        replies = []

        async def call():
            replies.append(await resume(world, "Resumes: r-before"))

        async with anyio.create_task_group() as tasks:
            for _ in range(n_callers):
                tasks.start_soon(call)
        assert [reply.body for reply in replies] == [join(5, 9)] * n_callers
        assert (len(older.requests), len(newer.requests)) == (0, n_callers)
        assert source.n_lists == 2
        key = compute_stream_key("a", b"r-before")
        record = world.balancer.streams.find(key, world.loop.time())
        assert record.origin == StreamOrigin("engine", "v2")
        load = world.balancer.pools["engine"].find("engine-0").load
        assert load.prefixes.count_cached_tokens([PromptPart(0xA1, 60)]) == 60
        line = world.list_events("request_finished")[-1]
        assert line["version_source"] == "cached"

    run_world(test)


@pytest.mark.parametrize(
    "parts",
    [
        ({0xB2: 44}, {0xB2: 60}),
        ({0xB2: 40}, {0xB2: 43}),
        ({}, {}),
        ({0xB2: 44}, None),
        (None, None),
    ],
)
def test_stream_is_refused_if_engines_cannot_tell(parts):
    """Guards against a guess after all hosts lost power, and against a long wait."""

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        addresses = (older.address, newer.address)
        source = ListedParts(dict(zip(addresses, parts, strict=True)))
        world.server.cache_lookup = CacheLookup(
            world.balancer, source, world.server.spawn
        )
        with anyio.fail_after(1.0):
            reply = await resume(world, "Resumes: r-before")
        assert reply.status == 503
        assert (len(older.requests), len(newer.requests)) == (0, 0)

    run_world(test)


@pytest.mark.parametrize("known_s", [None, 1.0, 5.0, 8.5])
def test_engines_tell_nothing_while_departures_are_not_known(known_s):
    """Guards against a text of two versions as a process that starts has seen no leave.

    A server of another version may have left before. The history of the store reaches
    back too little, or cannot be read.
    """

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        source = ListedParts({older.address: {0xA1: 60, 0xB2: 44}})
        world.server.cache_lookup = CacheLookup(
            world.balancer, source, world.server.spawn
        )

        def read_past():
            if known_s is not None:
                departures = PastDepartures([], has_unknown=False)
                now = world.loop.time()
                world.registry.versions.record_past(departures, known_s, now)

        world.server.request_past = read_past
        with anyio.fail_after(2.5):
            reply = await resume(world, "Resumes: r-before")
        assert reply.status == 503
        assert not older.requests

    run_world(test)
