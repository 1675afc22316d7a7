"""How often engines are asked for the prompt parts that they keep."""

import anyio
import pytest

from catkinfork.forwarding import CacheLookup
from catkinfork.forwarding._cache_lookup import MAX_ANSWER_AGE_S, MAX_QUESTIONS_PER_S
from catkinfork.forwarding.tests.scripted import stream
from catkinfork.forwarding.tests.test_uncertain_versions import Fleet
from catkinfork.forwarding.tests.test_versions import ListedParts
from catkinfork.forwarding.tests.world import run_world


class CountedParts(ListedParts):
    """Counts the questions to each engine."""

    def __init__(self):
        self.asked = []

    async def list_parts(self, address):
        """Return what an engine keeps."""
        self.asked.append(address)
        return {0xB2: 40}


async def start_lookup(world, n_forwarders=2):
    """Start two engines and return a lookup and its source."""
    for version in ("v1", "v2"):
        await world.start("engine", stream(1, 9), version=version)
    world.balancer.peers = Fleet(n_forwarders)
    source = CountedParts()
    return CacheLookup(world.balancer, source, world.server.spawn), source


def test_engine_that_joins_is_asked_alone():
    """Guards against a question to all engines each time that one of them joins."""

    async def test(world):
        lookup, source = await start_lookup(world)
        now = world.loop.time()
        lookup.request("engine", now)
        await anyio.sleep(0.02)
        assert len(lookup.find("engine", world.loop.time())) == 2
        (third,) = await world.start("engine", stream(1, 9), version="v3")
        now = world.loop.time()
        assert lookup.find("engine", now) is None
        lookup.request("engine", now)
        lookup.request("engine", now)
        await anyio.sleep(0.02)
        found = lookup.find("engine", world.loop.time())
        assert {cache.version for cache in found} == {"v1", "v2", "v3"}
        assert source.asked[2:] == [third.address]

    run_world(test)


def test_engine_that_starts_again_is_asked_again():
    """Guards against what a former start of an engine has kept."""

    async def test(world):
        lookup, source = await start_lookup(world)
        lookup.request("engine", world.loop.time())
        await anyio.sleep(0.02)
        entry = world.registry.backends["engine-0"].entry
        entry = entry._replace(started_ms=5)
        world.registry.apply_entry(entry, world.loop.time(), "test")
        assert lookup.find("engine", world.loop.time()) is None

    run_world(test)


@pytest.mark.parametrize("n_forwarders", [2, 27, 68, 390])
def test_questions_of_a_fleet_to_an_engine_are_bounded(n_forwarders):
    """Guards against engines that work on the questions of all forwarders at once.

    Load pattern: all forwarders have lost power, and each of them has callers without
    a record for some seconds.
    """

    async def test(world):
        lookup, source = await start_lookup(world, n_forwarders)
        now = world.loop.time()
        age_s = lookup.compute_answer_age_s(now)
        limit = max(MAX_QUESTIONS_PER_S, n_forwarders / MAX_ANSWER_AGE_S)
        assert n_forwarders / age_s <= limit + 1e-6
        lookup.request("engine", now)
        await anyio.sleep(0.02)
        for _ in range(10):
            lookup.request("engine", now + age_s - 0.01)
        await anyio.sleep(0.02)
        assert len(source.asked) == 2
        lookup.request("engine", world.loop.time() + age_s + 0.01)
        await anyio.sleep(0.02)
        assert len(source.asked) == 4

    run_world(test)


def test_answers_of_engines_that_have_left_are_forgotten():
    """Guards against memory that grows with each engine that comes and goes."""

    async def test(world):
        lookup, source = await start_lookup(world)
        lookup.request("engine", world.loop.time())
        await anyio.sleep(0.02)
        world.registry.remove("engine-0", 0.0, 0.0)
        assert len(lookup.find("engine", world.loop.time())) == 2
        later = world.loop.time() + MAX_ANSWER_AGE_S
        lookup.remove_outdated("engine", later)
        assert not lookup.answers["engine"]

    run_world(test)
