"""Parsing of server-sent events and token usage in an engine's responses."""

from typing import TypedDict

import msgspec

DONE = b"[DONE]"
EMPTY_JSON_VALUES = (b'""', b"null", b"[]")
UNITS_PER_PROMPT_TOKEN = 1
UNITS_PER_GENERATED_TOKEN = 2


class Usage(TypedDict, total=False):
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int


class Choice(TypedDict, total=False):
    """One of the choices in a chunk."""

    delta: dict[str, msgspec.Raw]


class Chunk(TypedDict, total=False):
    """The fields that the client reads in a chunk or a non-streamed response."""

    choices: list[Choice]
    usage: Usage | None


_decoder = msgspec.json.Decoder(Chunk)


def split_events(buffer):
    """Split the complete events off the start of a buffer.

    :param buffer: bytes received and not yet split.
    :returns: list of events with their separators, and the incomplete remainder.
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


def parse_event_data(event):
    """Return the data of an event, or None for an event without a data field."""
    lines = [
        line[5:].strip() for line in event.splitlines() if line.startswith(b"data:")
    ]
    return b"\n".join(lines) if lines else None


def parse_chunk(payload):
    """Decode a chunk; a payload of another form gives an empty one."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return Chunk()


def count_generated_choices(chunk):
    """Return the number of choices in a chunk that contain generated text.

    Choices with nothing but a role or a finish reason do not count.
    """
    return sum(
        any(
            name != "role" and bytes(value) not in EMPTY_JSON_VALUES
            for name, value in choice.get("delta", {}).items()
        )
        for choice in chunk.get("choices", [])
    )


def compute_units(usage):
    """Return the service units of the token counts in a usage object."""
    prompt = usage.get("prompt_tokens", 0) * UNITS_PER_PROMPT_TOKEN
    return prompt + usage.get("completion_tokens", 0) * UNITS_PER_GENERATED_TOKEN


def add_usage_option(body):
    """Set ``include_usage`` in a request for a streamed response.

    :param body: body of the caller's request.
    :returns: body to send, whether the response is streamed, and whether the option
        was added here, so that the usage must be hidden from the caller.
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
