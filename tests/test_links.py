"""Links between real processes: suspended peers and planned stops."""

import time

import pytest

pytestmark = pytest.mark.processes

SUSPEND_S = 2.5
MAX_STOP_S = 10.0


def send_completion(fleet, router="router-1"):
    """Send one chat completion and return its status."""
    body = {
        "model": "contract-draft",
        "max_tokens": 3,
        "messages": [{"role": "user", "content": "hello"}],
    }
    with fleet.connect(router, "dealers") as client:
        return client.post("/v1/chat/completions", json=body).status_code


def test_frozen_routers_do_not_end_the_agents(fleet):
    """Guards against an agent that exits if a link is replaced during a send."""
    for _ in range(2):
        for name in fleet.routers:
            fleet.suspend(name)
        time.sleep(SUSPEND_S)
        for name in fleet.routers:
            fleet.resume(name)
    assert all(process.poll() is None for process in fleet.processes.values())
    event_names = [event["name"] for event in fleet.read_events("agent-runner-1")]
    assert "link_replaced" in event_names
    assert send_completion(fleet) == 200


@pytest.mark.parametrize("name", ["router-2", "agent-runner-3"])
def test_planned_stop_is_clean(fleet, name):
    """Guards against a stop that hangs, fails or logs a traceback."""
    assert send_completion(fleet, "router-2") == 200
    started_at = time.monotonic()
    assert fleet.terminate(name) == 0
    assert time.monotonic() - started_at < MAX_STOP_S
    log = fleet.read_log(name)
    assert "process_stopped" in log
    assert "Traceback" not in log
    fleet.restart(name)
