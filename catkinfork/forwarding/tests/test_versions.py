"""Streams while backend servers of several versions serve."""

from catkinfork.forwarding.tests.scripted import reset, stream
from catkinfork.forwarding.tests.world import PROMPT, run_world


def test_log_states_versions():
    """Guards against a log that cannot tell which version began or resumed a stream."""

    async def test(world):
        await world.start("engine", stream(1, 3, then=reset), version="v1")
        headers = [*PROMPT, "Last-Event-Id: 1", "Resumes: r0"]
        await world.call("/draft/", headers=headers)
        (added,) = world.list_events("backend_added")
        (ended,) = world.list_events("attempt_ended")
        (finished,) = world.list_events("request_finished")
        assert added["version"] == ended["backend_version"] == "v1"
        assert (finished["backend_version"], finished["resumes"]) == ("v1", "r0")

    run_world(test)
