"""Links of real processes: peers that freeze, and stops that leave no trace."""

import time

import pytest

pytestmark = pytest.mark.processes

FREEZE_S = 2.5
STOP_BOUND_S = 10.0


def send_draft(fleet, router="router-1"):
    """Send one request and return its status."""
    body = {
        "model": "contract-draft",
        "max_tokens": 3,
        "messages": [{"role": "user", "content": "hello"}],
    }
    with fleet.connect(router, "dealers") as client:
        return client.post("/v1/chat/completions", json=body).status_code


def test_frozen_routers_do_not_end_the_agents(fleet):
    """Guards against a replaced link whose cancelled send ends the process."""
    for _ in range(2):
        for name in fleet.routers:
            fleet.freeze(name)
        time.sleep(FREEZE_S)
        for name in fleet.routers:
            fleet.thaw(name)
    assert all(process.poll() is None for process in fleet.processes.values())
    replaced = [event["name"] for event in fleet.read_events("agent-runner-1")]
    assert "link_replaced" in replaced
    assert send_draft(fleet) == 200


@pytest.mark.parametrize("name", ["router-2", "agent-runner-3"])
def test_planned_stop_is_clean(fleet, name):
    """Guards against a stop that hangs, fails or leaves a traceback."""
    assert send_draft(fleet, "router-2") == 200
    started = time.monotonic()
    assert fleet.terminate(name) == 0
    assert time.monotonic() - started < STOP_BOUND_S
    text = fleet.read_log(name)
    assert "process_stopped" in text
    assert "Traceback" not in text
    fleet.restart(name)
