"""Control messages between processes: liveness, document exchange and status."""

from typing import NamedTuple


class Sender(NamedTuple):
    """Identity of a process, taken from the envelope.

    :param name: internal address of the process, ``host:port``.
    :param incarnation: start time of the process in milliseconds since the epoch.
    :param version: version of the document in force at the sender, 0 if none.
    :param digest: digest of that document, empty if none.
    """

    name: str
    incarnation: int
    version: int = 0
    digest: str = ""


class Heartbeat(NamedTuple):
    """Liveness probe; probes in one direction acknowledge those in the other.

    :param sequence: sequence number, returned as ``echo`` in the peer's next probe.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the sender.
    :param leaving: whether the sender is draining.
    :param is_wanted: whether the sender itself needs the link. A probe that only
        answers another probe does not keep the link in use.
    :param echo: highest sequence number received from the peer, 0 if none.
    """

    sequence: int
    role: str
    data_centre: str
    leaving: bool = False
    is_wanted: bool = True
    echo: int = 0


class DocumentRequest(NamedTuple):
    """Request for the document in force if it is newer than ``version``/``digest``."""

    version: int
    digest: str


class DocumentReply(NamedTuple):
    """Bytes of the document in force; empty if the sender has no newer one."""

    content: bytes


class StatusRequest(NamedTuple):
    """Request for the status of a process."""

    request: int


class BackendServerStatus(NamedTuple):
    """State of a backend server as reported by its agent."""

    name: str
    data_centre: str
    state: str
    n_places: int
    n_running: int


class StatusReply(NamedTuple):
    """Status of a process.

    :param request: number of the request that this answers.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the process.
    :param version: version of the document in force.
    :param digest: digest of the document in force.
    :param has_conflict: whether different documents with this version were received.
    :param is_ready: whether the process accepts requests.
    :param backend_servers: backend server of an agent, empty for a router.
    """

    request: int
    role: str
    data_centre: str
    version: int
    digest: str
    has_conflict: bool
    is_ready: bool
    backend_servers: list[BackendServerStatus]
