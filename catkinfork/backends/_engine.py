"""Client to a model engine with an OpenAI-style interface."""

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
from catkinfork.backends._headers import read_response_headers
from catkinfork.backends._sse import (
    DONE,
    GENERATED_UNITS,
    count_choices,
    count_units,
    parse_chunk,
    read_payload,
    request_usage,
    split_events,
)
from catkinfork.execution import BackendData, BackendHead

OVERLOADED = (httpx.codes.SERVICE_UNAVAILABLE, httpx.codes.TOO_MANY_REQUESTS)
# An engine answers a resume at once, so that silence is confirmed sooner than detected.
RESUME_TIMEOUT_S = 1.0
# Bounds the requests for a plain response at an engine that answers 202 at once.
POLL_PAUSE_S = 0.05


class Progress:
    """What the caller has received of one response.

    :param start: :class:`~catkinfork.protocol.Start`.
    :param hides_usage: whether the usage was not asked for by the caller.
    :param emit: function that is called with each event.
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

    def add_head(self, response):
        """Pass on status and headers, once."""
        if self.has_head:
            return
        self.has_head = True
        headers = read_response_headers(response)
        self.emit(BackendHead(self.start.attempt, response.status_code, headers))

    def add_data(self, data, units):
        """Pass on a part of the body."""
        self.units += units
        self.n_bytes += len(data)
        self.emit(BackendData(self.start.attempt, data, units))

    def add_event(self, event):
        """Pass on one server-sent event."""
        payload = read_payload(event)
        if payload is None:
            self.add_data(event, 0)
            return
        self.n_events += 1
        if payload == DONE:
            self.is_done = True
            self.add_data(event, 0)
            return
        chunk = parse_chunk(payload)
        units = count_choices(chunk) * GENERATED_UNITS
        if chunk.get("usage") and not chunk.get("choices"):
            units = max(0, count_units(chunk["usage"]) - self.units)
            if self.hides_usage:
                self.units += units
                return
        self.add_data(event, units)


class EngineBackend(BaseBackend):
    """Runs requests on a model engine.

    A streamed response whose connection breaks or goes silent is resumed on a new
    connection, as long as each connection brings at least one event.
    """

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        # A request that is started again after a failure has the same id at the
        # engine; only its latest attempt may resume or cancel the stream.
        self.attempts = {}

    async def exchange(self, start, emit):
        """See :class:`BaseBackend`."""
        self.attempts[start.request_id] = start.attempt
        try:
            units = await self.complete(start, emit)
        except BackendError:
            self.forget(start)
            raise
        self.forget(start)
        return units

    def forget(self, start):
        """Remove an attempt that has ended."""
        if self.is_latest(start):
            del self.attempts[start.request_id]

    def is_latest(self, start):
        """Return whether an attempt is the latest of its request."""
        return self.attempts.get(start.request_id) == start.attempt

    async def complete(self, start, emit):
        """Run one attempt.

        :returns: service units.
        """
        body, is_streamed, hides_usage = request_usage(start.body)
        progress = Progress(start, hides_usage, emit)
        request = self.build_start(start, body)
        # A compressed response could be neither resumed nor counted.
        request.headers.pop("accept-encoding", None)
        try:
            await self.receive(request, progress, is_streamed)
        except (BackendResetError, BackendSilentError) as error:
            await self.resume(progress, is_streamed, error)
        return progress.units

    async def receive(self, request, progress, is_streamed):
        """Send a request and pass the response on."""
        async with self.open(request) as response:
            if response.status_code in OVERLOADED and not progress.has_head:
                raise BackendOverloadedError(f"status {response.status_code}")
            progress.add_head(response)
            kind = response.headers.get("content-type", "")
            if is_streamed and kind.startswith("text/event-stream"):
                await self.receive_events(response, progress)
            else:
                await self.receive_plain(response, progress)

    async def receive_events(self, response, progress):
        """Pass on the events of a streamed response; only whole ones."""
        rest = b""
        async for data in self.read(response):
            events, rest = split_events(rest + data)
            for event in events:
                progress.add_event(event)
            if progress.n_bytes > self.max_response_bytes:
                limit = f"response exceeds {self.max_response_bytes} bytes"
                raise ResponseTooLargeError(limit)
        if not progress.is_done:
            raise BackendResetError("stream ended without [DONE]")
        if rest:
            progress.add_data(rest, 0)

    async def receive_plain(self, response, progress):
        """Pass on a plain response; its units are in the usage at its end."""
        parts = []
        async for data in self.read(response):
            parts.append(data)
            progress.add_data(data, 0)
        usage = parse_chunk(b"".join(parts)).get("usage")
        progress.units = count_units(usage) if usage else 0

    async def resume(self, progress, is_streamed, error):
        """Continue a response whose connection broke.

        :param error: failure of the connection.
        :raises BackendError: ``error`` if the response can't be continued.
        """
        start = progress.start
        if not is_streamed and progress.has_head:
            raise error
        deadline = anyio.current_time() + start.deadline_ms / 1000
        while self.is_latest(start) and anyio.current_time() < deadline:
            n_events = progress.n_events
            path = f"{self.stream_path(start)}?after={n_events}"
            request = self.build_request("GET", path, [], b"")
            try:
                if await self.receive_resumed(request, progress, is_streamed):
                    return
            except ResponseTooLargeError:
                raise
            except BackendError:
                # The request may have run, so a refused resume is not a refusal.
                if progress.n_events == n_events:
                    break
        raise error

    async def receive_resumed(self, request, progress, is_streamed):
        """Receive the rest of a response on a new connection.

        :returns: whether the response is complete. A plain one that still runs is not;
            the engine has then waited a moment, so the next request may follow at once.
        """
        async with self.open(request, RESUME_TIMEOUT_S) as response:
            if not is_streamed and response.status_code == httpx.codes.ACCEPTED:
                await anyio.sleep(POLL_PAUSE_S)
                return False
            if response.status_code != httpx.codes.OK:
                raise BackendResetError(f"resume: status {response.status_code}")
            progress.add_head(response)
            if is_streamed:
                await self.receive_events(response, progress)
            else:
                await self.receive_plain(response, progress)
        return True

    def stream_path(self, start):
        """Return the path at which a stream is resumed and cancelled."""
        return f"/v1/streams/{quote(start.request_id, safe='')}"

    async def abandon(self, start):
        """Cancel the stream, which the engine would otherwise keep for a while."""
        if not self.is_latest(start):
            return
        self.forget(start)
        try:
            await self.fetch("DELETE", self.stream_path(start))
        except BackendError:
            # The engine stops the stream by itself when nobody resumes it.
            pass

    async def read_cold(self):
        """Return the cold state of the load report, False without a report."""
        try:
            status, body = await self.fetch("GET", "/v1/load")
            report = msgspec.json.decode(body)
        except (BackendError, msgspec.MsgspecError):
            return False
        return status == httpx.codes.OK and report.get("is_cold") is True
