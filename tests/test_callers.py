"""Caller behaviour, valid and invalid, with real processes and connections."""

import json
import socket
import time

import httpx
import pytest

pytestmark = pytest.mark.processes

CHAT = "/v1/chat/completions"
WAIT_TIMEOUT_S = 10.0


def build_completion(text, **options):
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "contract-draft", "messages": messages, **options}


def find_router_address(fleet):
    """Return the host and port on which the first router accepts callers."""
    return ("127.0.0.1", fleet.ports["router-1/callers"])


def exchange_bytes(fleet, data, max_bytes=65536):
    """Send raw bytes and return the response up to the end of its headers."""
    with socket.create_connection(find_router_address(fleet), 5.0) as connection:
        connection.settimeout(5.0)
        connection.sendall(data)
        received = b""
        while len(received) < max_bytes:
            chunk = connection.recv(max_bytes)
            if not chunk:
                break
            received += chunk
            if b"\r\n\r\n" in received:
                break
        return received


def wait_until(check, detail):
    """Wait for a condition."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline, detail
        time.sleep(0.05)


def count_running(fleet):
    """Return how many requests run at the agents."""
    state = fleet.read_status("router-1")
    return sum(entry["n_running"] for entry in state["backend_servers"])


def test_unknown_key_is_refused(fleet):
    """Guards against serving a caller with an unknown API key."""
    with fleet.connect("router-1", "dealers") as client:
        headers = {"Authorization": "Bearer not-a-key"}
        response = client.post(CHAT, json=build_completion("x"), headers=headers)
    assert response.status_code == 401
    assert response.json()["error"]["outcome"] == "not_run"


def test_key_of_a_removed_workspace_is_refused(fleet):
    """Guards against serving a workspace that was removed from the document."""
    state = fleet.read_status("router-1")
    document = fleet.build_document(state["version"] + 1)
    document["workspaces"] = document["workspaces"][:1]
    fleet.publish(document)
    with fleet.connect("router-1", "depots") as client:
        wait_until(
            lambda: client.post(CHAT, json=build_completion("x")).status_code == 401,
            "the key of a removed workspace is still accepted",
        )
        fleet.publish(fleet.build_document(state["version"] + 2))
        wait_until(
            lambda: client.get("/v1/models").status_code == 200,
            "the key of the restored workspace is not accepted",
        )


def test_unknown_model_is_refused(fleet):
    """Guards against a request that waits for a model that no server offers."""
    with fleet.connect("router-1", "dealers") as client:
        response = client.post(CHAT, json={**build_completion("x"), "model": "other"})
    assert response.status_code == 404
    assert response.json()["error"]["code"] == "unknown_target"


def test_header_over_the_bound_is_refused(fleet):
    """Guards against headers that exhaust the memory of a router."""
    head = b"GET /v1/models HTTP/1.1\r\nHost: router\r\nX-Long: " + b"x" * 40000
    status = exchange_bytes(fleet, head + b"\r\n\r\n").split(b" ")[1]
    assert status in (b"400", b"431")


def test_body_cut_half_way_runs_nothing(fleet):
    """Guards against running a request whose body is truncated."""
    before = count_engine_executions(fleet)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: router\r\nContent-Length: 1000\r\n"
        f"Authorization: Bearer {fleet.api_keys['dealers']}\r\n\r\n"
    )
    with socket.create_connection(find_router_address(fleet), 5.0) as connection:
        connection.sendall(head.encode() + b'{"model"')
    time.sleep(0.3)
    assert count_engine_executions(fleet) == before


def count_engine_executions(fleet):
    """Return the number of executions that the engines have recorded."""
    records = [
        httpx.get(f"{fleet.find_url(server.name)}/control/executions").json()
        for server in fleet.layout.servers
        if server.pool == "assistant"
    ]
    return sum(sum(record["executions"].values()) for record in records)


def test_caller_that_goes_away_frees_the_place(fleet):
    """Guards against a place that stays occupied after its caller disconnects."""
    body = build_completion("long one", max_tokens=2000, stream=True)
    with (
        fleet.connect("router-1", "dealers") as client,
        client.stream("POST", CHAT, json=body) as response,
    ):
        lines = response.iter_lines()
        next(lines)
        assert count_running(fleet) == 1
    wait_until(lambda: count_running(fleet) == 0, "the place is not released")


def test_answer_is_the_same_over_both_versions_of_http(fleet):
    """Guards against a port that supports only one of HTTP/1.1 and HTTP/2."""
    texts = []
    for is_http2 in (False, True):
        with httpx.Client(
            base_url=fleet.find_url("router-1/callers"),
            headers={"Authorization": f"Bearer {fleet.api_keys['dealers']}"},
            http1=not is_http2,
            http2=is_http2,
            timeout=10.0,
        ) as client:
            response = client.post(CHAT, json=build_completion("same", max_tokens=5))
            assert response.http_version == ("HTTP/2" if is_http2 else "HTTP/1.1")
            texts.append(response.json()["choices"][0]["message"]["content"])
    assert texts[0] == texts[1]


def test_stream_is_whole(fleet):
    """Guards against a stream that loses or repeats events."""
    body = build_completion("whole stream", max_tokens=30)
    with fleet.connect("router-2", "depots") as client:
        expected = client.post(CHAT, json=body).json()["choices"][0]["message"][
            "content"
        ]
        parts = []
        last = ""
        with client.stream("POST", CHAT, json={**body, "stream": True}) as response:
            for line in response.iter_lines():
                if line.startswith("data: {"):
                    event = json.loads(line.removeprefix("data: "))
                    parts += [
                        choice["delta"].get("content") or ""
                        for choice in event["choices"]
                    ]
                last = line or last
    assert "".join(parts) == expected
    assert last == "data: [DONE]"


def test_api_keys_are_never_logged(fleet):
    """Guards against an API key in a log."""
    for name in fleet.list_members():
        text = fleet.read_log(name)
        assert text
        assert not any(key in text for key in fleet.api_keys.values())


def test_metrics_and_health_answer(fleet):
    """Guards against a process without health checks or metrics."""
    for name in ("router-1", "agent-runner-1"):
        base = fleet.find_url(f"{name}/admin")
        assert httpx.get(f"{base}/health/live").status_code == 200
        assert httpx.get(f"{base}/health/ready").status_code == 200
        text = httpx.get(f"{base}/metrics").text
        assert "catkinfork_document_version" in text
        assert "catkinfork_processor_seconds" in text


def test_status_reads_the_same_at_every_process(fleet):
    """Guards against processes that report different states of the fleet."""

    def read_comparable_states():
        states = [fleet.read_status(name) for name in fleet.list_members()]
        for state in states:
            for entry in state["backend_servers"]:
                entry["n_running"] = entry["n_places"] = 0
        return states

    states = read_comparable_states()
    assert all(state == states[0] for state in states)
    assert all(entry["is_reachable"] for entry in states[0]["processes"])
    identities = {(p["version"], p["digest"]) for p in states[0]["processes"]}
    assert len(identities) == 1
