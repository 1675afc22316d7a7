"""Random faults in any order: at most one execution, and no false ``not_run``."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from catkinfork.execution import BackendHealth
from catkinfork.execution.tests._support import OTHER_ROUTER, ROUTER, SERVERS
from catkinfork.execution.tests._world import QUIET_TIME_S, World

# An opaque key may run again after the quiet time. Its start may be delayed for up to
# the lifetime of a ticket.
OPAQUE_RESEND_S = QUIET_TIME_S - 1.2

servers = st.sampled_from(SERVERS)
routers = st.sampled_from((ROUTER, OTHER_ROUTER))
kinds = st.sampled_from(("time", "time", "opaque", ""))
pauses = st.sampled_from((0.0, 0.05, 0.1, 0.5))


class Fleet(RuleBasedStateMachine):
    """Agents and routers under restarts, pauses, partitions and changes."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.flow(QUIET_TIME_S + 0.1)

    @rule(keys=st.lists(kinds, min_size=2, max_size=6), seconds=pauses)
    def submit_new(self, keys, seconds):
        for index, key in enumerate(keys):
            request = self.world.add_request(key)
            router = self.world.routers[(ROUTER, OTHER_ROUTER)[index % 2]]
            server = None if key else SERVERS[index % len(SERVERS)]
            router.submit(request, server=server)
        self.world.flow(seconds)

    @rule(n_requests=st.integers(1, 4), address=routers, seconds=pauses)
    def submit_again(self, n_requests, address, seconds):
        self.resend(n_requests, address)
        self.world.flow(seconds)

    def resend(self, n_requests, address):
        """Submit the latest keys again, as callers do after a fault."""
        keyed = [request for request in self.world.requests if request.key]
        for request in keyed[-n_requests:]:
            age_s = self.world.now - request.created_at
            if request.key.startswith("order") and age_s > OPAQUE_RESEND_S:
                continue
            self.world.routers[address].submit(request)

    @rule(seconds=st.sampled_from((0.1, 0.3, 1.2, 2.5)))
    def flow(self, seconds):
        self.world.flow(seconds)

    @rule(seconds=st.sampled_from((0.1, 0.6, 1.2)), is_ticking=st.booleans())
    def delay_network(self, seconds, is_ticking):
        self.world.pass_time(seconds, is_ticking)

    @rule(
        index=st.integers(0, 100),
        fate=st.sampled_from(("deliver", "delay", "lose", "copy")),
    )
    def disturb_network(self, index, fate):
        frames = self.world.frames
        if not frames:
            return
        position = index % len(frames)
        if fate == "deliver":
            self.world.deliver(position)
        elif fate == "copy":
            frames.append(frames[position])
        elif fate == "delay":
            frames.append(frames.pop(position))
        else:
            frames.pop(position)

    @rule(name=servers, kind=st.sampled_from(("", "", "", "reset", "overloaded")))
    def end_one(self, name, kind):
        self.world.hosts[name].end_one(kind)

    @rule(name=servers, is_refusing=st.booleans(), is_up=st.booleans())
    def disturb_backend(self, name, is_refusing, is_up):
        host = self.world.hosts[name]
        host.is_refusing = is_refusing
        if host.is_active:
            host.do(host.core.observe, BackendHealth(is_up, not is_refusing))

    @rule(name=servers, is_paused=st.booleans(), address=routers)
    def pause_or_restart(self, name, is_paused, address):
        host = self.world.hosts[name]
        self.resend(2, address)
        if is_paused or host.core is None:
            host.is_paused = not host.is_paused
        else:
            self.world.restart(host)
            self.world.flow(0.1)
            self.resend(3, address)

    @rule(name=servers, is_adopted=st.booleans(), address=routers, seconds=pauses)
    def move_centre_out_or_back(self, name, is_adopted, address, seconds):
        self.world.toggle_centre(f"dc-{name}")
        self.world.routers[address].view = self.world.view
        if is_adopted:
            self.world.adopt_at_all()
        self.world.flow(seconds)
        self.resend(3, address)
        self.world.flow(seconds)

    @rule(name=servers, address=routers)
    def adopt_at_one(self, name, address):
        host = self.world.hosts[name]
        if host.is_active:
            host.adopt()
        self.world.routers[address].view = self.world.view

    @rule(name=servers, address=routers)
    def lose_or_return(self, name, address):
        """Stop a process for good and mark it lost; that may spread slowly.

        The document with the new process reaches all at once, see section 6.
        """
        host = self.world.hosts[name]
        if host.core is None:
            del self.world.states[name]
            self.world.publish()
            self.world.restart(host)
            self.world.adopt_at_all()
        elif not self.world.states:
            host.core = None
            self.world.states[name] = "lost"
            self.world.publish()
            self.world.routers[address].view = self.world.view
        self.world.flow(0.1)
        self.resend(3, address)

    @rule(name=servers, address=routers, is_dropped=st.booleans())
    def suspect_router(self, name, address, is_dropped):
        host = self.world.hosts[name]
        if not host.is_active:
            return
        if is_dropped:
            host.do(host.core.drop_router, address)
        else:
            host.do(host.core.set_dispatchers, [address])
        self.world.routers[address].resume()

    @invariant()
    def runs_at_most_once(self):
        for request in self.world.requests:
            assert request.n_runs <= 1, request.key
            assert not (request.is_closed and request.n_runs), request.key

    @invariant()
    def not_run_is_true(self):
        assert not self.world.not_run & self.world.ran


# The seed is derived from the source of the class: another name or doc string in it
# draws other cases.
Fleet.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)


class TestFleet(Fleet.TestCase):
    """Guards against a second execution and a false ``not_run`` under faults."""
