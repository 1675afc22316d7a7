"""HTTP server for callers, with the connection pools of the backend servers."""

import select
import socket
import time
from functools import partial
from math import inf
from operator import attrgetter

from catkinfork.balancing import ABANDONED, STOPPING
from catkinfork.forwarding._caller import (
    INTERNAL_ERROR,
    CallerConnection,
    report_error,
)
from catkinfork.forwarding._connections import ConnectionLimit, count_descriptors
from catkinfork.forwarding._events import REQUEST_REJECTED
from catkinfork.forwarding._exchange import Exchange
from catkinfork.forwarding._lag import LagMonitor
from catkinfork.forwarding._messages import MISDIRECTED_REQUEST
from catkinfork.forwarding._metrics import ForwarderMetrics
from catkinfork.forwarding._numbers import parse_decimal
from catkinfork.forwarding._pool import ConnectionPool
from catkinfork.forwarding._request_events import build_cut_event
from catkinfork.forwarding._sockets import poll_socket
from catkinfork.observability import log_event
from catkinfork.topology import CallerLimits, split_address

LISTEN_BACKLOG = 1024
# Listeners on the same socket: uvloop accepts one connection for each in an iteration
# of the loop, so that with a single one new connections wait under load.
N_LISTENERS = 8
# Time between two dispatches of waiting requests, as a multiple of the duration of the
# first one; it bounds the fraction of the loop that a long queue takes.
DISPATCH_PAUSE_RATIO = 3.0
# Interval between checks of timeouts and queued requests, seconds.
SWEEP_INTERVAL_S = 0.025
LEAVING = b"1"
RETRY_AFTER = b"retry-after"
LAST_ACTIVE = attrgetter("last_active_at")
SERVICE_UNAVAILABLE = 503
MAX_LOGGED_BYTES = 40
# Interval between checks of idle connections, seconds.
IDLE_SWEEP_INTERVAL_S = 0.25


class ForwardingServer:
    """Server for callers, and the state that its requests share.

    :param balancer: :class:`Balancer`.
    :param names: :class:`HeaderNames`.
    :param loop: event loop.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    :param spawn: callable that starts a coroutine function with arguments as a task.

    ``stop_signalled_at`` is the monotonic time of the signal to stop, or None.
    ``cache_lookup`` is the :class:`CacheLookup` of the engines, or None, and
    ``request_read`` and ``request_past`` callables that have the store, or its history,
    read soon, or None.
    """

    def __init__(self, balancer, names, loop, rng, write_log, spawn):
        self.balancer = balancer
        self.names = names
        self.loop = loop
        self.rng = rng
        self.write_log = write_log
        self.spawn = spawn
        self.metrics = ForwarderMetrics()
        self.routes = None
        self.limits = CallerLimits()
        self.callers = set()
        self.connection_limit = ConnectionLimit(count_descriptors())
        self.exchanges = {}
        self.resumptions = set()
        self.cache_lookup = None
        self.request_read = None
        self.request_past = None
        self.pools = {}
        self.listeners = []
        self.lag = LagMonitor()
        self.is_draining = False
        self.is_stopping = False
        self.stop_signalled_at = None
        self.is_dispatch_scheduled = False
        self.next_dispatch_at = 0.0
        self.next_idle_sweep_at = 0.0

    @property
    def version(self):
        """Return the version of the configuration in force, 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    @property
    def unavailable_because(self):
        """Return the code with which all requests are refused, or an empty string."""
        if self.routes is None:
            return "not_configured"
        return STOPPING if self.is_stopping else ""

    def apply_configuration(self, routes):
        """Apply a configuration.

        :param routes: :class:`RouteTable`.
        """
        self.routes = routes
        self.limits = routes.configuration.limits
        self.balancer.apply_configuration(routes.configuration)
        self.balancer.origins.apply_configuration(
            routes.configuration, self.loop.time()
        )

    async def listen(self, address):
        """Start to accept connections.

        :param address: ``host:port``.
        """
        host, port = split_address(address, min_port=0)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        for listener_socket in [sock, *(sock.dup() for _ in range(N_LISTENERS - 1))]:
            listener = await self.loop.create_server(
                lambda: CallerConnection(self),
                sock=listener_socket,
                backlog=LISTEN_BACKLOG,
            )
            self.listeners.append(listener)

    def has_backlog(self):
        """Return whether connections wait to be accepted."""
        if not self.listeners:
            return False
        return poll_socket(self.listeners[0].sockets[0], select.POLLIN)

    def close_listener(self):
        """Stop accepting connections."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()

    def close_idle_callers(self):
        """Close connections without a request in progress."""
        for caller in list(self.callers):
            if caller.is_idle():
                caller.is_discarding = True
                caller.transport.close()

    def has_requests(self):
        """Return whether any request is in progress, or may still be read.

        Nothing more is read from connections that close.
        """
        return bool(self.exchanges) or any(
            caller.requests or not caller.is_discarding for caller in self.callers
        )

    def end_requests(self):
        """Send the final response to each request, also to those that are being read.

        From now on, new requests are refused.
        """
        self.is_stopping = True
        now = self.loop.time()
        for exchange in list(self.exchanges.values()):
            if exchange.placed_at is not None:
                self.write_log(build_cut_event(exchange, self.stop_signalled_at, now))
            exchange.end(ABANDONED, 502, STOPPING, now)
        for caller in list(self.callers):
            if caller.is_reading_head or caller.is_reading_body:
                caller.reject(503, STOPPING)

    def closes_connections(self):
        """Return whether callers are to use other connections, or other hosts."""
        return (
            self.is_draining
            or self.lag.is_behind
            or self.connection_limit.is_crowded(len(self.callers))
        )

    def close_excess_callers(self):
        """Close the connections that have been idle for longest, if there are many.

        Those whose first request is yet to come stay open.
        """
        now = self.loop.time()
        n_excess = self.connection_limit.count_excess(len(self.callers), now)
        if not n_excess:
            return
        for caller in sorted(self.callers, key=LAST_ACTIVE):
            if caller.request is not None and caller.is_idle():
                caller.is_discarding = True
                caller.transport.close()
                n_excess -= 1
                if not n_excess:
                    return

    def add_caller(self, caller):
        """Add a connection of a caller."""
        self.callers.add(caller)
        self.close_excess_callers()

    def remove_caller(self, caller):
        """Remove a connection of a caller."""
        self.callers.discard(caller)

    def open_exchange(self, caller, request):
        """Return a new exchange for a request."""
        return Exchange(self, caller, request)

    def run(self, exchange, action, *arguments):
        """Call a method of an exchange, whose request is answered even if it fails.

        An unexpected error would otherwise close the connection of the caller without a
        response, leave it without one, or end the process.
        """
        try:
            action(*arguments)
        except Exception as error:
            report_error(self.loop, error)
            try:
                end_after_error(exchange, self.loop.time())
            except Exception as further_error:
                report_error(self.loop, further_error)
                self.exchanges.pop(exchange.job, None)
                exchange.caller.abort()

    def add_exchange(self, exchange):
        """Add an exchange whose timeouts are checked from now on."""
        self.exchanges[exchange.job] = exchange

    def remove_exchange(self, exchange, outcome, now):
        """Remove an exchange that has ended and record its metrics."""
        self.exchanges.pop(exchange.job, None)
        self.metrics.record_request(exchange, outcome, now)

    def log_rejection(self, caller, status, code):
        """Log a request that was rejected before routing."""
        peer = caller.transport.get_extra_info("peername")
        request = caller.request
        request_id = request.find_header(self.names.request_id) if request else None
        self.write_log(
            log_event(
                REQUEST_REJECTED,
                peer=peer[0] if peer else "",
                status=status,
                code=code,
                request_id=(request_id or b"").decode("latin-1"),
            )
        )

    def get_pool(self, backend):
        """Return the connection pool of a backend server, creating it if necessary.

        One that has started again under its name gets new connections, whose responses
        count for that start, and may have another address.
        """
        pool = self.pools.get(backend.name)
        address = backend.entry.address
        started_ms = backend.entry.started_ms
        if pool is not None and not pool.is_of(address, started_ms):
            self.pools.pop(backend.name).close()
            pool = None
        if pool is None:
            pool = ConnectionPool(
                address,
                self.names,
                self.loop,
                partial(self.handle_response_head, backend, started_ms),
                started_ms,
            )
            self.pools[backend.name] = pool
        return pool

    def handle_response_head(self, backend, started_ms, status, headers, is_expected):
        """Handle what a backend server says of itself in any of its responses.

        :param backend: :class:`Backend` for which the connection pool was created.
        :param started_ms: Unix time of its start at that time, milliseconds.
        :param headers: headers by name.
        :param is_expected: whether it is the final response to the request in progress.
        """
        if status == MISDIRECTED_REQUEST:
            # Another backend server, which has the address now.
            return
        # Its entry may have been removed and published again since.
        backend = self.balancer.registry.backends.get(backend.name, backend)
        if backend.entry.started_ms != started_ms:
            # A late response of a former start, which says nothing of this one.
            return
        value = headers.get(RETRY_AFTER)
        if status == SERVICE_UNAVAILABLE and value is not None:
            self.balancer.registry.throttle(
                backend,
                parse_decimal(value),
                value[:MAX_LOGGED_BYTES].decode("latin-1"),
                self.loop.time(),
            )
        limit = headers.get(self.names.rate_limit)
        # An interim or a late response does not show that a limit was lifted.
        if is_expected or limit is not None:
            self.record_rate_limit(backend, limit)
        is_leaving = headers.get(self.names.leaving) == LEAVING
        if is_leaving and self.balancer.mark_leaving(backend):
            self.loop.call_soon(self.close_unused_pools)

    def record_rate_limit(self, backend, value):
        """Record the limit that a response names, or that it names none any more.

        :param value: value of the header, or None.
        """
        rate_limits = self.balancer.registry.rate_limits
        entry = backend.entry
        if value is None and rate_limits.find(entry) is None:
            return
        now = self.loop.time()
        rate = inf if value is None else parse_decimal(value)
        if rate is None:
            shown = value[:MAX_LOGGED_BYTES].decode("latin-1")
            rate_limits.ignore(entry, shown, now)
            return
        self.balancer.record_rate_limit(backend, rate, now)

    def close_unused_pools(self):
        """Close the pools of backend servers that accept no more requests."""
        backends = self.balancer.registry.backends
        for name in list(self.pools):
            backend = backends.get(name)
            if backend is None or not backend.is_ready:
                self.pools.pop(name).close()
        for pool in self.balancer.pools.values():
            pool.remove_other_backends(backends.keys())

    def schedule_dispatch(self):
        """Schedule the dispatch of waiting requests after the current callback."""
        if not self.is_dispatch_scheduled and self.balancer.has_waiting():
            self.is_dispatch_scheduled = True
            delay_s = self.next_dispatch_at - self.loop.time()
            self.loop.call_later(max(0.0, delay_s), self.dispatch_waiting)

    def dispatch_waiting(self):
        """Dispatch waiting requests to backend servers."""
        self.is_dispatch_scheduled = False
        started_at = self.loop.time()
        decisions = self.balancer.dispatch_queued(started_at)
        duration_s = time.monotonic() - started_at
        self.next_dispatch_at = started_at + (1.0 + DISPATCH_PAUSE_RATIO) * duration_s
        decided = [(self.exchanges[job], decision) for job, decision in decisions]
        for exchange, decision in decided:
            self.run(exchange, exchange.handle_decision, decision)

    def check_resumption(self, resumption, now):
        """Check whether it is known by now where a stream goes on.

        :param resumption: :class:`StreamResumption`.
        """
        if resumption.check(now):
            self.resumptions.discard(resumption)

    def sweep(self):
        """Handle expired timeouts, waiting requests and idle connections."""
        now = self.loop.time()
        for exchange in list(self.exchanges.values()):
            if now >= exchange.expires_at or now >= exchange.read_timeout_at:
                self.run(exchange, exchange.handle_timeouts, now)
        for resumption in list(self.resumptions):
            self.run(resumption.exchange, self.check_resumption, resumption, now)
        self.balancer.transfers.check(now)
        self.schedule_dispatch()
        if now >= self.next_idle_sweep_at:
            self.next_idle_sweep_at = now + IDLE_SWEEP_INTERVAL_S
            for caller in list(self.callers):
                caller.close_if_idle(now)
            self.close_unused_pools()
            for pool in self.pools.values():
                pool.close_stale(now)


def end_after_error(exchange, now):
    """Send the final response to a request whose handling has failed.

    Whether it was executed is not known if it was ever sent.
    """
    if exchange.is_done:
        if exchange.caller.exchange is exchange:
            exchange.caller.abort()
        return
    if exchange.was_sent:
        exchange.job.n_runs = max(1, exchange.job.n_runs)
    exchange.end(ABANDONED, 502, INTERNAL_ERROR, now)
