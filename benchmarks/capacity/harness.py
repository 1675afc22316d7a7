"""Measurement harness: a process around decision objects that records its cost."""

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

# Probes tick at the interval of processes with open requests.
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
    """Measurement of cost against one growing quantity.

    :param name: name of the probe, of its plot file and of its key in the results.
    :param role: ``router``, ``dispatcher``, ``agent`` or ``any``.
    :param quantity: description of what the sizes count.
    :param sizes: measured sizes, at least four.
    :param target: target size, which the largest size must reach.
    :param run: function of size and random generator that returns values by measure.
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

    def get_unit(self, measure):
        """Return the unit of a measure."""
        return self.units.get(measure, MEASURES.get(measure, ""))


def build_keys():
    """Return a key ring with one fleet key."""
    ring = KeyRing("")
    ring.keys = parse_keys("00000001:" + "5a" * 32, "capacity")
    return ring


KEYS = build_keys()


def build_sender(address, incarnation=INCARNATION):
    """Return the identity of a process with a document in force."""
    return Sender(address, incarnation, 1, DIGEST)


def encode(sender, message):
    """Return the signed frame of a message without counting its cost."""
    return encode_frame(KEYS, sender, message)


class NullStream(io.TextIOBase):
    """Text stream that discards its input."""

    def write(self, text):
        return len(text)


def build_log(address):
    """Return an :class:`EventLog` that formats lines and discards them."""
    log = EventLog(LogSettings(), address)
    log.handler = logbook.StreamHandler(
        NullStream(), level=logbook.INFO, format_string="{record.message}", bubble=False
    )
    return log


class Node:
    """A process that decodes, decides, encodes and logs, and records the cost.

    :param address: internal address.
    """

    def __init__(self, address):
        self.identity = build_sender(address)
        self.log = build_log(address)
        self.other_actions = []
        self.sent_messages = []
        self.reset_counts()

    def reset_counts(self):
        """Reset times and traffic, after the state of a probe has been built."""
        self.processor_s = 0.0
        self.data_processor_s = 0.0
        self.traffic = {}

    def call_core(self, function, *args, is_data=False):
        """Call a decision object and execute its actions.

        :param is_data: whether the call carries a request or a response.
        """
        begin = thread_time()
        self.execute_actions(function(*args))
        self.record_processor_time(thread_time() - begin, is_data)

    def handle_frames(self, frames, handler, now):
        """Decode frames and pass their messages to a decision object.

        :param handler: function of sender, message and time.
        """
        for frame in frames:
            begin = thread_time()
            sender, message = decode_frame(KEYS, frame)
            self.record_message(message, "received", len(frame))
            self.execute_actions(handler(sender, message, now))
            is_data = isinstance(message, DATA_MESSAGES)
            self.record_processor_time(thread_time() - begin, is_data)

    def record_processor_time(self, processor_s, is_data):
        """Add processor time to that of data or of control."""
        if is_data:
            self.data_processor_s += processor_s
        else:
            self.processor_s += processor_s

    def execute_actions(self, actions):
        """Encode messages, write log lines and store all other actions."""
        for action in actions or ():
            if isinstance(action, Send):
                frame = encode_frame(KEYS, self.identity, action.message)
                self.record_message(action.message, "sent", len(frame))
                self.sent_messages.append((action.destination, action.message, frame))
            elif isinstance(action, LogEvent):
                self.log.write(action)
            else:
                self.other_actions.append(action)

    def record_message(self, message, direction, n_bytes):
        """Record a message and its bytes by type and direction, as transports do."""
        key = (type(message), direction)
        n_before, bytes_before = self.traffic.get(key, (0, 0))
        self.traffic[key] = (n_before + 1, bytes_before + n_bytes)

    def pop_sent_messages(self):
        """Return destination, message and frame of what was sent since last time."""
        sent_messages, self.sent_messages = self.sent_messages, []
        return sent_messages

    def pop_other_actions(self):
        """Return the actions other than messages and log lines since the last call."""
        other_actions, self.other_actions = self.other_actions, []
        return other_actions

    def compute_measures(self, span_s):
        """Return the measures per second of virtual time.

        :param span_s: length of the measurement in virtual time.
        """
        values = {
            "processor": self.processor_s * 1000 / span_s,
            "data_processor": self.data_processor_s * 1000 / span_s,
        }
        for (message_type, direction), counts in self.traffic.items():
            prefix = "data_" if message_type in DATA_MESSAGES else ""
            for name, count in zip(("messages", "bytes"), counts, strict=True):
                key = f"{prefix}{direction}_{name}"
                values[key] = values.get(key, 0.0) + count / span_s
        return values


def run_probe(probe, size, seed):
    """Run a probe at one size.

    :returns: mapping from measure to value.
    """
    gc.collect()
    return probe.run(size, random.Random(seed))


def run_probe_traced(probe, size, seed):
    """Run a probe at one size with traced allocations.

    The probe reports the bytes that its state holds. Its times are discarded, since
    tracing slows the run down.

    :returns: bytes, or None if the probe measures no state.
    """
    gc.collect()
    tracemalloc.start(1)
    try:
        return probe.run(size, random.Random(seed)).get("memory")
    finally:
        tracemalloc.stop()


def measure_traced_bytes():
    """Return the currently allocated bytes, 0 unless allocations are traced."""
    if not tracemalloc.is_tracing():
        return 0
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def add_traced_memory(values, before):
    """Add the bytes allocated since ``before`` if allocations are traced."""
    if tracemalloc.is_tracing():
        values["memory"] = measure_traced_bytes() - before
    return values
