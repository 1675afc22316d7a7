"""A sample document, an agent with a simulated clock, and message builders."""

from catkinfork.document import (
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
    rank_key_servers,
)
from catkinfork.execution import AgentCore, BackendHealth
from catkinfork.protocol import AgentReport, AttemptId, Send, Sender, Start
from catkinfork.settings import (
    AdminSettings,
    AgentSettings,
    BackendSettings,
    ExecutionSettings,
    FleetSettings,
    LogSettings,
    PlatformSettings,
)

ROUTER = "10.0.0.1:7000"
OTHER_ROUTER = "10.0.0.2:7000"
WALL_OFFSET_S = 1_700_000_000.0
SERVERS = ("ledger-1", "ledger-2", "ledger-3")


def make_view(
    version=1, states=None, data_centre_states=None, kind="service", max_places=4
):
    """Return a document with one pool of three servers in three data centres."""
    states = states or {}
    data_centre_states = data_centre_states or {}
    servers = [
        BackendServer(
            name,
            f"dc-{name}",
            "ledger",
            get_agent_address(name),
            ["entry"],
            max_places,
            state=states.get(name, "in_service"),
        )
        for name in SERVERS
        if states.get(name) != "missing"
    ]
    document = Document(
        "test",
        version,
        "tz-coast",
        [Workspace("w", 1, [])],
        [
            DataCentre(f"dc-{name}", data_centre_states.get(f"dc-{name}", "in_service"))
            for name in SERVERS
        ],
        [Pool("ledger", kind, 1000)],
        servers,
    )
    return DocumentView(document, b"%d" % version)


def get_agent_address(name):
    """Return the internal address of the agent of a backend server."""
    return f"10.0.1.{SERVERS.index(name) + 1}:7100"


def make_settings(name="ledger-1", **values):
    """Return the settings of an agent."""
    return AgentSettings(
        FleetSettings(get_agent_address(name), f"dc-{name}", "keys"),
        PlatformSettings("http://c", "test", "http://h"),
        AdminSettings("127.0.0.1:1"),
        BackendSettings(name, "http://b"),
        ExecutionSettings(**values),
        LogSettings(),
    )


def make_start(number, ticket, incarnation, **values):
    """Return a start of an unkeyed, idempotent request."""
    attempt = AttemptId(ROUTER, 1, number)
    start = Start(
        attempt, f"r{number}", ticket, incarnation, "w", "entry", "POST", "/", [],
        b"", 60000, "", True, b"f%d" % number, 1,
    )  # fmt: skip
    return start._replace(**values)


def make_key(at_ms, number=0):
    """Return a UUID version 7 with a given creation time."""
    value = (at_ms << 80) | (7 << 76) | (2 << 62) | number
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def list_messages(actions, kind):
    """Return the messages of a type among the actions."""
    sends = [action for action in actions if isinstance(action, Send)]
    return [send.message for send in sends if isinstance(send.message, kind)]


def list_actions(actions, kind):
    """Return the actions of a type."""
    return [action for action in actions if isinstance(action, kind)]


class AgentHarness:
    """One agent in service, with a simulated clock and a log of its actions.

    :param name: name of its backend server.
    :param view: document, by default :func:`make_view`.
    :param now: monotonic time of its start.
    """

    def __init__(self, name="ledger-1", view=None, now=1000.0, **values):
        self.now = now
        self.incarnation = int((now + WALL_OFFSET_S) * 1000)
        identity = Sender(get_agent_address(name), self.incarnation)
        self.core = AgentCore(make_settings(name, **values), identity, WALL_OFFSET_S)
        self.actions = []
        self.n_attempts = 0
        self.call(self.core.adopt, view or make_view())
        self.call(self.core.observe, BackendHealth(True, False))
        self.call(self.core.set_dispatchers, [ROUTER, OTHER_ROUTER])

    def call(self, method, *arguments):
        """Call a method at the harness's time, and record and return its actions."""
        actions = method(*arguments, self.now)
        self.actions += actions
        return actions

    def advance_clock(self, seconds):
        """Advance the clock without calling the agent."""
        self.now += seconds

    def handle(self, message, sender=ROUTER, incarnation=1):
        """Pass a message to the agent."""
        return self.call(self.core.handle, Sender(sender, incarnation), message)

    def observe(self, event):
        """Pass a backend event to the agent."""
        return self.call(self.core.observe, event)

    def run_for(self, seconds, step_s=0.1):
        """Advance the clock with ticks and return the actions."""
        actions = []
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            actions += self.call(self.core.tick)
        return actions

    @property
    def tickets(self):
        """Numbers of the open tickets."""
        return list(self.core.capacity.tickets.issued_at)

    @property
    def report(self):
        """The latest report."""
        return list_messages(self.actions, AgentReport)[-1]

    def start(self, ticket=None, **values):
        """Start a request, by default with the first open ticket.

        :returns: pair of the start and the actions.
        """
        self.n_attempts += 1
        ticket = self.tickets[0] if ticket is None else ticket
        start = make_start(self.n_attempts, ticket, self.incarnation, **values)
        return start, self.handle(start)

    def make_key(self, age_s=0.0, order=("ledger-1",)):
        """Return a time-ordered key whose ranking begins with the given servers."""
        wall_ms = int((self.now + WALL_OFFSET_S - age_s) * 1000)
        while True:
            self.n_attempts += 1
            key = make_key(wall_ms, self.n_attempts)
            if (
                tuple(rank_key_servers(make_view(), "w", key, "entry"))[: len(order)]
                == order
            ):
                return key
