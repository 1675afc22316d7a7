"""Runs the whole path on loopback and checks the answers: ``make demo``."""

import json
import sys
import tempfile
import time
import uuid
from pathlib import Path

import httpx

from standins.local_fleet import LocalFleet

OUT_WAIT_S = 3.0
SHOWN_DECISIONS = 12
DECISIONS = frozenset(
    {
        "grant_sent",
        "request_started",
        "request_refused",
        "execution_started",
        "execution_refused",
    }
)


class WrongAnswerError(Exception):
    """The fleet gave an answer that the demo did not expect."""


def expect(condition, detail):
    """Stop the demo if an answer is wrong."""
    if not condition:
        raise WrongAnswerError(detail)


def say(text):
    """Print one line of progress."""
    print(text, flush=True)


def make_key(created_s=None):
    """Return a time-ordered idempotency key (UUID version 7)."""
    created_ms = int((time.time() if created_s is None else created_s) * 1000)
    random_bits = uuid.uuid4().int & ((1 << 74) - 1)
    value = (created_ms << 80) | (7 << 76)
    value |= (random_bits >> 62) << 64
    value |= (2 << 62) | (random_bits & ((1 << 62) - 1))
    return str(uuid.UUID(int=value))


def send_plain(fleet):
    """Send a plain chat completion as one workspace."""
    with fleet.connect("router-1", "dealers") as client:
        body = {
            "model": "contract-draft",
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "draft a supply contract"}],
        }
        answer = client.post("/v1/chat/completions", json=body)
        expect(answer.status_code == 200, f"plain: {answer.status_code} {answer.text}")
        text = answer.json()["choices"][0]["message"]["content"]
        say(f"plain     dealers  200  {len(text.split())} words: {text[:40]}...")


def send_streamed(fleet):
    """Send a streamed chat completion as the other workspace."""
    body = {
        "model": "contract-draft",
        "max_tokens": 12,
        "stream": True,
        "messages": [{"role": "user", "content": "summarise a shipment note"}],
    }
    events = []
    with (
        fleet.connect("router-2", "depots") as client,
        client.stream("POST", "/v1/chat/completions", json=body) as answer,
    ):
        expect(answer.status_code == 200, f"streamed: {answer.status_code}")
        for line in answer.iter_lines():
            if line.startswith("data: "):
                events.append(line.removeprefix("data: "))
    expect(events and events[-1] == "[DONE]", "the stream did not end with [DONE]")
    say(f"streamed  depots   200  {len(events) - 1} events, ends with [DONE]")


def send_twice(fleet):
    """Send one reservation twice, through both routers."""
    key = make_key()
    body = {"item": "peg", "quantity": 40}
    answers = []
    for router in ("router-1", "router-2"):
        with fleet.connect(router, "depots") as client:
            headers = {"Idempotency-Key": key}
            answer = client.post(
                "/services/ledger/reservations", json=body, headers=headers
            )
            detail = f"keyed: {answer.status_code} {answer.text}"
            expect(answer.status_code < 300, detail)
            answers.append(answer.json())
    expect(answers[0] == answers[1], "the second answer differs from the first")
    n_executions = count_executions(fleet, key)
    expect(n_executions == 1, f"the reservation ran {n_executions} times")
    say("keyed     depots   sent twice through two routers, executed once")


def count_executions(fleet, key):
    """Return how often the ledgers have executed a key."""
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


def take_out_and_back(fleet):
    """Take a data centre out of service and return it."""
    fleet.publish(fleet.build_document(2, out=("kicukiro",)))
    wait_for_version(fleet, 2)
    time.sleep(OUT_WAIT_S)
    before = count_starts(fleet, "kicukiro")
    for _ in range(5):
        send_plain(fleet)
    expect(
        count_starts(fleet, "kicukiro") == before,
        "work was started in a data centre that is out of service",
    )
    say("kicukiro  out of service: 5 requests served, none there")
    fleet.publish(fleet.build_document(3))
    wait_for_version(fleet, 3)
    say("kicukiro  back in service, version 3 in force everywhere")


def wait_for_version(fleet, version):
    """Wait until a version is in force at every process."""
    started = time.monotonic()
    while True:
        state = fleet.read_status("router-1")
        versions = {entry["version"] for entry in state["processes"]}
        if versions == {version}:
            break
        expect(time.monotonic() - started < 6.0, f"versions in force: {versions}")
        time.sleep(0.05)
    say(f"version {version} in force everywhere in {time.monotonic() - started:.2f} s")


def count_starts(fleet, data_centre):
    """Return how many requests the agents of a data centre have started."""
    return sum(
        event["name"] == "execution_started"
        for server in fleet.layout.servers
        if server.data_centre == data_centre
        for event in fleet.read_events(f"agent-{server.name}")
    )


def show_decisions(fleet):
    """Print the latest log lines of routing and placement decisions."""
    say("decisions (the latest of each process's log):")
    decisions = []
    for name in fleet.list_members():
        decisions += [
            event for event in fleet.read_events(name) if event["name"] in DECISIONS
        ]
    decisions.sort(key=lambda event: event["time"])
    for event in decisions[-SHOWN_DECISIONS:]:
        say("  " + json.dumps(event))


def main():
    """Run the demo; return the exit code."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="catkinfork-demo-") as directory:
        fleet = LocalFleet(Path(directory))
        try:
            fleet.start()
            say(f"{len(fleet.processes)} processes run on loopback")
            send_plain(fleet)
            send_streamed(fleet)
            send_twice(fleet)
            take_out_and_back(fleet)
            show_decisions(fleet)
        except WrongAnswerError as error:
            say(f"wrong answer: {error}")
            return 1
        finally:
            fleet.stop()
    say(f"done in {time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
