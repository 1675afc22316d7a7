"""Types of the environment document."""

from typing import NamedTuple

IN_SERVICE = "in_service"
OUT = "out"
LOST = "lost"
ENGINE = "engine"
SERVICE = "service"


class Workspace(NamedTuple):
    """A customer of the fleet.

    :param name: name, unique in the document.
    :param share: weight in the fair order, greater than 0.
    :param key_digests: SHA-256 hex digests of the callers' keys.
    :param max_waiting: waiting requests that one router holds for it.
    """

    name: str
    share: float
    key_digests: list[str]
    max_waiting: int = 200


class DataCentre(NamedTuple):
    """A data centre and whether it is in service."""

    name: str
    state: str = IN_SERVICE


class Pool(NamedTuple):
    """Backend servers that serve the same kind of work.

    :param name: name, unique in the document.
    :param kind: ``engine`` or ``service``.
    :param max_cost: largest cost of a request in service units.
    """

    name: str
    kind: str
    max_cost: int


class BackendServer(NamedTuple):
    """A backend server.

    :param name: name, unique in the document.
    :param data_centre: its data centre.
    :param pool: its pool.
    :param agent: inner address of the agent beside it, ``host:port``.
    :param serves: models or services that it serves.
    :param max_places: most requests that run at once.
    :param checks_fence: whether it refuses orders with an old fencing number.
    :param state: ``in_service``, ``out`` or ``lost``.
    """

    name: str
    data_centre: str
    pool: str
    agent: str
    serves: list[str]
    max_places: int
    checks_fence: bool = False
    state: str = IN_SERVICE


class Document(NamedTuple):
    """What the operators of one environment publish."""

    environment: str
    version: int
    region: str
    workspaces: list[Workspace]
    data_centres: list[DataCentre]
    pools: list[Pool]
    backend_servers: list[BackendServer]
