"""What a local fleet consists of."""

from typing import NamedTuple


class ServerLayout(NamedTuple):
    """A backend server of the local fleet.

    :param name: name in the document.
    :param data_centre: its data centre.
    :param pool: its pool.
    :param serves: models or services.
    :param max_places: ``max_places`` in the document.
    :param options: further options of the stand-in.
    """

    name: str
    data_centre: str
    pool: str
    serves: tuple[str, ...]
    max_places: int = 4
    options: tuple[str, ...] = ()


class FleetLayout(NamedTuple):
    """What a local fleet consists of.

    :param data_centres: names of the data centres.
    :param servers: backend servers.
    :param router_data_centres: data centre of each router.
    :param workspaces: share of each workspace by its name.
    :param pools: kind of each pool by its name.
    :param max_cost: ``max_cost`` of each pool in the document.
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
