"""Engines that can fetch cached prompt tokens from each other."""

from catkinfork.balancing import LoadFigures, Placement, PromptPart
from catkinfork.balancing.tests.support import add_backend, build_balancer, build_job
from catkinfork.topology import CallerLimits, Configuration, Engine, Service

# A hot shared part, and a request with it and tokens of its own.
SHARED = PromptPart(0xAAAA, 5000)
N_PROMPT = 7000
# An engine serves 25 tokens/ms, and its link carries 1,000.
ENGINE_TOKENS_PER_S = 25_000.0
TOKEN_BYTES = 1000.0
LINK_BYTES_PER_S = 1e9
MIN_SPEEDUP = 10.0
ENGINE = Engine(64, 500_000, TOKEN_BYTES, LINK_BYTES_PER_S)


def build_fleet(n_engines=4, min_speedup=MIN_SPEEDUP, engine=ENGINE, **options):
    """Return a balancer with engines ``e0``, ``e1``... of which none has any part.

    :param options: of :func:`configure`.
    """
    balancer = build_balancer(n_backends=0)
    settings = balancer.settings._replace(min_transfer_speedup=min_speedup)
    balancer.apply_settings(settings)
    tokens_per_s = n_engines * ENGINE_TOKENS_PER_S
    configure(balancer, engine, **{"tokens_per_s": tokens_per_s} | options)
    for number in range(n_engines):
        add_engine(balancer, number)
    return balancer


def configure(balancer, engine=ENGINE, tokens_per_s=100_000.0, version=2):
    """Put figures of the engines in force."""
    service = Service("s", max_connections=1000, engine=engine)
    limits = CallerLimits(tokens_per_s=tokens_per_s)
    balancer.apply_configuration(Configuration(version, (), {"s": service}, limits, ()))


def add_engine(balancer, number, **options):
    """Add an engine with an address of its own, or replace its entry."""
    values = {"address": f"10.0.0.{number + 1}:8000"} | options
    add_backend(balancer, f"e{number}", **values)


def hold(balancer, *numbers, parts=(SHARED,)):
    """Let engines have prompt parts in their caches."""
    for number in numbers:
        balancer.record_cached_parts(find_backend(balancer, number), dict(parts))


def load(balancer, *numbers, n_pending=12_000):
    """Load engines with pending tokens of a peer."""
    for number in numbers:
        state = balancer.pools["s"].find(f"e{number}")
        state.load.set_peer_load("peer", LoadFigures(1, n_pending, n_pending))


def find_backend(balancer, number):
    """Return an engine."""
    return balancer.registry.backends[f"e{number}"]


def find_source(balancer, number):
    """Return the :class:`TransferSource` of an engine."""
    return balancer.pools["s"].find(f"e{number}").source


def place(balancer, now=0.0, own=1, **options):
    """Place a request with the shared part, and return the placement."""
    placement = balancer.submit(build_request(now, own, **options), now)
    assert isinstance(placement, Placement)
    return placement


def build_request(now=0.0, own=1, **options):
    """Return a job with the shared part.

    :param own: id of the part that only this request has.
    """
    parts = (SHARED, PromptPart(own, N_PROMPT - SHARED.n_tokens))
    return build_job(now, **({"n_prompt": N_PROMPT, "parts": parts} | options))


def send(balancer, placement, now=0.0):
    """Send a placed request and return the address of its source, or None."""
    return balancer.transfers.send(placement, now)


def start(balancer, now=0.0, **options):
    """Place and send a request that fetches, and return the placement."""
    placement = place(balancer, now, **options)
    assert send(balancer, placement, now) is not None
    return placement


def forget(balancer, *numbers):
    """Let engines be sound and lack all prompt parts."""
    for number in numbers:
        state = balancer.pools["s"].find(f"e{number}")
        state.load.prefixes.parts.clear()
        state.load.prefixes.n_tokens = 0
        state.health.ejected_until = 0.0
        state.health.failure_rate = 0.0


def check_until(balancer, since, until):
    """Check for late transfers every 25 ms, as a process does."""
    n_checks = round((until - since) / 0.025)
    for number in range(n_checks + 1):
        balancer.transfers.check(since + 0.025 * number)


def list_events(balancer, name):
    """Return the fields of the log events with a name."""
    return [
        dict(zip(one.event.fields, one.values, strict=True))
        for one in balancer.write_log.__self__
        if one.event.name == name
    ]
