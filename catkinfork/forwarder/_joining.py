"""A forwarder that starts asks its peers for what they were told before."""

import anyio

from catkinfork.forwarder._peer_source import format_control_address
from catkinfork.forwarding import (
    FORWARDER_INFORMED,
    FORWARDER_JOINED,
    AdminResponse,
    FetchError,
    HttpClient,
)
from catkinfork.observability import log_event
from catkinfork.peering import JoinPlan, SnapshotExchange, decode_snapshot

SNAPSHOT_PATH = "/snapshot"
POLL_INTERVAL_S = 0.02
LATE_POLL_INTERVAL_S = 0.1
# Time after which an answer is given up, seconds.
ASK_TIMEOUT_S = 0.8


class Joining:
    """Asks peers for snapshots at the start, and answers those of others.

    :param process: :class:`ForwarderProcess`.
    :param control_port: port of the control address at all forwarders.
    """

    def __init__(self, process, control_port):
        self.process = process
        self.control_port = control_port
        self.loop = process.loop
        self.snapshots = SnapshotExchange(
            process.balancer, process.peer_exchange.crash_notices, self.loop.time()
        )
        self.plan = JoinPlan(process.directory, process.incarnation, process.rng)

    @property
    def is_done(self):
        """Return whether the peers have been asked, as is due before it is ready."""
        return self.snapshots.is_joined

    def build_response(self):
        """Return the response to a peer that starts."""
        body = self.snapshots.build(self.loop.time())
        return AdminResponse(200, b"application/msgpack", body)

    async def run(self):
        """Ask peers until enough is known, for a bounded time.

        Frames are received before, but name services by their hashes, which only the
        configuration resolves.
        """
        while self.process.server.routes is None:
            await anyio.sleep(POLL_INTERVAL_S)
        self.plan.start(self.loop.time())
        async with anyio.create_task_group() as questions:
            while not self.plan.is_done(self.loop.time()):
                self.ask_soon(questions, self.plan.find_next(self.loop.time()))
                await anyio.sleep(POLL_INTERVAL_S)
            questions.cancel_scope.cancel()
        self.snapshots.is_joined = True
        self.process.peer_exchange.has_joined = self.plan.n_answers > 0
        self.log_joined()

    async def run_late(self):
        """Ask peers that are heard once the forwarder is ready, for a bounded time."""
        while not self.is_done:
            await anyio.sleep(LATE_POLL_INTERVAL_S)
        async with anyio.create_task_group() as questions:
            while not self.plan.is_late_over(self.loop.time()):
                self.ask_soon(questions, self.plan.find_late(self.loop.time()))
                await anyio.sleep(LATE_POLL_INTERVAL_S)

    def ask_soon(self, questions, address):
        """Start to ask a peer.

        :param questions: task group.
        :param address: IP address of the peer, or None if none is to be asked.
        """
        if address is not None:
            questions.start_soon(self.ask, address)

    async def ask(self, address):
        """Ask a peer, and record what it knows."""
        client = HttpClient(
            format_control_address(address, self.control_port), self.loop
        )
        try:
            response = await client.fetch(SNAPSHOT_PATH, ASK_TIMEOUT_S)
        except FetchError:
            # A peer that is silent is detected and logged by peering.
            self.plan.record_failure()
            return
        except anyio.get_cancelled_exc_class():
            self.plan.record_withdrawn(address)
            raise
        finally:
            client.close()
        snapshot = decode_snapshot(response.body) if response.status == 200 else None
        if snapshot is None:
            # A peer of another build may not know the path.
            self.plan.record_failure()
            return
        is_late = self.is_done
        now = self.loop.time()
        self.snapshots.apply(snapshot, now, is_late)
        known_s = snapshot.known_ms / 1000
        self.plan.record_answer(address, snapshot.is_joined, known_s, now)
        if is_late and snapshot.is_joined:
            self.process.peer_exchange.has_joined = True
            self.log_informed(address)

    def log_joined(self):
        """Log what was learned."""
        now = self.loop.time()
        self.process.log.write(
            log_event(
                FORWARDER_JOINED,
                n_answers=self.plan.n_answers,
                n_asked=self.plan.n_asked,
                waited_s=round(now - self.plan.started_at, 3),
                known_s=round(now - self.snapshots.known_since, 3),
                n_streams=len(self.process.balancer.streams.records),
            )
        )

    def log_informed(self, address):
        """Log that a peer has answered after the forwarder was ready."""
        now = self.loop.time()
        self.process.log.write(
            log_event(
                FORWARDER_INFORMED,
                peer=address,
                known_s=round(now - self.snapshots.known_since, 3),
                n_streams=len(self.process.balancer.streams.records),
            )
        )
