"""Layout of a local fleet: data centres, servers, workspaces and pools."""

from typing import NamedTuple


class ServerLayout(NamedTuple):
    """A backend server of the local fleet.

    :param name: name in the environment document.
    :param data_centre: name of its data centre.
    :param pool: name of its pool.
    :param serves: names of the models or services that it serves.
    :param max_places: ``max_places`` in the environment document.
    :param options: additional command-line options of the stand-in.
    """

    name: str
    data_centre: str
    pool: str
    serves: tuple[str, ...]
    max_places: int = 4
    options: tuple[str, ...] = ()


class FleetLayout(NamedTuple):
    """Layout of a local fleet.

    :param data_centres: names of the data centres.
    :param servers: backend servers.
    :param router_data_centres: data centre of each router.
    :param workspaces: share of each workspace, by name.
    :param pools: kind of each pool, by name.
    :param max_cost: ``max_cost`` of each pool in the environment document.
    """

    data_centres: tuple[str, ...]
    servers: tuple[ServerLayout, ...]
    router_data_centres: tuple[str, ...]
    workspaces: dict[str, float]
    pools: dict[str, str]
    max_cost: int = 20000


SMALL_LAYOUT = FleetLayout(
    data_centres=("gasabo", "kicukiro"),
    servers=(
        ServerLayout("runner-1", "gasabo", "assistant", ("contract-draft",)),
        ServerLayout("runner-2", "kicukiro", "assistant", ("contract-draft",)),
        ServerLayout("runner-3", "kicukiro", "assistant", ("contract-draft",)),
        ServerLayout("ledger-1", "gasabo", "ledger", ("ledger",)),
        ServerLayout("ledger-2", "kicukiro", "ledger", ("ledger",)),
    ),
    router_data_centres=("gasabo", "kicukiro"),
    workspaces={"dealers": 2.0, "depots": 1.0},
    pools={"assistant": "engine", "ledger": "service"},
)
