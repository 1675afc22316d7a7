"""What callers may do wrong, against real processes and real connections."""

import json
import socket
import time

import httpx
import pytest

pytestmark = pytest.mark.processes

CHAT = "/v1/chat/completions"
WAIT_S = 10.0


def build_draft(text, **options):
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "contract-draft", "messages": messages, **options}


def find_callers_port(fleet):
    """Return the address of the first router's port for callers."""
    return ("127.0.0.1", fleet.ports["router-1/callers"])


def exchange_bytes(fleet, data, n_bytes=65536):
    """Send raw bytes and return what comes back until the other side closes."""
    with socket.create_connection(find_callers_port(fleet), 5.0) as connection:
        connection.settimeout(5.0)
        connection.sendall(data)
        received = b""
        while len(received) < n_bytes:
            chunk = connection.recv(n_bytes)
            if not chunk:
                break
            received += chunk
            if b"\r\n\r\n" in received:
                break
        return received


def wait_until(check, detail):
    """Wait for a condition."""
    deadline = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < deadline, detail
        time.sleep(0.05)


def count_running(fleet):
    """Return how many requests the agents run."""
    state = fleet.read_status("router-1")
    return sum(entry["n_running"] for entry in state["backend_servers"])


def test_unknown_key_is_refused(fleet):
    """Guards against a caller without a workspace who is served."""
    with fleet.connect("router-1", "dealers") as client:
        headers = {"Authorization": "Bearer not-a-key"}
        answer = client.post(CHAT, json=build_draft("x"), headers=headers)
    assert answer.status_code == 401
    assert answer.json()["error"]["outcome"] == "not_run"


def test_key_of_a_removed_workspace_is_refused(fleet):
    """Guards against a workspace that is served after it has left the document."""
    state = fleet.read_status("router-1")
    document = fleet.build_document(state["version"] + 1)
    document["workspaces"] = document["workspaces"][:1]
    fleet.publish(document)
    with fleet.connect("router-1", "depots") as client:
        wait_until(
            lambda: client.post(CHAT, json=build_draft("x")).status_code == 401,
            "the key of a removed workspace is still served",
        )
        fleet.publish(fleet.build_document(state["version"] + 2))
        wait_until(
            lambda: client.get("/v1/models").status_code == 200,
            "the workspace is not back",
        )


def test_unknown_model_is_refused(fleet):
    """Guards against a request that waits for a model nobody serves."""
    with fleet.connect("router-1", "dealers") as client:
        answer = client.post(CHAT, json={**build_draft("x"), "model": "other"})
    assert answer.status_code == 404
    assert answer.json()["error"]["code"] == "unknown_target"


def test_header_over_the_bound_is_refused(fleet):
    """Guards against a header that fills the memory of a router."""
    head = b"GET /v1/models HTTP/1.1\r\nHost: router\r\nX-Long: " + b"x" * 40000
    status = exchange_bytes(fleet, head + b"\r\n\r\n").split(b" ")[1]
    assert status in (b"400", b"431")


def test_body_cut_half_way_runs_nothing(fleet):
    """Guards against a half body that is served."""
    before = count_answers(fleet)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: router\r\nContent-Length: 1000\r\n"
        f"Authorization: Bearer {fleet.api_keys['dealers']}\r\n\r\n"
    )
    with socket.create_connection(find_callers_port(fleet), 5.0) as connection:
        connection.sendall(head.encode() + b'{"model"')
    time.sleep(0.3)
    assert count_answers(fleet) == before


def count_answers(fleet):
    """Return how many requests the engines have executed."""
    records = [
        httpx.get(f"{fleet.find_url(server.name)}/control/executions").json()
        for server in fleet.layout.servers
        if server.pool == "assistant"
    ]
    return sum(sum(record["executions"].values()) for record in records)


def test_caller_that_goes_away_frees_the_place(fleet):
    """Guards against a place that is held for a caller that has gone."""
    body = build_draft("long one", max_tokens=2000, stream=True)
    with (
        fleet.connect("router-1", "dealers") as client,
        client.stream("POST", CHAT, json=body) as answer,
    ):
        lines = answer.iter_lines()
        next(lines)
        assert count_running(fleet) == 1
    wait_until(lambda: count_running(fleet) == 0, "the place is not free")


def test_answer_is_the_same_over_both_versions_of_http(fleet):
    """Guards against a port that speaks only one version of HTTP."""
    texts = []
    for is_http2 in (False, True):
        with httpx.Client(
            base_url=fleet.find_url("router-1/callers"),
            headers={"Authorization": f"Bearer {fleet.api_keys['dealers']}"},
            http1=not is_http2,
            http2=is_http2,
            timeout=10.0,
        ) as client:
            answer = client.post(CHAT, json=build_draft("same", max_tokens=5))
            assert answer.http_version == ("HTTP/2" if is_http2 else "HTTP/1.1")
            texts.append(answer.json()["choices"][0]["message"]["content"])
    assert texts[0] == texts[1]


def test_stream_is_whole(fleet):
    """Guards against a stream that loses or repeats events."""
    body = build_draft("whole stream", max_tokens=30)
    with fleet.connect("router-2", "depots") as client:
        whole = client.post(CHAT, json=body).json()["choices"][0]["message"]["content"]
        parts = []
        last = ""
        with client.stream("POST", CHAT, json={**body, "stream": True}) as answer:
            for line in answer.iter_lines():
                if line.startswith("data: {"):
                    event = json.loads(line.removeprefix("data: "))
                    parts += [
                        choice["delta"].get("content") or ""
                        for choice in event["choices"]
                    ]
                last = line or last
    assert "".join(parts) == whole
    assert last == "data: [DONE]"


def test_api_keys_are_never_logged(fleet):
    """Guards against an API key in a log."""
    for name in fleet.list_members():
        text = fleet.read_log(name)
        assert text
        assert not any(key in text for key in fleet.api_keys.values())


def test_metrics_and_health_answer(fleet):
    """Guards against a process that cannot be watched."""
    for name in ("router-1", "agent-runner-1"):
        base = fleet.find_url(f"{name}/admin")
        assert httpx.get(f"{base}/health/live").status_code == 200
        assert httpx.get(f"{base}/health/ready").status_code == 200
        text = httpx.get(f"{base}/metrics").text
        assert "catkinfork_document_version" in text
        assert "catkinfork_processor_seconds" in text


def test_status_reads_the_same_at_every_process(fleet):
    """Guards against two operators at handover who read different states."""

    def read_documents():
        states = [fleet.read_status(name) for name in fleet.list_members()]
        for state in states:
            for entry in state["backend_servers"]:
                entry["n_running"] = entry["n_places"] = 0
        return states

    states = read_documents()
    assert all(state == states[0] for state in states)
    assert all(entry["is_reachable"] for entry in states[0]["processes"])
    identities = {(p["version"], p["digest"]) for p in states[0]["processes"]}
    assert len(identities) == 1
