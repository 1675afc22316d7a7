"""The router process."""

import time

from catkinfork.dispatch import Dispatcher
from catkinfork.gateway import (
    BaseRequestHandler,
    Gateway,
    ResponseData,
    ResponseHead,
)
from catkinfork.processes._base import BaseProcess
from catkinfork.processes._server import (
    ErrorLoggingMiddleware,
    bind_port,
)
from catkinfork.protocol import (
    AgentReport,
    Demand,
    Grant,
    PoolSummary,
    ResponsePart,
    Sender,
    StartRefused,
)
from catkinfork.routing import Refuse, Respond, RouterCore

AGENT_LIVENESS_TIMEOUT_S = 3.0


class RouterProcess(BaseProcess, BaseRequestHandler):
    """A router: gateway, queues and, for some pools, the dispatcher.

    :param settings: :class:`RouterSettings`.
    """

    role = "router"

    def __init__(self, settings):
        super().__init__(settings)
        identity = Sender(self.fleet.address, self.incarnation)
        self.core = RouterCore(settings, identity, self.rng)
        self.pool_dispatchers = {}
        self.exchanges = {}

    # Interface to the gateway.

    def find_view(self):
        return self.configuration.view if self.has_started else None

    def read_clock(self):
        return time.monotonic()

    def submit(self, request, exchange):
        now = time.monotonic()
        self.exchanges[request.request_id] = exchange
        self.execute_actions(self.core.submit(request, now), now)
        self.wake_up.set()

    def abandon(self, request_id):
        now = time.monotonic()
        self.exchanges.pop(request_id, None)
        self.execute_actions(self.core.abandon(request_id, now), now)
        self.wake_up.set()

    def write_log(self, action):
        self.log.write(action)

    # Interface to the process.

    def list_cores(self):
        return [self.core, *self.pool_dispatchers.values()]

    def handle(self, sender, message, now):
        if isinstance(message, Demand | AgentReport):
            dispatcher = self.pool_dispatchers.get(message.pool)
            return dispatcher.handle(sender, message, now) if dispatcher else []
        if isinstance(message, PoolSummary) and sender.name != self.fleet.address:
            dispatcher = self.pool_dispatchers.get(message.pool)
            if dispatcher is not None:
                dispatcher.record_summary(message, now)
        if isinstance(message, Grant | PoolSummary | ResponsePart | StartRefused):
            return self.core.handle(sender, message, now)
        return None

    def handle_incarnation(self, sender, message, now):
        return self.core.handle(sender, message, now)

    def execute_role_action(self, action, now):
        if isinstance(action, Respond):
            self.forward_response_part(action)
        elif isinstance(action, Refuse):
            exchange = self.exchanges.pop(action.request_id, None)
            if exchange is not None:
                exchange.push(action.refusal)

    def forward_response_part(self, action):
        """Push a part of a response to the exchange of its request."""
        exchange = self.exchanges.get(action.request_id)
        if exchange is None:
            return
        if action.status:
            exchange.push(ResponseHead(action.status, action.headers))
        if action.data or action.is_last:
            exchange.push(ResponseData(action.data, action.is_last))
        if action.is_last:
            del self.exchanges[action.request_id]

    def adopt(self, view, now):
        actions = []
        for pool in view.pools:
            if pool not in self.pool_dispatchers:
                identity = Sender(self.fleet.address, self.incarnation)
                self.pool_dispatchers[pool] = Dispatcher(pool, identity, self.rng)
        for dispatcher in self.pool_dispatchers.values():
            actions += dispatcher.adopt(view, now)
        return actions + self.core.adopt(view, now)

    def set_dispatchers(self, pool, addresses, now):
        others = [name for name in addresses if name != self.fleet.address]
        self.pool_dispatchers[pool].set_standbys(others)
        return self.core.set_dispatchers(pool, addresses, now)

    def review(self, now):
        actions = []
        view = self.configuration.view
        for entry in view.document.backend_servers if view else ():
            peer = self.peers.peers.get(entry.agent)
            if peer is None or peer.last_heard_at is None:
                continue
            if now - peer.last_heard_at > AGENT_LIVENESS_TIMEOUT_S:
                actions += self.core.drop_agent(entry.agent, now)
        return actions

    def list_pools(self):
        view = self.configuration.view
        return sorted(view.pools) if view else []

    def count_open_requests(self):
        return self.core.n_open

    def start_drain(self, now):
        return self.core.drain(now)

    def list_backend_servers(self):
        return []

    def drain_timeout_s(self):
        return self.settings.routing.drain_timeout_s

    # Background tasks and metrics.

    def bind(self):
        super().bind()
        self.gateway_socket = bind_port(self.settings.gateway.bind)

    def list_background_tasks(self):
        return [*super().list_background_tasks(), self.serve_callers]

    async def serve_callers(self):
        """Serve the gateway on the port for callers."""
        gateway = Gateway(self.settings.gateway, self)
        await self.serve(
            ErrorLoggingMiddleware(gateway, "callers", self.log.write),
            self.gateway_socket,
            self.settings.gateway.max_header_bytes,
        )

    def list_metrics(self):
        yield from self.list_process_metrics()
        yield (
            "catkinfork_requests_open",
            "Requests that wait or run",
            {},
            self.core.n_open,
        )
        for pool, dispatcher in sorted(self.pool_dispatchers.items()):
            yield (
                "catkinfork_dispatcher_active",
                "Whether this router is the dispatcher of the pool",
                {"pool": pool},
                int(dispatcher.is_active),
            )
