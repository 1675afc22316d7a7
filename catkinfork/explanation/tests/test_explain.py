"""Explanation of requests from log lines of several hosts."""

import json
from datetime import UTC, datetime

import pytest
from typer.testing import CliRunner

from catkinfork.cli import build_app
from catkinfork.explanation import estimate_offsets, explain_request, parse_line

FINISHED = {
    "status": 200,
    "outcome": "broken_off_broken",
    "detail": "connection closed",
    "backend_servers": "i-1",
    "n_runs": 1,
    "waited_s": 0.01,
    "first_s": 0.21,
    "total_s": 1.5,
    "max_pause_s": 0.05,
    "n_missing_tokens": 400,
}


def build_line(host, at, name, clock_s=0.0, **fields):
    """Return a log line of a host whose clock is ahead by some seconds."""
    time = datetime.fromtimestamp(1_700_000_000 + at + clock_s, UTC).isoformat()
    return json.dumps({"time": time, "name": name, "process": host, **fields})


def build_records(*lines):
    """Return the records of some lines."""
    return [parse_line(line) for line in lines]


def explain_sample(clock_s=0.0):
    """Explain a request whose backend server failed for another host as well."""
    lines = [
        build_line("f1", 0.0, "configuration_adopted", version=4),
        build_line("f2", 0.1, "configuration_adopted", clock_s, version=4),
        build_line("f1", 5.0, "backend_added", backend_server="i-1"),
        build_line("f2", 5.1, "backend_added", clock_s, backend_server="i-1"),
        build_line(
            "f2", 19.9, "attempt_ended", clock_s, request_id="b", backend_server="i-1"
        ),
        build_line("f1", 20.0, "attempt_ended", request_id="a", backend_server="i-1"),
        build_line("f1", 20.0, "request_finished", request_id="a", **FINISHED),
        build_line("f2", 20.2, "request_finished", clock_s, request_id="b", **FINISHED),
    ]
    return explain_request("a", build_records(*lines))


@pytest.mark.parametrize("clock_s", [0.0, 2400.0, -37.5])
def test_lines_of_hosts_whose_clocks_differ_are_in_order(clock_s):
    """Guards against a cause that is listed after its effect, or not found at all."""
    explanation = explain_sample(clock_s)
    names = [(record.host, record.name) for _, record in explanation.timeline]
    assert names == [
        ("f2", "attempt_ended"),
        ("f1", "attempt_ended"),
        ("f1", "request_finished"),
    ]
    assert any("hosts that saw it: 1" in finding for finding in explanation.findings)
    is_mentioned = any("clock of f2" in unknown for unknown in explanation.unknowns)
    assert is_mentioned == bool(clock_s)


def test_outcome_and_times_are_described():
    """Guards against an explanation that leaves the reader with codes."""
    findings = explain_sample().findings
    assert findings[0] == (
        "The response had begun and was broken off visibly. The connection to the "
        "backend server was lost: connection closed."
    )
    assert "waited 0.01 s here, 0.200 s for its first event" in findings[1]


def test_clock_without_common_events_is_unknown():
    """Guards against an order that the logs do not support."""
    records = build_records(
        build_line("f1", 1.0, "attempt_ended", request_id="a", backend_server="i-1"),
        build_line("f2", 1.0, "attempt_ended", request_id="b", backend_server="i-1"),
    )
    assert estimate_offsets(records, "f1")["f2"].n_events == 0
    unknowns = explain_request("a", records).unknowns
    assert any("order unknown" in unknown for unknown in unknowns)
    assert any("request_finished is missing" in unknown for unknown in unknowns)


def test_unknown_request_has_no_explanation():
    """Guards against an explanation of another request."""
    assert explain_request("c", build_records(build_line("f1", 1.0, "x"))) is None


def test_lag_of_the_host_is_found():
    """Guards against a slow host that is taken for a slow backend server."""
    records = build_records(
        build_line("f1", 19.0, "loop_lag_changed", is_behind=True, lag_s=1.2),
        build_line("f1", 20.0, "request_finished", request_id="a", **FINISHED),
    )
    assert any(
        "behind by 1.2 s" in one for one in explain_request("a", records).findings
    )


@pytest.mark.parametrize("line", ["", "text", "{", "{}", '{"time": 3}', "  1.2 f1 [1]"])
def test_other_lines_are_skipped(line):
    """Guards against a cut line that hides the others."""
    assert parse_line(line) is None


def test_columns_before_a_line_are_skipped():
    """Guards against logs of a collector that adds columns."""
    record = parse_line("  19.3 f1 " + build_line("f1", 1.0, "x", request_id="a"))
    assert (record.host, record.fields["request_id"]) == ("f1", "a")


def test_command_reads_several_files(tmp_path):
    """Guards against a command that works on one file only."""
    first, second = tmp_path / "f1.log", tmp_path / "f2.log"
    first.write_text(
        build_line("f1", 20.0, "request_finished", request_id="a", **FINISHED)
        + "\ncut line"
    )
    second.write_text(
        build_line("f2", 20.0, "attempt_ended", request_id="b", backend_server="i-1")
    )
    runner = CliRunner()
    app = build_app()
    result = runner.invoke(app, ["explain", "a", str(first), str(second)])
    assert result.exit_code == 0
    assert "f2  attempt_ended" in result.output
    assert "1 lines could not be read" in result.output
    assert runner.invoke(app, ["explain", "x", str(first)]).exit_code == 1
    assert runner.invoke(app, ["explain", "a", str(tmp_path / "no")]).exit_code == 2


def test_request_that_a_stop_ended_is_explained_with_its_times():
    """Guards against a cut stream of which nobody can tell whether it came in time."""
    cut = {"sent_s": 3.42, "cut_s": 7.301, "placed_s": -0.2}
    finished = FINISHED | {"outcome": "broken_off_draining"}
    lines = [
        build_line("f1", 0.0, "forwarder_draining", signal_age_s=0.0),
        build_line("f1", 7.301, "request_cut", request_id="a", **cut),
        build_line("f1", 7.302, "request_finished", request_id="a", **finished),
        build_line("f1", 7.4, "forwarder_stopped", n_requests_left=1),
    ]
    explanation = explain_request("a", build_records(*lines))
    assert (
        "A planned stop ended it 7.301 s after the signal. Its last byte had arrived "
        "3.420 s after the signal, and it was first placed 0.200 s before the signal."
    ) in explanation.findings
    assert explanation.timeline[-1][1].name == "forwarder_stopped"
