"""Decoding of configuration documents and backend server entries."""

from math import inf
from typing import Literal

import msgspec

from catkinfork.platform._figures import NOT_STATED, FigureReader
from catkinfork.topology import (
    MAX_DURATION_S,
    MAX_SLOTS,
    STREAMING,
    BackendEntry,
    BaseDecoder,
    CallerLimits,
    Configuration,
    ConfigurationItem,
    Engine,
    EntryItem,
    EvacuationItem,
    Route,
    Service,
    TrafficShare,
    UnconfiguredItem,
    UnreadableItem,
    Workspace,
    check_id,
    check_integer,
    check_number,
    check_text,
    limit_detail,
    split_address,
)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENTRY_PREFIX = "servers/"

# Callers of a stream disconnect after the longest of three times without an event: a
# minimum in seconds, and multiples of the latency aim and the longest pause of the
# route.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_PER_AIM = 4.0
CALLER_TIMEOUT_PER_PAUSE = 8.0

# Largest entry that is read. One has some 300 bytes, so that newer software may add
# much to it.
MAX_ENTRY_BYTES = 65_536

# Bounds far beyond those of real engines: bytes of memory per token, and megabits per
# second of a link.
TOKEN_BYTES_BOUNDS = (1.0, 1e9)
LINK_MBPS_BOUNDS = (1e-3, 1e8)
# The same for the generated tokens in one event of a stream.
EVENT_TOKENS_BOUNDS = (1.0, 1e6)
BYTES_PER_MEGABIT = 125_000


class TrafficSplitDocument(msgspec.Struct):
    """A target of a route and its weight."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct):
    """A route. ``sticky`` marks requests that list the parts of their prompt."""

    name: str
    host: str
    prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: float
    aim_ms: float
    service: str | None = None
    traffic_split: list[TrafficSplitDocument] = []
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class EngineDocument(msgspec.Struct):
    """Limits of a model engine. ``kv_capacity`` is its KV cache size in tokens.

    A scaled deployment may publish fractions here and in the other limits; they are
    rounded down. ``kv_bytes`` is the memory of a token, ``link_mbps`` the rate of the
    link of an engine, and ``stride`` the number of generated tokens in one event of a
    stream; these are optional.
    """

    slots: float
    kv_capacity: float
    stride: msgspec.Raw = NOT_STATED
    kv_bytes: msgspec.Raw = NOT_STATED
    link_mbps: msgspec.Raw = NOT_STATED


class ServiceDocument(msgspec.Struct):
    """A service. ``cold_per_s`` is the request rate that a cold one can take."""

    name: str
    health_path: str = "/"
    max_connections: float = 64.0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineDocument | None = None


class LimitsDocument(msgspec.Struct):
    """Limits of callers. ``tokens_per_s`` is the token rate of all engines."""

    max_header_bytes: float
    max_body_bytes: float
    header_timeout_ms: float
    idle_timeout_ms: float
    tokens_per_s: float = 0.0


class TenantDocument(msgspec.Struct):
    """A workspace and its API keys."""

    name: str
    api_keys: list[str] = []


class ConfigurationDocument(msgspec.Struct):
    """The configuration that operators publish."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument
    tenants: list[TenantDocument] = []


class EntryDocument(msgspec.Struct):
    """Entry of a backend server. ``born`` is its start as Unix time in milliseconds."""

    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    version: str
    born: int = 0


# Errors of values that cannot be decoded or cannot be right; nested ones exceed the
# depth of recursion.
UNREADABLE = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)

_CONFIGURATION = msgspec.json.Decoder(ConfigurationDocument)
_ENTRY = msgspec.json.Decoder(EntryDocument)


class PlatformDecoder(BaseDecoder):
    """Decodes items of the platform's store.

    ``services`` has the names of the services in the newest configuration, ``version``
    its version, and ``figures`` its optional figures.
    """

    def __init__(self):
        self.version = 0
        self.services = set()
        self.figures = {}

    def decode(self, item):
        key = item.key
        try:
            if key == CONFIGURATION_KEY:
                return self.decode_configuration(item)
            if key.startswith(ENTRY_PREFIX):
                return self.decode_entry(key[len(ENTRY_PREFIX) :], item)
            if key.startswith(EVACUATION_PREFIX):
                name = check_text(key[len(EVACUATION_PREFIX) :], "data centre")
                return EvacuationItem(name, item.value is not None)
        except UNREADABLE as error:
            is_entry = key.startswith(ENTRY_PREFIX)
            name = key[len(ENTRY_PREFIX) :] if is_entry else ""
            return UnreadableItem(name, limit_detail(str(error)), is_entry)
        return None

    def decode_configuration(self, item):
        """Return the decoded configuration, or None if the item was removed."""
        if item.value is None:
            return None
        document = _CONFIGURATION.decode(item.value)
        reader = FigureReader(self.figures)
        configuration = convert_configuration(document, reader)
        if configuration.version >= self.version:
            self.version = configuration.version
            self.services = configuration.list_services()
            self.figures = reader.values
        return ConfigurationItem(configuration, tuple(reader.ignored))

    def decode_entry(self, name, item):
        """Return the decoded entry of a backend server, or its removal.

        :raises ValueError: if a value is invalid.
        """
        if item.value is None:
            return EntryItem(name, None)
        check_id(name, "id")
        if not item.value:
            raise ValueError(
                f"expected base64 of 1 to {MAX_ENTRY_BYTES} bytes as the value"
            )
        check_integer(len(item.value), "size in bytes", 0, MAX_ENTRY_BYTES)
        document = check_entry(_ENTRY.decode(item.value))
        entry = BackendEntry(
            name=name,
            service=document.service,
            address=document.address,
            data_centre=document.zone,
            n_slots=document.slots,
            state=document.state,
            cold_s=document.cold_remaining_ms / 1000,
            sequence=document.sequence,
            started_ms=document.born,
            version=document.version,
        )
        if self.services and entry.service not in self.services:
            return UnconfiguredItem(entry)
        return EntryItem(name, entry)


def check_entry(document):
    """Check the values of an entry, of which another writer may have written any.

    :raises ValueError: if one cannot be right.
    """
    check_text(document.service, "service")
    check_text(document.zone, "zone")
    check_text(document.version, "version")
    check_integer(document.slots, "slots", 1, MAX_SLOTS)
    check_integer(document.sequence, "sequence")
    check_integer(document.born, "born")
    check_number(document.cold_remaining_ms, "cold_remaining_ms", 1000 * MAX_DURATION_S)
    split_address(document.address)
    return document


def convert_configuration(document, reader):
    """Convert a document to a :class:`Configuration`.

    :param reader: :class:`FigureReader`.
    :raises ValueError: if a value cannot be right.
    """
    return Configuration(
        version=check_integer(document.version, "version"),
        routes=tuple(convert_route(route) for route in document.routes),
        services={
            service.name: convert_service(service, reader)
            for service in document.services
        },
        limits=convert_limits(document.limits),
        workspaces=tuple(convert_tenant(tenant) for tenant in document.tenants),
    )


def convert_limits(limits):
    """Convert a document to :class:`CallerLimits`.

    :raises ValueError: if a value cannot be right.
    """
    for what in LimitsDocument.__struct_fields__:
        check_number(getattr(limits, what), what)
    return CallerLimits(
        max_header_bytes=int(limits.max_header_bytes),
        max_body_bytes=int(limits.max_body_bytes),
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
        tokens_per_s=limits.tokens_per_s,
    )


def convert_tenant(tenant):
    """Convert a document to a :class:`Workspace`.

    :raises ValueError: if its name cannot be right.
    """
    return Workspace(check_text(tenant.name, "tenant"), tuple(tenant.api_keys))


def convert_route(route):
    """Convert a document to a :class:`Route`.

    :raises ValueError: if the route has neither a service nor a traffic split, or a
        value cannot be right.
    """
    check_integer(route.max_attempts, "max_attempts")
    for what in ("timeout_ms", "aim_ms", "gap_target_ms"):
        check_number(getattr(route, what), what)
    targets = [convert_split(split) for split in route.traffic_split]
    if not targets:
        if route.service is None:
            raise ValueError(f"route {route.name!r} has no service")
        targets = [TrafficShare(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=route.kind,
        targets=tuple(targets),
        timeout_s=route.timeout_ms / 1000,
        latency_target_s=route.aim_ms / 1000,
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        has_prompt=route.sticky,
        max_event_gap_s=route.gap_target_ms / 1000,
        caller_idle_timeout_s=compute_caller_timeout(route),
    )


def convert_split(split):
    """Convert a document to a :class:`TrafficShare`.

    :raises ValueError: if its weight cannot be right.
    """
    return TrafficShare(split.service, check_number(split.weight, "weight"))


def compute_caller_timeout(route):
    """Return the time without an event after which callers disconnect, seconds."""
    if route.kind != STREAMING:
        return inf
    by_aim_s = CALLER_TIMEOUT_PER_AIM * route.aim_ms / 1000
    by_pause_s = CALLER_TIMEOUT_PER_PAUSE * route.gap_target_ms / 1000
    return max(MIN_CALLER_TIMEOUT_S, by_aim_s, by_pause_s)


def convert_service(service, reader):
    """Convert a document to a :class:`Service`.

    :param reader: :class:`FigureReader`.
    :raises ValueError: if a value cannot be right.
    """
    for what in ("max_connections", "cold_s", "cold_per_s"):
        check_number(getattr(service, what), what)
    return Service(
        name=check_text(service.name, "service"),
        health_path=service.health_path,
        max_connections=max(1, int(service.max_connections)),
        cold_s=service.cold_s,
        cold_rate=service.cold_per_s,
        engine=convert_engine(service.engine, service.name, reader),
    )


def convert_engine(engine, name, reader):
    """Convert a document to an :class:`Engine`, or None to None.

    :param name: name of its service.
    :param reader: :class:`FigureReader`.
    :raises ValueError: if a value cannot be right.
    """
    if engine is None:
        return None
    n_slots = int(check_number(engine.slots, "slots"))
    n_memory_tokens = int(check_number(engine.kv_capacity, "kv_capacity"))
    token_bytes = reader.read(name, "kv_bytes", engine.kv_bytes, TOKEN_BYTES_BOUNDS)
    link_mbps = reader.read(name, "link_mbps", engine.link_mbps, LINK_MBPS_BOUNDS)
    n_event_tokens = reader.read(name, "stride", engine.stride, EVENT_TOKENS_BOUNDS)
    return Engine(
        max(1, n_slots),
        max(1, n_memory_tokens),
        token_bytes,
        BYTES_PER_MEGABIT * link_mbps,
        int(n_event_tokens),
    )
