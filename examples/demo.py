"""Runs a fleet on loopback and checks its responses: ``make demo``."""

import json
import sys
import tempfile
import time
import uuid
from pathlib import Path

import httpx

from standins.local_fleet import LocalFleet

OUT_OF_SERVICE_WAIT_S = 3.0
MAX_SHOWN_DECISIONS = 12
DECISION_EVENTS = frozenset(
    {
        "grant_sent",
        "request_started",
        "request_refused",
        "execution_started",
        "execution_refused",
    }
)


class UnexpectedResponseError(Exception):
    """A response or state of the fleet differs from the one that the demo checks."""


def check(condition, detail):
    """Check a condition of the demo.

    :raises UnexpectedResponseError: if it is false.
    """
    if not condition:
        raise UnexpectedResponseError(detail)


def report(text):
    """Print one line of progress."""
    print(text, flush=True)


def build_idempotency_key(created_s=None):
    """Return a time-ordered idempotency key (UUID version 7).

    :param created_s: creation time in seconds since the epoch, None for now.
    """
    created_ms = int((time.time() if created_s is None else created_s) * 1000)
    random_bits = uuid.uuid4().int & ((1 << 74) - 1)
    value = (created_ms << 80) | (7 << 76)
    value |= (random_bits >> 62) << 64
    value |= (2 << 62) | (random_bits & ((1 << 62) - 1))
    return str(uuid.UUID(int=value))


def send_plain_completion(fleet):
    """Send a plain chat completion for workspace ``dealers``."""
    with fleet.connect("router-1", "dealers") as client:
        body = {
            "model": "contract-draft",
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "draft a supply contract"}],
        }
        response = client.post("/v1/chat/completions", json=body)
        check(
            response.status_code == 200,
            f"plain: {response.status_code} {response.text}",
        )
        text = response.json()["choices"][0]["message"]["content"]
        report(f"plain     dealers  200  {len(text.split())} words: {text[:40]}...")


def send_streamed_completion(fleet):
    """Send a streamed chat completion for workspace ``depots``."""
    body = {
        "model": "contract-draft",
        "max_tokens": 12,
        "stream": True,
        "messages": [{"role": "user", "content": "summarise a shipment note"}],
    }
    events = []
    with (
        fleet.connect("router-2", "depots") as client,
        client.stream("POST", "/v1/chat/completions", json=body) as response,
    ):
        check(response.status_code == 200, f"streamed: {response.status_code}")
        for line in response.iter_lines():
            if line.startswith("data: "):
                events.append(line.removeprefix("data: "))
    check(events and events[-1] == "[DONE]", "the stream did not end with [DONE]")
    report(f"streamed  depots   200  {len(events) - 1} events, ends with [DONE]")


def send_reservation_twice(fleet):
    """Send a reservation with one idempotency key through both routers."""
    key = build_idempotency_key()
    body = {"item": "peg", "quantity": 40}
    responses = []
    for router in ("router-1", "router-2"):
        with fleet.connect(router, "depots") as client:
            headers = {"Idempotency-Key": key}
            response = client.post(
                "/services/ledger/reservations", json=body, headers=headers
            )
            detail = f"keyed: {response.status_code} {response.text}"
            check(response.status_code < 300, detail)
            responses.append(response.json())
    check(responses[0] == responses[1], "the second response differs from the first")
    n_executions = count_executions(fleet, key)
    check(n_executions == 1, f"the reservation ran {n_executions} times")
    report("keyed     depots   sent twice through two routers, executed once")


def count_executions(fleet, key):
    """Return how often the ledgers have executed an idempotency key."""
    return sum(
        execution["key"] == key
        for server in fleet.layout.servers
        if server.pool == "ledger"
        for execution in list_executions(fleet, server.name)
    )


def list_executions(fleet, name):
    """Return the executions that a ledger has recorded."""
    url = f"{fleet.find_url(name)}/control/executions"
    return httpx.get(url).json()["executions"]


def take_data_centre_out_and_return(fleet):
    """Take a data centre out of service and return it to service."""
    fleet.publish(fleet.build_document(2, out=("kicukiro",)))
    wait_for_version(fleet, 2)
    time.sleep(OUT_OF_SERVICE_WAIT_S)
    before = count_starts(fleet, "kicukiro")
    for _ in range(5):
        send_plain_completion(fleet)
    check(
        count_starts(fleet, "kicukiro") == before,
        "a request was started in a data centre that is out of service",
    )
    report("kicukiro  out of service: 5 requests served, none there")
    fleet.publish(fleet.build_document(3))
    wait_for_version(fleet, 3)
    report("kicukiro  back in service, version 3 in force everywhere")


def wait_for_version(fleet, version):
    """Wait until a document version is in force at every process."""
    started_at = time.monotonic()
    while True:
        state = fleet.read_status("router-1")
        versions = {entry["version"] for entry in state["processes"]}
        if versions == {version}:
            break
        check(time.monotonic() - started_at < 6.0, f"versions in force: {versions}")
        time.sleep(0.05)
    report(
        f"version {version} in force everywhere in "
        f"{time.monotonic() - started_at:.2f} s"
    )


def count_starts(fleet, data_centre):
    """Return how many requests the agents of a data centre have started."""
    return sum(
        event["name"] == "execution_started"
        for server in fleet.layout.servers
        if server.data_centre == data_centre
        for event in fleet.read_events(f"agent-{server.name}")
    )


def show_decisions(fleet):
    """Print the latest log events of routing and execution decisions."""
    report("decisions (latest log events of all routers and agents):")
    decisions = []
    for name in fleet.list_members():
        decisions += [
            event
            for event in fleet.read_events(name)
            if event["name"] in DECISION_EVENTS
        ]
    decisions.sort(key=lambda event: event["time"])
    for event in decisions[-MAX_SHOWN_DECISIONS:]:
        report("  " + json.dumps(event))


def main():
    """Run the demo and return the exit code."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="catkinfork-demo-") as directory:
        fleet = LocalFleet(Path(directory))
        try:
            fleet.start()
            report(f"{len(fleet.processes)} processes run on loopback")
            send_plain_completion(fleet)
            send_streamed_completion(fleet)
            send_reservation_twice(fleet)
            take_data_centre_out_and_return(fleet)
            show_decisions(fleet)
        except UnexpectedResponseError as error:
            report(f"check failed: {error}")
            return 1
        finally:
            fleet.stop()
    report(f"done in {time.monotonic() - started_at:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
