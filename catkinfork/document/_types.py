"""Types of the environment document."""

from typing import NamedTuple

IN_SERVICE = "in_service"
OUT = "out"
LOST = "lost"
ENGINE = "engine"
SERVICE = "service"


class Workspace(NamedTuple):
    """A customer of the fleet, with its share and its callers' keys.

    :param name: name, unique in the document.
    :param share: weight in fair queueing, greater than 0.
    :param key_digests: SHA-256 digests of the callers' API keys, in hex.
    :param max_waiting: most waiting requests that one router holds for it.
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
    """Group of backend servers that serve requests of one kind.

    :param name: name, unique in the document.
    :param kind: ``engine`` or ``service``.
    :param max_cost: largest cost of a request in service units.
    """

    name: str
    kind: str
    max_cost: int


class BackendServer(NamedTuple):
    """A backend server and the address of its agent.

    :param name: name, unique in the document.
    :param data_centre: name of its data centre.
    :param pool: name of its pool.
    :param agent: internal address of its agent, ``host:port``.
    :param serves: names of the models or services that it serves.
    :param max_places: most requests that it runs concurrently.
    :param checks_fence: whether it refuses requests with an outdated fencing token.
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
    """The fleet of one environment, as its operators publish it."""

    environment: str
    version: int
    region: str
    workspaces: list[Workspace]
    data_centres: list[DataCentre]
    pools: list[Pool]
    backend_servers: list[BackendServer]
