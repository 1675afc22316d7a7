"""A process around decision objects, with the cost of all that it does."""

import gc
import io
import random
import tracemalloc
from time import thread_time
from typing import Any, NamedTuple

import logbook

from catkinfork.observability import EventLog, LogEvent
from catkinfork.processes._base import TICK_INTERVAL_S as TICK_S
from catkinfork.protocol import (
    KeyRing,
    ResponseAck,
    ResponsePart,
    Send,
    Sender,
    Start,
    decode_frame,
    encode_frame,
    parse_keys,
)
from catkinfork.settings import LogSettings

# Ticks of the probes are those of the processes while requests are open.
TICKS_PER_S = round(1 / TICK_S)
WALL_OFFSET_S = 1.7e9
INCARNATION = round(WALL_OFFSET_S * 1000)
DIGEST = "0123456789abcdef"
DATA_MESSAGES = (Start, ResponsePart, ResponseAck)
MEASURES = {
    "processor": "ms/s",
    "data_processor": "ms/s",
    "sent_messages": "messages/s",
    "sent_bytes": "B/s",
    "received_messages": "messages/s",
    "received_bytes": "B/s",
    "data_sent_messages": "messages/s",
    "data_sent_bytes": "B/s",
    "data_received_messages": "messages/s",
    "data_received_bytes": "B/s",
    "memory": "bytes",
}


class Probe(NamedTuple):
    """One quantity that grows.

    :param name: name of the probe, its plot and its key in the results.
    :param role: ``router``, ``dispatcher``, ``agent`` or ``any``.
    :param quantity: what the sizes count.
    :param sizes: sizes that are measured, at least four.
    :param target: size that the sizes must reach.
    :param run: function of a size and a random generator that returns measures.
    :param units: units by measure where they differ from ``MEASURES``.
    :param has_state: whether the run builds state whose memory is measured.
    """

    name: str
    role: str
    quantity: str
    sizes: tuple[float, ...]
    target: float
    run: Any
    units: dict[str, str] = {}
    has_state: bool = True

    def unit_of(self, measure):
        """Return the unit of a measure."""
        return self.units.get(measure, MEASURES.get(measure, ""))


def make_keys():
    """Return the fleet keys of the run."""
    ring = KeyRing("")
    ring.keys = parse_keys("00000001:" + "5a" * 32, "capacity")
    return ring


KEYS = make_keys()


def make_sender(address, incarnation=INCARNATION):
    """Return the identity of a process with a document in force."""
    return Sender(address, incarnation, 1, DIGEST)


def encode(sender, message):
    """Return the signed frame of a message, outside any measurement."""
    return encode_frame(KEYS, sender, message)


class NullStream(io.TextIOBase):
    """Stream that drops what is written to it."""

    def write(self, text):
        return len(text)


def make_log(address):
    """Return an :class:`EventLog` that formats lines and writes them nowhere."""
    log = EventLog(LogSettings(), address)
    log.handler = logbook.StreamHandler(
        NullStream(), level=logbook.INFO, format_string="{record.message}", bubble=False
    )
    return log


class Node:
    """A process: decodes, decides, encodes and logs, and counts what that takes.

    :param address: inner address.
    """

    def __init__(self, address):
        self.identity = make_sender(address)
        self.log = make_log(address)
        self.others = []
        self.sends = []
        self.reset()

    def reset(self):
        """Start the counts anew, after the state of a probe has been built."""
        self.processor_s = 0.0
        self.data_s = 0.0
        self.traffic = {}

    def call(self, function, *args, is_data=False):
        """Call a decision object and carry out its actions.

        :param is_data: whether the call carries a request or a response.
        """
        begin = thread_time()
        self.apply(function(*args))
        self.add_time(thread_time() - begin, is_data)

    def take(self, frames, handler, now):
        """Decode frames and hand them to a decision object.

        :param handler: function of sender, message and time.
        """
        for frame in frames:
            begin = thread_time()
            sender, message = decode_frame(KEYS, frame)
            self.count(message, "received", len(frame))
            self.apply(handler(sender, message, now))
            is_data = isinstance(message, DATA_MESSAGES)
            self.add_time(thread_time() - begin, is_data)

    def add_time(self, processor_s, is_data):
        """Count processor time as data or as control."""
        if is_data:
            self.data_s += processor_s
        else:
            self.processor_s += processor_s

    def apply(self, actions):
        """Encode messages, write log lines and keep other actions."""
        for action in actions or ():
            if isinstance(action, Send):
                frame = encode_frame(KEYS, self.identity, action.message)
                self.count(action.message, "sent", len(frame))
                self.sends.append((action.destination, action.message, frame))
            elif isinstance(action, LogEvent):
                self.log.write(action)
            else:
                self.others.append(action)

    def count(self, message, direction, n_bytes):
        """Count a message by type and direction, as the transport does."""
        key = (type(message), direction)
        n_before, bytes_before = self.traffic.get(key, (0, 0))
        self.traffic[key] = (n_before + 1, bytes_before + n_bytes)

    def pop_sends(self):
        """Return the messages since the last call: destination, message and frame."""
        sends, self.sends = self.sends, []
        return sends

    def pop_others(self):
        """Return the actions of the role since the last call."""
        others, self.others = self.others, []
        return others

    def measure(self, span_s):
        """Return the measures for each second of virtual time."""
        values = {
            "processor": self.processor_s * 1000 / span_s,
            "data_processor": self.data_s * 1000 / span_s,
        }
        for (message_type, direction), counts in self.traffic.items():
            prefix = "data_" if message_type in DATA_MESSAGES else ""
            for name, count in zip(("messages", "bytes"), counts, strict=True):
                key = f"{prefix}{direction}_{name}"
                values[key] = values.get(key, 0.0) + count / span_s
        return values


def run_once(probe, size, seed):
    """Run a probe at one size.

    :returns: mapping from measure to value.
    """
    gc.collect()
    return probe.run(size, random.Random(seed))


def run_memory(probe, size, seed):
    """Run a probe at one size with traced allocations.

    The probe reports the bytes that its state holds. The times of this run are not
    used, since tracing slows it down.

    :returns: bytes, or None if the probe builds no state to be counted.
    """
    gc.collect()
    tracemalloc.start(1)
    try:
        return probe.run(size, random.Random(seed)).get("memory")
    finally:
        tracemalloc.stop()


def traced_bytes():
    """Return the bytes that are allocated now, 0 outside the memory pass."""
    if not tracemalloc.is_tracing():
        return 0
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def with_memory(values, before):
    """Add the bytes allocated since ``before`` in the memory pass."""
    if tracemalloc.is_tracing():
        values["memory"] = traced_bytes() - before
    return values
