"""One attempt of a request at a backend server: its connection and read timeout."""

from math import inf

from catkinfork.balancing import (
    ABANDONED,
    BROKEN,
    CONNECTION_REFUSED,
    FAILED,
    PROBE_RESULT_S,
    REJECTED,
    SILENT,
    STREAM_UNKNOWN,
    UNREACHABLE,
    is_open_probe,
    may_queue,
    place_elsewhere,
)
from catkinfork.forwarding._backend import BaseResponseListener
from catkinfork.forwarding._caller import report_error
from catkinfork.forwarding._events import ABANDONED_ATTEMPT_ENDED
from catkinfork.forwarding._request_events import build_attempt_event
from catkinfork.forwarding._requests import encode_request
from catkinfork.forwarding._responses import classify_outcome
from catkinfork.forwarding._resumption import has_uncertain_origin
from catkinfork.forwarding._timeouts import compute_read_timeout_s
from catkinfork.observability import log_event
from catkinfork.topology import UNSAFE


class Attempt(BaseResponseListener):
    """An attempt of an exchange.

    :param exchange: :class:`Exchange`.
    :param placement: :class:`Placement`.

    ``version`` is that of the backend server when the request was sent, or None.
    """

    def __init__(self, exchange, placement):
        self.exchange = exchange
        self.server = exchange.server
        self.placement = placement
        self.connection = None
        self.version = None
        self.is_awaiting_response = False
        self.read_timeout_at = inf

    def start(self):
        """Send the request on an idle connection, or on a new one."""
        pool = self.server.get_pool(self.placement.backend)
        connection = pool.acquire()
        if connection is not None:
            self.send(connection)
        else:
            self.server.spawn(self.connect, pool)

    async def connect(self, pool):
        """Open a connection and send the request, unless the attempt has ended.

        :param pool: :class:`ConnectionPool`.
        """
        try:
            connection = await pool.open()
        except ConnectionRefusedError as error:
            self.fail_to_connect(CONNECTION_REFUSED, str(error))
            return
        except Exception as error:
            if not isinstance(error, (OSError, TimeoutError)):
                report_error(self.server.loop, error)
            self.fail_to_connect(UNREACHABLE, str(error) or type(error).__name__)
            return
        if self.exchange.attempt is not self:
            pool.release(connection)
        elif connection.is_lost:
            detail = "connection lost before the request was sent"
            self.fail_to_connect(UNREACHABLE, detail)
        else:
            self.run(self.send, connection)

    def run(self, action, *arguments):
        """Call a method, whose error ends the exchange with a response."""
        self.server.run(self.exchange, action, *arguments)

    def fail_to_connect(self, outcome, detail):
        """End the attempt, whose request was not sent."""
        if self.exchange.attempt is self:
            self.run(self.exchange.end_attempt, outcome, detail)

    def send(self, connection):
        """Send the request, unless nobody waits for it or it has to go elsewhere."""
        now = self.server.loop.time()
        exchange = self.exchange
        job = exchange.job
        if now >= job.deadline_at or exchange.has_caller_left():
            connection.pool.release(connection)
            exchange.withdraw(now)
            return
        if job.version is not None and has_uncertain_origin(exchange, now):
            connection.pool.release(connection)
            exchange.finish_attempt(ABANDONED, now)
            exchange.send_failure(STREAM_UNKNOWN, "")
            return
        backend = self.placement.backend
        is_usable = self.server.balancer.registry.is_usable(backend, now)
        if not is_usable or not job.accepts(backend):
            connection.pool.release(connection)
            exchange.place_anew(now)
            return
        self.connection = connection
        self.placement.connected_at = connection.opened_at
        self.version = backend.entry.version
        self.is_awaiting_response = True
        exchange.was_sent = True
        exchange.framing = ""
        data = encode_request(
            exchange.request,
            job,
            backend,
            self.server.names,
            job.deadline_at - now,
            exchange.last_event_id,
            self.server.balancer.transfers.send(self.placement, now),
        )
        self.restart_read_timeout(now)
        connection.send(self, job.request_id.encode("latin-1"), data)

    def restart_read_timeout(self, now):
        """Count the read timeout from now."""
        route = self.exchange.job.route
        is_started = self.exchange.has_response_started
        self.read_timeout_at = now + compute_read_timeout_s(route, is_started)

    def fail_over(self, now):
        """Move the request to another backend server that has room for it.

        Otherwise the attempt goes on, as a sound backend server may fall silent for a
        while: a stream that was given up and had to wait could be cut. A request
        without any response is given up while others wait, and waits in turn.
        """
        exchange = self.exchange
        balancer = self.server.balancer
        detail = "no data within the read timeout"
        moved = None
        if exchange.is_retryable():
            moved = place_elsewhere(balancer, self.placement, now)
        if moved is not None:
            self.drop(SILENT)
            exchange.finish_attempt(SILENT, now)
            self.server.write_log(
                build_attempt_event(exchange, self.placement, SILENT, detail, True, now)
            )
            exchange.start_attempt(moved)
        elif not exchange.has_response_started and may_queue(
            balancer, self.placement, now
        ):
            exchange.drop_attempt(SILENT, detail)
        else:
            self.restart_read_timeout(now)

    def is_ambiguous(self, head):
        """Return whether a response may belong to an earlier request.

        A faulty backend server may repeat one on a connection that is kept. Without an
        id, not even a refusal says anything of this request.
        """
        if self.connection.n_sent == 1:
            return False
        return head.find_header(self.server.names.request_id) is None

    def on_head(self, head):
        self.run(self.exchange.handle_head, head)

    def on_data(self, data):
        self.run(self.exchange.handle_data, data)

    def on_end(self):
        self.is_awaiting_response = False
        # It may be in the pool again. The end of the response may fill the buffers of
        # the caller, which pauses the connection of the attempt.
        self.connection = None
        self.run(self.exchange.handle_end)

    def on_error(self, detail):
        self.is_awaiting_response = False
        self.run(self.exchange.end_attempt, BROKEN, detail)

    def drop(self, outcome):
        """Discard the response; the connection is kept if the response is sound."""
        self.is_awaiting_response = False
        if outcome in (REJECTED, FAILED):
            self.connection.detach()
        else:
            self.connection.abort()

    def stop(self):
        """Stop waiting for the response.

        An unsafe request is left to complete, since aborting it would leave its effect
        unknown and cost a connection. How it ends is recorded. One that is to tell
        whether a prompt part crashes engines goes on for a moment.
        """
        if not self.is_awaiting_response:
            return
        self.is_awaiting_response = False
        if self.exchange.job.route.kind == UNSAFE:
            self.connection.detach(AbandonedAttempt(self))
        elif is_open_probe(self.placement):
            AbandonedProbe(self).observe(self.connection)
        else:
            self.connection.abort()

    def pause(self):
        """Pause reading from the backend server."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self):
        """Resume reading from the backend server."""
        if self.connection is not None:
            self.connection.resume()
            now = self.server.loop.time()
            self.server.balancer.record_reading_resumed(self.placement, now)


class AbandonedAttempt(BaseResponseListener):
    """Records the outcome of an attempt whose response nobody waits for any more.

    :param attempt: :class:`Attempt` that was stopped.
    """

    def __init__(self, attempt):
        self.server = attempt.server
        self.placement = attempt.placement
        relay = attempt.exchange.relay
        self.head = None if relay is None else relay.head

    def on_head(self, head):
        self.head = head

    def on_data(self, data):
        pass

    def on_end(self):
        self.record(classify_outcome(self.head, self.server.names))

    def on_error(self, detail):
        self.record(BROKEN)

    def record(self, outcome):
        """Record the outcome."""
        server = self.server
        now = server.loop.time()
        server.balancer.record_late_outcome(self.placement, outcome, now)
        server.write_log(
            log_event(
                ABANDONED_ATTEMPT_ENDED,
                request_id=self.placement.job.request_id,
                backend_server=self.placement.backend.name,
                outcome=outcome,
                attempt_s=round(now - self.placement.placed_at, 4),
            )
        )


class AbandonedProbe(AbandonedAttempt):
    """Records whether a backend server survives a probe that nobody waits for any more.

    Load pattern: a sound prompt part is refused beside the crashing one, and the caller
    of each request that could clear it leaves at its first event.
    """

    def observe(self, connection):
        """Read the response for a moment, then cancel the request.

        :param connection: :class:`BackendConnection`.
        """
        connection.listener = self
        connection.resume()
        self.server.loop.call_later(
            PROBE_RESULT_S, self.cancel, connection, connection.n_sent
        )

    def cancel(self, connection, n_sent):
        """Cancel the request, unless it has ended.

        :param n_sent: number of the request on its connection.
        """
        if connection.listener is self and connection.n_sent == n_sent:
            connection.abort()

    def on_data(self, data):
        now = self.server.loop.time()
        self.server.balancer.record_abandoned_event(self.placement, now)
