"""Builders for a balancer with backend servers and a simulated clock."""

import random

from catkinfork.balancing import (
    SERVED,
    Balancer,
    BalancerSettings,
    Job,
    Placement,
    PromptPart,
    RetryBudgetSettings,
)
from catkinfork.topology import (
    READY,
    SAFE,
    STREAMING,
    BackendEntry,
    BackendRegistry,
    CallerLimits,
    Configuration,
    Engine,
    Route,
    Service,
    TrafficShare,
    Workspace,
)


class Peers:
    """Stub of the peer statistics with fixed numbers of forwarders."""

    def __init__(self, n_fresh=1, n_forwarders=1):
        self.fresh = n_fresh
        self.forwarders = n_forwarders

    def count_fresh(self, now):
        """Return the number of forwarders with fresh state."""
        return self.fresh

    def count_forwarders(self, now):
        """Return the number of all forwarders."""
        return self.forwarders

    def compute_state_age_s(self, now):
        """Return the age of the oldest peer state."""
        return 0.0


def build_balancer(
    n_backends=3,
    engine=True,
    peers=None,
    n_slots=64,
    cold_rate=0.0,
    tokens_per_s=100_000.0,
    retry_budget=None,
    max_connections=1000,
):
    """Return a balancer for the service ``s`` with backend servers ``b0``, ``b1``..."""
    events = []
    registry = BackendRegistry(events.append)
    settings = BalancerSettings(
        "gasabo", 4.0, retry_budget or RetryBudgetSettings(0.2, 10, 10.0)
    )
    balancer = Balancer(
        registry, peers or Peers(), settings, random.Random(1), events.append
    )
    limits = Engine(n_slots, 500_000) if engine else None
    service = Service(
        "s", max_connections=max_connections, cold_rate=cold_rate, engine=limits
    )
    workspaces = tuple(Workspace(name, ()) for name in "abcdefgh")
    balancer.apply_configuration(
        Configuration(
            1, (), {"s": service}, CallerLimits(tokens_per_s=tokens_per_s), workspaces
        )
    )
    for number in range(n_backends):
        add_backend(balancer, f"b{number}", n_slots)
    return balancer


def add_backend(
    balancer,
    name,
    n_slots=64,
    data_centre="gasabo",
    cold_s=0.0,
    version="v1",
    at=0.0,
    **options,
):
    """Add a backend server.

    :param at: monotonic time at which it is added, seconds.
    """
    entry = BackendEntry(
        name,
        "s",
        "127.0.0.1:1",
        data_centre,
        n_slots,
        READY,
        cold_s,
        1,
        version=version,
        **options,
    )
    balancer.registry.apply_entry(entry, at, "test")


def build_route(kind=STREAMING, **options):
    """Return a route to the service."""
    values = {
        "timeout_s": 10.0,
        "latency_target_s": 0.3,
        "max_attempts": 2,
        "is_resumable": True,
        "has_prompt": True,
    } | options
    return Route("r", "h", "/r/", kind, (TrafficShare("s", 1.0),), **values)


PLAIN = build_route(SAFE, is_resumable=False, has_prompt=False)


def build_job(
    now=0.0, route=None, workspace="a", n_prompt=1000, n_output=100, parts=(), **options
):
    """Return a job."""
    route = route or build_route()
    job = Job("r1", route, "s", workspace, now, now + route.timeout_s)
    if route.has_prompt:
        job.n_prompt_tokens = n_prompt
        job.n_output_tokens = n_output
    job.parts = tuple(PromptPart(*part) for part in parts)
    for name, value in options.items():
        setattr(job, name, value)
    return job


def submit(balancer, now, **options):
    """Submit a new job and return the decision."""
    return balancer.submit(build_job(now, **options), now)


def serve(balancer, placement, now):
    """Complete an attempt successfully."""
    assert isinstance(placement, Placement)
    balancer.record_first_event(placement, now)
    balancer.handle_attempt_end(placement, SERVED, now)
