"""State of the whole fleet, collected by one process for ``/status``."""

from typing import TypedDict

import anyio

from catkinfork.document import IN_SERVICE
from catkinfork.protocol import StatusRequest

STATUS_TIMEOUT_S = 0.8


class ProcessState(TypedDict):
    """One process in the response of ``/status``."""

    address: str
    role: str
    data_centre: str
    is_reachable: bool
    is_ready: bool
    version: int
    digest: str
    has_conflict: bool


class DataCentreState(TypedDict):
    """One data centre in the response of ``/status``."""

    name: str
    state: str


class BackendServerState(TypedDict):
    """One backend server in the response of ``/status``."""

    name: str
    data_centre: str
    document_state: str
    agent_state: str
    n_places: int
    n_running: int


class FleetState(TypedDict):
    """The response of ``/status``."""

    environment: str
    version: int
    digest: str
    has_conflict: bool
    processes: list[ProcessState]
    data_centres: list[DataCentreState]
    backend_servers: list[BackendServerState]


class StatusCollector:
    """Requests the state of all processes and collects their replies.

    :param process: :class:`BaseProcess`.
    """

    def __init__(self, process):
        self.process = process
        self.n_requests = 0
        self.replies = {}

    def handle_reply(self, sender, reply):
        """Store a reply to the latest request; replies to earlier ones are dropped."""
        if reply.request == self.n_requests:
            self.replies[sender.name] = reply

    async def collect(self):
        """Return the state of the fleet as :class:`FleetState`.

        Processes that do not reply within the timeout are reported as unreachable.
        """
        self.n_requests += 1
        request = StatusRequest(self.n_requests)
        addresses = self.process.list_known_addresses()
        self.replies = {}
        for address in addresses:
            self.process.transport.send(address, request)
        with anyio.move_on_after(STATUS_TIMEOUT_S):
            while len(self.replies) < len(addresses):
                await anyio.sleep(0.01)
        return self.build_fleet_state(addresses)

    def build_fleet_state(self, addresses):
        """Build the state of the fleet from the replies received so far."""
        view = self.process.configuration.view
        state = FleetState(
            environment=self.process.settings.platform.environment,
            version=view.version if view else 0,
            digest=view.digest if view else "",
            has_conflict=any(reply.has_conflict for reply in self.replies.values()),
            processes=[
                self.build_process_state(address) for address in sorted(addresses)
            ],
            data_centres=[],
            backend_servers=[],
        )
        if view is not None:
            state["data_centres"] = [
                DataCentreState(name=entry.name, state=entry.state)
                for entry in view.document.data_centres
            ]
            state["backend_servers"] = [
                self.build_backend_server_state(view, entry)
                for entry in view.document.backend_servers
            ]
        return state

    def build_process_state(self, address):
        """Build the state of one process; an unreachable one has version 0."""
        reply = self.replies.get(address)
        if reply is None:
            return ProcessState(
                address=address,
                role="",
                data_centre="",
                is_reachable=False,
                is_ready=False,
                version=0,
                digest="",
                has_conflict=False,
            )
        return ProcessState(
            address=address,
            role=reply.role,
            data_centre=reply.data_centre,
            is_reachable=True,
            is_ready=reply.is_ready,
            version=reply.version,
            digest=reply.digest,
            has_conflict=reply.has_conflict,
        )

    def build_backend_server_state(self, view, entry):
        """Build the state of one backend server."""
        reply = self.replies.get(entry.agent)
        reported = reply.backend_servers if reply else []
        status = next((item for item in reported if item.name == entry.name), None)
        data_centre = view.data_centres[entry.data_centre].state
        state = (
            entry.state if data_centre == IN_SERVICE else f"data centre {data_centre}"
        )
        return BackendServerState(
            name=entry.name,
            data_centre=entry.data_centre,
            document_state=state,
            agent_state=status.state if status else "unreachable",
            n_places=status.n_places if status else 0,
            n_running=status.n_running if status else 0,
        )
