"""Stand-in for a model engine with an OpenAI-style interface.

Start it by hand with ``python -m standins.engine --bind 127.0.0.1:9100``.
"""

import asyncio
import json
import random
import time
from contextlib import contextmanager, suppress
from hashlib import sha256
from typing import NamedTuple

import typer

from standins.ledger import Fence, serve_until_stopped, wait_first

CRASH_MARK = "CRASH-ENGINE"
CRASH_DOWN_S = 1.0
OVERLOAD_S = 1.0
OVERLOAD_GAP_S = 0.5
OVERLOAD_DOWN_S = 2.0
LOAD_LAG_S = 0.3
# Time for which a stream without a reader can still be resumed.
LINGER_S = 5.0
# Time after which a request for an unfinished plain response is answered with 202.
PLAIN_WAIT_S = 0.2
# Each other sequence in the batch adds this share of the token time.
BATCH_GROWTH = 0.1
# Time for a prompt token as a share of the time for a generated one.
PREFILL_SHARE = 0.02
DEFAULT_MAX_TOKENS = 32
MAX_STREAMS = 1000


class EngineSettings(NamedTuple):
    """Settings of the stand-in.

    :param name: name in responses.
    :param models: models that it serves.
    :param max_batch: sequences that run at once; more wait.
    :param token_ms: time for one token when one sequence runs.
    :param cold_s: duration of a cold start.
    :param cold_batch: sequences that it bears while cold.
    :param seed: seed of the length of the responses.
    :param checks_fence: whether an old fencing token is refused with 409.
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
    """Return the text of a conversation."""
    return "\n".join(str(message.get("content", "")) for message in messages)


def make_tokens(prompt, n_tokens):
    """Return the generated tokens; the last one states their number."""
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
    return text == "".join(make_tokens(join_prompt(messages), int(count)))


class Stream:
    """A running or finished sequence.

    :param request_id: id from ``X-Request-Id``.
    :param request: body of the request.
    :param seed: seed of the length.
    """

    def __init__(self, request_id, request, seed):
        prompt = join_prompt(request["messages"])
        max_tokens = request.get("max_tokens", DEFAULT_MAX_TOKENS)
        rng = random.Random(f"{seed}:{max_tokens}:{prompt}")
        n_tokens = rng.randint(max(1, max_tokens // 2), max(1, max_tokens))
        self.request_id = request_id
        self.model = request["model"]
        self.tokens = make_tokens(prompt, n_tokens)
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
        self.read_at = time.monotonic()
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

    def add_chunk(self, choices, **more):
        """Append one chunk of the response."""
        chunk = self.describe("chat.completion.chunk", choices) | more
        self.add_event(json.dumps(chunk).encode())

    def describe(self, kind, choices):
        """Return the fields that a chunk and a whole response share."""
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        }

    def finish(self):
        """Append the last events."""
        self.add_chunk([{"index": 0, "delta": {}, "finish_reason": "stop"}])
        if self.wants_usage:
            self.add_chunk([], usage=self.usage)
        self.is_done = True
        self.add_event(b"[DONE]")

    def build_answer(self):
        """Return the whole response."""
        message = {"role": "assistant", "content": "".join(self.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return self.describe("chat.completion", [choice]) | {"usage": self.usage}


class Engine:
    """Model engine with continuous batching, cold starts and crashes.

    :param settings: :class:`EngineSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.server = None
        self.fence = Fence(settings.checks_fence)
        self.streams = {}
        self.executions = {}
        self.orders = []
        self.faults = {}
        # Without a cold start the lagging load report must not show one.
        self.cold_until = time.monotonic() + settings.cold_s if settings.cold_s else 0.0
        self.rejected_at = 0.0
        self.overloaded_at = 0.0
        self.places = asyncio.Semaphore(settings.max_batch)
        self.n_running = 0
        self.load = (0, 0, self.cold_until)

    def count_present(self):
        """Return the number of running and waiting sequences."""
        return sum(not stream.task.done() for stream in self.streams.values())

    def note_load(self):
        """Let the load report show the present load after a lag."""
        n_waiting = max(0, self.count_present() - self.n_running)
        load = (self.n_running, n_waiting, self.cold_until)
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_LAG_S, setattr, self, "load", load)

    def report_load(self):
        """Return the load report."""
        n_running, n_waiting, cold_until = self.load
        is_cold = time.monotonic() - LOAD_LAG_S < cold_until
        return {"running": n_running, "waiting": n_waiting, "is_cold": is_cold}

    async def answer(self, exchange):
        """Answer one request."""
        route = f"{exchange.method} {exchange.path}"
        if exchange.path.startswith("/control/"):
            await self.control(exchange)
        elif exchange.path.startswith("/v1/streams/"):
            await self.answer_stream(exchange)
        elif exchange.method == "POST" and not self.fence.accepts(exchange):
            await exchange.send_json(409, {"error": "fencing token is old"})
        elif route == "POST /v1/chat/completions":
            await self.complete(exchange)
        elif route == "POST /v1/orders":
            self.orders.append(exchange.read_json())
            await exchange.send_json(200, {"orders": self.orders})
        elif route == "GET /v1/models":
            models = [{"id": name, "object": "model"} for name in self.settings.models]
            await exchange.send_json(200, {"object": "list", "data": models})
        elif route == "GET /v1/load":
            await exchange.send_json(200, self.report_load())
        elif route == "GET /health":
            await exchange.send_json(200, {"name": self.settings.name})
        else:
            await exchange.send_json(404, {"error": "unknown path"})

    async def complete(self, exchange):
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
        """Answer 503, and fall over if requests have exceeded the limit for long."""
        now = time.monotonic()
        if now - self.rejected_at > OVERLOAD_GAP_S:
            self.overloaded_at = now
        self.rejected_at = now
        if now - self.overloaded_at >= OVERLOAD_S:
            self.crash(OVERLOAD_DOWN_S)
            return
        await exchange.send_json(503, {"error": "cold"}, [(b"retry-after", b"1")])

    async def execute(self, exchange, request):
        """Generate a response and send it."""
        request_id = exchange.headers.get("x-request-id", f"r{len(self.executions)}")
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        if CRASH_MARK in join_prompt(request["messages"]):
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
            await self.send_answer(exchange, stream)

    async def generate(self, stream):
        """Generate the tokens of one sequence as a member of the batch."""
        token_s = self.settings.token_ms / 1000
        self.note_load()
        async with self.places:
            self.n_running += 1
            self.note_load()
            try:
                await asyncio.sleep(stream.n_prompt * token_s * PREFILL_SHARE)
                for token in stream.tokens:
                    growth = 1 + BATCH_GROWTH * (self.n_running - 1)
                    await asyncio.sleep(token_s * growth)
                    stream.add_token(token)
                    idle_s = time.monotonic() - stream.read_at
                    if stream.n_readers == 0 and idle_s > LINGER_S:
                        self.cancel(stream)
            finally:
                self.n_running -= 1
                self.note_load()
        stream.finish()

    async def send_events(self, exchange, stream, n_sent):
        """Send the events of a stream from number ``n_sent`` on."""
        await exchange.start(200, [(b"content-type", b"text/event-stream")])
        with self.hold(stream):
            while not exchange.closed.is_set():
                if n_sent < len(stream.events):
                    await exchange.write(stream.events[n_sent])
                    n_sent += 1
                    if self.faults.get("after_events") == n_sent:
                        exchange.fail(self.faults.pop("kind"))
                        self.faults = {}
                elif stream.is_done:
                    await exchange.write(b"", is_last=True)
                    break
                else:
                    await wait_first(stream.changed, exchange.closed)

    async def send_answer(self, exchange, stream):
        """Send a plain response once it is complete."""
        with self.hold(stream):
            while not stream.is_done and not exchange.closed.is_set():
                await wait_first(stream.changed, exchange.closed)
        if stream.is_done:
            await exchange.send_json(200, stream.build_answer())

    @contextmanager
    def hold(self, stream):
        """Mark that a stream has a reader."""
        stream.n_readers += 1
        try:
            yield
        finally:
            stream.n_readers -= 1
            stream.read_at = time.monotonic()

    def cancel(self, stream):
        """Stop a stream and forget it."""
        stream.task.cancel()
        if self.streams.get(stream.request_id) is stream:
            del self.streams[stream.request_id]

    async def answer_stream(self, exchange):
        """Resume or cancel a stream.

        The response to a plain request is sent once it is complete; a status of 202
        after ``PLAIN_WAIT_S`` says that it is not.
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
                async with asyncio.timeout(PLAIN_WAIT_S):
                    await self.send_answer(exchange, stream)
            if not stream.is_done:
                await exchange.send_json(202, {"running": True})

    def crash(self, down_s):
        """Break all streams, refuse connections for a time and start cold."""
        for stream in list(self.streams.values()):
            self.cancel(stream)
        self.cold_until = time.monotonic() + down_s + self.settings.cold_s
        self.note_load()
        self.server.crash(down_s)

    async def control(self, exchange):
        """Carry out an order of a test.

        ``break`` and ``silent`` take ``{"after_events": n}``, which lets the next
        stream fail after that many events; ``silent`` without it concerns all
        connections that are open.
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
        await serve_until_stopped(Engine(settings), bind)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
