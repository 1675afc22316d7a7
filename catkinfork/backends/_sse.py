"""Server-sent events and usage in the responses of an engine."""

from typing import TypedDict

import msgspec

DONE = b"[DONE]"
EMPTY_VALUES = (b'""', b"null", b"[]")
PROMPT_UNITS = 1
GENERATED_UNITS = 2


class Usage(TypedDict, total=False):
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int


class Choice(TypedDict, total=False):
    """One of the alternatives in a chunk."""

    delta: dict[str, msgspec.Raw]


class Chunk(TypedDict, total=False):
    """The fields of a chunk or of a plain response that the client reads."""

    choices: list[Choice]
    usage: Usage | None


_decoder = msgspec.json.Decoder(Chunk)


def split_events(buffer):
    """Split off the complete events at the start of a buffer.

    :param buffer: bytes received so far.
    :returns: list of events with their separators, and the incomplete rest.
    """
    events = []
    begin = 0
    while True:
        ends = [
            position + len(separator)
            for separator in (b"\n\n", b"\r\n\r\n")
            if (position := buffer.find(separator, begin)) >= 0
        ]
        if not ends:
            return events, buffer[begin:]
        events.append(buffer[begin : min(ends)])
        begin = min(ends)


def read_payload(event):
    """Return the data of an event, or None for a comment."""
    lines = [
        line[5:].strip() for line in event.splitlines() if line.startswith(b"data:")
    ]
    return b"\n".join(lines) if lines else None


def parse_chunk(payload):
    """Return a chunk, empty if the payload has another form."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return Chunk()


def count_choices(chunk):
    """Return the number of choices of a chunk that bring generated text."""
    return sum(
        any(
            name != "role" and bytes(value) not in EMPTY_VALUES
            for name, value in choice.get("delta", {}).items()
        )
        for choice in chunk.get("choices", [])
    )


def count_units(usage):
    """Return the service units of a usage object."""
    prompt = usage.get("prompt_tokens", 0) * PROMPT_UNITS
    return prompt + usage.get("completion_tokens", 0) * GENERATED_UNITS


def request_usage(body):
    """Ask for the usage of a streamed response.

    :param body: body of a request.
    :returns: body to send, whether the response is streamed, and whether the usage
        was added here, so that the caller must not see it.
    """
    try:
        request = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return body, False, False
    if not isinstance(request, dict) or request.get("stream") is not True:
        return body, False, False
    options = request.get("stream_options")
    options = options if isinstance(options, dict) else {}
    if options.get("include_usage"):
        return body, True, False
    request["stream_options"] = options | {"include_usage": True}
    return msgspec.json.encode(request), True, True
