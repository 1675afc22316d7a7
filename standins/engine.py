"""Stand-in for a model engine with an OpenAI-compatible API.

Run it with ``python -m standins.engine --bind 127.0.0.1:9100``.
"""

import asyncio
import json
import random
import time
from contextlib import contextmanager, suppress
from hashlib import sha256
from typing import NamedTuple

import typer

from standins.ledger import FencingTokenChecker, serve_until_signal, wait_for_any

CRASH_MARKER = "CRASH-ENGINE"
CRASH_DOWN_S = 1.0
OVERLOAD_CRASH_DELAY_S = 1.0
OVERLOAD_RESET_S = 0.5
OVERLOAD_DOWN_S = 2.0
LOAD_REPORT_LAG_S = 0.3
# Time after which the generation of a stream without a reader is cancelled.
NO_READER_TIMEOUT_S = 5.0
# Time after which resuming an unfinished plain response returns status 202.
PLAIN_RESPONSE_WAIT_S = 0.2
# Relative increase of the time per token for each further sequence in the batch.
BATCH_SLOWDOWN = 0.1
# Time for a prompt token relative to the time for a generated one.
PREFILL_TIME_RATIO = 0.02
DEFAULT_MAX_TOKENS = 32
MAX_STREAMS = 1000


class EngineSettings(NamedTuple):
    """Settings of the stand-in.

    :param name: name in responses.
    :param models: names of the models that it serves.
    :param max_batch: maximum of concurrent sequences; further ones wait.
    :param token_ms: time per token of a single running sequence, milliseconds.
    :param cold_s: duration of a cold start, seconds.
    :param cold_batch: sequences that it admits during a cold start.
    :param seed: random seed for the lengths of responses.
    :param checks_fence: whether an outdated fencing token is refused with status 409.
    """

    name: str = "runner-1"
    models: tuple[str, ...] = ("contract-draft",)
    max_batch: int = 8
    token_ms: float = 20.0
    cold_s: float = 0.0
    cold_batch: int = 2
    seed: int = 1
    checks_fence: bool = False


def join_prompt(messages):
    """Return the messages of a conversation as one text."""
    return "\n".join(str(message.get("content", "")) for message in messages)


def build_tokens(prompt, n_tokens):
    """Return the generated tokens; the last one contains their number."""
    digest = sha256(prompt.encode()).hexdigest()
    tokens = [f"{digest[index % 60 :][:4]}-{index} " for index in range(n_tokens - 1)]
    return [*tokens, f"end-{n_tokens}"]


def is_whole_answer(messages, text):
    """Return whether a text is a complete response to a conversation.

    :param messages: the conversation.
    :param text: generated text that the caller received, of any length.
    """
    count = text.rsplit("end-", 1)[-1]
    if not count.isdigit():
        return False
    return text == "".join(build_tokens(join_prompt(messages), int(count)))


class Stream:
    """A running or finished sequence and its server-sent events.

    :param request_id: request id from ``X-Request-Id``.
    :param request: body of the request.
    :param seed: random seed for the length of the response.
    """

    def __init__(self, request_id, request, seed):
        prompt = join_prompt(request["messages"])
        max_tokens = request.get("max_tokens", DEFAULT_MAX_TOKENS)
        rng = random.Random(f"{seed}:{max_tokens}:{prompt}")
        n_tokens = rng.randint(max(1, max_tokens // 2), max(1, max_tokens))
        self.request_id = request_id
        self.model = request["model"]
        self.tokens = build_tokens(prompt, n_tokens)
        self.n_prompt = max(1, len(prompt.split()))
        self.usage = {
            "prompt_tokens": self.n_prompt,
            "completion_tokens": n_tokens,
            "total_tokens": self.n_prompt + n_tokens,
        }
        self.is_streamed = bool(request.get("stream"))
        options = request.get("stream_options") or {}
        self.wants_usage = bool(options.get("include_usage"))
        self.created = int(time.time())
        self.events = []
        self.is_done = False
        self.n_readers = 0
        self.last_read_at = time.monotonic()
        self.changed = asyncio.Event()
        self.task = None

    def add_event(self, payload):
        """Append one server-sent event and wake the readers."""
        self.events.append(b"data: " + payload + b"\n\n")
        self.changed.set()
        self.changed = asyncio.Event()

    def add_token(self, token):
        """Append one generated token."""
        delta = {"role": "assistant", "content": token}
        self.add_chunk([{"index": 0, "delta": delta, "finish_reason": None}])

    def add_chunk(self, choices, **fields):
        """Append one chunk of the response."""
        chunk = self.build_response_fields("chat.completion.chunk", choices) | fields
        self.add_event(json.dumps(chunk).encode())

    def build_response_fields(self, kind, choices):
        """Return the fields common to chunks and complete responses."""
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        }

    def finish(self):
        """Append the final events."""
        self.add_chunk([{"index": 0, "delta": {}, "finish_reason": "stop"}])
        if self.wants_usage:
            self.add_chunk([], usage=self.usage)
        self.is_done = True
        self.add_event(b"[DONE]")

    def build_answer(self):
        """Return the complete response."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return self.build_response_fields("chat.completion", [choice]) | {
            "usage": self.usage
        }


class Engine:
    """Model engine that simulates continuous batching, cold starts and crashes.

    :param settings: :class:`EngineSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.server = None
        self.fencing_tokens = FencingTokenChecker(settings.checks_fence)
        self.streams = {}
        self.executions = {}
        self.orders = []
        self.faults = {}
        # With the current time instead of 0.0, an engine without a cold start would
        # report one until the lag of the load report has passed.
        self.cold_until = time.monotonic() + settings.cold_s if settings.cold_s else 0.0
        self.last_rejected_at = 0.0
        self.overload_started_at = 0.0
        self.places = asyncio.Semaphore(settings.max_batch)
        self.n_running = 0
        self.load = (0, 0, self.cold_until)

    def count_present(self):
        """Return the number of running and waiting sequences."""
        return sum(not stream.task.done() for stream in self.streams.values())

    def note_load(self):
        """Record the current load, which the load report shows after a lag."""
        n_waiting = max(0, self.count_present() - self.n_running)
        load = (self.n_running, n_waiting, self.cold_until)
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_REPORT_LAG_S, setattr, self, "load", load)

    def build_load_report(self):
        """Return the load report, which lags behind the actual load."""
        n_running, n_waiting, cold_until = self.load
        is_cold = time.monotonic() - LOAD_REPORT_LAG_S < cold_until
        return {"running": n_running, "waiting": n_waiting, "is_cold": is_cold}

    async def handle_request(self, exchange):
        """Handle one request."""
        route = f"{exchange.method} {exchange.path}"
        if exchange.path.startswith("/control/"):
            await self.handle_control_request(exchange)
        elif exchange.path.startswith("/v1/streams/"):
            await self.handle_stream_request(exchange)
        elif exchange.method == "POST" and not self.fencing_tokens.accept_token(
            exchange
        ):
            await exchange.send_json(409, {"error": "fencing token is old"})
        elif route == "POST /v1/chat/completions":
            await self.handle_completion(exchange)
        elif route == "POST /v1/orders":
            self.orders.append(exchange.read_json())
            await exchange.send_json(200, {"orders": self.orders})
        elif route == "GET /v1/models":
            models = [{"id": name, "object": "model"} for name in self.settings.models]
            await exchange.send_json(200, {"object": "list", "data": models})
        elif route == "GET /v1/load":
            await exchange.send_json(200, self.build_load_report())
        elif route == "GET /health":
            await exchange.send_json(200, {"name": self.settings.name})
        else:
            await exchange.send_json(404, {"error": "unknown path"})

    async def handle_completion(self, exchange):
        """Run one chat completion."""
        request = exchange.read_json()
        is_cold = time.monotonic() < self.cold_until
        if request.get("model") not in self.settings.models:
            await exchange.send_json(404, {"error": "unknown model"})
        elif is_cold and self.count_present() >= self.settings.cold_batch:
            await self.reject(exchange)
        else:
            await self.execute(exchange, request)

    async def reject(self, exchange):
        """Respond with 503, or crash once rejections have lasted too long."""
        now = time.monotonic()
        if now - self.last_rejected_at > OVERLOAD_RESET_S:
            self.overload_started_at = now
        self.last_rejected_at = now
        if now - self.overload_started_at >= OVERLOAD_CRASH_DELAY_S:
            self.crash(OVERLOAD_DOWN_S)
            return
        await exchange.send_json(503, {"error": "cold"}, [(b"retry-after", b"1")])

    async def execute(self, exchange, request):
        """Generate a response and send it."""
        request_id = exchange.headers.get("x-request-id", f"r{len(self.executions)}")
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if CRASH_MARKER in join_prompt(request["messages"]):
            self.crash(CRASH_DOWN_S)
            return
        stream = Stream(request_id, request, self.settings.seed)
        if len(self.streams) >= MAX_STREAMS:
            del self.streams[next(iter(self.streams))]
        self.streams[request_id] = stream
        stream.task = self.server.start_task(self.generate(stream))
        if stream.is_streamed:
            await self.send_events(exchange, stream, 0)
        else:
            await self.send_plain_response(exchange, stream)

    async def generate(self, stream):
        """Generate the tokens of one sequence within the batch."""
        token_s = self.settings.token_ms / 1000
        self.note_load()
        async with self.places:
            self.n_running += 1
            self.note_load()
            try:
                await asyncio.sleep(stream.n_prompt * token_s * PREFILL_TIME_RATIO)
                for token in stream.tokens:
                    slowdown = 1 + BATCH_SLOWDOWN * (self.n_running - 1)
                    await asyncio.sleep(token_s * slowdown)
                    stream.add_token(token)
                    unread_s = time.monotonic() - stream.last_read_at
                    if stream.n_readers == 0 and unread_s > NO_READER_TIMEOUT_S:
                        self.cancel(stream)
            finally:
                self.n_running -= 1
                self.note_load()
        stream.finish()

    async def send_events(self, exchange, stream, n_sent):
        """Send the events of a stream that follow the first ``n_sent``."""
        await exchange.start_response(200, [(b"content-type", b"text/event-stream")])
        with self.attach_reader(stream):
            while not exchange.closed.is_set():
                if n_sent < len(stream.events):
                    await exchange.write_body(stream.events[n_sent])
                    n_sent += 1
                    if self.faults.get("after_events") == n_sent:
                        exchange.inject_fault(self.faults.pop("kind"))
                        self.faults = {}
                elif stream.is_done:
                    await exchange.write_body(b"", is_last=True)
                    break
                else:
                    await wait_for_any(stream.changed, exchange.closed)

    async def send_plain_response(self, exchange, stream):
        """Send a plain (not streamed) response once it is complete."""
        with self.attach_reader(stream):
            while not stream.is_done and not exchange.closed.is_set():
                await wait_for_any(stream.changed, exchange.closed)
        if stream.is_done:
            await exchange.send_json(200, stream.build_answer())

    @contextmanager
    def attach_reader(self, stream):
        """Count a reader of a stream while the context is active."""
        stream.n_readers += 1
        try:
            yield
        finally:
            stream.n_readers -= 1
            stream.last_read_at = time.monotonic()

    def cancel(self, stream):
        """Cancel the generation of a stream and remove the stream."""
        stream.task.cancel()
        if self.streams.get(stream.request_id) is stream:
            del self.streams[stream.request_id]

    async def handle_stream_request(self, exchange):
        """Resume or cancel a stream.

        A plain response is sent once it is complete; if it is not complete within
        ``PLAIN_RESPONSE_WAIT_S``, the status is 202.
        """
        stream = self.streams.get(exchange.path.removeprefix("/v1/streams/"))
        if stream is None:
            await exchange.send_json(404, {"error": "unknown stream"})
        elif exchange.method == "DELETE":
            self.cancel(stream)
            await exchange.send_json(200, {})
        elif stream.is_streamed:
            n_sent = int(exchange.query.get("after", ["0"])[0])
            await self.send_events(exchange, stream, n_sent)
        else:
            with suppress(TimeoutError):
                async with asyncio.timeout(PLAIN_RESPONSE_WAIT_S):
                    await self.send_plain_response(exchange, stream)
            if not stream.is_done:
                await exchange.send_json(202, {"running": True})

    def crash(self, down_s):
        """Cancel all streams, refuse connections for ``down_s`` and start cold."""
        for stream in list(self.streams.values()):
            self.cancel(stream)
        self.cold_until = time.monotonic() + down_s + self.settings.cold_s
        self.note_load()
        self.server.crash(down_s)

    async def handle_control_request(self, exchange):
        """Handle a control request of a test.

        ``break`` and ``silent`` take ``{"after_events": n}``, which makes the next
        stream fail after that many events; ``silent`` without it applies to all open
        connections.
        """
        body = exchange.read_json()
        kind = exchange.path.removeprefix("/control/")
        if kind == "executions":
            await exchange.send_json(200, {"executions": self.executions})
            return
        await exchange.send_json(200, {})
        if kind == "cold":
            seconds = body.get("seconds", self.settings.cold_s)
            self.cold_until = time.monotonic() + seconds
            self.note_load()
        elif kind == "crash":
            self.crash(body.get("down_s", CRASH_DOWN_S))
        elif "after_events" in body:
            self.faults = {"kind": kind, "after_events": body["after_events"]}
        elif kind == "silent":
            self.server.silence_all()


def main(
    bind: str = "127.0.0.1:9100",
    name: str = "runner-1",
    model: list[str] = ("contract-draft",),
    max_batch: int = 8,
    token_ms: float = 20.0,
    cold_s: float = 2.0,
    cold_batch: int = 2,
    seed: int = 1,
    checks_fence: bool = False,
):
    """Serve a model engine on a TCP port."""
    settings = EngineSettings(
        name, tuple(model), max_batch, token_ms, cold_s, cold_batch, seed, checks_fence
    )

    async def serve():
        await serve_until_signal(Engine(settings), bind)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
