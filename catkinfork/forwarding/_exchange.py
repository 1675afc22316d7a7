"""Handling of one request: attempts, retries, timeouts and the response."""

from math import inf

from catkinfork.balancing import (
    ABANDONED,
    BROKEN,
    FAILED,
    SERVED,
    SILENT,
    Placement,
    Refusal,
)
from catkinfork.forwarding._attempt import Attempt
from catkinfork.forwarding._caller import BadRequestError
from catkinfork.forwarding._messages import encode_refusal
from catkinfork.forwarding._relay import (
    OversizedEventError,
    ResumableStreamRelay,
    build_relay,
)
from catkinfork.forwarding._request_events import (
    build_attempt_event,
    build_request_event,
)
from catkinfork.forwarding._requests import build_job
from catkinfork.forwarding._responses import find_fault
from catkinfork.forwarding._resumption import (
    StreamResumption,
    bind_stream,
    has_uncertain_origin,
    is_resumption,
)
from catkinfork.topology import STREAMING

# Lag of the event loop above which the connection of a caller is checked before its
# request is sent, seconds.
CHECKED_LAG_S = 0.05
# Retry-After of failures of requests that were not executed, seconds.
FAILURE_RETRY_AFTER_S = 0.2
NOT_READY_RETRY_AFTER_S = 0.5


class Exchange:
    """A request and its attempts.

    :param server: :class:`ForwardingServer`.
    :param caller: :class:`CallerConnection`.
    :param request: :class:`Request`.
    """

    def __init__(self, server, caller, request):
        self.server = server
        self.caller = caller
        self.request = request
        self.job = None
        self.attempt = None
        self.first_placement = None
        self.relay = None
        self.resumption = None
        self.is_bound = False
        self.is_done = False
        self.is_waiting = False
        self.was_sent = False
        self.expires_at = inf
        self.placed_at = None
        self.first_data_at = None
        self.last_data_at = None
        self.max_pause_s = 0.0
        self.status = 0
        self.framing = ""

    @property
    def read_timeout_at(self):
        """Return the monotonic time at which the current attempt counts as silent."""
        return inf if self.attempt is None else self.attempt.read_timeout_at

    @property
    def has_response_started(self):
        """Return whether a part of a response was sent to the caller."""
        return self.relay is not None and self.relay.is_started

    @property
    def last_event_id(self):
        """Return the id of the last event that was sent to the caller, or None."""
        if not isinstance(self.relay, ResumableStreamRelay):
            return None
        return self.relay.last_event_id or None

    def start(self):
        """Route the request and submit it to the balancer."""
        server = self.server
        now = server.loop.time()
        if server.unavailable_because:
            self.reply(503, server.unavailable_because, NOT_READY_RETRY_AFTER_S)
            return
        if self.has_caller_left():
            self.close(0, "caller_gone", f"loop_lag_s={server.lag.lag_s:.3f}")
            self.caller.abort()
            return
        try:
            self.job = build_job(
                server.routes, server.names, self.request, server.rng.random(), now
            )
        except BadRequestError as error:
            self.reply(error.status, error.code, None)
            return
        self.expires_at = self.job.deadline_at
        # The request may have waited in its socket for as long as the loop was behind.
        self.job.deadline_at -= server.lag.lag_s
        server.add_exchange(self)
        if is_resumption(self):
            self.resumption = StreamResumption(self)
            self.resumption.start(now)
        else:
            self.submit(now)

    def submit(self, now):
        """Submit the request to the balancer."""
        self.handle_decision(self.server.balancer.submit(self.job, now))

    def has_caller_left(self):
        """Return whether the caller has closed its connection while the loop lagged.

        A loop that keeps up has read the end of the connection already.
        """
        return self.server.lag.lag_s > CHECKED_LAG_S and self.caller.has_peer_closed()

    def handle_decision(self, decision):
        """Act on a decision of the balancer.

        :param decision: :class:`Placement`, :class:`Refusal`, or None to wait.
        """
        if self.is_done:
            return
        self.is_waiting = decision is None
        if isinstance(decision, Placement):
            self.start_attempt(decision)
        elif isinstance(decision, Refusal):
            self.refuse(decision)
        else:
            # The job may fit a backend server that the jobs ahead of it cannot use.
            self.server.schedule_dispatch()

    def refuse(self, refusal):
        """Refuse the request, with ``Retry-After`` if it was not executed."""
        self.send_failure(refusal.reason, refusal.detail, refusal.retry_after_s)

    def start_attempt(self, placement):
        """Start an attempt at a backend server."""
        if self.placed_at is None:
            self.placed_at = self.server.loop.time()
            self.first_placement = placement
        self.attempt = Attempt(self, placement)
        self.attempt.start()

    def place_anew(self, now):
        """Place the request elsewhere, as its backend server has become unusable."""
        attempt, self.attempt = self.attempt, None
        self.handle_decision(self.server.balancer.place_anew(attempt.placement, now))

    def withdraw(self, now):
        """End the exchange before its attempt is sent.

        Its deadline has passed, or its caller has left.
        """
        self.finish_attempt(ABANDONED, now)
        if now >= self.job.deadline_at:
            self.expire(now)
            return
        self.on_caller_disconnected()
        self.caller.abort()

    def handle_head(self, head):
        """Relay a response, or end its attempt."""
        self.framing = head.framing
        fault = find_fault(self, head)
        if fault is None:
            self.begin_relay(head)
        else:
            self.drop_attempt(*fault)

    def begin_relay(self, head):
        """Pass the head to the relay, which is built for the first response.

        A relay that has sent nothing is replaced, so that the head and the body that
        the caller receives are of the same response.
        """
        if not self.has_response_started:
            self.relay = build_relay(self, head)
        self.relay.handle_head(head)
        if self.job.route.kind != STREAMING:
            self.record_event()

    def is_keep_alive(self):
        """Return whether the connection of the caller accepts another request.

        A host that drains, is behind or has many closes connections, once it has
        answered all that has arrived on them.
        """
        if self.request.version != "1.1" or not self.request.is_keep_alive:
            return False
        if self.caller.requests:
            return True
        return not self.server.closes_connections()

    def handle_data(self, data):
        """Relay a part of the body."""
        now = self.server.loop.time()
        try:
            has_progress = self.relay.handle_data(data)
        except OversizedEventError:
            self.drop_attempt(BROKEN, "event without an end")
            return
        if self.has_response_started and not self.is_bound:
            self.is_bound = True
            bind_stream(self, now)
        if has_progress:
            self.record_progress(now)
        if self.caller.is_paused:
            self.pause()

    def record_progress(self, now):
        """Record that a part of the response was relayed."""
        if self.first_data_at is None:
            self.first_data_at = now
        else:
            self.max_pause_s = max(self.max_pause_s, now - self.last_data_at)
        self.last_data_at = now
        self.record_event()
        self.attempt.restart_read_timeout(now)

    def record_event(self):
        """Inform the balancer of an event; the first one may make room."""
        placement = self.attempt.placement
        is_first = not placement.has_first_event
        self.server.balancer.record_event(placement, self.server.loop.time())
        if is_first:
            self.server.schedule_dispatch()

    def handle_end(self):
        """Complete the response, unless its body is incomplete."""
        if self.relay is None or not self.relay.handle_end():
            self.end_attempt(BROKEN, "response ended with an incomplete event")
            return
        now = self.server.loop.time()
        head = self.relay.head
        if self.first_data_at is None:
            self.first_data_at = now
        outcome = SERVED if head.status < 500 else FAILED
        self.finish_attempt(outcome, now)
        self.close(head.status, outcome, "")
        self.caller.finish(not self.relay.is_closing)

    def drop_attempt(self, outcome, detail):
        """End an attempt whose response is not relayed."""
        self.attempt.drop(outcome)
        self.end_attempt(outcome, detail)

    def finish_attempt(self, outcome, now):
        """Release the current attempt and record its outcome.

        :returns: its :class:`Placement`.
        """
        placement = self.attempt.placement
        self.attempt = None
        self.server.balancer.handle_attempt_end(placement, outcome, now)
        self.server.metrics.record_attempt(placement.job.service, outcome)
        self.server.schedule_dispatch()
        return placement

    def end_attempt(self, outcome, detail):
        """End a failed attempt, then retry the request or report the failure."""
        now = self.server.loop.time()
        placement = self.finish_attempt(outcome, now)
        balancer = self.server.balancer
        is_repeated = self.is_retryable() and balancer.allows_retry(
            placement, outcome, now
        )
        self.server.write_log(
            build_attempt_event(self, placement, outcome, detail, is_repeated, now)
        )
        if is_repeated:
            if self.last_data_at is not None:
                timeout_s = self.job.route.caller_idle_timeout_s
                self.job.next_event_deadline_at = self.last_data_at + timeout_s
            self.handle_decision(balancer.resubmit(self.job, now))
        else:
            self.send_failure(outcome, detail)

    def is_retryable(self):
        """Return whether the response sent so far allows another attempt."""
        if self.is_done:
            return False
        if not self.has_response_started:
            return True
        is_resumable = isinstance(self.relay, ResumableStreamRelay)
        return is_resumable and not has_uncertain_origin(self, self.server.loop.time())

    def send_failure(self, code, detail, retry_after_s=FAILURE_RETRY_AFTER_S):
        """Send the final response to a request that is not attempted again.

        :param code: refusal code, or outcome of the last attempt.
        :param retry_after_s: value for ``Retry-After`` if it was not executed, seconds.
        """
        if self.has_response_started:
            self.abort_response(code, detail)
        elif self.job.n_runs:
            self.reply(502, code, None, detail)
        else:
            self.reply(503, code, retry_after_s, detail)

    def abort_response(self, outcome, detail):
        """Abort the caller's connection because the response cannot be completed."""
        self.close(self.relay.head.status, f"broken_off_{outcome}", detail)
        self.caller.abort()

    def reply(self, status, code, retry_after_s, detail=""):
        """Send a response generated by the forwarder."""
        if self.is_done:
            return
        name = self.server.names.request_id
        request_id = (name, self.request.find_header(name))
        is_keep_alive = self.is_keep_alive()
        data = encode_refusal(status, code, request_id, retry_after_s, is_keep_alive)
        self.close(status, code, detail)
        self.caller.write(data)
        self.caller.finish(is_keep_alive)

    def close(self, status, outcome, detail):
        """End the exchange, log it and record its metrics."""
        self.is_done = True
        self.is_waiting = False
        self.status = status
        now = self.server.loop.time()
        self.server.remove_exchange(self, outcome, now)
        self.server.write_log(build_request_event(self, outcome, detail, now))

    def on_caller_disconnected(self):
        """Cancel the request after its caller has disconnected."""
        if self.is_done:
            return
        now = self.server.loop.time()
        if self.is_waiting:
            self.server.balancer.withdraw(self.job)
        self.stop_attempt(ABANDONED, now)
        self.close(0, "caller_gone", "")

    def stop_attempt(self, outcome, now):
        """Stop the attempt in flight, if there is one."""
        attempt = self.attempt
        if attempt is None:
            return
        self.finish_attempt(outcome, now)
        attempt.stop()

    def handle_timeouts(self, now):
        """Handle expired timeouts.

        :param now: monotonic seconds.
        """
        if now >= self.expires_at:
            self.expire(now)
        elif now >= self.read_timeout_at:
            self.attempt.fail_over(now)

    def expire(self, now):
        """Send the final response when the deadline of the request has passed."""
        self.end(SILENT, 504, "timeout", now)

    def end(self, outcome, status, code, now):
        """Send the final response, whatever the state of the request.

        :param outcome: outcome of the attempt in flight.
        :param status: status if a backend server may execute the request.
        """
        if self.is_waiting:
            self.server.balancer.withdraw(self.job)
        attempt = self.attempt
        is_running = attempt is not None and attempt.is_awaiting_response
        was_sent = is_running or (self.job is not None and self.job.n_runs > 0)
        self.stop_attempt(outcome, now)
        if self.has_response_started:
            self.abort_response(code, "")
        elif was_sent:
            self.reply(status, code, None)
        else:
            self.reply(503, code, FAILURE_RETRY_AFTER_S)

    def pause(self):
        """Pause reading from the backend server while the caller reads too slowly."""
        if self.attempt is not None:
            self.attempt.pause()

    def resume(self):
        """Resume reading from the backend server."""
        if self.attempt is not None:
            self.attempt.resume()
