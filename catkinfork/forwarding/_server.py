"""Serving of callers: connections, requests and the pools of backend servers."""

from catkinfork.forwarding._caller import CallerConnection
from catkinfork.forwarding._events import REQUEST_REJECTED
from catkinfork.forwarding._exchange import Exchange
from catkinfork.forwarding._metrics import ForwarderMetrics
from catkinfork.forwarding._pool import ConnectionPool
from catkinfork.observability import log_event
from catkinfork.topology import CallerLimits, split_address

LISTEN_BACKLOG = 1024
# Time between two checks of timeouts and waiting requests, seconds.
SWEEP_INTERVAL_S = 0.025
# Time between two checks of idle connections, seconds.
IDLE_SWEEP_INTERVAL_S = 0.25


class ForwardingServer:
    """Requests in progress and everything that they share.

    :param balancer: :class:`Balancer`.
    :param names: :class:`HeaderNames`.
    :param loop: event loop.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    :param spawn: callable that starts a coroutine function with arguments as a task.
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
        self.exchanges = {}
        self.pools = {}
        self.listener = None
        self.is_draining = False
        self.is_pump_due = False
        self.next_idle_sweep_at = 0.0

    @property
    def version(self):
        """Return the version of the configuration in force, 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def configure(self, routes):
        """Take a configuration.

        :param routes: :class:`RouteTable`.
        """
        self.routes = routes
        self.limits = routes.configuration.limits
        self.balancer.configure(routes.configuration)

    async def listen(self, address):
        """Accept callers.

        :param address: ``host:port``.
        """
        host, port = split_address(address, min_port=0)
        self.listener = await self.loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def close_listener(self):
        """Accept no more callers."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close_idle_callers(self):
        """Close connections that carry no request."""
        for caller in list(self.callers):
            if caller.exchange is None and not caller.is_reading_body:
                caller.is_discarding = True
                caller.transport.close()

    def add(self, caller):
        """Add a connection."""
        self.callers.add(caller)

    def discard(self, caller):
        """Remove a connection."""
        self.callers.discard(caller)

    def open_exchange(self, caller, request):
        """Return the exchange for a request."""
        return Exchange(self, caller, request)

    def note_open(self, exchange):
        """Add an exchange to those whose times are checked."""
        self.exchanges[exchange.job] = exchange

    def note_closed(self, exchange, outcome, now):
        """Count an exchange that has ended."""
        self.exchanges.pop(exchange.job, None)
        self.metrics.note_request(exchange, outcome, now)

    def note_rejected(self, caller, status, code):
        """Log a request that was refused before it was routed."""
        peer = caller.transport.get_extra_info("peername")
        request = caller.request
        request_id = request.find(self.names.request_id) if request else None
        self.write_log(
            log_event(
                REQUEST_REJECTED,
                peer=peer[0] if peer else "",
                status=status,
                code=code,
                request_id=(request_id or b"").decode("latin-1"),
            )
        )

    def find_pool(self, backend):
        """Return the connections to a backend server."""
        pool = self.pools.get(backend.name)
        if pool is None:
            address = backend.entry.address
            pool = ConnectionPool(address, self.names, self.loop)
            self.pools[backend.name] = pool
        return pool

    def drop_pools(self):
        """Close the connections to backend servers that take no more requests."""
        backends = self.balancer.registry.backends
        for name in list(self.pools):
            backend = backends.get(name)
            if backend is None or not backend.is_ready:
                self.pools.pop(name).close()
        for pool in self.balancer.pools.values():
            pool.keep_only(backends.keys())

    def pump_soon(self):
        """Place waiting requests once the current callback is done."""
        if not self.is_pump_due and self.balancer.has_waiting():
            self.is_pump_due = True
            self.loop.call_soon(self.pump)

    def pump(self):
        """Place waiting requests."""
        self.is_pump_due = False
        decisions = self.balancer.pump(self.loop.time())
        decided = [(self.exchanges[job], decision) for job, decision in decisions]
        for exchange, decision in decided:
            exchange.apply(decision)

    def sweep(self):
        """Act on passed times."""
        now = self.loop.time()
        for exchange in list(self.exchanges.values()):
            if now >= exchange.expires_at or now >= exchange.silent_at:
                exchange.check(now)
        if self.balancer.has_waiting():
            self.pump()
        if now >= self.next_idle_sweep_at:
            self.next_idle_sweep_at = now + IDLE_SWEEP_INTERVAL_S
            for caller in list(self.callers):
                caller.check_idle(now)
            for pool in self.pools.values():
                pool.close_stale(now)
