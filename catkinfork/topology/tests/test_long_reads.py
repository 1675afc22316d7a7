"""Answers of the store that take long to read, and what is followed beside them."""

import anyio
import pytest

from catkinfork.topology import (
    Changes,
    Item,
    OperatorReader,
    PartialList,
    SourceError,
    SourceTimeoutError,
)
from catkinfork.topology.tests.restore_world import build_state
from catkinfork.topology.tests.test_ignored_entries import SOUND, OddDecoder, apply
from catkinfork.topology.tests.test_ignored_entries import state as odd_state
from catkinfork.topology.tests.test_state import ScriptedSource, build_watcher

__all__ = ["OddDecoder", "build_state", "odd_state"]


class LongSource(ScriptedSource):
    """A source whose watch hands on its items one by one, with pauses.

    :param items: items of the watch.
    :param parts: results of reads of what operators publish.
    """

    def __init__(self, items, parts=()):
        super().__init__([Changes(SOUND, 2, True)])
        self.items = list(items)
        self.parts = list(parts)
        self.n_beside = 0

    async def wait(self, revision):
        if not self.items:
            await anyio.sleep_forever()
        rest = []
        for item in self.items:
            self.on_long_read()
            if not self.on_items([item], 0):
                rest.append(item)
            await anyio.sleep(0.05)
        self.items = []
        return Changes(rest, 100, False)

    async def read_changes(self, revision):
        self.n_beside += 1
        return Changes([], revision, False)

    async def read_operator_items(self):
        return await self.pop_result(self.parts)


def run_watcher(state, source, check, seconds):
    """Run a watcher, and return the result of a check after some seconds."""

    async def main():
        watcher = build_watcher(state, source)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            tasks.start_soon(OperatorReader(watcher).run)
            tasks.start_soon(watcher.read_on_request)
            await anyio.sleep(seconds)
            result = check(watcher)
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


LATE = [Item(f"b{n}", b"bad", 10 + n) for n in range(40)]


def test_items_are_applied_as_they_arrive(odd_state):
    """Guards against a server that leaves and is used until a long answer has ended."""
    source = LongSource([Item("b-sound", b"bad", 5), *LATE])
    check = lambda watcher: (list(odd_state.registry.backends), odd_state.revision)  # noqa: E731
    assert run_watcher(odd_state, source, check, 0.4) == ([], 2)


def test_configuration_is_followed_beside_a_long_answer(odd_state):
    """Guards against a withdrawn key that works on behind what others have stored."""
    apply(odd_state, [Item("z1", b"", 2)])
    part = PartialList(
        "", [Item("config", b"7", 60), SOUND[1], Item("z2", b"", 61)], 62, 0
    )
    source = LongSource([*LATE], [SourceError("cut"), part])

    def check(watcher):
        watcher.request_read()
        return odd_state.routes.version, odd_state.evacuated, odd_state.revision

    assert run_watcher(odd_state, source, check, 0.8) == (7, {"z2"}, 2)
    assert source.n_beside == 0


def test_older_items_of_the_long_answer_change_nothing(odd_state):
    """Guards against a configuration that goes back as the long answer arrives."""
    part = PartialList("c", [Item("config", b"7", 60)], 62, 0)
    items = [LATE[0], Item("z1", b"", 12)] + LATE[1:12] + [Item("config", b"5", 30)]
    source = LongSource([*items, Item("z1", None, 40)], [part])
    check = lambda watcher: (odd_state.routes.version, odd_state.evacuated)  # noqa: E731
    assert run_watcher(odd_state, source, check, 1.5) == (7, set())


@pytest.mark.parametrize("era", [1, 2])
def test_part_of_another_era_is_ignored(odd_state, era):
    """Guards against a list of a restored store, taken for one of the former era."""
    apply(odd_state, SOUND, is_full=True)
    part = PartialList("", [Item("config", b"9", 1)], 3, era)
    odd_state.apply_part(part, "test", 0.0)
    assert odd_state.routes.version == 1
    assert set(odd_state.items) == {"config", "b-sound"}


def test_configuration_is_followed_though_a_large_answer_never_begins(odd_state):
    """Guards against a withdrawn key that works on as the store answers too late."""

    class SlowSource(LongSource):
        async def wait(self, revision):
            raise SourceTimeoutError("no response within 1.6 s")

    part = PartialList("c", [Item("config", b"7", 60)], 62, 0)
    source = SlowSource([], [SourceError("cut"), part])

    def check(watcher):
        return odd_state.routes.version, watcher.failing_since is None

    assert run_watcher(odd_state, source, check, 1.0) == (7, False)
