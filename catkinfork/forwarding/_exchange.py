"""One request of a caller, from its arrival to its final response."""

from catkinfork.balancing import (
    ABANDONED,
    BROKEN,
    FAILED,
    REJECTED,
    SERVED,
    SILENT,
    UNREACHABLE,
    Placement,
    Refusal,
)
from catkinfork.forwarding._backend import BaseResponseListener
from catkinfork.forwarding._caller import BadRequestError
from catkinfork.forwarding._intake import build_job, write_request
from catkinfork.forwarding._messages import write_own_response
from catkinfork.forwarding._relay import ResumableRelay, build_relay
from catkinfork.forwarding._report import report_attempt, report_request
from catkinfork.topology import STREAMING, UNSAFE

MISDIRECTED = 421
# Silence of a backend server, in aims of the route, after which a request that may be
# repeated goes to another one; and the least silence, seconds.
PATIENCE_AIMS = 3.0
MIN_PATIENCE_S = 0.3
MIN_STREAM_PATIENCE_S = 1.5
# Silence within a stream, in longest pauses of the route.
PATIENCE_PAUSES = 4.0
# Time to come back after a failure that a caller may repeat, seconds.
FAILURE_RETRY_AFTER_S = 0.2
NOT_READY_RETRY_AFTER_S = 0.5


class Exchange(BaseResponseListener):
    """One request and its attempts.

    :param server: :class:`ForwardingServer`.
    :param caller: :class:`CallerConnection`.
    :param request: :class:`Request`.
    """

    def __init__(self, server, caller, request):
        self.server = server
        self.caller = caller
        self.request = request
        self.job = None
        self.placement = None
        self.first_placement = None
        self.connection = None
        self.relay = None
        self.is_done = False
        self.is_waiting = False
        self.is_listening = False
        self.silent_at = float("inf")
        self.expires_at = float("inf")
        self.placed_at = None
        self.first_at = None
        self.last_data_at = None
        self.max_pause_s = 0.0
        self.status = 0

    def start(self):
        """Route the request and place it."""
        server = self.server
        now = server.loop.time()
        if server.routes is None:
            self.reply(503, "not_configured", NOT_READY_RETRY_AFTER_S)
            return
        try:
            self.job = build_job(
                server.routes, server.names, self.request, server.rng.random(), now
            )
        except BadRequestError as error:
            self.reply(error.status, error.code, None)
            return
        self.expires_at = self.job.deadline_at
        server.note_open(self)
        self.apply(server.balancer.submit(self.job, now))

    def apply(self, decision):
        """Carry out a decision of the balancer.

        :param decision: :class:`Placement`, :class:`Refusal`, or None to wait.
        """
        if self.is_done:
            return
        self.is_waiting = decision is None
        if isinstance(decision, Placement):
            self.attempt(decision)
        elif isinstance(decision, Refusal):
            self.refuse(decision)
        else:
            # The job may go to a backend server that those ahead of it do not want.
            self.server.pump_soon()

    def refuse(self, refusal):
        """Give the request up, with the time to come back if it has not run."""
        if self.relay is not None and self.relay.is_started:
            self.break_off(refusal.reason, refusal.detail)
        elif self.job.n_runs:
            self.reply(502, refusal.reason, None, refusal.detail)
        else:
            self.reply(503, refusal.reason, refusal.retry_after_s, refusal.detail)

    def attempt(self, placement):
        """Send the request to a backend server."""
        self.placement = placement
        now = self.server.loop.time()
        if self.placed_at is None:
            self.placed_at = now
            self.first_placement = placement
        pool = self.server.find_pool(placement.backend)
        connection = pool.acquire()
        if connection is not None:
            self.send(connection)
        else:
            self.server.spawn(self.connect, pool, placement)

    async def connect(self, pool, placement):
        """Open a connection and send the request on it."""
        try:
            connection = await pool.open()
        except (OSError, TimeoutError) as error:
            if self.placement is placement:
                detail = str(error) or type(error).__name__
                self.end_attempt(UNREACHABLE, detail)
            return
        if self.placement is not placement:
            pool.release(connection)
            return
        if connection.is_lost:
            self.end_attempt(UNREACHABLE, "connection lost before the request")
            return
        self.send(connection)

    def send(self, connection):
        """Send the request on a connection."""
        now = self.server.loop.time()
        self.connection = connection
        self.is_listening = True
        last_event_id = None
        if isinstance(self.relay, ResumableRelay) and self.relay.last_event_id:
            last_event_id = self.relay.last_event_id
        data = write_request(
            self.request,
            self.job,
            self.placement.backend,
            self.server.names,
            self.expires_at - now,
            last_event_id,
        )
        self.silent_at = now + self.find_patience()
        request_id = self.job.request_id.encode("latin-1")
        connection.send(self, request_id, data)

    def find_patience(self):
        """Return how long the backend server may be silent, seconds."""
        route = self.job.route
        if not route.is_repeatable:
            return float("inf")
        if self.relay is not None and self.relay.is_started:
            return max(MIN_STREAM_PATIENCE_S, PATIENCE_PAUSES * route.max_pause_s)
        least = MIN_STREAM_PATIENCE_S if route.kind == STREAMING else MIN_PATIENCE_S
        return max(least, PATIENCE_AIMS * route.aim_s)

    def on_head(self, head):
        names = self.server.names
        if head.status == MISDIRECTED or head.find(names.not_run) is not None:
            self.drop_attempt(REJECTED, f"status {head.status}")
        elif head.status >= 500 and self.can_repeat(FAILED):
            self.drop_attempt(FAILED, f"status {head.status}")
        elif head.status < 300 and not self.is_genuine(head):
            self.drop_attempt(BROKEN, "response without signature")
        elif self.relay is not None and self.relay.is_started and head.status >= 300:
            self.drop_attempt(FAILED, f"status {head.status} to a resumed stream")
        else:
            self.begin_relay(head)

    def is_genuine(self, head):
        """Return whether a successful response is the backend server's own."""
        seal = head.find(self.server.names.seal)
        return seal is not None and head.find(b"content-encoding") is None

    def can_repeat(self, outcome):
        """Return whether the request would be sent again after this outcome."""
        now = self.server.loop.time()
        return self.server.balancer.can_repeat(self.placement, outcome, now)

    def begin_relay(self, head):
        """Choose how the response is passed on."""
        if self.relay is None:
            self.relay = build_relay(self, head)
        self.relay.begin(head)
        if self.job.route.kind != STREAMING:
            self.note_begun()

    def is_keep_alive(self):
        """Return whether the caller's connection takes another request."""
        if self.server.is_draining or self.request.version != "1.1":
            return False
        return self.request.is_keep_alive

    def on_data(self, data):
        now = self.server.loop.time()
        if self.relay.feed(data):
            self.note_progress(now)
        if self.caller.is_paused:
            self.pause()

    def note_progress(self, now):
        """Note that a part of the response has been passed on."""
        if self.first_at is None:
            self.first_at = now
            self.note_begun()
        else:
            self.max_pause_s = max(self.max_pause_s, now - self.last_data_at)
        self.last_data_at = now
        self.silent_at = now + self.find_patience()

    def note_begun(self):
        """Tell the balancer that the backend server works on the request."""
        if self.placement is not None and not self.placement.has_begun:
            self.server.balancer.note_begun(self.placement, self.server.loop.time())
            self.server.pump_soon()

    def on_end(self):
        self.is_listening = False
        if self.relay is None or not self.relay.end():
            self.end_attempt(BROKEN, "response ended within an event")
            return
        now = self.server.loop.time()
        head = self.relay.head
        if self.first_at is None:
            self.first_at = now
        outcome = SERVED if head.status < 500 else FAILED
        self.finish_attempt(outcome, now)
        self.close(head.status, outcome, "")
        self.caller.finish(self.is_keep_alive())

    def on_broken(self, detail):
        self.is_listening = False
        self.end_attempt(BROKEN, detail)

    def drop_attempt(self, outcome, detail):
        """End an attempt whose response is not passed on."""
        self.is_listening = False
        connection = self.connection
        if outcome in (REJECTED, FAILED):
            connection.detach()
        else:
            connection.abort()
        self.end_attempt(outcome, detail)

    def finish_attempt(self, outcome, now):
        """Account for the end of the current attempt."""
        placement, self.placement = self.placement, None
        self.connection = None
        self.silent_at = float("inf")
        if placement is not None:
            self.server.balancer.finish(placement, outcome, now)
            self.server.metrics.note_attempt(placement.job.service, outcome)
            self.server.pump_soon()
        return placement

    def end_attempt(self, outcome, detail):
        """End an attempt without a response, and repeat the request if it may be."""
        now = self.server.loop.time()
        placement = self.finish_attempt(outcome, now)
        balancer = self.server.balancer
        is_repeated = self.may_go_on() and balancer.may_repeat(placement, outcome, now)
        self.server.write_log(
            report_attempt(self, placement, outcome, detail, is_repeated, now)
        )
        if is_repeated:
            if self.last_data_at is not None:
                patience_s = self.job.route.caller_patience_s
                self.job.next_event_by = self.last_data_at + patience_s
            self.apply(balancer.submit_again(self.job, now))
        else:
            self.give_up(outcome, detail)

    def may_go_on(self):
        """Return whether what the caller has got allows another attempt."""
        if self.is_done:
            return False
        if self.relay is None or not self.relay.is_started:
            return True
        return isinstance(self.relay, ResumableRelay)

    def give_up(self, outcome, detail):
        """Give the final response after an attempt that is not repeated."""
        if self.relay is not None and self.relay.is_started:
            self.break_off(outcome, detail)
        elif self.job.n_runs:
            self.reply(502, outcome, None, detail)
        else:
            self.reply(503, outcome, FAILURE_RETRY_AFTER_S, detail)

    def break_off(self, outcome, detail):
        """Break the caller's connection, as the response cannot be completed."""
        self.close(self.relay.head.status, f"broken_off_{outcome}", detail)
        self.caller.abort()

    def reply(self, status, code, retry_after_s, detail=""):
        """Send a response of the forwarder itself."""
        if self.is_done:
            return
        names = self.server.names
        headers = []
        request_id = self.request.find(names.request_id)
        if request_id:
            headers.append((names.request_id, request_id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        body = b'{"error":"%s"}' % code.encode()
        is_keep_alive = self.is_keep_alive()
        self.close(status, code, detail)
        self.caller.write(
            write_own_response(status, body, headers, is_closing=not is_keep_alive)
        )
        self.caller.finish(is_keep_alive)

    def close(self, status, outcome, detail):
        """End the exchange: log it and count it."""
        self.is_done = True
        self.is_waiting = False
        self.status = status
        now = self.server.loop.time()
        self.server.note_closed(self, outcome, now)
        self.server.write_log(report_request(self, outcome, detail, now))

    def on_caller_gone(self):
        """Stop the work for a caller that has left."""
        if self.is_done:
            return
        now = self.server.loop.time()
        if self.is_waiting:
            self.server.balancer.withdraw(self.job)
        self.stop_attempt(ABANDONED, now)
        self.close(0, "caller_gone", "")

    def stop_attempt(self, outcome, now):
        """Stop the attempt in flight.

        A request that may run only once is left to end by itself, since to break it off
        would leave its effect unknown and cost a connection.
        """
        connection = self.connection
        if self.placement is not None:
            self.finish_attempt(outcome, now)
        if connection is None or not self.is_listening:
            return
        self.is_listening = False
        if self.job.route.kind == UNSAFE:
            connection.detach()
        else:
            connection.abort()

    def check(self, now):
        """Act on passed times.

        :param now: monotonic seconds.
        """
        if now >= self.expires_at:
            self.expire(now)
        elif now >= self.silent_at and self.placement is not None:
            self.move_on(now)

    def expire(self, now):
        """Give the final response at the end of the request's time."""
        if self.is_waiting:
            self.server.balancer.withdraw(self.job)
        was_sent = self.is_listening or self.job.n_runs > 0
        if self.placement is not None and self.is_listening:
            self.job.n_runs += 1
        self.stop_attempt(SILENT, now)
        if self.relay is not None and self.relay.is_started:
            self.break_off("timeout", "")
        elif was_sent:
            self.reply(504, "timeout", None)
        else:
            self.reply(503, "timeout", FAILURE_RETRY_AFTER_S)

    def move_on(self, now):
        """Leave a silent backend server if another one may take the request."""
        if not self.is_listening or not self.can_repeat(SILENT):
            self.silent_at = now + self.find_patience()
            return
        self.is_listening = False
        self.connection.abort()
        self.end_attempt(SILENT, "no bytes within the patience")

    def pause(self):
        """Stop reading from the backend server while the caller does not read."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self):
        """Read from the backend server again."""
        if self.connection is not None:
            self.connection.resume()
