"""Streams that cannot be resumed, sent slowly, on engines that slow down in bursts."""

from random import Random

from catkinfork.platform.tests.soak.callers import (
    StreamCaller,
    StreamReader,
    make_stream_call,
)
from catkinfork.platform.tests.soak.connections import PIECE_BYTES
from catkinfork.platform.tests.soak.hosts import choose_host
from catkinfork.platform.tests.soak.records import Stream
from catkinfork.platform.tests.soak.settings import CHAT_DEADLINE_S, CHAT_PATH

N_CHAT_CALLERS = 30
# Share of the bodies that are sent slowly, in pieces, and the longest time between two
# pieces, seconds: some uploads end over 3 s after a SIGTERM that they began before.
P_SLOW_UPLOAD = 0.6
N_PIECES = 3
MAX_PIECE_GAP_S = 1.6
# Engines are calm for a time, and then slow, seconds.
MIN_PHASE_S, MAX_PHASE_S = 3.0, 10.0
MIN_SLOWDOWN, MAX_SLOWDOWN = 4.0, 8.0


class Bursts:
    """Intervals in which streams last several times as long.

    :param n_seconds: length of the run, seconds.
    """

    def __init__(self, seed, n_seconds):
        rng = Random(f"{seed}-bursts")
        self.phases = []
        begin_s = 0.0
        while begin_s < n_seconds:
            begin_s += rng.uniform(MIN_PHASE_S, MAX_PHASE_S)
            end_s = begin_s + rng.uniform(MIN_PHASE_S, MAX_PHASE_S)
            self.phases.append(
                (begin_s, end_s, rng.uniform(MIN_SLOWDOWN, MAX_SLOWDOWN))
            )
            begin_s = end_s

    def find_slowdown(self, at_s):
        """Return how many times as long as in a calm phase a step of a stream takes."""
        return next(
            (times for begin, end, times in self.phases if begin <= at_s < end), 1.0
        )


class ChatCaller(StreamCaller):
    """A caller of streams that cannot be resumed; each has one attempt."""

    async def call(self):
        rng = self.rng
        n_expected = rng.randrange(10, 25)
        reader = StreamReader(n_expected)
        parts = [self.first_part, f"{rng.randrange(16**6):06x}:40"]
        name = f"chat-{self.make_id()}"
        call = make_stream_call(name, reader, None, parts, CHAT_DEADLINE_S)
        call = call._replace(target=f"{CHAT_PATH}a")
        if rng.random() < P_SLOW_UPLOAD:
            call = call._replace(
                body=(call.body + b" ").ljust(N_PIECES * PIECE_BYTES, b"."),
                piece_gap_s=rng.uniform(0.0, MAX_PIECE_GAP_S),
            )
        host = choose_host(self.fleet.hosts, rng)
        one = await self.attempt(host, call, reader)
        stream = Stream(name, n_expected, tuple(reader.events), reader.is_whole, (one,))
        self.records.streams.append(stream)
