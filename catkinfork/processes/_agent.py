"""The agent process."""

import time

import anyio

from catkinfork.backends import EngineBackend, ServiceBackend
from catkinfork.document import ENGINE
from catkinfork.execution import (
    REFUSED,
    AgentCore,
    BackendFailure,
    CancelRequest,
    RunRequest,
)
from catkinfork.processes._base import BaseProcess
from catkinfork.protocol import (
    Cancel,
    Claim,
    ClaimReply,
    ReportAck,
    ResponseAck,
    Resume,
    Sender,
    Start,
    TicketReturn,
)

AGENT_MESSAGES = (
    Cancel,
    Claim,
    ClaimReply,
    ReportAck,
    ResponseAck,
    Resume,
    Start,
    TicketReturn,
)
ROUTER_LIVENESS_TIMEOUT_S = 3.0


class AgentProcess(BaseProcess):
    """An agent: the only process that executes requests on its backend server.

    :param settings: :class:`AgentSettings`.
    """

    role = "agent"

    def __init__(self, settings):
        super().__init__(settings)
        identity = Sender(self.fleet.address, self.incarnation)
        wall_offset_s = time.time() - time.monotonic()
        self.core = AgentCore(settings, identity, wall_offset_s)
        self.backend = None
        self.has_backend = anyio.Event()
        self.tasks = None
        self.cancel_scopes = {}

    def list_cores(self):
        return [self.core]

    def handle(self, sender, message, now):
        if isinstance(message, AGENT_MESSAGES):
            return self.core.handle(sender, message, now)
        return None

    def execute_role_action(self, action, now):
        if isinstance(action, RunRequest):
            self.tasks.start_soon(self.run_request, action.start, now)
        elif isinstance(action, CancelRequest):
            scope = self.cancel_scopes.get(action.attempt)
            if scope is not None:
                scope.cancel()

    async def run_request(self, start, decided_at):
        """Run one request on the backend server.

        If the process was paused between the decision and this point, the request is
        refused: the decision may be out of date, for example because the data centre
        has been taken out of service since.
        """
        start_delay_s = time.monotonic() - decided_at
        if start_delay_s > self.settings.execution.ticket_lifetime_s:
            detail = (
                f"the process was paused for {start_delay_s:.1f} s before the start"
            )
            self.handle_backend_event(BackendFailure(start.attempt, REFUSED, detail))
            return
        with anyio.CancelScope() as scope:
            self.cancel_scopes[start.attempt] = scope
            try:
                await self.backend.run(start, self.handle_backend_event)
            finally:
                del self.cancel_scopes[start.attempt]

    def handle_backend_event(self, event):
        """Handle an event of the backend client."""
        now = time.monotonic()
        self.execute_actions(self.core.observe(event, now), now)
        self.wake_up.set()

    def adopt(self, view, now):
        entry = view.backend_servers.get(self.settings.backend.name)
        if entry is not None and self.backend is None:
            is_engine = view.pools[entry.pool].kind == ENGINE
            backend_type = EngineBackend if is_engine else ServiceBackend
            self.backend = backend_type(self.settings.backend, self.incarnation)
            self.has_backend.set()
        return self.core.adopt(view, now)

    def set_dispatchers(self, pool, addresses, now):
        return self.core.set_dispatchers(addresses, now)

    def review(self, now):
        actions = self.core.set_leaving(self.is_leaving(), now)
        for address, peer in list(self.peers.peers.items()):
            if peer.role != "router" or peer.last_heard_at is None:
                continue
            if now - peer.last_heard_at > ROUTER_LIVENESS_TIMEOUT_S:
                actions += self.core.drop_router(address, now)
        return actions

    def is_leaving(self):
        """Return whether this process should not be given new work.

        That is so before it has started, while it drains, and while the host list
        marks its host as leaving.
        """
        listed = any(
            host.address == self.fleet.address and host.state == "leaving"
            for host in self.hosts
        )
        return listed or self.is_draining or not self.has_started

    def list_pools(self):
        view = self.configuration.view
        entry = view.backend_servers.get(self.settings.backend.name) if view else None
        return [entry.pool] if entry is not None else []

    def count_open_requests(self):
        return self.core.n_running

    def start_drain(self, now):
        return self.core.set_leaving(True, now)

    def list_backend_servers(self):
        return [self.core.list_status()]

    def drain_timeout_s(self):
        return self.settings.execution.drain_timeout_s

    async def run(self):
        async with anyio.create_task_group() as self.tasks:
            await super().run()
            self.tasks.cancel_scope.cancel()

    def list_background_tasks(self):
        return [*super().list_background_tasks(), self.watch_backend]

    async def watch_backend(self):
        """Poll the health of the backend server once its client exists."""
        await self.has_backend.wait()
        await self.backend.watch_health(self.handle_backend_event)

    def list_metrics(self):
        yield from self.list_process_metrics()
        status = self.core.list_status()
        labels = {"backend_server": status.name}
        yield ("catkinfork_places", "Places now", labels, status.n_places)
        yield (
            "catkinfork_requests_running",
            "Requests that run",
            labels,
            status.n_running,
        )
        for workspace, total in self.core.runner.meter.totals.items():
            yield (
                "catkinfork_delivered_service_units",
                "Service units delivered since the start",
                {"workspace": workspace, **labels},
                total.units,
            )
