"""What the outcome of a request means."""

# Sentences by outcome; fields of the line ``request_finished`` are filled in.
CAUSES = {
    "overloaded": (
        "Refused on arrival: the estimated wait did not fit into the time of the "
        "request ({detail})."
    ),
    "cannot_meet_deadline": (
        "Queued, and refused once it could no longer meet its deadline ({detail})."
    ),
    "no_backend_server": "Refused: no backend server of the service was ready.",
    "backend_servers_throttled": (
        "Refused: all backend servers of the service had asked for a pause ({detail})."
    ),
    "crashed_backend_servers": (
        "Refused: it, or requests with the same prompt part, have crashed several "
        "backend servers."
    ),
    "no_repeat_left": (
        "An attempt failed, and the retry budget of the service was exhausted."
    ),
    "stream_origin_unknown": (
        "Refused: its caller resumes a stream, and no host knows the version of the "
        "backend server that began it."
    ),
    "stream_service_changed": (
        "Refused: its caller resumes a stream of a service to which the route does not "
        "lead any more."
    ),
    "not_configured": "Refused: the host knew no configuration yet.",
    "draining": "The host was stopping, and too little time was left.",
    "internal_error": "The host failed to handle it; its log has the error.",
    "caller_gone": "The caller disconnected before the response was complete. {detail}",
    "timeout": "The deadline of the request, or the timeout of its route, passed.",
    "served": "The response was relayed as complete.",
    "failed": "The backend server answered with an error, which was relayed.",
    "broken": "The connection to the backend server was lost: {detail}.",
    "connection_refused": "The backend servers that were tried refused connections.",
    "unreachable": "The backend servers that were tried could not be reached.",
    "rejected": "The backend servers that were tried rejected it as not executed.",
    "misdirected": "Other backend servers had the addresses of those that were tried.",
    "silent": "The backend server sent nothing within the read timeout.",
}
BROKEN_OFF_PREFIX = "broken_off_"


def describe_outcome(fields):
    """Return a sentence for the outcome of a request.

    :param fields: fields of the line ``request_finished``.
    """
    outcome = fields["outcome"]
    prefix = ""
    if outcome.startswith(BROKEN_OFF_PREFIX):
        outcome = outcome.removeprefix(BROKEN_OFF_PREFIX)
        prefix = "The response had begun and was broken off visibly. "
    sentence = CAUSES.get(outcome, "Ended as {outcome}: {detail}")
    return prefix + sentence.format(**fields).strip()


def describe_times(fields):
    """Return where the time of a request went.

    :param fields: fields of the line ``request_finished``.
    """
    waited_s, first_s, total_s = (
        fields[name] for name in ("waited_s", "first_s", "total_s")
    )
    if not fields["backend_servers"]:
        return f"It was at this host for {total_s} s and reached no backend server."
    return (
        f"It waited {waited_s} s here, {max(0.0, first_s - waited_s):.3f} s for its "
        f"first event, and ended after {total_s} s; longest pause "
        f"{fields['max_pause_s']} s. The engine had {fields['n_missing_tokens']} "
        "uncached tokens to read."
    )


def describe_cut(fields):
    """Return when a request came and ended that a planned stop ended.

    :param fields: fields of the line ``request_cut``.
    """
    return (
        f"A planned stop ended it {describe_stop_time(fields['cut_s'])}. Its last byte "
        f"had arrived {describe_stop_time(fields['sent_s'])}, and it was first placed "
        f"{describe_stop_time(fields['placed_s'])}."
    )


def describe_stop_time(seconds):
    """Return a time that counts from the signal to stop, seconds, as text."""
    side = "after" if seconds >= 0 else "before"
    return f"{abs(seconds):.3f} s {side} the signal"
