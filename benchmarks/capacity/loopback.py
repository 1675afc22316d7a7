"""Probes of pynng, the event loop and HTTP reads, from short runs on loopback."""

import socket
import subprocess
import sys
import threading
import time
from contextlib import closing

import anyio
import msgspec
import pynng

from benchmarks.capacity import targets
from benchmarks.capacity.documents import format_router_address
from benchmarks.capacity.harness import (
    KEYS,
    TICK_S,
    TICKS_PER_S,
    Probe,
    build_sender,
)
from benchmarks.capacity.probes_router import build_hosts
from catkinfork.configuration import HttpHostList
from catkinfork.configuration._http import HttpReader
from catkinfork.processes._base import IDLE_TICK_INTERVAL_S
from catkinfork.protocol import (
    AttemptId,
    ResponsePart,
    Transport,
    decode_frame,
    encode_frame,
)
from catkinfork.settings import PlatformSettings
from standins.local_fleet import find_free_ports

RUN_S = 0.8
# Time for late messages on a busy machine; a run that loses some is invalid.
DRAIN_S = 5.0
N_CODEC_RUNS = 2000


def build_part(number):
    """Return a response part with the data of one token."""
    attempt = AttemptId(format_router_address(0), 1700000000000, 1)
    data = b"x" * targets.PART_BYTES
    return ResponsePart(attempt, number, 0, [], data, False, "", 0)


def measure_codec():
    """Return the processor seconds for encoding and for decoding one part."""
    sender = build_sender(format_router_address(0))
    begin = time.thread_time()
    for number in range(N_CODEC_RUNS):
        frame = encode_frame(KEYS, sender, build_part(number))
    encoded = time.thread_time()
    for _ in range(N_CODEC_RUNS):
        decode_frame(KEYS, frame)
    ended = time.thread_time()
    return (encoded - begin) / N_CODEC_RUNS, (ended - encoded) / N_CODEC_RUNS


def build_transport(port, received):
    """Return a transport that appends received sequence numbers to a list."""
    return Transport(
        f"127.0.0.1:{port}",
        KEYS,
        lambda: build_sender(f"127.0.0.1:{port}"),
        lambda sender, message: received.append(message.sequence),
        lambda error: None,
    )


async def exchange_messages(rate):
    """Send messages between two transports from a loop that ticks as processes do.

    :returns: number of messages, and the processor time of the loop and of the
        process, seconds.
    """
    received = []
    ports = find_free_ports(2)
    sender, receiver = (build_transport(port, received) for port in ports)
    destination = receiver.address
    n_sent = 0
    async with anyio.create_task_group() as tasks:
        for transport in (sender, receiver):
            transport.listen()
            await tasks.start(transport.run)
        sender.send(destination, build_part(0))
        while not received:
            await anyio.sleep(TICK_S)
        received.clear()
        begin = (time.thread_time(), time.process_time())
        started_at = time.monotonic()
        while time.monotonic() - started_at < RUN_S:
            due = int(rate * (time.monotonic() - started_at))
            for number in range(n_sent, due):
                sender.send(destination, build_part(number))
            n_sent = max(n_sent, due)
            await anyio.sleep(TICK_S)
        with anyio.move_on_after(DRAIN_S):
            while len(received) < n_sent:
                await anyio.sleep(TICK_S)
        ended = (time.thread_time(), time.process_time())
        for link in list(sender.links.values()):
            link.close()
        tasks.cancel_scope.cancel()
    if len(received) < n_sent:
        detail = f"{len(received)} of {n_sent} messages arrived"
        raise RuntimeError(detail)
    return n_sent, ended[0] - begin[0], ended[1] - begin[1]


def run_messages(size, rng):
    """Measure messages a second between two transports in this process.

    The intercept is the cost of the ticks. Encoding and decoding are subtracted, since
    the other probes include them.
    """
    codec_s = measure_codec()
    n_sent, loop_s, process_s = anyio.run(exchange_messages, size)
    remaining_s = loop_s - sum(codec_s) * n_sent
    return {
        "loop": remaining_s * 1000 / RUN_S,
        "pynng": (process_s - loop_s) * 1000 / RUN_S,
        "sent_messages": n_sent / RUN_S,
    }


async def tick_loop(interval_s, span_s):
    """Tick as :class:`BaseProcess` does, but without decision objects."""
    work = anyio.Event()
    work.set()
    ends_at = time.monotonic() + span_s
    n_ticks = 0
    while time.monotonic() < ends_at:
        with anyio.move_on_after(IDLE_TICK_INTERVAL_S):
            await work.wait()
        n_ticks += 1
        await anyio.sleep(interval_s)
    return n_ticks


def run_ticks(size, rng):
    """Measure ticks a second of an idle event loop."""
    begin = time.thread_time()
    n_ticks = anyio.run(tick_loop, 1 / size, RUN_S)
    processor_s = time.thread_time() - begin
    return {"processor": processor_s * 1000 / RUN_S, "ticks": n_ticks / RUN_S}


class StaticHttpServer(threading.Thread):
    """Thread that serves fixed content over one persistent HTTP/1.1 connection."""

    def __init__(self, content):
        super().__init__(daemon=True)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        self.answer = head.encode() + content
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]

    def run(self):
        connection, _ = self.listener.accept()
        with closing(self.listener), closing(connection):
            request = b""
            while chunk := connection.recv(65536):
                request += chunk
                if request.endswith(b"\r\n\r\n"):
                    connection.sendall(self.answer)
                    request = b""


def encode_host_list(n_hosts):
    """Return the encoded host list of the platform with a number of entries."""
    hosts = build_hosts(targets.N_ROUTERS)[:n_hosts]
    return msgspec.json.encode({"hosts": [host._asdict() for host in hosts]})


async def read_pages(port, n_reads):
    """Read an unchanged host list repeatedly, then process it as changed.

    :returns: processor time of all reads and of the change, seconds, and bytes of the
        list.
    """
    url = f"http://127.0.0.1:{port}/hosts"
    settings = PlatformSettings("", "", url)
    hosts = HttpHostList(settings, None, lambda event: None)
    async with HttpReader(4 * 1024 * 1024, is_keeping=True) as reader:
        first = (await reader.get(url)).unwrap()
        hosts.read_answer(first).unwrap()
        begin = time.thread_time()
        for _ in range(n_reads):
            answer = (await reader.get(url)).unwrap()
            assert hosts.is_same(answer)
        ended = time.thread_time()
        hosts.read_answer(first).unwrap()
        return ended - begin, time.thread_time() - ended, len(first.content)


def run_hosts(size, rng):
    """Measure the host list by its entries; every process reads it once a second."""
    server = StaticHttpServer(encode_host_list(size))
    server.start()
    n_reads = 10
    unchanged_s, changed_s, n_bytes = anyio.run(read_pages, server.port, n_reads)
    server.join(2.0)
    return {
        "processor": unchanged_s * 1000 / n_reads,
        "changed": changed_s * 1000,
        "received_bytes": n_bytes,
    }


def read_resident_bytes():
    """Return the resident memory of this process, bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def run_links(size, rng):
    """Measure open connections with both ends in this process."""
    [port] = find_free_ports(1)
    with closing(pynng.Pull0(recv_buffer_size=256)) as listener:
        listener.listen(f"tcp://127.0.0.1:{port}")
        before = read_resident_bytes()
        sockets = []
        for _ in range(size):
            sockets.append(pynng.Push0(send_timeout=2000))
            sockets[-1].dial(f"tcp://127.0.0.1:{port}", block=True)
        for push in sockets:
            push.send(b"x" * 300)
        for _ in sockets:
            listener.recv()
        growth_bytes = read_resident_bytes() - before
        for push in sockets:
            push.close()
    return {"resident": growth_bytes}


def measure_base_bytes():
    """Return the resident memory of a process that has loaded the program, bytes."""
    code = (
        "import catkinfork.cli, catkinfork.processes\n"
        "print(int(open('/proc/self/statm').read().split()[1]) * 4096)"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(result.stdout)


def run_links_in_subprocess(size, rng):
    """Run :func:`run_links` in a new process, since resident memory only grows."""
    code = (
        f"from benchmarks.capacity import loopback as l; print(l.run_links({size}, 0))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return {"resident": int(result.stdout.split(":")[1].strip(" }\n"))}


PROBES = (
    Probe(
        "loop_messages",
        "any",
        "messages/s over loopback",
        (200, 400, 800, 1200, 1600),
        targets.PARTS_PER_ROUTER,
        run_messages,
        {"loop": "ms/s", "pynng": "ms/s"},
        has_state=False,
    ),
    Probe(
        "loop_ticks",
        "any",
        "ticks/s",
        (20, 40, 60, 80, 100),
        TICKS_PER_S,
        run_ticks,
        {"ticks": "ticks/s"},
        has_state=False,
    ),
    Probe(
        "loop_hosts",
        "any",
        "entries in the host list",
        (100, 250, 500, 750, 990),
        targets.N_HOSTS,
        run_hosts,
        {
            "processor": "ms/read",
            "received_bytes": "B/read",
            "changed": "ms/change",
        },
        has_state=False,
    ),
    Probe(
        "loop_links",
        "any",
        "open connections in each direction",
        (16, 32, 64, 128, 192),
        targets.ROUTER_PEERS,
        run_links_in_subprocess,
        {"resident": "bytes"},
        has_state=False,
    ),
)
