"""The two installations of design section 1.4 and their documents."""

from typing import NamedTuple

from catkinfork.document import (
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
)

ENGINE_POOL = "assistant"
MODEL = "contract-draft"
MAX_COST = 2000
N_WORKSPACES = 16
N_LARGE = 4
N_ROUTERS = 3


class Shape(NamedTuple):
    """Sizes and delays of an installation.

    :param name: name in the table.
    :param data_centres: names of the data centres.
    :param n_engines: model backend servers.
    :param service: name of the plain service and of its pool.
    :param n_services: backend servers of the plain service.
    :param latency_s: one-way latency between data centres.
    :param leaving: data centre that is taken out of service and returned.
    """

    name: str
    data_centres: tuple[str, ...]
    n_engines: int
    service: str
    n_services: int
    latency_s: float
    leaving: str


SHAPES = (
    Shape(
        "Authority",
        ("nyarugenge", "gasabo", "kicukiro"),
        5,
        "orders",
        3,
        0.0015,
        "gasabo",
    ),
    Shape(
        "Consortium",
        ("dsm-kariakoo", "dsm-mbezi", "tanga-port", "moro-gate"),
        9,
        "ledger",
        4,
        0.0005,
        "dsm-mbezi",
    ),
)
N_ENGINE_PLACES = 8


def list_workspaces():
    """Return the workspaces: large ones with shares 3 and 2 first, others share 1."""
    shares = [3.0, 2.0, 2.0, 2.0] + [1.0] * (N_WORKSPACES - N_LARGE)
    return [
        Workspace(f"workspace-{number:02}", share, [])
        for number, share in enumerate(shares)
    ]


def list_servers(shape):
    """Return the backend servers, distributed over the data centres in turn."""
    servers = []
    kinds = (
        ("runner", shape.n_engines, ENGINE_POOL, MODEL, N_ENGINE_PLACES),
        (shape.service, shape.n_services, shape.service, shape.service, 4),
    )
    for kind, n_servers, pool, target, n_places in kinds:
        for number in range(n_servers):
            data_centre = shape.data_centres[number % len(shape.data_centres)]
            name = f"{kind}-{number}"
            agent = f"{name}:7100"
            servers.append(
                BackendServer(name, data_centre, pool, agent, [target], n_places)
            )
    return servers


def build_view(shape, version=1, out=""):
    """Return the :class:`DocumentView` of a shape.

    :param out: data centre that is out of service, empty for none.
    """
    document = Document(
        "bench",
        version,
        "bench",
        list_workspaces(),
        [
            DataCentre(name, "out" if name == out else "in_service")
            for name in shape.data_centres
        ],
        [
            Pool(ENGINE_POOL, "engine", MAX_COST),
            Pool(shape.service, "service", 1000),
        ],
        list_servers(shape),
    )
    return DocumentView(document, repr(document).encode())


def list_routers(shape):
    """Return pairs of internal address and data centre of the routers."""
    return [
        (f"router-{number}:7000", shape.data_centres[number % len(shape.data_centres)])
        for number in range(N_ROUTERS)
    ]
