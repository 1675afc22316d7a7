"""Messages about the processes themselves: liveness, document and status."""

from typing import NamedTuple


class Sender(NamedTuple):
    """Identity of a process, taken from the envelope.

    :param name: inner address of the process, ``host:port``.
    :param incarnation: start time of the process in milliseconds since the epoch.
    :param version: version of the document in force at the sender, 0 for none.
    :param digest: digest of that document, empty for none.
    """

    name: str
    incarnation: int
    version: int = 0
    digest: str = ""


class Heartbeat(NamedTuple):
    """Liveness probe; each side's probes acknowledge those of the other.

    :param sequence: number that the other side's next probe repeats.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the sender.
    :param leaving: whether the sender is draining.
    :param is_wanted: whether the sender needs the link itself. A probe that only
        answers another probe does not keep the link in use.
    :param echo: greatest number received from the other side, 0 for none.
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
    """The bytes of a document; empty if the sender has none."""

    content: bytes


class StatusRequest(NamedTuple):
    """Request for the state of a process."""

    request: int


class BackendServerStatus(NamedTuple):
    """State of a backend server as its agent sees it."""

    name: str
    data_centre: str
    state: str
    n_places: int
    n_running: int


class StatusReply(NamedTuple):
    """State of a process.

    :param request: number of the request.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the process.
    :param version: version in force.
    :param digest: digest in force.
    :param has_conflict: whether two documents with this version were seen.
    :param is_ready: whether the process takes work.
    :param backend_servers: the agent's own backend server, else empty.
    """

    request: int
    role: str
    data_centre: str
    version: int
    digest: str
    has_conflict: bool
    is_ready: bool
    backend_servers: list[BackendServerStatus]
