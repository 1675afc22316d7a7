"""HTTP client for a model engine with an OpenAI-style API."""

from urllib.parse import quote

import anyio
import httpx
import msgspec

from catkinfork.backends._base import BaseBackend
from catkinfork.backends._errors import (
    BackendError,
    BackendOverloadedError,
    BackendResetError,
    BackendSilentError,
    ResponseTooLargeError,
)
from catkinfork.backends._headers import decode_response_headers
from catkinfork.backends._sse import (
    DONE,
    UNITS_PER_GENERATED_TOKEN,
    add_usage_option,
    compute_units,
    count_generated_choices,
    parse_chunk,
    parse_event_data,
    split_events,
)
from catkinfork.execution import BackendData, BackendHead

OVERLOAD_STATUSES = (httpx.codes.SERVICE_UNAVAILABLE, httpx.codes.TOO_MANY_REQUESTS)
# An engine responds to a resume at once, so this can be shorter than the idle timeout
# that detects an unresponsive connection in the first place.
RESUME_TIMEOUT_S = 1.0
# Limits the request rate while an engine returns 202 at once for a non-streamed
# response that is still running.
POLL_INTERVAL_S = 0.05


class ResponseProgress:
    """Emits one response and records how much of it has been emitted.

    A response may arrive over several connections.

    :param start: :class:`~catkinfork.protocol.Start`.
    :param hides_usage: whether to withhold the usage, which the caller did not request.
    :param emit: callable that takes an event.
    """

    def __init__(self, start, hides_usage, emit):
        self.start = start
        self.hides_usage = hides_usage
        self.emit = emit
        self.has_head = False
        self.is_done = False
        self.n_events = 0
        self.n_bytes = 0
        self.units = 0

    def emit_head(self, response):
        """Emit status and headers, unless they were emitted before."""
        if self.has_head:
            return
        self.has_head = True
        headers = decode_response_headers(response)
        self.emit(BackendHead(self.start.attempt, response.status_code, headers))

    def emit_data(self, data, units):
        """Emit a part of the body.

        :param data: bytes of the body.
        :param units: service units of the part.
        """
        self.units += units
        self.n_bytes += len(data)
        self.emit(BackendData(self.start.attempt, data, units))

    def emit_event(self, event):
        """Emit one complete server-sent event with its service units.

        The usage at the end of a stream corrects the units that were counted from the
        events.
        """
        payload = parse_event_data(event)
        if payload is None:
            self.emit_data(event, 0)
            return
        self.n_events += 1
        if payload == DONE:
            self.is_done = True
            self.emit_data(event, 0)
            return
        chunk = parse_chunk(payload)
        units = count_generated_choices(chunk) * UNITS_PER_GENERATED_TOKEN
        if chunk.get("usage") and not chunk.get("choices"):
            units = max(0, compute_units(chunk["usage"]) - self.units)
            if self.hides_usage:
                self.units += units
                return
        self.emit_data(event, units)


class EngineBackend(BaseBackend):
    """Client for a model engine.

    A response whose connection is lost or becomes unresponsive is resumed on a new
    connection: a streamed response for as long as each connection delivers at least
    one event, a non-streamed one only if its head has not arrived.
    """

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        # All attempts of a request share its id at the engine, so only the latest
        # attempt may resume or cancel the stream.
        self.attempts = {}

    async def execute(self, start, emit):
        """See :class:`BaseBackend`."""
        self.attempts[start.request_id] = start.attempt
        try:
            units = await self.execute_with_resume(start, emit)
        except BackendError:
            self.remove_attempt(start)
            raise
        self.remove_attempt(start)
        return units

    def remove_attempt(self, start):
        """Remove an attempt that has ended, unless a later one has replaced it."""
        if self.is_latest_attempt(start):
            del self.attempts[start.request_id]

    def is_latest_attempt(self, start):
        """Return whether an attempt is the latest one of its request."""
        return self.attempts.get(start.request_id) == start.attempt

    async def execute_with_resume(self, start, emit):
        """Execute an attempt and resume its response if the connection is lost.

        :returns: service units of the attempt.
        """
        body, is_streamed, hides_usage = add_usage_option(start.body)
        progress = ResponseProgress(start, hides_usage, emit)
        request = self.build_attempt_request(start, body)
        # In a compressed response, events could neither be counted nor resumed.
        request.headers.pop("accept-encoding", None)
        try:
            await self.receive_response(request, progress, is_streamed)
        except (BackendResetError, BackendSilentError) as error:
            await self.resume_response(progress, is_streamed, error)
        return progress.units

    async def receive_response(self, request, progress, is_streamed):
        """Send a request and emit its response."""
        async with self.open_response(request) as response:
            if response.status_code in OVERLOAD_STATUSES and not progress.has_head:
                raise BackendOverloadedError(f"status {response.status_code}")
            progress.emit_head(response)
            content_type = response.headers.get("content-type", "")
            if is_streamed and content_type.startswith("text/event-stream"):
                await self.receive_events(response, progress)
            else:
                await self.receive_body(response, progress)

    async def receive_events(self, response, progress):
        """Emit the complete events of a streamed response.

        :raises BackendResetError: if the stream ends without its end marker.
        """
        remainder = b""
        async for data in self.iterate_body(response):
            events, remainder = split_events(remainder + data)
            for event in events:
                progress.emit_event(event)
            if progress.n_bytes > self.max_response_bytes:
                detail = f"response exceeds {self.max_response_bytes} bytes"
                raise ResponseTooLargeError(detail)
        if not progress.is_done:
            raise BackendResetError("stream ended without [DONE]")
        if remainder:
            progress.emit_data(remainder, 0)

    async def receive_body(self, response, progress):
        """Emit a non-streamed response; its units come from the usage in its body."""
        parts = []
        async for data in self.iterate_body(response):
            parts.append(data)
            progress.emit_data(data, 0)
        usage = parse_chunk(b"".join(parts)).get("usage")
        progress.units = compute_units(usage) if usage else 0

    async def resume_response(self, progress, is_streamed, error):
        """Resume a response whose connection was lost.

        :param error: failure of the connection.
        :raises BackendError: ``error`` if the response cannot be resumed.
        """
        start = progress.start
        if not is_streamed and progress.has_head:
            raise error
        deadline = anyio.current_time() + start.deadline_ms / 1000
        while self.is_latest_attempt(start) and anyio.current_time() < deadline:
            n_events = progress.n_events
            path = f"{self.build_stream_path(start)}?after={n_events}"
            request = self.build_request("GET", path, [], b"")
            try:
                if await self.receive_continuation(request, progress, is_streamed):
                    return
            except ResponseTooLargeError:
                raise
            except BackendError:
                # The request may have been executed, so a refused resume must not be
                # reported as "refused", which means that nothing was sent.
                if progress.n_events == n_events:
                    break
        raise error

    async def receive_continuation(self, request, progress, is_streamed):
        """Receive the rest of a response on a new connection.

        :returns: whether the response is complete. A non-streamed one that is still
            running is not; the engine delays its status 202, so the next request may
            follow at once.
        """
        async with self.open_response(request, RESUME_TIMEOUT_S) as response:
            if not is_streamed and response.status_code == httpx.codes.ACCEPTED:
                await anyio.sleep(POLL_INTERVAL_S)
                return False
            if response.status_code != httpx.codes.OK:
                raise BackendResetError(f"resume: status {response.status_code}")
            progress.emit_head(response)
            if is_streamed:
                await self.receive_events(response, progress)
            else:
                await self.receive_body(response, progress)
        return True

    def build_stream_path(self, start):
        """Build the path at which a stream is resumed or cancelled."""
        return f"/v1/streams/{quote(start.request_id, safe='')}"

    async def cancel_execution(self, start):
        """Cancel the stream; the engine would otherwise wait for it to be resumed."""
        if not self.is_latest_attempt(start):
            return
        self.remove_attempt(start)
        try:
            await self.fetch("DELETE", self.build_stream_path(start))
        except BackendError:
            # The engine stops a stream by itself if it is not resumed.
            pass

    async def fetch_cold_state(self):
        """Fetch the cold state from the load report; False without a valid report."""
        try:
            status, body = await self.fetch("GET", "/v1/load")
            report = msgspec.json.decode(body)
        except (BackendError, msgspec.MsgspecError):
            return False
        return status == httpx.codes.OK and report.get("is_cold") is True
