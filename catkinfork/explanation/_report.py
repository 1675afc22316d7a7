"""Timeline and cause of one request."""

from datetime import UTC, datetime
from typing import NamedTuple

from catkinfork.explanation._causes import (
    describe_cut,
    describe_outcome,
    describe_times,
)
from catkinfork.explanation._clocks import estimate_offsets

# Time before the arrival and after the end of a request whose events are listed,
# seconds.
BEFORE_S = 2.0
AFTER_S = 0.5
# Offset of a clock above which it is mentioned, seconds.
MIN_OFFSET_S = 0.5
# Events of the host of the request that may explain it.
HOST_EVENTS = frozenset(
    {
        "callback_failed",
        "configuration_adopted",
        "forwarder_draining",
        "forwarder_informed",
        "forwarder_joined",
        "forwarder_started",
        "forwarder_stopped",
        "log_lines_dropped",
        "loop_lag_changed",
        "peer_lost",
        "readiness_changed",
        "source_lost",
        "source_regained",
        "store_restored",
    }
)
# Events of its backend servers, at any host.
BACKEND_EVENTS = frozenset(
    {
        "attempt_ended",
        "backend_added",
        "backend_leaving",
        "backend_left_out",
        "backend_limited",
        "backend_throttled",
        "crash_recorded",
        "rate_limit_ignored",
    }
)
HIDDEN_FIELDS = frozenset({"time", "level", "event", "name", "process"})


class Explanation(NamedTuple):
    """What the logs say of a request.

    :param timeline: pairs of time by the clock of its host and :class:`Record`.
    :param findings: sentences on what happened.
    :param unknowns: sentences on what the logs do not say.
    """

    timeline: list
    findings: list
    unknowns: list


def explain_request(request_id, records, n_unreadable=0):
    """Explain a request.

    :param records: :class:`Record` entries of all hosts.
    :param n_unreadable: lines that could not be read.
    :returns: :class:`Explanation`, or None if no line has the id.
    """
    own = [one for one in records if one.fields.get("request_id") == request_id]
    if not own:
        return None
    host = own[-1].host
    offsets = estimate_offsets(records, host)
    finished = [one for one in own if one.name == "request_finished"]
    backends = list_backends(own)
    total_s = finished[-1].fields.get("total_s", 0.0) if finished else 0.0
    starts_at = own[0].at - total_s - BEFORE_S
    ends_at = own[-1].at + AFTER_S
    timeline = []
    for record in records:
        at = record.at - offsets[record.host].offset_s
        is_near = starts_at <= at <= ends_at
        if record in own or (is_near and is_related(record, host, backends)):
            timeline.append((at, record))
    timeline.sort(key=lambda pair: pair[0])
    findings = list_findings(finished, timeline, own, backends)
    unknowns = list_unknowns(finished, timeline, host, offsets, n_unreadable)
    return Explanation(timeline, findings, unknowns)


def list_backends(own):
    """Return the names of the backend servers that the lines of a request name."""
    names = set()
    for record in own:
        names.add(record.fields.get("backend_server", ""))
        names.update(record.fields.get("backend_servers", "").split(","))
    return names - {""}


def is_related(record, host, backends):
    """Return whether an event may explain a request."""
    if record.host == host and record.name in HOST_EVENTS:
        return True
    if record.name not in BACKEND_EVENTS:
        return False
    return record.fields.get("backend_server") in backends


def list_findings(finished, timeline, own, backends):
    """Return sentences on what happened."""
    findings = []
    if finished:
        fields = finished[-1].fields
        findings = [describe_outcome(fields), describe_times(fields)]
    findings += [describe_cut(one.fields) for one in own if one.name == "request_cut"]
    for backend in sorted(backends):
        hosts = {
            record.host
            for _, record in timeline
            if record.name == "attempt_ended"
            and record not in own
            and record.fields["backend_server"] == backend
        }
        if hosts:
            findings.append(
                f"Requests of others failed at {backend} at the same time (hosts that "
                f"saw it: {len(hosts)}): it was probably the backend server."
            )
    for _, record in timeline:
        if record.name == "loop_lag_changed" and record.fields["is_behind"]:
            lag_s = record.fields["lag_s"]
            findings.append(f"The host was behind by {lag_s} s at that time.")
    return findings


def list_unknowns(finished, timeline, host, offsets, n_unreadable):
    """Return sentences on what the logs do not say."""
    unknowns = []
    if not finished:
        unknowns.append(
            "The line request_finished is missing: the process ended first, or the "
            "log is cut."
        )
    if any(record.name == "log_lines_dropped" for _, record in timeline):
        unknowns.append(f"{host} left out lines at that time.")
    if n_unreadable:
        unknowns.append(f"{n_unreadable} lines could not be read.")
    for name in sorted({record.host for _, record in timeline} - {host}):
        offset = offsets[name]
        if not offset.n_events:
            unknowns.append(f"The clock of {name} cannot be compared: order unknown.")
        elif offset.offset_s > MIN_OFFSET_S or offset.offset_s < -MIN_OFFSET_S:
            unknowns.append(
                f"The clock of {name} differs by {offset.offset_s:.2f} s; its lines "
                f"are moved, with an error of up to {offset.error_s:.2f} s."
            )
    unknowns.append(
        "What the caller saw, and its further tries, which have other ids, are not in "
        "these logs."
    )
    return unknowns


def format_explanation(request_id, explanation):
    """Return an explanation as text lines."""
    lines = [f"request {request_id}"]
    for at, record in explanation.timeline:
        time = datetime.fromtimestamp(at, UTC).strftime("%H:%M:%S.%f")[:-3]
        fields = " ".join(
            f"{name}={value}"
            for name, value in record.fields.items()
            if name not in HIDDEN_FIELDS and value not in ("", None)
        )
        lines.append(f"  {time}  {record.host}  {record.name}  {fields}")
    lines.append("what happened")
    lines += [f"  {finding}" for finding in explanation.findings]
    lines.append("unknown")
    lines += [f"  {unknown}" for unknown in explanation.unknowns]
    return lines
