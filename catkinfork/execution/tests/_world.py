"""Simulation of three agents and two routers on a lossy network.

It counts the executions of each request.
"""

from collections import namedtuple

from catkinfork.document import find_acting_owner, rank_key_servers
from catkinfork.execution import (
    AgentCore,
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHead,
    BackendHealth,
    RunRequest,
)
from catkinfork.execution.tests._support import (
    OTHER_ROUTER,
    ROUTER,
    SERVERS,
    WALL_OFFSET_S,
    get_agent_address,
    make_key,
    make_settings,
    make_start,
    make_view,
)
from catkinfork.protocol import (
    AgentReport,
    AttemptId,
    ResponseAck,
    ResponsePart,
    Resume,
    Send,
    Sender,
    StartRefused,
)

QUIET_TIME_S = 3.0
KEY_MARGIN_S = 0.5
MAX_ATTEMPTS = 4


Frame = namedtuple("Frame", "number sender destination message")


class Request:
    """A caller's request, which may be submitted several times if it has a key."""

    def __init__(self, number, key, now):
        self.number = number
        self.key = key
        self.created_at = now
        self.body = b"answer %d " % number * 3
        self.n_runs = 0
        self.is_closed = False


class Submission:
    """One attempt at a router."""

    def __init__(self, request, n_left, start, server, submitted_at):
        self.request = request
        self.submitted_at = submitted_at
        self.n_left = n_left
        self.start = start
        self.server = server
        self.data = b""
        self.n_parts = 0


class SimulatedRouter:
    """A router; both routers share the tickets of all reports."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.identity = Sender(address, 1)
        self.n_attempts = 0
        self.view = world.view
        self.open = {}

    def submit(self, request, n_left=MAX_ATTEMPTS, server=None, submitted_at=None):
        """Send a start with a ticket of the acting owner, if one is known."""
        if request.key:
            owners = rank_key_servers(self.view, "w", request.key, "entry")
            server = server or find_acting_owner(self.view, owners)
        incarnation, tickets = self.world.reports.get(server, (0, []))
        if not tickets or n_left == 0:
            return
        now = self.world.now
        submitted_at = now if submitted_at is None else submitted_at
        self.n_attempts += 1
        attempt = AttemptId(self.address, 1, self.n_attempts)
        start = make_start(
            self.n_attempts,
            tickets.pop(0).number,
            incarnation,
            attempt=attempt,
            key=request.key,
            is_idempotent=False,
            fingerprint=b"r%d" % request.number,
            deadline_ms=3000,
            age_ms=round((now - submitted_at) * 1000),
        )
        self.world.requests_by_attempt[attempt] = request
        self.open[attempt] = Submission(request, n_left, start, server, submitted_at)
        self.world.send(self.identity, get_agent_address(server), start)

    def handle(self, sender, message):
        """Handle a message of an agent."""
        if isinstance(message, AgentReport):
            name = message.backend_server
            self.world.reports[name] = (sender.incarnation, list(message.tickets))
        elif isinstance(message, StartRefused):
            self.handle_refusal(message)
        elif isinstance(message, ResponsePart):
            self.handle_part(message)

    def handle_refusal(self, refusal):
        """Retry a retryable refusal; record a permanent refusal."""
        submission = self.open.pop(refusal.attempt, None)
        if submission is None:
            return
        if refusal.outcome == "not_run":
            self.world.not_run.add(refusal.attempt)
        if refusal.outcome == "not_run" and not refusal.is_retryable:
            submission.request.is_closed = True
        if refusal.is_retryable:
            server = refusal.redirect or submission.server
            self.submit(
                submission.request,
                submission.n_left - 1,
                server,
                submission.submitted_at,
            )

    def handle_part(self, part):
        """Append the next part in sequence to an open attempt, and acknowledge it."""
        submission = self.open.get(part.attempt)
        if submission is None or part.is_keepalive:
            return
        if part.sequence != submission.n_parts:
            return
        submission.n_parts += 1
        submission.data += part.data
        ack = ResponseAck(part.attempt, submission.n_parts)
        self.world.send(self.identity, get_agent_address(submission.server), ack)
        if part.is_last or part.failure:
            del self.open[part.attempt]
        if part.is_last:
            assert submission.data == submission.request.body

    def resume(self):
        """Send a resume for each open attempt."""
        for attempt, submission in self.open.items():
            incarnation = submission.start.agent_incarnation
            resume = Resume(attempt, submission.n_parts, incarnation)
            self.world.send(self.identity, get_agent_address(submission.server), resume)


class Host:
    """A backend server and its agent; ``core`` is None while the agent is stopped."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.address = get_agent_address(name)
        self.is_paused = False
        self.is_refusing = False
        self.start_process()

    def start_process(self):
        """Start an agent with empty state and the latest document."""
        incarnation = int((self.world.now + WALL_OFFSET_S) * 1000)
        self.identity = Sender(self.address, incarnation)
        settings = make_settings(
            self.name, quiet_time_s=QUIET_TIME_S, key_margin_s=KEY_MARGIN_S
        )
        self.core = AgentCore(settings, self.identity, WALL_OFFSET_S)
        self.running = {}
        self.view = None
        self.is_paused = False
        self.adopt()
        self.do(self.core.observe, BackendHealth(True, False))
        # The growth of the limit is not under test here. More places let more requests
        # run at the same time.
        self.core.capacity.limiter.limit = 4
        self.do(self.core.set_dispatchers, [ROUTER])

    @property
    def is_active(self):
        """Whether the process exists and is not paused."""
        return self.core is not None and not self.is_paused

    def adopt(self):
        """Apply the latest document."""
        if self.view is not self.world.view:
            self.view = self.world.view
            self.do(self.core.adopt, self.view)

    def do(self, method, *arguments):
        """Call the agent and carry out its actions."""
        actions = method(*arguments, self.world.now)
        for action in actions:
            if isinstance(action, Send):
                self.world.send(self.identity, action.destination, action.message)
            elif isinstance(action, RunRequest):
                self.run(action.start)

    def run(self, start):
        """Run a request; it counts as executed unless the connection is refused."""
        status = self.core.list_status()
        assert status.n_running <= status.n_places
        assert self.view.is_in_service(self.name)
        self.running[start.attempt] = self.is_refusing
        if not self.is_refusing:
            self.world.requests_by_attempt[start.attempt].n_runs += 1
            self.world.ran.add(start.attempt)

    def end_one(self, kind):
        """End the oldest request, with a failure unless ``kind`` is empty."""
        if not self.running or not self.is_active:
            return
        attempt = next(iter(self.running))
        is_refused = self.running.pop(attempt)
        if is_refused or kind:
            kind = "refused" if is_refused else kind
            self.do(self.core.observe, BackendFailure(attempt, kind, ""))
            return
        body = self.world.requests_by_attempt[attempt].body
        self.do(self.core.observe, BackendHead(attempt, 200, []))
        self.do(self.core.observe, BackendData(attempt, body[:5], 1))
        self.do(self.core.observe, BackendData(attempt, body[5:], 1))
        self.do(self.core.observe, BackendEnd(attempt, 2))


class World:
    """The simulated fleet, its network and its clock."""

    def __init__(self):
        self.now = 1000.0
        self.version = 1
        self.states = {}
        self.data_centre_states = {}
        self.view = make_view()
        self.frames = []
        self.delivered = set()
        self.n_frames = 0
        self.reports = {}
        self.requests = []
        self.requests_by_attempt = {}
        self.ran = set()
        self.not_run = set()
        self.routers = {a: SimulatedRouter(self, a) for a in (ROUTER, OTHER_ROUTER)}
        self.hosts = {name: Host(self, name) for name in SERVERS}

    def send(self, sender, destination, message):
        """Put a message into the network."""
        self.n_frames += 1
        self.frames.append(Frame(self.n_frames, sender, destination, message))

    def deliver(self, position):
        """Deliver the message at a position, unless its receiver is paused."""
        frame = self.frames.pop(position)
        router = self.routers.get(frame.destination)
        if router is not None:
            router.handle(frame.sender, frame.message)
            return
        host = next(h for h in self.hosts.values() if frame.destination == h.address)
        if host.core is None:
            return
        if host.is_paused:
            self.frames.append(frame)
            return
        self.delivered.add(frame.number)
        host.do(host.core.handle, frame.sender, frame.message)

    def pass_time(self, seconds, is_ticking=True):
        """Advance the clock in steps of 0.05 s."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for host in self.hosts.values():
                if is_ticking and host.is_active:
                    host.do(host.core.tick)

    def clear_faults(self):
        """End pauses and failures of backend servers."""
        for host in self.hosts.values():
            host.is_refusing = host.is_paused = False
            if host.is_active:
                host.do(host.core.observe, BackendHealth(True, False))

    def flow(self, seconds):
        """Advance the clock while messages are delivered and requests end."""
        if seconds >= 0.5:
            self.clear_faults()
        for _ in range(round(seconds / 0.05)):
            for host in self.hosts.values():
                host.end_one("")
            self.pass_time(0.05)
            for _ in range(len(self.frames)):
                self.deliver(0)

    def restart(self, host):
        """Restart the process of an agent; its backend server keeps running."""
        self.now += 0.01
        self.drop_delivered_copies(host.address)
        host.start_process()

    def adopt_at_all(self):
        """Apply the latest document in every process."""
        for host in self.hosts.values():
            if host.core is not None:
                host.is_paused = False
                host.adopt()
        for router in self.routers.values():
            router.view = self.view

    def drop_delivered_copies(self, address):
        """Drop duplicates of messages that a process has received, as TCP does."""
        self.frames = [
            frame
            for frame in self.frames
            if frame.destination != address or frame.number not in self.delivered
        ]

    def publish(self):
        """Publish a document with the current states."""
        self.version += 1
        self.view = make_view(
            self.version, dict(self.states), dict(self.data_centre_states)
        )

    def toggle_centre(self, centre):
        """Take a data centre out of service, or return the one that is out."""
        self.data_centre_states = {} if self.data_centre_states else {centre: "out"}
        self.publish()

    def add_request(self, key):
        """Add a request.

        :param key: kind of its key: ``time``, ``opaque`` or empty for no key.
        """
        number = len(self.requests)
        time_key = make_key(int((self.now + WALL_OFFSET_S) * 1000), number)
        text = {"time": time_key, "opaque": f"order-{number}"}
        request = Request(number, text.get(key, ""), self.now)
        self.requests.append(request)
        return request
